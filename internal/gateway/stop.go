package gateway

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// noticeTime is how long the platform takes to send no more connections: it
	// asks once a second and believes two answers.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is left of the grace for the process to end.
	stopMargin = 400 * time.Millisecond
)

// stop ends the service: not ready at once; requests go on being taken until the
// platform has noticed, each as the last one of its connection; then those in
// progress are finished.
func (g *Gateway) stop() {
	g.stopping.Store(true)
	g.callers.closing.Store(true)
	g.peers.leave()
	g.log.Warn("stopping", "requests", g.callers.requests.Load())
	grace := time.Duration(g.grace.Load())
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	select {
	case <-time.After(min(noticeTime, grace/2)):
	case <-ctx.Done():
	}
	if err := g.callers.shutdown(ctx); err != nil {
		g.log.Warn("requests were cut off by the end of the grace", "requests", g.callers.requests.Load(), "error", err)
		return
	}
	g.log.Warn("stopped")
}
