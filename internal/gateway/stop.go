package gateway

import (
	"context"
	"errors"
	"time"
)

// Times of a planned stop.
const (
	// drainDelay is how long the platform may go on sending new connections after
	// the daemon reports that it is not ready: the platform checks readiness once a
	// second and acts on two equal results.
	drainDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that is left for the process to
	// exit.
	stopMargin = 400 * time.Millisecond
)

// stop shuts the daemon down gracefully. It makes the daemon report at once that it is
// not ready. For drainDelay, or half the grace period if that is shorter, the daemon
// goes on accepting requests and closes each connection after its response. Then stop
// waits for the requests in flight. Connections with requests that are in flight
// stopMargin before the end of the grace period are closed.
func (g *Gateway) stop() {
	g.stopping.Store(true)
	g.callers.closeAfterResponse.Store(true)
	g.forwards.closeAfterResponse.Store(true)
	g.peers.announceLeaving()
	g.log.Warn("stopping", "requests", g.callers.countRequests())
	grace := time.Duration(g.stopGrace.Load())
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	select {
	case <-time.After(min(drainDelay, grace/2)):
	case <-ctx.Done():
	}
	forwardsEnded := make(chan error, 1)
	go func() { forwardsEnded <- g.forwards.shutdown(ctx) }()
	if err := errors.Join(g.callers.shutdown(ctx), <-forwardsEnded); err != nil {
		g.log.Warn("grace period ended with requests in progress", "requests", g.callers.countRequests(), "error", err)
		return
	}
	g.log.Warn("stopped")
}
