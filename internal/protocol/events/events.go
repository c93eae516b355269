// Package events splits a stream of server-sent events into single events. It leaves the
// bytes of the events unchanged.
//
// A stream is a series of events with ids. Blank lines and comments may stand between them;
// any other bytes are none of the stream's: a target in trouble may send another answer, or an
// error, where an event is due. So a block of lines is an event only if it has one id, and if
// each of its lines is a comment or a field with a name in lowercase, as the fields of
// server-sent events and the line that names a new version of the weights have.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEventBytes is the size of the largest event, in bytes.
const MaxEventBytes = 1 << 20

const readBufferSize = 2 << 10 // bytes

// ErrTooLong says that an event has more than MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

// ErrNoEvent says that a stream has bytes that are no event.
var ErrNoEvent = errors.New("bytes that are no event")

// Event is one server-sent event, or a block of comments.
type Event struct {
	ID    int64  // positive; 0 for a block of comments
	Bytes []byte // as received, with the blank line that ends the event
}

// Reader reads the events of a stream.
type Reader struct {
	source  *bufio.Reader
	pending []byte // the bytes of the current event
	line    int    // where the current line begins in pending
	id      int64  // the id of the current event
	fields  bool   // the current event has fields
}

// NewReader returns a reader of the events in the body of an answer.
func NewReader(body io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, readBufferSize)}
}

// Next returns the next event, whose bytes are valid until the next call. At the end of
// the stream, Next returns io.EOF. If the stream ends within an event, Next returns the
// bytes of that event and io.ErrUnexpectedEOF. At bytes that are no event, Next returns
// ErrNoEvent.
func (r *Reader) Next() (Event, error) {
	r.pending, r.line, r.id, r.fields = r.pending[:0], 0, 0, false
	for {
		part, err := r.source.ReadSlice('\n')
		r.pending = append(r.pending, part...)
		if len(r.pending) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(r.pending) > 0 {
			return Event{Bytes: r.pending}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		complete, err := r.parseLine(bytes.TrimRight(r.pending[r.line:], "\r\n"))
		if err != nil {
			return Event{}, err
		}
		if complete {
			return Event{ID: r.id, Bytes: r.pending}, nil
		}
		r.line = len(r.pending)
	}
}

// HasNext reports whether the reader holds the whole of the next event already, so that Next
// returns it without waiting for the target.
func (r *Reader) HasNext() bool {
	buffered, _ := r.source.Peek(r.source.Buffered()) // never fails, as it reads nothing
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// parseLine stores the id if the line has one, and reports whether the line completes
// the event.
func (r *Reader) parseLine(line []byte) (complete bool, err error) {
	if len(line) == 0 {
		if r.fields && r.id == 0 {
			return false, fmt.Errorf("%w: a block without an id", ErrNoEvent)
		}
		return true, nil
	}
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	if len(name) == 0 && hasValue {
		return false, nil // a comment
	}
	if !isFieldName(name) || !hasValue && string(name) != "data" {
		return false, fmt.Errorf("%w: %.40q", ErrNoEvent, line)
	}
	r.fields = true
	if string(name) != "id" {
		return false, nil
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || id <= 0 || r.id != 0 {
		return false, fmt.Errorf("%w: %.40q is not its only id", ErrNoEvent, line)
	}
	r.id = id
	return false, nil
}

// isFieldName reports whether a text may be the name of an event's field.
func isFieldName(text []byte) bool {
	for _, c := range text {
		if c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return len(text) > 0
}
