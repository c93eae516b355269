package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/platform"
)

// Limits of callers' connections.
const (
	headerTimeout     = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	idleSweepInterval = time.Second
	// idleSlack is added to the configured idle timeout: the daemon must not close a
	// connection that the caller may still reuse under that timeout.
	idleSlack = time.Second
)

// callerServer serves callers' requests. It closes connections that have been idle
// for longer than the current configuration allows.
type callerServer struct {
	server      *http.Server
	idleTimeout func() time.Duration
	// closeAfterResponse makes the server close each connection after its next
	// response.
	closeAfterResponse atomic.Bool
	log                logger
	metrics            *counters

	mu       sync.Mutex
	idle     map[*callerConn]struct{} // connections that net/http reports as idle
	requests map[*requestInFlight]struct{}
	done     chan struct{} // closed by shutdown
}

func newCallerServer(handler http.Handler, idleTimeout func() time.Duration, log logger, metrics *counters) *callerServer {
	s := &callerServer{
		idleTimeout: idleTimeout, log: log, metrics: metrics,
		idle: make(map[*callerConn]struct{}), requests: make(map[*requestInFlight]struct{}), done: make(chan struct{}),
	}
	s.server = &http.Server{
		Handler:           s.trackRequests(handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.trackConnState,
		ErrorLog:          newServerErrorLog(log),
	}
	return s
}

// trackRequests keeps the requests in flight and announces the end of the connection in the
// response while closeAfterResponse is set.
func (s *callerServer) trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		request := &requestInFlight{id: platform.RequestID(r.Header), cancel: cancel}
		s.begin(request)
		defer s.end(request)
		response := &trackedResponse{ResponseWriter: w}
		defer s.checkEnd(request, response)
		if s.closeAfterResponse.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(response, r.WithContext(ctx))
	})
}

// serve serves the listener until shutdown has completed.
func (s *callerServer) serve(listener net.Listener) error {
	go s.sweepIdle()
	if err := s.server.Serve(callerListener{listener}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-s.done
	return nil
}

// trackConnState records which connections are idle.
func (s *callerServer) trackConnState(conn net.Conn, state http.ConnState) {
	caller := conn.(*callerConn) // of callerListener
	caller.setState(state)
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[caller] = struct{}{}
		return
	}
	delete(s.idle, caller)
}

// sweepIdle closes connections that exceed the idle timeout, until shutdown.
func (s *callerServer) sweepIdle() {
	ticker := time.NewTicker(idleSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.closeIdleSince(now.Add(-s.idleTimeout() - idleSlack))
		}
	}
}

// closeIdleSince closes the connections that became idle before the threshold.
func (s *callerServer) closeIdleSince(threshold time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.idle {
		if conn.closeIfIdleSince(threshold) {
			delete(s.idle, conn)
			s.metrics.countClosedConnection("idle")
			s.log.Info("idle connection of a caller closed", "caller", conn.RemoteAddr().String(),
				"idle_ms", time.Since(time.Unix(0, conn.idleSince.Load())).Milliseconds(), "limit_ms", s.idleTimeout().Milliseconds())
		}
	}
}

// shutdown closes the listener and the idle connections and waits for the requests
// in flight. If the context ends first, or once no request has been in flight for
// partialRequestWait, shutdown closes the remaining connections too.
func (s *callerServer) shutdown(ctx context.Context) error {
	defer close(s.done)
	for {
		waitCtx, cancel := context.WithCancelCause(ctx)
		go s.watchInFlight(waitCtx, cancel)
		err := s.server.Shutdown(waitCtx)
		cancel(nil)
		onlyPartial := errors.Is(context.Cause(waitCtx), errOnlyPartialRequests)
		switch {
		case err == nil:
			return nil
		case !onlyPartial:
			s.cancelRequests(errGraceEnded)
			return errors.Join(err, s.server.Close())
		case s.countRequests() == 0: // else one of them has been completed meanwhile
			return s.server.Close()
		}
	}
}

// partialRequestWait is how long a stop waits for callers that have sent a part of a
// request, after the last complete one has been answered. Such a caller may be cut off.
const partialRequestWait = time.Second

var errOnlyPartialRequests = errors.New("no request is in flight")

// watchInFlight cancels the context once no request has been in flight for
// partialRequestWait.
func (s *callerServer) watchInFlight(ctx context.Context, cancel context.CancelCauseFunc) {
	const checkInterval = 50 * time.Millisecond
	lastInFlight := time.Now()
	for ctx.Err() == nil {
		if s.countRequests() > 0 {
			lastInFlight = time.Now()
		}
		if time.Since(lastInFlight) >= partialRequestWait {
			cancel(errOnlyPartialRequests)
			return
		}
		sleep(ctx, checkInterval)
	}
}
