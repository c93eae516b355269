// Package httpserver is an HTTP/1.1 server for callers. net/http reads the requests and writes
// the responses; this package decides when connections end.
//
// Invariant: a request that has been read whole ends with the response of its handler, or with
// one that says that it may have run, unless the process is killed. In particular:
//
//   - A connection is closed as unused only by the goroutine that reads it, while the kernel
//     holds no byte of a request.
//   - A connection is kept for the idle timeout on which its caller relies, which the last
//     response names, unless the server has as many connections as it may and none of them lacks
//     a whole request: then the one that has been idle for longest yields to a new one.
//   - A planned stop goes on answering the requests that come on connections that are open.
//     http.Server.Shutdown drops those that are read after its call.
//   - A handler that panics or ends without a response gets one that is no success. net/http
//     would close the connection, or send an empty 200.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/keepalive"
	"hemlockknot/internal/coordination/shutdown"
	"hemlockknot/internal/transport/memory"
)

// Times of a planned stop.
const (
	// idleLinger is how long a connection is kept after a response of which the caller could
	// not see that it is the last one: the next request may be on its way.
	idleLinger = 250 * time.Millisecond
	// partialRequestWait is how long callers are awaited that have opened a connection or have
	// sent a part of a request, after the last complete one has been answered. Such a caller may
	// be cut off.
	partialRequestWait = time.Second
	// quietCheckInterval is how often a stop looks whether all requests have been answered.
	quietCheckInterval = 10 * time.Millisecond
)

// Options are the limits of a server.
type Options struct {
	IdleTimeout    time.Duration // of a connection, until SetIdleTimeout is called
	HeaderTimeout  time.Duration // from the first byte of a request's header to its last, and until the first byte of a connection
	MaxHeaderBytes int           // that net/http reads
	// HeadLimits returns the limits of heads that are in force: the size, 0 if MaxHeaderBytes alone
	// applies, and the time from the first byte to the last. Nil: MaxHeaderBytes and HeaderTimeout.
	HeadLimits func() (maxBytes int, timeout time.Duration)
	// BodyTimeout limits the time of a body that no handler reads; 0: none.
	BodyTimeout time.Duration
	// MaxConns limits the connections, and MaxUnfinished those of them that have not sent a whole
	// request; 0: none.
	MaxConns, MaxUnfinished int
	// Memory accounts for heads; nil: none.
	Memory *memory.Account
	// OnLimit is told of each connection that a limit ends or refuses, with one of the Limit
	// reasons. It must not block, and may be nil.
	OnLimit func(caller, reason string)
	// RequestID returns the id of a request, for the observer and for RequestID.
	RequestID func(http.Header) string
	// ConnState and ConnContext are those of http.Server. They may be nil.
	ConnState   func(net.Conn, http.ConnState)
	ConnContext func(context.Context, net.Conn) context.Context
}

// Observer is told what callers may ask about. Its methods must not block.
type Observer interface {
	// ConnectionClosed reports that an unused connection is closed. Answered says whether it
	// has had a response, stopping whether it is closed for a planned stop.
	ConnectionClosed(caller string, unusedFor time.Duration, answered, stopping bool)
	// HandlerFailed reports a handler that has panicked, or that has ended without a response:
	// then panicked is nil and stack is empty.
	HandlerFailed(requestID string, panicked any, stack []byte)
	// RequestsUnanswered reports the requests whose handlers have not ended by the end of a
	// planned stop.
	RequestsUnanswered(requestIDs []string)
	// ServerError reports an error of net/http.
	ServerError(text string)
}

// stopStage is how far a planned stop has got.
type stopStage int

const (
	notStopping  stopStage = iota
	lastResponse           // each response is the last one of its connection
	draining               // unused connections are closed, too
	cut                    // the same, without delay
)

// Server serves callers' requests.
type Server struct {
	http     *http.Server
	options  Options
	observer Observer

	mu           sync.Mutex
	idleTimeouts *keepalive.Timeouts
	stage        stopStage
	listener     *callerListener // nil before Serve
	conns        map[*callerConn]struct{}
	requests     map[*requestInFlight]struct{}
	stopped      chan struct{} // closed by Stop

	open       atomic.Int64 // connections
	limits     sync.Mutex   // taken after the other locks
	unfinished queue        // connections that have not sent a whole request and hold no memory of unfinished heads
	large      queue        // connections that have not sent a whole head and hold some
	idle       queue        // connections that await the next request
}

