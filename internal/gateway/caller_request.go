package gateway

import (
	"bytes"
	"context"
	"errors"
	"log"
	"net/http"
	"runtime/debug"
)

// errGraceEnded is the cause of the cancellation of requests that are in flight at the end of a
// planned stop.
var errGraceEnded = errors.New("the grace period of the stop has ended")

// requestInFlight is a request whose handler runs.
type requestInFlight struct {
	id     string
	cancel context.CancelCauseFunc
}

// begin records that the handler of a request starts.
func (s *callerServer) begin(request *requestInFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests[request] = struct{}{}
}

// end records that the handler of a request has ended.
func (s *callerServer) end(request *requestInFlight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.requests, request)
}

// countRequests returns the number of requests in flight.
func (s *callerServer) countRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// cancelRequests cancels the requests in flight and logs them.
func (s *callerServer) cancelRequests(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request := range s.requests {
		request.cancel(cause)
		s.log.Warn("request cancelled", "request", request.id, "cause", cause)
	}
}

// checkEnd logs a handler that ends with a panic, or without a response: its caller cannot
// tell what has become of the request. http.ErrAbortHandler ends a response on purpose.
func (s *callerServer) checkEnd(request *requestInFlight, response *trackedResponse) {
	recovered := recover()
	switch {
	case recovered == http.ErrAbortHandler:
		panic(recovered)
	case recovered != nil:
		s.metrics.countUnanswered("panic")
		s.log.Warn("handler of a request failed", "request", request.id, "response_begun", response.begun, "panic", recovered, "stack", string(debug.Stack()))
		panic(http.ErrAbortHandler)
	case !response.begun:
		s.metrics.countUnanswered("no_response")
		s.log.Warn("handler of a request ended without a response", "request", request.id)
	}
}

// trackedResponse records whether a response has begun.
type trackedResponse struct {
	http.ResponseWriter
	begun bool
}

func (r *trackedResponse) WriteHeader(status int) {
	r.begun = r.begun || status >= http.StatusOK
	r.ResponseWriter.WriteHeader(status)
}

func (r *trackedResponse) Write(body []byte) (int, error) {
	r.begun = true
	return r.ResponseWriter.Write(body)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (r *trackedResponse) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// newServerErrorLog returns a log for net/http whose lines are structured.
func newServerErrorLog(to logger) *log.Logger { return log.New(serverErrorWriter{to}, "", 0) }

type serverErrorWriter struct{ log logger }

func (w serverErrorWriter) Write(line []byte) (int, error) {
	w.log.Warn("error of the HTTP server", "error", string(bytes.TrimSpace(line)))
	return len(line), nil
}
