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
)

// Limits of callers' connections.
const (
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10 // bytes
	idleSweep     = time.Second
	// idleSlack is added to the configured idle limit: a caller that keeps to the
	// limit must never meet a closed connection.
	idleSlack = time.Second
)

// callerServer serves callers and closes connections that were idle for longer
// than the configuration in force allows.
type callerServer struct {
	server *http.Server
	idle   func() time.Duration
	// closing makes each answer the last one of its connection.
	closing  atomic.Bool
	requests atomic.Int64 // in progress

	mu    sync.Mutex
	since map[net.Conn]time.Time // idle connections
	done  chan struct{}
}

func newCallerServer(handler http.Handler, idle func() time.Duration) *callerServer {
	s := &callerServer{idle: idle, since: make(map[net.Conn]time.Time), done: make(chan struct{})}
	s.server = &http.Server{
		Handler:           s.counted(handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         s.stateChanged,
	}
	return s
}

func (s *callerServer) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		defer s.requests.Add(-1)
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

func (s *callerServer) serve(listener net.Listener) error {
	go s.sweep()
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	<-s.done
	return nil
}

func (s *callerServer) stateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.since[conn] = time.Now()
		return
	}
	delete(s.since, conn)
}

// sweep closes connections that were idle for too long.
func (s *callerServer) sweep() {
	ticker := time.NewTicker(idleSweep)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case now := <-ticker.C:
			s.closeIdle(now.Add(-s.idle() - idleSlack))
		}
	}
}

func (s *callerServer) closeIdle(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, since := range s.since {
		if since.Before(before) {
			_ = conn.Close()
			delete(s.since, conn)
		}
	}
}

// shutdown closes the listener and the idle connections, and waits for the
// requests in progress until the context ends.
func (s *callerServer) shutdown(ctx context.Context) error {
	defer close(s.done)
	if err := s.server.Shutdown(ctx); err != nil {
		return errors.Join(err, s.server.Close())
	}
	return nil
}
