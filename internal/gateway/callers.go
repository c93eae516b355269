package gateway

import (
	"net/http"
	"time"

	"hemlockknot/internal/transport/httpserver"
	"hemlockknot/platform"
)

// Limits of callers' connections.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout applies until there is a configuration, and if it sets no idle
	// timeout.
	defaultIdleTimeout = 15 * time.Second
)

// newServer returns a server for requests of callers or of other daemons.
func (g *Gateway) newServer(handler http.HandlerFunc) *httpserver.Server {
	return httpserver.New(handler, httpserver.Options{
		IdleTimeout:    defaultIdleTimeout,
		HeaderTimeout:  headerTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		RequestID:      platform.RequestID,
	}, serverObserver{g.log, g.metrics})
}

// idleTimeout returns how long the configuration lets a caller's connection be idle.
func (g *Gateway) idleTimeout() time.Duration {
	table := g.config.current()
	if table == nil || table.Document.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Document.Limits.IdleTimeout
}

// serverObserver logs and counts what a server reports.
type serverObserver struct {
	log     logger
	metrics *counters
}

func (o serverObserver) ConnectionClosed(caller string, unusedFor time.Duration, answered, stopping bool) {
	reason := "idle"
	if stopping {
		reason = "stopping"
	}
	o.metrics.countClosedConnection(reason)
	o.log.Info("unused connection of a caller closed", "caller", caller, "reason", reason, "answered_before", answered, "unused_ms", unusedFor.Milliseconds())
}

func (o serverObserver) HandlerFailed(requestID string, panicked any, stack []byte) {
	if panicked == nil {
		o.metrics.countUnanswered("no_response")
		o.log.Warn("handler of a request ended without a response", "request", requestID)
		return
	}
	o.metrics.countUnanswered("panic")
	o.log.Warn("handler of a request panicked", "request", requestID, "panic", panicked, "stack", string(stack))
}

// maxLoggedUnanswered is the number of requests without an answer that are logged by id.
const maxLoggedUnanswered = 20

func (o serverObserver) RequestsUnanswered(requestIDs []string) {
	for range requestIDs {
		o.metrics.countUnanswered("stopped")
	}
	o.log.Warn("requests are left without an answer", "number", len(requestIDs), "requests", requestIDs[:min(len(requestIDs), maxLoggedUnanswered)])
}

func (o serverObserver) ServerError(text string) {
	o.log.Warn("error of the HTTP server", "error", text)
}
