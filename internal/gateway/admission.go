package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/room"
	"hemlockknot/internal/coordination/verdict"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
	"hemlockknot/internal/state/routing"
	"hemlockknot/internal/transport/memory"
)

// reasonServiceFull is the reason of a request for which no target had room.
const reasonServiceFull = "service_full"

// roomWait is a request that waits until a target has room for it. The coordinator sets its end.
type roomWait struct {
	attempt  *targetAttempt
	excluded []string // targets at which the attempt must not be made
	entry    *room.Waiting
	since    time.Time
	need     room.Need
	ended    chan struct{} // closed when the following fields are set

	choice     placement.Choice // the target that has room; none if the request is refused
	reason     string           // why the request is refused; empty if it is not
	retryAfter time.Duration
	queued     int // requests that still wait when it is refused
}

// roomWaits are the requests that wait for room.
type roomWaits struct {
	byEntry map[*room.Waiting]*roomWait
	count   *atomic.Int64 // length of byEntry, for other goroutines
}

func newRoomWaits() roomWaits {
	return roomWaits{byEntry: make(map[*room.Waiting]*roomWait), count: new(atomic.Int64)}
}

// need returns what decides how full a target may be for the request.
func (a *targetAttempt) need() room.Need {
	if a.roomWait != nil {
		return a.roomWait.need
	}
	return room.Need{OneAttempt: a.route.MaxAttempts == 1, Session: len(a.call.Parts) > 1, Engine: a.route.Kind == routing.Stream, Restrained: a.restrained}
}

// mayWaitForRoom reports whether the attempt may wait for room. Only the first attempt of a request may:
// a stream that has begun must go on, and a hedge is made beside another attempt.
func (c *coordinator) mayWaitForRoom(a *targetAttempt, excluded []string) bool {
	return a.backs == nil && !a.position.begun && len(excluded) == 0 && a.route.LatencyObjective > 0 && !c.stopping()
}

// restrains reports whether the attempt's workspace is restrained, as it is over its part.
func (c *coordinator) restrains(a *targetAttempt, excluded []string, now time.Time) bool {
	return c.room.Any() && c.mayWaitForRoom(a, excluded) && c.room.Restrained(a.service, a.workspaceName(), now)
}

// workspaceName returns the name of the request's workspace, empty for an anonymous request.
func (req *callerRequest) workspaceName() string {
	if req.workspace == nil {
		return ""
	}
	return req.workspace.Name
}

// urgency returns the urgency of the request, 0 for the most urgent.
func (req *callerRequest) urgency() int {
	if req.workspace != nil && req.workspace.HasPriority {
		return req.workspace.Priority
	}
	return req.route.Priority
}

// refusedForRoom reports whether the attempt was not made because no target had room.
func (a *targetAttempt) refusedForRoom() bool {
	return a.roomWait != nil && a.roomWait.reason != ""
}

// awaitRoom has the request wait for room, and reports whether it does. It must be called if all targets
// that the request may be sent to are known to be full, or others wait. The wait may have ended when it
// returns. The caller must run on the coordinator's goroutine.
func (c *coordinator) awaitRoom(a *targetAttempt, excluded []string, query placement.Query, now time.Time) bool {
	if !c.mayWaitForRoom(a, excluded) || c.chooseAmongFull(a, excluded, query, placement.Choice{}, now).Target == nil || !c.mayRefuse(a.service, now) {
		return false
	}
	if len(a.body) > 0 && len(a.body) <= memory.FreeBytes && !a.buffers.reserve(int64(len(a.body))) {
		return false // bodies fill their memory, and none is held for longer than needed
	}
	wait := &roomWait{attempt: a, excluded: excluded, since: now, need: a.need(), ended: make(chan struct{})}
	wait.entry = c.room.Enter(a.service, room.Request{
		Workspace: a.workspaceName(), Route: a.route.Name, Urgency: a.urgency(),
		LatencyObjective: a.route.LatencyObjective, Deadline: a.deadline,
	}, now)
	a.roomWait = wait
	c.roomWaits.byEntry[wait.entry] = wait
	c.roomWaits.count.Add(1)
	c.release(a.service, now)
	return true
}

