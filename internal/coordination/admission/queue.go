package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// Limits of the retry delay in a refusal.
const (
	MinRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// lastResortStay is how long a last resort waits in a queue before it may be sent on to another
// engine. Other homes have just refused it, and their counts arrive meanwhile.
const lastResortStay = 2 * TickInterval

// enqueue adds a request to its engine's queue, unless the request can start at
// once or cannot start before its deadline. If the queue is full, one request is
// refused, which may be the new one.
func (c *Controller) enqueue(tracked *trackedRequest, now time.Time) (Decision, []Decision) {
	target := tracked.engine
	tracked.queuedAt = now
	c.requests[tracked.ticket] = tracked
	target.queue = append(target.queue, tracked)
	c.enginesWithQueue[target] = true
	decisions := c.processQueue(target, now)
	if len(target.queue) > target.queueLimit() {
		decisions = append(decisions, c.evictOne(target))
	}
	for i, decision := range decisions {
		if decision.Ticket == tracked.ticket {
			return decision, slices.Delete(decisions, i, i+1)
		}
	}
	return Decision{Ticket: tracked.ticket, Outcome: Queued}, decisions
}

// processQueue starts the queued requests that an engine has room for, refuses
// those that cannot start at the engine in time, and redirects one of the rest.
func (c *Controller) processQueue(target *engine, now time.Time) []Decision {
	var decisions []Decision
	c.sortQueue(target)
	for len(target.queue) > 0 && target.hasRoom(target.queue[0].request) && c.acceptsWork(target.name) {
		next := target.queue[0]
		target.queue = target.queue[1:]
		decisions = append(decisions, c.recordStart(next, now))
		c.sortQueue(target)
	}
	decisions = append(decisions, c.refuseUnservable(target, now)...)
	decisions = append(decisions, c.redirectOne(target, now)...)
	if len(target.queue) == 0 {
		delete(c.enginesWithQueue, target)
	}
	return decisions
}

// redirectOne refuses one queued request with the name of another engine that has
// room. It redirects only one: the next run of processQueue finds out whether
// there is room for more.
func (c *Controller) redirectOne(target *engine, now time.Time) []Decision {
	for i, tracked := range target.queue {
		if tracked.request.LastResort && !(tracked.request.LeavesQueue && now.Sub(tracked.queuedAt) >= lastResortStay) {
			continue
		}
		alternative := c.leastLoaded(target.service, target.name)
		if alternative == "" {
			return nil
		}
		target.queue = slices.Delete(target.queue, i, i+1)
		return []Decision{c.refuse(tracked, redirectRefusal(target, tracked, alternative))}
	}
	return nil
}

// redirectRefusal returns the refusal of a queued request that names another engine.
func redirectRefusal(target *engine, tracked *trackedRequest, alternative string) *refusal.Refusal {
	r := engineBusyRefusal(target, alternative)
	r.LeftQueue = tracked.request.LastResort && tracked.request.LeavesQueue
	return r
}

// refuseUnservable refuses the queued requests that cannot start at the engine in
// time. It goes from the front to the back, as each refusal moves the later
// requests forward.
func (c *Controller) refuseUnservable(target *engine, now time.Time) []Decision {
	var decisions []Decision
	kept := target.queue[:0:0]
	for _, tracked := range target.queue {
		if r := c.unservableRefusal(target, tracked, len(kept), now); r != nil {
			decisions = append(decisions, c.refuse(tracked, r))
			continue
		}
		kept = append(kept, tracked)
	}
	target.queue = kept
	return decisions
}

// unservableRefusal returns the refusal of a queued request whose engine has been
// removed or accepts no work, or which cannot start in time. It returns nil if the
// request can stay in the queue.
func (c *Controller) unservableRefusal(target *engine, tracked *trackedRequest, position int, now time.Time) *refusal.Refusal {
	switch {
	case target.removed:
		return refusal.NotRun(refusal.EngineUnknown, 0, "queue: engine %s is no longer in the document", target.name)
	case !c.acceptsWork(target.name):
		return engineLeavingRefusal(target)
	}
	timeLeft := tracked.request.Deadline.Sub(now)
	wait := target.estimatedWait(position)
	if now.Sub(tracked.queuedAt) < loadPropagationDelay {
		// Counts that are still on their way may raise the limit.
		wait = target.estimatedWait(position - target.unusedCapacity())
	}
	if wait > timeLeft || timeLeft <= TickInterval {
		if alternative := c.leastLoaded(target.service, target.name); alternative != "" && tracked.request.LeavesQueue && timeLeft > 0 {
			return redirectRefusal(target, tracked, alternative)
		}
		return refusal.NotRun(refusal.DeadlineUnmet, target.retryAfter(position),
			"queue: engine %s has no room for %s, the request must start in %s", target.name, wait, timeLeft)
	}
	return nil
}

func (c *Controller) refuse(tracked *trackedRequest, r *refusal.Refusal) Decision {
	delete(c.requests, tracked.ticket)
	return Decision{Ticket: tracked.ticket, Outcome: Refused, Refusal: r}
}

// evictOne removes one request from a full queue and refuses it: the last request
// of the workspace with the most running and queued requests per share.
func (c *Controller) evictOne(target *engine) Decision {
	demand := make(map[string]int, len(target.inFlightByWorkspace))
	maps.Copy(demand, target.inFlightByWorkspace)
	for _, tracked := range target.queue {
		demand[tracked.request.Workspace]++
	}
	victim := len(target.queue) - 1
	for i := victim; i >= 0; i-- {
		if c.usagePerShare(demand, target.queue[i]) > c.usagePerShare(demand, target.queue[victim]) {
			victim = i
		}
	}
	tracked := target.queue[victim]
	target.queue = slices.Delete(target.queue, victim, victim+1)
	r := redirectRefusal(target, tracked, c.leastLoaded(target.service, target.name))
	r.RetryAfter = target.retryAfter(victim)
	r.Detail = fmt.Sprintf("queue: engine %s has a full queue", target.name)
	return c.refuse(tracked, r)
}

// sortQueue sorts an engine's queue into the order in which the requests will
// start if nothing else changes.
func (c *Controller) sortQueue(target *engine) {
	if len(target.queue) < 2 {
		return
	}
	running := make(map[string]int, len(target.inFlightByWorkspace))
	maps.Copy(running, target.inFlightByWorkspace)
	totalShares := c.sumActiveShares(target)
	ordered := make([]*trackedRequest, 0, len(target.queue))
	remaining := target.queue
	for len(remaining) > 0 {
		next := slices.MinFunc(remaining, func(a, b *trackedRequest) int { return c.compareQueued(target, running, totalShares, a, b) })
		running[next.request.Workspace]++
		ordered = append(ordered, next)
		remaining = slices.DeleteFunc(slices.Clone(remaining), func(other *trackedRequest) bool { return other == next })
	}
	target.queue = ordered
}

// compareQueued compares two queued requests by the rule in the package comment. It
// returns a negative number if a starts first.
func (c *Controller) compareQueued(target *engine, running map[string]int, totalShares float64, a, b *trackedRequest) int {
	usageA, usageB := c.usagePerShare(running, a), c.usagePerShare(running, b)
	fairUsage := float64(target.admissionLimit(Headroom)) / totalShares
	return cmp.Or(
		trueFirst(usageA < fairUsage, usageB < fairUsage),
		cmp.Compare(b.request.Priority, a.request.Priority),
		cmp.Compare(usageA, usageB),
		cmp.Compare(a.ticket, b.ticket),
	)
}

// trueFirst compares two booleans so that true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// usagePerShare returns the count of a request's workspace, divided by the
// workspace's share.
func (c *Controller) usagePerShare(countByWorkspace map[string]int, tracked *trackedRequest) float64 {
	workspaceName := tracked.request.Workspace
	return float64(countByWorkspace[workspaceName]) / c.workspaceShare(workspaceName)
}

// sumActiveShares returns the sum of the shares of all workspaces that have running
// or queued requests on an engine.
func (c *Controller) sumActiveShares(target *engine) float64 {
	var sum float64
	counted := make(map[string]bool)
	add := func(workspaceName string) {
		if !counted[workspaceName] {
			counted[workspaceName] = true
			sum += c.workspaceShare(workspaceName)
		}
	}
	for workspaceName := range target.inFlightByWorkspace {
		add(workspaceName)
	}
	for _, tracked := range target.queue {
		add(tracked.request.Workspace)
	}
	return sum
}

func (c *Controller) workspaceShare(workspaceName string) float64 {
	if workspace := c.document.Workspace(workspaceName); workspace != nil {
		return workspace.Share
	}
	return environment.DefaultShare
}

// removeFromQueue removes a request from the queue.
func (e *engine) removeFromQueue(tracked *trackedRequest) {
	e.queue = slices.DeleteFunc(e.queue, func(other *trackedRequest) bool { return other == tracked })
}

// queuedCount returns the number of queued requests of a workspace.
func (e *engine) queuedCount(workspace string) int {
	count := 0
	for _, tracked := range e.queue {
		if tracked.request.Workspace == workspace {
			count++
		}
	}
	return count
}

// loadPropagationDelay is how long the counts of other home daemons take to arrive.
const loadPropagationDelay = 2 * time.Second

// queueLimit returns how many requests may wait for the engine. When many callers begin at
// once on an idle service, the counts of other homes arrive up to loadPropagationDelay later.
// Until then the mean, and with it the limit of each engine, is too low, and requests collect at
// the last engine that each of them may try. What the service has capacity for waits there
// until the limit rises or another engine has room; a request whose deadline is too near is
// refused all the same.
func (e *engine) queueLimit() int {
	unusedInService := int(e.service.effectiveCapacity) - e.service.load
	return e.service.queueLength + max(e.unusedCapacity(), unusedInService)
}

// unusedCapacity returns how many more requests the engine has the capacity to run.
// When the load of an idle service rises, that many requests may be queued until
// the counts of the other home daemons arrive, which raise the admission limit.
func (e *engine) unusedCapacity() int { return max(0, int(e.effectiveCapacity())-e.estimatedLoad()) }

// estimatedWait estimates how long the request at a position of the queue waits
// until it starts. It assumes that running requests end at even intervals of the
// mean duration divided by the number of running requests. Before the first
// request has ended there is no estimate, and the wait is 0.
func (e *engine) estimatedWait(position int) time.Duration {
	completions := max(0, position+1)
	return e.meanDuration * time.Duration(completions) / time.Duration(max(1, e.estimatedLoad()))
}

// retryAfter returns the delay after which a refused caller may retry: the
// estimated wait of a request at a position of the queue, within the limits.
func (e *engine) retryAfter(position int) time.Duration {
	return min(max(e.estimatedWait(position), MinRetryAfter), maxRetryAfter)
}
