package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// sink writes an answer to the caller. It writes the events of a stream at once. It
// buffers any other answer until the answer is complete, so that a refusal can still
// replace it.
type sink struct {
	exchange     *exchange
	controller   *http.ResponseController
	writeTimeout time.Duration
	engine       string
	status       int
	headers      []*peerpb.Header
	body         []byte
	headWritten  bool // the header was sent, so a refusal can no longer replace the answer
}

// headerContentLength is set for an answer that is not a stream.
const headerContentLength = "Content-Length"

// newSink returns the sink of a request.
func newSink(exchange *exchange, writeTimeout time.Duration) *sink {
	exchange.sink = &sink{
		exchange:     exchange,
		controller:   http.NewResponseController(exchange.w),
		writeTimeout: writeTimeout,
	}
	return exchange.sink
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
	if !s.headWritten {
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

// writeBuffered writes a complete answer that is not a stream.
func (s *sink) writeBuffered() {
	if s.headWritten {
		return
	}
	s.exchange.w.Header().Set(headerContentLength, fmt.Sprint(len(s.body)))
	s.writeHead()
	_ = s.write(s.body)
}

// writeErrorEvent ends a stream that cannot be completed. It writes an error event in
// place of the stream's terminal event.
func (s *sink) writeErrorEvent(refused *refusal.Refusal) {
	_ = s.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", refused.JSON(s.exchange.id)))
}

func (s *sink) writeHead() {
	header := s.exchange.w.Header()
	for _, field := range s.headers {
		header.Add(field.GetName(), field.GetValue())
	}
	header.Set(refusal.HeaderRequestID, s.exchange.id)
	if s.engine != "" {
		header.Set(HeaderEngine, s.engine)
	}
	s.exchange.w.WriteHeader(s.status)
	s.headWritten = true
}

// write sends bytes to the caller at once. It fails if the caller does not read them
// before the write timeout.
func (s *sink) write(data []byte) error {
	_ = s.controller.SetWriteDeadline(time.Now().Add(s.writeTimeout))
	if _, err := s.exchange.w.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return s.controller.Flush()
}
