package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// Limits on when a refused caller is told to come back.
const (
	RetryAfterBusy = time.Second
	maxRetryAfter  = 30 * time.Second
)

// enqueue puts a request in its engine's queue, unless it cannot start before
// its deadline. A full queue refuses one request, which may be the new one.
func (c *Controller) enqueue(queued *entry, now time.Time) (Decision, []Decision) {
	target := queued.engine
	queued.queued = now
	c.entries[queued.ticket] = queued
	target.queue = append(target.queue, queued)
	c.waiting[target] = true
	decisions := c.pump(target, now)
	if len(target.queue) > target.service.queueLength+target.free() {
		decisions = append(decisions, c.refuseOne(target))
	}
	for i, decision := range decisions {
		if decision.Ticket == queued.ticket {
			return decision, slices.Delete(decisions, i, i+1)
		}
	}
	return Decision{Ticket: queued.ticket, Outcome: Queued}, decisions
}

// pump starts the queued requests that an engine has room for, and refuses those
// that will not start in time.
func (c *Controller) pump(target *engine, now time.Time) []Decision {
	var decisions []Decision
	c.sortQueue(target)
	for len(target.queue) > 0 && target.hasRoom(target.queue[0].request) && c.takes(target.name) {
		next := target.queue[0]
		target.queue = target.queue[1:]
		decisions = append(decisions, c.start(next, now))
		c.sortQueue(target)
	}
	decisions = append(decisions, c.refuseLate(target, now)...)
	decisions = append(decisions, c.spill(target)...)
	if len(target.queue) == 0 {
		delete(c.waiting, target)
	}
	return decisions
}

// spill sends one queued request to an engine that has room by now. Only one: the
// next pump shows whether there is room for more.
func (c *Controller) spill(target *engine) []Decision {
	for i, queued := range target.queue {
		if queued.request.LastResort {
			continue
		}
		better := c.leastLoaded(target.service, target.name)
		if better == "" {
			return nil
		}
		target.queue = slices.Delete(target.queue, i, i+1)
		return []Decision{c.refuse(queued, busy(target, better))}
	}
	return nil
}

// refuseLate refuses the queued requests that will not start in time, from the
// front: each refusal brings the others forward.
func (c *Controller) refuseLate(target *engine, now time.Time) []Decision {
	var decisions []Decision
	kept := target.queue[:0:0]
	for _, queued := range target.queue {
		if answer := c.late(target, queued, len(kept), now); answer != nil {
			decisions = append(decisions, c.refuse(queued, answer))
			continue
		}
		kept = append(kept, queued)
	}
	target.queue = kept
	return decisions
}

// late returns the refusal of a queued request that is not going to start in
// time, or nil.
func (c *Controller) late(target *engine, queued *entry, position int, now time.Time) *refusal.Refusal {
	switch {
	case target.removed:
		return refusal.NotRun(refusal.EngineUnknown, 0, "queue: engine %s is no longer in the document", target.name)
	case !c.takes(target.name):
		return leaving(target)
	}
	left := queued.request.Deadline.Sub(now)
	wait := target.wait(position)
	if now.Sub(queued.queued) < newsDelay {
		wait = target.wait(position - target.free())
	}
	if wait > left || left <= TickInterval {
		return refusal.NotRun(refusal.DeadlineUnmet, target.retryAfter(position),
			"queue: engine %s has no room for %s, the request must start in %s", target.name, wait, left)
	}
	return nil
}

func (c *Controller) refuse(queued *entry, answer *refusal.Refusal) Decision {
	delete(c.entries, queued.ticket)
	return Decision{Ticket: queued.ticket, Outcome: Refused, Refusal: answer}
}

