package admission

import (
	"math"
	"time"

	"hemlockknot/internal/protocol/refusal"
)

const (
	// SlowStartDuration is the time over which a joining engine's effective capacity
	// rises to its full capacity. Meanwhile the other engines finish the requests
	// that exceed the falling mean, and the joining engine fills its cache for a
	// few chats at a time.
	SlowStartDuration = 5 * time.Second
	// initialCapacityFraction is the fraction of its capacity with which a joining
	// engine starts.
	initialCapacityFraction = 0.1
	// Headroom is the fraction of the margin between the mean load and the load
	// bound that admission keeps free, because the mean may fall while requests
	// run. A request whose entry daemon will try no other engine may use the headroom.
	Headroom = 0.6
	// WarmHeadroom is the headroom for a request whose chat context the engine has
	// cached. It is smaller, so that such requests can use a part of the margin
	// that others keep free.
	WarmHeadroom = 0.35
)

// beginAccepting initializes the capacity fraction of an engine that has just
// begun to accept work. The first engines of a service skip the slow start, as
// there are no other engines whose limits would drop.
func (e *engine) beginAccepting(skipSlowStart bool, now time.Time) {
	e.joinedAt, e.capacityFraction = now, initialCapacityFraction
	if skipSlowStart {
		e.joinedAt, e.capacityFraction = time.Time{}, 1
	}
}

// advanceSlowStart updates the capacity fraction of an engine that is in slow
// start.
func (e *engine) advanceSlowStart(now time.Time) {
	if e.joinedAt.IsZero() {
		return
	}
	progress := float64(now.Sub(e.joinedAt)) / float64(SlowStartDuration)
	e.capacityFraction = min(1, initialCapacityFraction+(1-initialCapacityFraction)*progress)
	if e.capacityFraction == 1 {
		e.joinedAt = time.Time{}
	}
}

// effectiveCapacity returns the engine's capacity, reduced during slow start. It
// is at least 1.
func (e *engine) effectiveCapacity() float64 { return max(1, e.capacityFraction*float64(e.capacity)) }

// admissionLimit returns the highest load that the engine may reach by admitting
// requests, by the rule in the package comment.
func (e *engine) admissionLimit(headroom float64) int {
	if !e.accepting || e.removed {
		return 0
	}
	fairLoad := float64(e.service.load+1) * e.effectiveCapacity() / e.service.effectiveCapacity
	reducedBound := 1 + (e.service.loadBound-1)*(1-headroom)
	allowed := max(math.Ceil(fairLoad-roundingTolerance), math.Floor(reducedBound*fairLoad+roundingTolerance))
	return min(int(allowed), int(e.effectiveCapacity()))
}

// roundingTolerance absorbs floating-point errors. It is smaller than any real
// difference between two loads.
const roundingTolerance = 1e-9

// hasRoom reports whether the engine may admit this request on top of its load.
func (e *engine) hasRoom(r Request) bool { return e.estimatedLoad() < e.admissionLimit(headroomFor(r)) }

// headroomFor returns the fraction of the margin below the load bound that
// admission keeps free when it decides on a request.
func headroomFor(request Request) float64 {
	switch {
	case request.LastResort:
		return 0
	case request.Warm:
		return WarmHeadroom
	}
	return Headroom
}

// relativeLoad returns the engine's load plus a number of extra requests, divided
// by its effective capacity.
func (e *engine) relativeLoad(extra int) float64 {
	return float64(e.comparableLoad()+extra) / e.effectiveCapacity()
}

// RelativeLoad returns an engine's load divided by its capacity. The capacity of a
// joining engine is its effective capacity. RelativeLoad returns 1 for an unknown
// engine.
func (c *Controller) RelativeLoad(engineName string) float64 {
	target := c.engines[engineName]
	if target == nil {
		return 1
	}
	return target.relativeLoad(0)
}

// LeastLoaded returns the name of the engine that would have the lowest relative
// load with one more request, among the engines of a service that accept work and
// have room. The excluded engine is not considered. LeastLoaded returns "" if no
// engine qualifies.
func (c *Controller) LeastLoaded(serviceName, exclude string) string {
	svc := c.services[serviceName]
	if svc == nil {
		return ""
	}
	return c.leastLoaded(svc, exclude)
}

func (c *Controller) leastLoaded(svc *service, exclude string) string {
	name, lowest := "", math.Inf(1)
	for _, candidate := range svc.engines {
		if candidate.name == exclude || candidate.comparableLoad() >= candidate.admissionLimit(Headroom) || !c.acceptsWork(candidate.name) {
			continue
		}
		if load := candidate.relativeLoad(1); load < lowest {
			name, lowest = candidate.name, load
		}
	}
	return name
}

// workspaceAtLimit reports whether a workspace has reached its limit on an engine,
// counting running and queued requests. The workspace's limit for the service is
// divided among the engines by capacity and rounded up, because a home daemon
// knows only the workspaces on its own engines. The total over the service may
// therefore exceed the limit by less than one request per engine.
func (c *Controller) workspaceAtLimit(target *engine, workspaceName string) bool {
	workspace := c.document.Workspace(workspaceName)
	if workspace == nil || workspace.MaxInFlight == 0 || target.service.effectiveCapacity == 0 {
		return false
	}
	fraction := target.effectiveCapacity() / target.service.effectiveCapacity
	allowed := int(math.Ceil(float64(workspace.MaxInFlight)*fraction - roundingTolerance))
	return target.inFlightByWorkspace[workspaceName]+target.queuedCount(workspaceName) >= allowed
}

// workspaceLimitRefusal returns the refusal of a request whose workspace is at its
// limit on an engine. The caller may try other engines, where the workspace may
// still be below its limit.
func workspaceLimitRefusal(target *engine, workspace string) *refusal.Refusal {
	return refusal.NotRun(refusal.WorkspaceLimit, target.retryAfter(len(target.queue)),
		"admit: workspace %s is at its limit on engine %s", workspace, target.name)
}

func engineLeavingRefusal(target *engine) *refusal.Refusal {
	return refusal.NotRun(refusal.EngineLeaving, MinRetryAfter, "admit: engine %s takes no new work", target.name)
}

func engineBusyRefusal(target *engine, alternative string) *refusal.Refusal {
	r := refusal.NotRun(refusal.EngineBusy, target.retryAfter(len(target.queue)), "admit: engine %s is at its limit", target.name)
	r.BetterEngine = alternative
	return r
}