// release sends the requests that wait for a service while there is room, and refuses those whose turn
// can no longer come in time. The caller must run on the coordinator's goroutine.
func (c *coordinator) release(service string, now time.Time) {
	if c.room.Queued(service) == 0 {
		return
	}
	c.room.Release(service, now, func(entry *room.Waiting, first bool) bool {
		return c.place(c.roomWaits.byEntry[entry], first, now)
	})
	for _, entry := range c.room.Late(service, now) {
		c.refuseWait(c.roomWaits.byEntry[entry], reasonServiceFull, now)
	}
}

// mayRefuse reports whether a request may be refused for want of room. The caller must run on the
// coordinator's goroutine.
func (c *coordinator) mayRefuse(service string, now time.Time) bool {
	return c.room.MayRefuse(service, len(c.placement.Candidates(service)), now)
}

// releaseAll is release for all services.
func (c *coordinator) releaseAll(now time.Time) {
	if len(c.roomWaits.byEntry) == 0 {
		return
	}
	for _, service := range c.room.QueuedServices() {
		c.release(service, now)
	}
}

// place chooses the target of a waiting request, and reports whether its wait has ended. At the end of
// its wait a request is sent unless it would most likely be rejected. The first is sent to a target that
// seems to be full if the targets may run empty otherwise.
func (c *coordinator) place(wait *roomWait, first bool, now time.Time) bool {
	a := wait.attempt
	wait.need.OneAttempt = a.route.MaxAttempts == 1 && !first
	wait.need.Restrained = c.room.Restrained(a.service, a.workspaceName(), now)
	wait.need.LastTry = first && !now.Before(wait.entry.Until)
	if a.hold = c.checkQuarantine(a, c.trialRank, now); a.hold != nil {
		c.endWait(wait)
		return true
	}
	query := c.newQuery(a, wait.excluded, now)
	choice := c.placement.Choose(query, now)
	if choice.Target == nil && first && c.room.Probe(a.service, now) {
		choice = c.chooseAmongFull(a, wait.excluded, query, choice, now)
	}
	return c.send(wait, query, choice, now)
}

// send ends the wait of a request with the choice of its target, if there is one, and reports whether
// there is.
func (c *coordinator) send(wait *roomWait, query placement.Query, choice placement.Choice, now time.Time) bool {
	if choice.Target == nil {
		return false
	}
	wait.choice = choice
	c.recordChosen(wait.attempt, query, choice, now)
	c.endWait(wait)
	return true
}

// refuseWait ends the wait of a request that is no longer among those that wait, as there is no room. If
// it must not be refused, it is sent to a target that seems to be full.
func (c *coordinator) refuseWait(wait *roomWait, reason string, now time.Time) {
	a := wait.attempt
	if reason == reasonServiceFull && !c.mayRefuse(a.service, now) {
		query := c.newQuery(a, wait.excluded, now)
		if c.send(wait, query, c.chooseAmongFull(a, wait.excluded, query, placement.Choice{}, now), now) {
			return
		}
	}
	wait.reason = reason
	wait.queued = c.room.Queued(a.service)
	wait.retryAfter = c.room.Refuse(a.service, wait.entry, rand.Float64(), now)
	c.endWait(wait)
}

// endWait ends a wait whose end has been set.
func (c *coordinator) endWait(wait *roomWait) {
	delete(c.roomWaits.byEntry, wait.entry)
	c.roomWaits.count.Add(-1)
	close(wait.ended)
}

// endRoomWaits ends all waits: requests are sent if there is room now, and refused otherwise.
func (c *coordinator) endRoomWaits(reason string) {
	if c.roomWaits.count.Load() == 0 {
		return
	}
	c.do(func() {
		now := time.Now()
		c.releaseAll(now)
		for entry, wait := range c.roomWaits.byEntry {
			c.room.Leave(wait.attempt.service, entry)
			c.refuseWait(wait, reason, now)
		}
	})
}