// refuseOne makes room in a full queue: it refuses the last request of the
// workspace that runs and queues most for its share.
func (c *Controller) refuseOne(target *engine) Decision {
	demand := make(map[string]int, len(target.workspaces))
	maps.Copy(demand, target.workspaces)
	for _, queued := range target.queue {
		demand[queued.request.Workspace]++
	}
	last := len(target.queue) - 1
	for i := last; i >= 0; i-- {
		if c.used(demand, target.queue[i]) > c.used(demand, target.queue[last]) {
			last = i
		}
	}
	queued := target.queue[last]
	target.queue = slices.Delete(target.queue, last, last+1)
	answer := refusal.NotRun(refusal.EngineBusy, target.retryAfter(last), "queue: engine %s has a full queue", target.name)
	answer.Better = c.leastLoaded(target.service, target.name)
	return c.refuse(queued, answer)
}

// sortQueue orders a queue as it will be served if nothing changes.
func (c *Controller) sortQueue(target *engine) {
	if len(target.queue) < 2 {
		return
	}
	running := make(map[string]int, len(target.workspaces))
	maps.Copy(running, target.workspaces)
	shares := c.activeShares(target)
	ordered := make([]*entry, 0, len(target.queue))
	rest := target.queue
	for len(rest) > 0 {
		next := slices.MinFunc(rest, func(a, b *entry) int { return c.compare(target, running, shares, a, b) })
		running[next.request.Workspace]++
		ordered = append(ordered, next)
		rest = slices.DeleteFunc(slices.Clone(rest), func(other *entry) bool { return other == next })
	}
	target.queue = ordered
}

// compare orders two queued requests by the rule in the package comment.
func (c *Controller) compare(target *engine, running map[string]int, shares float64, a, b *entry) int {
	usedA, usedB := c.used(running, a), c.used(running, b)
	fair := float64(target.limit(Headroom)) / shares
	return cmp.Or(
		compareBool(usedA < fair, usedB < fair),
		cmp.Compare(b.request.Priority, a.request.Priority),
		cmp.Compare(usedA, usedB),
		cmp.Compare(a.ticket, b.ticket),
	)
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// used is how much a request's workspace runs for its share.
func (c *Controller) used(running map[string]int, queued *entry) float64 {
	name := queued.request.Workspace
	return float64(running[name]) / c.share(name)
}

// activeShares sums the shares of the workspaces that run or queue requests on
// an engine.
func (c *Controller) activeShares(target *engine) float64 {
	var sum float64
	counted := make(map[string]bool)
	add := func(name string) {
		if !counted[name] {
			counted[name] = true
			sum += c.share(name)
		}
	}
	for name := range target.workspaces {
		add(name)
	}
	for _, queued := range target.queue {
		add(queued.request.Workspace)
	}
	return sum
}

func (c *Controller) share(name string) float64 {
	if workspace := c.document.Workspace(name); workspace != nil {
		return workspace.Share
	}
	return environment.DefaultShare
}

// unqueue takes a request out of the queue.
func (e *engine) unqueue(queued *entry) {
	e.queue = slices.DeleteFunc(e.queue, func(other *entry) bool { return other == queued })
}

// queued counts a workspace's queued requests.
func (e *engine) queued(workspace string) int {
	count := 0
	for _, queued := range e.queue {
		if queued.request.Workspace == workspace {
			count++
		}
	}
	return count
}

// newsDelay is how long the counts of the other homes take to arrive.
const newsDelay = 2 * time.Second

// free is how many requests the engine could run besides those it carries. When
// the load of an idle service rises, that many may wait for the news of it from
// the other homes, which raises the limit.
func (e *engine) free() int { return max(0, int(e.weight())-e.carried()) }

// wait estimates how long the request at a position of the queue waits beyond
// the next tick: requests end evenly, one after each mean duration divided by
// the requests that run. Without a finished request there is no estimate, and
// the wait is 0.
func (e *engine) wait(position int) time.Duration {
	ahead := max(0, position+1)
	return e.duration * time.Duration(ahead) / time.Duration(max(1, e.carried()))
}

// retryAfter is when a caller may come back: when a request at a position of the
// queue would start.
func (e *engine) retryAfter(position int) time.Duration {
	return min(max(e.wait(position), RetryAfterBusy), maxRetryAfter)
}
