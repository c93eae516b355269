package gateway

import (
	"net"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"hemlockknot/internal/transport/httpserver"
	"hemlockknot/platform"
)

// Limits of callers' connections.
const (
	// headerTimeout and maxHeaderBytes apply until there is a configuration, and if it sets none.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// maxHeaderRead is what net/http reads of a head, whatever the configuration says.
	maxHeaderRead = 1 << 20
	// headerBytesSlack and headerTimeSlack are by how much a head may exceed the configuration's
	// limits: callers may not count the request line, separators and what proxies add, and their
	// bytes are delayed on the way.
	headerBytesSlack  = 2
	headerTimeFactor  = 1.25
	headerTimeSlack   = time.Second
	forwardHeadBytes  = 16 << 10 // what the daemon that passes a request on may add to its head
	unreadBodyTimeout = 30 * time.Second
	// defaultIdleTimeout applies until there is a configuration, and if it sets no idle
	// timeout.
	defaultIdleTimeout = 15 * time.Second
)

// newServer returns a server for requests of callers or of other daemons. A maxConns of 0 stands for
// no limit.
func (g *Gateway) newServer(handler http.HandlerFunc, place string, maxConns, maxUnfinished, extraHeadBytes int) *httpserver.Server {
	return httpserver.New(handler, httpserver.Options{
		IdleTimeout:    defaultIdleTimeout,
		HeaderTimeout:  headerTimeout,
		MaxHeaderBytes: maxHeaderRead,
		HeadLimits: func() (int, time.Duration) {
			maxBytes, timeout := g.headLimits()
			return maxBytes + extraHeadBytes, timeout
		},
		BodyTimeout:   unreadBodyTimeout,
		MaxConns:      maxConns,
		MaxUnfinished: maxUnfinished,
		Memory:        g.buffers.Account,
		OnLimit:       g.limitObserver(place),
		RequestID:     platform.RequestID,
	}, serverObserver{g.log, g.metrics})
}

// headLimits returns the limits of heads: those of the configuration, with slack.
func (g *Gateway) headLimits() (maxBytes int, timeout time.Duration) {
	maxBytes, timeout = maxHeaderBytes, headerTimeout
	if table := g.config.current(); table != nil {
		limits := table.Document.Limits
		if limits.HeaderBytes > 0 {
			maxBytes = min(headerBytesSlack*limits.HeaderBytes, maxHeaderRead)
		}
		if limits.HeaderTimeout > 0 {
			timeout = time.Duration(float64(limits.HeaderTimeout)*headerTimeFactor) + headerTimeSlack
		}
	}
	return maxBytes, timeout
}

// Shares of the descriptors and of the memory that connections may have. A request in flight needs a
// second descriptor, to its target; a connection needs about 25 KB, a head and a small body as much again.
const (
	callerDescriptorShare  = 9.0 / 16
	forwardDescriptorShare = 1.0 / 8
	peerDescriptorShare    = 1.0 / 8
	adminDescriptorShare   = 1.0 / 64
	connMemory             = 96 << 10
	minPlaceConns          = 8
)

// placeLimit returns the number of connections that a place may have: what is set, or a share of the
// descriptors. 0 stands for no limit, if neither is known.
func placeLimit(set, maxOpenFiles int, share float64) int {
	if set > 0 || maxOpenFiles == 0 {
		return set
	}
	return max(minPlaceConns, int(float64(maxOpenFiles)*share))
}

// callerLimits returns how many connections callers may have, and how many of them may be without a
// whole head.
func callerLimits(settings platform.Settings) (maxConns, maxUnfinished int) {
	maxConns = placeLimit(settings.MaxCallerConns, settings.MaxOpenFiles, callerDescriptorShare)
	if settings.MaxCallerConns == 0 && maxConns > 0 {
		maxConns = min(maxConns, max(minPlaceConns, int(settings.MaxMemoryBytes/connMemory)))
	}
	maxUnfinished = settings.MaxUnfinishedHeads
	if maxUnfinished == 0 {
		maxUnfinished = maxConns / 2
	}
	return maxConns, maxUnfinished
}

// limitedListener returns a listener with the limits of a place that is not for callers. Share is its
// part of the descriptors.
func (g *Gateway) limitedListener(listener net.Listener, place string, set int, share float64, firstByte time.Duration) net.Listener {
	return httpserver.LimitListener(listener, httpserver.ListenerLimits{
		MaxConns:  placeLimit(set, g.settings.MaxOpenFiles, share),
		FirstByte: firstByte,
		Memory:    g.buffers.Account,
		OnLimit:   g.limitObserver(place),
	})
}

// limitLogInterval and limitLogBurst bound the log lines about limits: a crowd meets them thousands
// of times a second.
const (
	limitLogInterval = time.Second
	limitLogBurst    = 10
)

// limitObserver returns a function that counts and logs the limits that connections to a place meet.
func (g *Gateway) limitObserver(place string) func(caller, reason string) {
	lines := rate.NewLimiter(rate.Every(limitLogInterval), limitLogBurst)
	return func(caller, reason string) {
		g.metrics.countLimit(place, reason)
		if lines.Allow() {
			g.log.Info("connection has met a limit", "place", place, "caller", caller, "limit", reason)
		}
	}
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
