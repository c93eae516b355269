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

const (
	readBufferSize = 2 << 10 // bytes
	// freeEventBytes is the size in bytes up to which an event needs no reservation. The users'
	// events are smaller.
	freeEventBytes = 8 << 10
)

// ErrTooLong says that an event has more than MaxEventBytes.
var ErrTooLong = errors.New("event is too long")

// ErrNoSpace says that there is no memory for the rest of a long event.
var ErrNoSpace = errors.New("no memory for a long event")

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
	reserve func(bytes int64) bool
	pending []byte // the bytes of the current event
	line    int    // where the current line begins in pending
	id      int64  // the id of the current event
	fields  bool   // the current event has fields
}

// NewReader returns a reader of the events in the body of an answer. It calls reserve before it keeps
// more of an event in memory than most have, with the number of bytes by which that grows, and
// reserve reports whether they are to be had. What was reserved is used again for later events.
func NewReader(body io.Reader, reserve func(bytes int64) bool) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, readBufferSize), reserve: reserve}
}

// Next returns the next event, whose bytes are valid until the next call. At the end of
// the stream, Next returns io.EOF. If the stream ends within an event, Next returns the
// bytes of that event and io.ErrUnexpectedEOF. At bytes that are no event, Next returns
// ErrNoEvent. An event that is too long, or for which there is no memory, ends in ErrTooLong or
// ErrNoSpace.
func (r *Reader) Next() (Event, error) {
	r.pending, r.line, r.id, r.fields = r.pending[:0], 0, 0, false
	for {
		part, err := r.source.ReadSlice('\n')
		if err := r.keep(part); err != nil {
			return Event{}, err
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

// keep appends a part to the current event.
func (r *Reader) keep(part []byte) error {
	length := len(r.pending) + len(part)
	if length > MaxEventBytes {
		return ErrTooLong
	}
	if held := cap(r.pending); length > held {
		grown := min(max(length, 2*held), MaxEventBytes)
		if length <= freeEventBytes {
			grown = min(grown, freeEventBytes)
		}
		if grown > freeEventBytes && !r.reserve(int64(grown-held)) {
			return ErrNoSpace
		}
		r.pending = append(make([]byte, 0, grown), r.pending...)
	}
	r.pending = append(r.pending, part...)
	return nil
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
