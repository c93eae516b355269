package target

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"mime"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/targetapi"
)

// maxEventBytes is the size of the largest event of a stream.
const maxEventBytes = 1 << 20

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// eventStream reads a model engine's server-sent events. The event id is its
// offset, and ids rise by one from the one after the last that was received.
type eventStream struct {
	body io.ReadCloser
	next func() (sse.Event, error, bool)
	stop func()
	last uint64
	done bool
}

// newEventStream reads the events after an offset, which is 0 for a whole stream.
func newEventStream(body io.ReadCloser, after uint64) *eventStream {
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &eventStream{body: body, next: next, stop: stop, last: after}
}

// Next implements targetapi.EventStream.
func (s *eventStream) Next() (*peerpb.Event, error) {
	if s.done {
		return nil, io.EOF
	}
	event, err, ok := s.next()
	if !ok {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("read event after %d: %w", s.last, err)
	}
	offset, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("event after %d has the id %q: %w", s.last, event.LastEventID, err)
	}
	if offset != s.last+1 {
		return nil, fmt.Errorf("event %d follows event %d: %w", offset, s.last, errOutOfOrder)
	}
	s.last = offset
	s.done = event.Data == targetapi.StreamDone
	return &peerpb.Event{Offset: offset, Data: event.Data}, nil
}

// Abort implements targetapi.EventStream.
func (s *eventStream) Abort() { _ = s.body.Close() }

// Close implements targetapi.EventStream. Closing an unfinished body closes its
// connection, so no leftover reaches a later call.
func (s *eventStream) Close() {
	_ = s.body.Close()
	s.stop()
}

// errOutOfOrder says that a stream has lost or repeated an event.
var errOutOfOrder = errors.New("events are out of order")
