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
	"golang.org/x/sync/semaphore"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/targetapi"
)

const (
	// maxEventBytes is the size of the largest event of a stream.
	maxEventBytes = 1 << 20
	// eventMemoryBytes is the memory that long events of all streams share: an eighth of
	// what a daemon may use.
	eventMemoryBytes = 16 << 20
)

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// eventStream reads a model engine's server-sent events. The id of an event is its
// offset. Offsets must increase by one with each event, starting after the last
// event that was received.
type eventStream struct {
	body        *eventBody
	nextEvent   func() (sse.Event, error, bool)
	stopReading func()
	lastOffset  uint64
	done        bool // the terminal event was read
}

// newEventStream returns a stream whose first event must have the offset after+1. The
// parameter after is 0 for a whole stream.
func newEventStream(response io.ReadCloser, memory *semaphore.Weighted, after uint64) *eventStream {
	body := &eventBody{ReadCloser: response, memory: memory}
	events := sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes})
	next, stop := iter.Pull2(iter.Seq2[sse.Event, error](events))
	return &eventStream{body: body, nextEvent: next, stopReading: stop, lastOffset: after}
}

// Next implements targetapi.EventStream.
func (s *eventStream) Next() (*peerpb.Event, error) {
	if s.done {
		return nil, io.EOF
	}
	event, err, ok := s.nextEvent()
	if !ok {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, fmt.Errorf("read event after %d: %w", s.lastOffset, err)
	}
	offset, err := strconv.ParseUint(event.LastEventID, 10, 64)
	if err != nil {
		return nil, fmt.Errorf("event after %d has the id %q: %w", s.lastOffset, event.LastEventID, err)
	}
	if offset != s.lastOffset+1 {
		return nil, fmt.Errorf("event %d follows event %d: %w", offset, s.lastOffset, errOutOfOrder)
	}
	s.body.endEvent()
	s.lastOffset = offset
	s.done = event.Data == targetapi.StreamDone
	return &peerpb.Event{Offset: offset, Data: event.Data}, nil
}

// Abort implements targetapi.EventStream.
func (s *eventStream) Abort() { _ = s.body.Close() }

// Close implements targetapi.EventStream. If the body is unfinished, Close also
// closes its connection, so that no later call receives the rest of the body.
func (s *eventStream) Close() {
	_ = s.body.Close()
	s.stopReading()
	s.body.endEvent()
}

// errOutOfOrder says that events of a stream are missing or repeated.
var errOutOfOrder = errors.New("events are out of order")
