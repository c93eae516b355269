package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// sink writes an answer to the caller. A stream is written as it comes; the
// head of any other answer waits for its body, so that a refusal can still take
// its place.
type sink struct {
	exchange     *exchange
	controller   *http.ResponseController
	writeTimeout time.Duration
	engine       string
	status       int
	headers      []*peerpb.Header
	body         []byte
	begun        bool // the caller has received a part of the answer
}

func newSink(exchange *exchange, writeTimeout time.Duration) *sink {
	return &sink{
		exchange:     exchange,
		controller:   http.NewResponseController(exchange.w),
		writeTimeout: writeTimeout,
	}
}

// Started implements entry.Sink.
func (s *sink) Started(engine string) { s.engine = engine }

// Head implements entry.Sink.
func (s *sink) Head(status int, headers []*peerpb.Header) error {
	s.status, s.headers, s.body = status, headers, nil
	return nil
}

// Event implements entry.Sink.
func (s *sink) Event(event *peerpb.Event) error {
	if !s.begun {
		s.writeHead()
	}
	var text strings.Builder
	fmt.Fprintf(&text, "id: %d\n", event.GetOffset())
	for line := range strings.SplitSeq(event.GetData(), "\n") {
		fmt.Fprintf(&text, "data: %s\n", line)
	}
	text.WriteString("\n")
	return s.write([]byte(text.String()))
}

// Body implements entry.Sink.
func (s *sink) Body(body []byte) error {
	s.body = append(s.body, body...)
	return nil
}

// finish writes an answer that is no stream.
func (s *sink) finish() {
	if s.begun {
		return
	}
	s.exchange.w.Header().Set("Content-Length", fmt.Sprint(len(s.body)))
	s.writeHead()
	_ = s.write(s.body)
}

// interrupt ends a stream that cannot be completed with an error event and
// without the stream's terminal event.
func (s *sink) interrupt(refused *refusal.Refusal) {
	_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", refused.JSON(s.exchange.id)))
}

func (s *sink) writeHead() {
	s.begun = true
	header := s.exchange.w.Header()
	for _, field := range s.headers {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(refusal.HeaderRequestID, s.exchange.id)
	if s.engine != "" {
		header.Set(HeaderEngine, s.engine)
	}
	s.exchange.w.WriteHeader(s.status)
}

// write sends bytes at once; a caller that does not read them in time is gone.
func (s *sink) write(data []byte) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if _, err := s.exchange.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return s.controller.Flush()
}
