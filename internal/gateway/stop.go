package gateway

import (
	"time"

	"hemlockknot/internal/coordination/shutdown"
)

// stop shuts the daemon down gracefully. It makes the daemon report at once that it is not
// ready, and then follows a shutdown.Plan: the daemon goes on taking requests, but later only
// those that end in time, closes each connection after its response, and cuts the requests that
// still run near the end of the grace period.
func (g *Gateway) stop() {
	plan := shutdown.New(time.Now(), time.Duration(g.stopGrace.Load()))
	g.stopPlan.Store(&plan)
	g.coordinator.endRoomWaits(reasonStopping)
	g.callers.AnnounceStop()
	g.forwards.AnnounceStop()
	g.peers.announceLeaving()
	g.log.Warn("stopping", "requests", g.callers.Requests(), "forwarded_requests", g.forwards.Requests())
	time.Sleep(time.Until(plan.DrainAt))
	forwardsCut := make(chan int, 1)
	go func() { forwardsCut <- g.forwards.Stop(plan) }()
	cut := g.callers.Stop(plan)
	g.log.Warn("stopped", "requests_cut", cut, "forwarded_requests_cut", <-forwardsCut)
}

// stopping reports whether a planned stop has begun.
func (g *Gateway) stopping() bool { return g.stopPlan.Load() != nil }

// takes reports whether a request that has been read whole is taken: during a planned stop,
// only one that ends in time.
func (g *Gateway) takes(req *callerRequest) bool {
	plan := g.stopPlan.Load()
	return plan == nil || plan.Takes(time.Now(), req.deadline)
}
