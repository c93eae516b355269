package gateway

import (
	"context"
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

// stop shuts the daemon down gracefully. It reports not ready at once and goes on
// accepting requests for drainDelay, closing each connection after its response.
// Then it waits for the requests in progress until the grace period ends.
func (g *Gateway) stop() {
	g.stopping.Store(true)
	g.callers.closeAfterResponse.Store(true)
	g.peers.announceLeaving()
	g.log.Warn("stopping", "requests", g.callers.inFlight.Load())
	grace := time.Duration(g.stopGrace.Load())
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	select {
	case <-time.After(min(drainDelay, grace/2)):
	case <-ctx.Done():
	}
	if err := g.callers.shutdown(ctx); err != nil {
		g.log.Warn("grace period ended with requests in progress", "requests", g.callers.inFlight.Load(), "error", err)
		return
	}
	g.log.Warn("stopped")
}
