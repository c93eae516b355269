package httpserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"
)

// ErrStopping is the cause of the cancellation of requests that still run near the end of a
// planned stop.
var ErrStopping = errors.New("the daemon stops")

// requestInFlight is a request whose handler runs.
type requestInFlight struct {
	id     string
	cancel context.CancelCauseFunc
}

// trackRequests keeps the requests in flight, and sees to it that each ends with a response.
func (s *Server) trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		request := &requestInFlight{id: s.options.RequestID(r.Header), cancel: cancel}
		s.begin(request)
		defer s.end(request)
		response := &trackedResponse{ResponseWriter: w, server: s, request: r}
		defer s.checkEnd(request, response)
		if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok {
			conn.handling.Store(true)
			if r.Body != nil && r.Body != http.NoBody {
				r.Body = conn.trackBody(r.Body)
			}
		}
		s.limitBody(response, r)
		handler.ServeHTTP(response, r.WithContext(context.WithValue(ctx, requestKey{}, request)))
	})
}

// requestKey is the key of a request's *requestInFlight in its context.
type requestKey struct{}

// RequestID returns the id of the request that has the context, or "".
func RequestID(ctx context.Context) string {
	if request, ok := ctx.Value(requestKey{}).(*requestInFlight); ok {
		return request.id
	}
	return ""
}

// begin records that the handler of a request starts.
func (s *Server) begin(request *requestInFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[request] = struct{}{}
	if s.stage == cut {
		request.cancel(ErrStopping)
	}
}

// end records that the handler of a request has ended.
func (s *Server) end(request *requestInFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, request)
}

// cancelRequests cancels the requests in flight and returns their number.
func (s *Server) cancelRequests() int {
	s.mu.Lock()
	requests := slices.Collect(maps.Keys(s.requests))
	s.mu.Unlock()
	for _, request := range requests { // without the lock, as the handlers that end need it
		request.cancel(ErrStopping)
	}
	return len(requests)
}

// reportUnanswered reports the requests in flight, whose connections are about to be closed.
func (s *Server) reportUnanswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for request := range s.requests {
		ids = append(ids, request.id)
	}
	if len(ids) > 0 {
		s.observer.RequestsUnanswered(ids)
	}
}

// checkEnd sees to it that a handler that panics, or ends without a response, does not leave
// its caller with what looks like an answer. http.ErrAbortHandler ends a response on purpose.
func (s *Server) checkEnd(request *requestInFlight, response *trackedResponse) {
	recovered := recover()
	if recovered == nil && response.begun {
		return
	}
	if recovered == http.ErrAbortHandler {
		response.abort()
	}
	var stack []byte
	if recovered != nil {
		stack = debug.Stack()
	}
	s.observer.HandlerFailed(request.id, recovered, stack)
	if response.begun {
		response.abort()
	}
	clear(response.Header()) // of the response that has not begun
	response.Header().Set("Connection", "close")
	response.WriteHeader(http.StatusBadGateway)
	_, _ = io.WriteString(response, "may have run: internal error\n") // fails only if the caller has left
}

// trackedResponse is the response to a caller. It records whether it has begun, and announces
// how long the connection is kept.
type trackedResponse struct {
	http.ResponseWriter
	server  *Server
	request *http.Request
	begun   bool
}

func (r *trackedResponse) WriteHeader(status int) {
	if status >= http.StatusOK && !r.begun {
		r.begun = true
		r.server.announceKeepAlive(r.Header())
	}
	r.ResponseWriter.WriteHeader(status)
}

func (r *trackedResponse) Write(body []byte) (int, error) {
	if !r.begun {
		r.WriteHeader(http.StatusOK)
	}
	return r.ResponseWriter.Write(body)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (r *trackedResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// abort ends the connection before the end of the response. HTTP/1.0 has no chunks: there only a
// reset shows that the body is not complete.
func (r *trackedResponse) abort() {
	if conn, ok := r.request.Context().Value(connKey{}).(*callerConn); ok && !r.request.ProtoAtLeast(1, 1) {
		conn.resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// announceKeepAlive tells the caller how long it may reuse the connection, in whole seconds.
func (s *Server) announceKeepAlive(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage != notStopping {
		header.Set("Connection", "close")
		return
	}
	if seconds := int64(s.idleTimeouts.Current() / time.Second); seconds > 0 && header.Get("Connection") == "" {
		header.Set("Keep-Alive", "timeout="+strconv.FormatInt(seconds, 10))
	}
}

// connKey is the key of a request's *callerConn in its context.
type connKey struct{}

func (s *Server) connContext(ctx context.Context, conn net.Conn) context.Context {
	if s.options.ConnContext != nil {
		ctx = s.options.ConnContext(ctx, conn)
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// newErrorLog returns a log for net/http that reports to the observer.
func newErrorLog(observer Observer) *log.Logger { return log.New(errorWriter{observer}, "", 0) }

type errorWriter struct{ observer Observer }

func (w errorWriter) Write(line []byte) (int, error) {
	w.observer.ServerError(string(bytes.TrimSpace(line)))
	return len(line), nil
}