// expireWait ends a request's wait at its end, or as the request must not go on.
func (c *coordinator) expireWait(wait *roomWait) {
	c.do(func() {
		now, service := time.Now(), wait.attempt.service
		if wait.attempt.ctx.Err() == nil {
			c.release(service, now)
			return
		}
		if c.room.Leave(service, wait.entry) {
			wait.reason = wait.attempt.endReason()
			c.endWait(wait)
		}
	})
}

// awaitRoom waits until there is room for a request, and returns its target. It returns none if the
// request is refused or must not go on.
func (g *Gateway) awaitRoom(a *targetAttempt) placement.Choice {
	wait := a.roomWait
	timer := time.NewTimer(time.Until(wait.entry.Until))
	defer timer.Stop()
	select {
	case <-wait.ended:
	case <-timer.C:
		g.coordinator.expireWait(wait)
	case <-a.ctx.Done():
		g.coordinator.expireWait(wait)
	}
	select {
	case <-wait.ended:
	case <-g.coordinator.done: // nothing ends the wait any more
		return placement.Choice{}
	}
	end := "sent"
	if wait.choice.Target == nil {
		end = wait.reason
	}
	waited := time.Since(wait.since)
	g.metrics.countRoomWait(end, waited)
	a.roomFields = []any{"room_wait_ms", waited.Milliseconds(), "room_wait_end", end, "urgency", a.urgency(), "workspace", a.workspaceName()}
	if wait.reason != "" {
		a.roomFields = append(a.roomFields, "over_part", wait.entry.OverPart(), "still_waiting", wait.queued, "retry_after_ms", wait.retryAfter.Milliseconds())
	}
	return wait.choice
}

// recordRoomEnd records that a request at a target has ended. The caller must run on the coordinator's
// goroutine.
func (c *coordinator) recordRoomEnd(target *fleet.Target, outcome outlier.Outcome) {
	now := time.Now()
	c.room.RecordEnd(target.Service, target.ID, outcome == outlier.Served || outcome == outlier.ServerError, now)
	c.release(target.Service, now)
}

// mayBeFull reports whether a choice shows that targets are left out because they are full, and
// those that are left cannot take the request.
func mayBeFull(choice placement.Choice) bool { return choice.Target == nil || choice.OverBound() }

// chooseAmongFull chooses a target if those that have room are all over the load bound, or none has
// room. The load bound counts more than the room of a target. The caller must run on the coordinator's
// goroutine.
func (c *coordinator) chooseAmongFull(a *targetAttempt, excluded []string, query placement.Query, withRoom placement.Choice, now time.Time) placement.Choice {
	limited := c.limitedTargets(a.service, now)
	query.Excluded = func(id string) bool {
		reason := c.judge(a, id, excluded, limited, now)
		return reason != verdict.Allowed && !(reason == verdict.Full && !c.outlier.Ejected(id, now) && limited[id] != leftToOthers)
	}
	choice := c.placement.Choose(query, now)
	if withRoom.Target != nil && (choice.Target == nil || choice.OverBound()) {
		return withRoom
	}
	return choice
}

// recordFullTarget records that a target has rejected a request for want of room.
func (g *Gateway) recordFullTarget(a *targetAttempt, status int, info relay.Answer) {
	if info.NotRun && info.RetryAfter == 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		g.coordinator.recordFullTarget(a, info.Load)
	}
}

// recordFullTarget records that the attempt's target has rejected a request for want of room, and the
// load that it has reported with it, nil if none.
func (c *coordinator) recordFullTarget(a *targetAttempt, load *relay.LoadReport) {
	c.do(func() { c.room.RecordRejection(a.service, a.choice.Target.ID, load, time.Now()) })
}

// recordPeerLoads records the loads of targets that a peer has sent. The caller must run on the
// coordinator's goroutine.
func (c *coordinator) recordPeerLoads(loads []placement.ReportedLoad, now time.Time) {
	for _, load := range loads {
		if target := c.placement.TargetByHash(load.TargetHash); target != nil {
			c.room.RecordPeerLoad(target.Service, target.ID, load.Requests, target.Slots, now.Add(-load.Age))
		}
	}
	c.releaseAll(now)
}
