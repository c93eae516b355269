// Package events splits a stream of server-sent events into whole events,
// byte for byte as they came.
package events

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxEvent is the size of the largest event, in bytes.
const MaxEvent = 1 << 20

const readBuffer = 2 << 10

// ErrTooLong says that an event is larger than MaxEvent.
var ErrTooLong = errors.New("event is too long")

// Event is one whole event.
type Event struct {
	ID    int64 // 0 if it has none
	Bytes []byte
}

// Reader reads events.
type Reader struct {
	source  *bufio.Reader
	pending []byte
	id      int64
}

// NewReader returns a reader of a stream's body.
func NewReader(body io.Reader) *Reader {
	return &Reader{source: bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next whole event; its bytes are valid until the next call. At
// the stream's end it returns io.EOF; bytes after the last whole event come with
// io.ErrUnexpectedEOF.
func (r *Reader) Next() (Event, error) {
	r.pending = r.pending[:0]
	r.id = 0
	for {
		line, err := r.source.ReadSlice('\n')
		r.pending = append(r.pending, line...)
		if len(r.pending) > MaxEvent {
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
		if ended, err := r.line(bytes.TrimRight(line, "\r\n")); ended || err != nil {
			return Event{ID: r.id, Bytes: r.pending}, err
		}
	}
}

// Buffered reports whether more bytes have arrived already.
func (r *Reader) Buffered() bool { return r.source.Buffered() > 0 }

// line takes in one line and reports whether it ends the event.
func (r *Reader) line(line []byte) (ended bool, err error) {
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
