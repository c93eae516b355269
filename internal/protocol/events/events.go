// Package events splits a stream of server-sent events into single events. It leaves the
// bytes of the events unchanged.
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

// Event is one server-sent event.
type Event struct {
	ID    int64  // 0 if the event has none
	Bytes []byte // as received, with the blank line that ends the event
}

// Reader reads the events of a stream.
type Reader struct {
	source  *bufio.Reader
	pending []byte // the bytes of the current event
	id      int64  // the id of the current event
}

// NewReader returns a reader of the events in the body of an answer.
func NewReader(body io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, readBufferSize)}
}

// Next returns the next event, whose bytes are valid until the next call. At the end of
// the stream, Next returns io.EOF. If the stream ends within an event, Next returns the
// bytes of that event and io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.pending = r.pending[:0]
	r.id = 0
	for {
		line, err := r.source.ReadSlice('\n')
		r.pending = append(r.pending, line...)
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
		if complete, err := r.parseLine(bytes.TrimRight(line, "\r\n")); complete || err != nil {
			return Event{ID: r.id, Bytes: r.pending}, err
		}
	}
}

// Buffered reports whether the reader has bytes that Next has not returned yet.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// parseLine stores the id if the line has one, and reports whether the line completes
// the event.
func (r *Reader) parseLine(line []byte) (complete bool, err error) {
	if len(line) == 0 {
		return true, nil
	}
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return false, nil
	}
	if r.id, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err != nil {
		return false, fmt.Errorf("read id of event: %w", err)
	}
	return false, nil
}
