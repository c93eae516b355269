package admission

import (
	"math"
	"time"

	"hemlockknot/internal/protocol/refusal"
)

const (
	// SlowStart is how long a joining engine takes to count with its whole
	// capacity. Meanwhile the others finish what is above the falling mean, and
	// the joining one fills its cache for few chats at a time.
	SlowStart = 5 * time.Second
	// firstPart is the part of its capacity that a joining engine starts with.
	firstPart = 0.1
	// Headroom is the part of the load bound above the mean that admission
	// leaves free, for a mean that falls while requests run. A request that all
	// other candidates have refused may use it.
	Headroom = 0.6
	// WarmHeadroom is the same for a request whose chat's context the engine
	// holds: what others leave free is for such requests first.
	WarmHeadroom = 0.35
)

// begin starts counting an engine that takes work. The first engines of a
// service have no other's limit to lower, and skip the slow start.
func (e *engine) begin(first bool, now time.Time) {
	e.joined, e.part = now, firstPart
	if first {
		e.joined, e.part = time.Time{}, 1
	}
}

// ramp raises the part of the capacity that counts during a slow start.
func (e *engine) ramp(now time.Time) {
	if e.joined.IsZero() {
		return
	}
	passed := float64(now.Sub(e.joined)) / float64(SlowStart)
	e.part = min(1, firstPart+(1-firstPart)*passed)
	if e.part == 1 {
		e.joined = time.Time{}
	}
}

// weight is the capacity that counts, of one request at least.
func (e *engine) weight() float64 { return max(1, e.part*float64(e.capacity)) }

// limit returns how many requests the engine may carry, by the rule in the
// package comment.
func (e *engine) limit(headroom float64) int {
	if !e.taking || e.removed {
		return 0
	}
	fair := float64(e.service.load+1) * e.weight() / e.service.weight
	target := 1 + (e.service.bound-1)*(1-headroom)
	allowed := max(math.Ceil(fair-rounding), math.Floor(target*fair+rounding))
	return min(int(allowed), int(e.weight()))
}

// rounding is less than any real difference between two loads.
const rounding = 1e-9

// hasRoom reports whether the engine may take one more request.
func (e *engine) hasRoom(request Request) bool { return e.carried() < e.limit(headroomFor(request)) }

// headroomFor returns the part of the bound's margin that a request leaves free.
func headroomFor(request Request) float64 {
	switch {
	case request.LastResort:
		return 0
	case request.Warm:
		return WarmHeadroom
	}
	return Headroom
}

// relativeLoad is what the engine carries for its capacity.
func (e *engine) relativeLoad(extra int) float64 {
	return float64(e.seen()+extra) / e.weight()
}

// RelativeLoad returns what an engine carries as a part of its capacity; a
// joining engine counts with the capacity that it has so far. An unknown engine
// counts as full.
func (c *Controller) RelativeLoad(name string) float64 {
	target := c.engines[name]
	if target == nil {
		return 1
	}
	return target.relativeLoad(0)
}

// LeastLoaded returns the engine of a service that takes work, has room and
// would have the lowest relative load with one more request. It returns "" if
// there is none but the excluded one.
func (c *Controller) LeastLoaded(serviceName, exclude string) string {
	known := c.services[serviceName]
	if known == nil {
		return ""
	}
	return c.leastLoaded(known, exclude)
}

func (c *Controller) leastLoaded(known *service, exclude string) string {
	name, lowest := "", math.Inf(1)
	for _, other := range known.engines {
		if other.name == exclude || other.seen() >= other.limit(Headroom) || !c.takes(other.name) {
			continue
		}
		if load := other.relativeLoad(1); load < lowest {
			name, lowest = other.name, load
		}
	}
	return name
}

// workspaceFull reports whether a workspace runs as many requests on an engine
// as its limit for the service allows there. Each home knows only its own
// engines, so the limit is divided by capacity and rounded up: the service as a
// whole may exceed it by less than one request for each engine.
func (c *Controller) workspaceFull(target *engine, name string) bool {
	workspace := c.document.Workspace(name)
	if workspace == nil || workspace.MaxInFlight == 0 || target.service.weight == 0 {
		return false
	}
	part := target.weight() / target.service.weight
	allowed := int(math.Ceil(float64(workspace.MaxInFlight)*part - rounding))
	return target.workspaces[name]+target.queued(name) >= allowed
}

// workspaceRefusal sends a request to other engines, where the workspace may have
// some of its limit left.
func workspaceRefusal(target *engine, workspace string) *refusal.Refusal {
	return refusal.NotRun(refusal.WorkspaceLimit, target.retryAfter(len(target.queue)),
		"admit: workspace %s is at its limit on engine %s", workspace, target.name)
}

func leaving(target *engine) *refusal.Refusal {
	return refusal.NotRun(refusal.EngineLeaving, RetryAfterBusy, "admit: engine %s takes no new work", target.name)
}

func busy(target *engine, better string) *refusal.Refusal {
	answer := refusal.NotRun(refusal.EngineBusy, target.retryAfter(len(target.queue)), "admit: engine %s is at its limit", target.name)
	answer.Better = better
	return answer
}
