package caller

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockknot/internal/protocol/refusal"
)

// headerReadFactor is the size of the largest header that net/http reads, as a multiple
// of the header limit. A header between the limit and this size gets a typed refusal.
// If the header is larger, net/http itself answers 431 and closes the connection.
const headerReadFactor = 4

// checkHeaderSize refuses a request whose header exceeds the limit.
func (s *Server) checkHeaderSize(exchange *exchange) *refusal.Refusal {
	const fieldOverhead = len(": \r\n")
	size := len(exchange.r.Method) + len(exchange.r.RequestURI)
	for name, values := range exchange.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	if size > s.limits.HeaderBytes {
		return refusal.NotRun(refusal.HeaderTooLarge, 0, "the header has %d bytes, at most %d are allowed", size, s.limits.HeaderBytes)
	}
	return nil
}

// unreadableLogInterval and unreadableLogBurst bound the log lines about headers that cannot be read:
// a crowd sends thousands of them a second.
const (
	unreadableLogInterval = 100 * time.Millisecond
	unreadableLogBurst    = 100
)

// connRequest is the state of the request in progress on a connection. If net/http
// cannot read a request's header, it answers without calling a handler; connState
// counts such requests.
type connRequest struct {
	started       atomic.Bool // a byte of the request was received
	handlerCalled atomic.Bool // the request's handler was called
}

type connRequestKey struct{}

// connContext makes the state of a new connection's requests available through their
// contexts.
func (s *Server) connContext(ctx context.Context, conn net.Conn) context.Context {
	request := new(connRequest)
	s.conns.Store(conn, request)
	return context.WithValue(ctx, connRequestKey{}, request)
}

// connState counts and logs the requests that ended before their handler was called.
func (s *Server) connState(conn net.Conn, state http.ConnState) {
	value, ok := s.conns.Load(conn)
	if !ok {
		return
	}
	request := value.(*connRequest)
	switch state {
	case http.StateActive:
		request.started.Store(true)
		request.handlerCalled.Store(false)
	case http.StateIdle:
		request.started.Store(false)
	case http.StateClosed, http.StateHijacked:
		s.conns.Delete(conn)
		if request.started.Load() && !request.handlerCalled.Load() {
			s.metrics.CountRefusal(refusal.HeaderUnreadable)
			if s.unreadableLines.Allow() {
				s.log.Info("request refused", "reason", refusal.HeaderUnreadable, "step", "read header", "peer", conn.RemoteAddr().String())
			}
		}
	}
}

// markHandlerCalled records that the handler of the request in progress on a connection
// was called.
func markHandlerCalled(r *http.Request) {
	if request, ok := r.Context().Value(connRequestKey{}).(*connRequest); ok {
		request.handlerCalled.Store(true)
	}
}
