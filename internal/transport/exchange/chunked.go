package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// maxChunkDigits is the number of hexadecimal digits that the size of a chunk may have.
	maxChunkDigits = 16
	// maxChunkSize is the size of the largest chunk, in bytes. No body may have as many.
	maxChunkSize = 1 << 62
	// chunkOverhead is how many bytes of framing a chunk may have besides twice its data, and
	// maxChunkExcess how many more the chunks of a body may have together: the limits of net/http.
	chunkOverhead  = 16
	maxChunkExcess = 16 << 10
)

var (
	errMalformedChunk = errors.New("malformed chunk")
	errChunkOverhead  = errors.New("chunks have too many extensions")
)

// endOfLine ends the header and the data of a chunk.
const endOfLine = "\r\n"

// chunkedBody reads a body in chunks. It returns what has arrived of a chunk, whereas the reader of
// net/http, once a chunk has begun, waits for the rest of it or until the caller's buffer is full: a
// target may send an event together with a part of the next one, on which it then works.
type chunkedBody struct {
	io.ReadCloser               // of net/http; reads the last chunk and the trailer
	source        *bufio.Reader // what both read from
	left          int64         // unread bytes of the current chunk
	endDue        bool          // the end of line after the data of a chunk comes next
	last          bool          // the last chunk comes next
	excess        int64         // bytes of framing beyond what the data permits
	err           error
}

// Read reads the data of the chunks that have arrived. It waits only if there is none.
func (b *chunkedBody) Read(buffer []byte) (n int, err error) {
	for n < len(buffer) && b.err == nil {
		mayWait, waits := n == 0, false
		switch {
		case b.last && mayWait:
			return b.ReadCloser.Read(buffer)
		case b.last:
			return n, nil
		case b.endDue:
			waits, b.err = b.readEndOfData(mayWait)
		case b.left == 0:
			waits, b.err = b.readHeader(mayWait)
		case !mayWait && b.source.Buffered() == 0:
			waits = true
		default:
			var read int
			read, b.err = b.source.Read(buffer[n:min(int64(len(buffer)), int64(n)+b.left)])
			n += read
			b.left -= int64(read)
			b.endDue = b.left == 0
		}
		if waits {
			return n, nil
		}
	}
	if errors.Is(b.err, io.EOF) {
		b.err = io.ErrUnexpectedEOF
	}
	return n, b.err
}

// readEndOfData reads the end of line after the data of a chunk. It returns true if it would have
// to wait and may not.
func (b *chunkedBody) readEndOfData(mayWait bool) (waits bool, err error) {
	if !mayWait && b.source.Buffered() < len(endOfLine) {
		return true, nil
	}
	end, err := b.source.Peek(len(endOfLine))
	if err != nil {
		return false, err
	}
	if string(end) != endOfLine {
		return false, errMalformedChunk
	}
	b.endDue = false
	_, err = b.source.Discard(len(endOfLine))
	return false, err
}

// readHeader reads the header of the next chunk, or finds that it is the last one, whose header
// it leaves to net/http. It returns true if it would have to wait and may not.
func (b *chunkedBody) readHeader(mayWait bool) (waits bool, err error) {
	line, waits, err := b.peekLine(mayWait)
	if waits || err != nil {
		return waits, err
	}
	if b.left, err = parseChunkSize(line); err != nil {
		return false, err
	}
	if b.left == 0 {
		b.last = true
		return false, nil
	}
	b.excess = max(0, b.excess+int64(len(line))-chunkOverhead-2*b.left)
	if b.excess > maxChunkExcess {
		return false, errChunkOverhead
	}
	_, err = b.source.Discard(len(line))
	return false, err
}

// peekLine returns the next line with its end, which it does not read. The size of the read buffer
// limits its length. It returns true if it would have to wait and may not.
func (b *chunkedBody) peekLine(mayWait bool) (line []byte, waits bool, err error) {
	for {
		buffered, _ := b.source.Peek(b.source.Buffered()) // never fails, as it reads nothing
		if i := bytes.IndexByte(buffered, '\n'); i >= 0 {
			return buffered[:i+1], false, nil
		}
		if !mayWait {
			return nil, true, nil
		}
		if _, err := b.source.Peek(len(buffered) + 1); err != nil {
			return nil, false, err
		}
	}
}

// parseChunkSize returns the size in the header of a chunk: hexadecimal digits, then an
// extension or blanks.
func parseChunkSize(line []byte) (int64, error) {
	header, found := bytes.CutSuffix(line, []byte(endOfLine))
	if !found || bytes.IndexByte(header, '\r') >= 0 {
		return 0, errMalformedChunk
	}
	var size uint64
	digits := 0
	for ; digits < len(header); digits++ {
		value, isDigit := hexDigit(header[digits])
		if !isDigit {
			break
		}
		size = size<<4 | uint64(value)
	}
	rest := header[digits:]
	if len(rest) > 0 && rest[0] != ';' && len(bytes.TrimRight(rest, " \t")) > 0 {
		return 0, errMalformedChunk
	}
	if digits == 0 || digits > maxChunkDigits || size > maxChunkSize {
		return 0, errMalformedChunk
	}
	return int64(size), nil
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value byte, isDigit bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