// New returns a server. Serve starts it.
func New(handler http.Handler, options Options, observer Observer) *Server {
	s := &Server{
		options: options, observer: observer, idleTimeouts: keepalive.New(options.IdleTimeout),
		conns: make(map[*callerConn]struct{}), requests: make(map[*requestInFlight]struct{}), stopped: make(chan struct{}),
	}
	s.http = &http.Server{
		Handler:        s.trackRequests(handler),
		MaxHeaderBytes: options.MaxHeaderBytes,
		ConnState:      s.trackConnState,
		ConnContext:    s.connContext,
		ErrorLog:       newErrorLog(observer),
		// net/http would answer OPTIONS * with a success of its own.
		DisableGeneralOptionsHandler: true,
	}
	if options.Memory != nil {
		options.Memory.OnShortage(s.yieldHead)
	}
	return s
}

// Serve serves the listener until Stop has completed.
func (s *Server) Serve(listener net.Listener) error {
	accepting := &callerListener{Listener: listener, wrap: s.wrapConn, ended: make(chan struct{})}
	s.mu.Lock()
	s.listener = accepting
	s.mu.Unlock()
	err := s.http.Serve(accepting)
	close(accepting.ended)
	if !accepting.draining.Load() && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-s.stopped
	return nil
}

// SetIdleTimeout sets the idle timeout of connections. Callers that rely on an earlier one are
// not cut off.
func (s *Server) SetIdleTimeout(timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idleTimeouts.Set(timeout, time.Now())
}

// Requests returns the number of requests in flight.
func (s *Server) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// AnnounceStop makes each response the last one of its connection from now on.
func (s *Server) AnnounceStop() { s.enter(lastResponse) }

// Stop ends the server as planned. It takes no connections any more, and goes on taking requests
// until all that have come are answered; the handler refuses those that would not end in time. At
// plan.CutAt it cancels the contexts of the requests that are left, with the cause ErrStopping, so
// that their handlers answer them. It returns the number of requests that were cancelled.
func (s *Server) Stop(plan shutdown.Plan) (cancelled int) {
	defer close(s.stopped)
	s.drainListener(plan.CutAt)
	s.enter(draining)
	s.awaitQuiet(partialRequestWait, plan.CutAt)
	cancelled = s.cancelRequests()
	s.enter(cut)
	s.awaitQuiet(idleLinger, plan.EndAt)
	s.reportUnanswered()
	_ = s.http.Close() // the listener is closed already, which it reports
	return cancelled
}

func (s *Server) currentStage() stopStage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

// enter begins a stage of the stop, and has unused connections find out what it means to them.
func (s *Server) enter(stage stopStage) {
	s.mu.Lock()
	s.stage = stage
	s.mu.Unlock()
	for _, conn := range s.openConns() {
		conn.check()
	}
}

// drainListener closes the listener, if there is one, once no connection waits there, and
// returns when that has been done, but not later than at a time.
func (s *Server) drainListener(limit time.Time) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener == nil {
		return
	}
	listener.drain()
	select {
	case <-listener.ended:
	case <-time.After(time.Until(limit)):
		_ = listener.Close() // callers are refused from now on in any case
	}
}

// awaitQuiet waits until there is no connection, or no request has been in flight for a time, but
// not longer than until a moment.
func (s *Server) awaitQuiet(quiet time.Duration, until time.Time) {
	lastRequest := time.Now()
	for now := lastRequest; now.Before(until); now = time.Now() {
		if s.Requests() > 0 {
			lastRequest = now
		}
		if len(s.openConns()) == 0 || now.Sub(lastRequest) >= quiet {
			return
		}
		time.Sleep(min(quietCheckInterval, until.Sub(now)))
	}
}

// openConns returns the open connections.
func (s *Server) openConns() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.conns))
}

// wrapConn returns a connection that closes itself when it has been unused for long enough, or nil
// if there is no room for it.
func (s *Server) wrapConn(conn net.Conn) net.Conn {
	if !s.admit(conn) {
		return nil
	}
	return &callerConn{Conn: conn, server: s, since: time.Now()}
}

// trackConnState follows the states of connections that net/http reports.
func (s *Server) trackConnState(conn net.Conn, state http.ConnState) {
	caller := conn.(*callerConn) // of wrapConn
	caller.setState(state)
	if s.options.ConnState != nil {
		s.options.ConnState(conn, state)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[caller] = struct{}{}
		s.open.Store(int64(len(s.conns)))
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, caller)
		s.open.Store(int64(len(s.conns)))
	}
}

// unusedUntil returns until when a connection is kept that has been unused since a time; zero:
// until net/http gives it up.
func (s *Server) unusedUntil(phase connPhase, since time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stage == cut:
		return since
	case phase == connNew && s.stage == draining:
		return since.Add(partialRequestWait)
	case phase == connNew:
		return time.Time{}
	case s.stage == draining:
		return since.Add(idleLinger)
	}
	return s.idleTimeouts.KeepUntil(since)
}
