// Package admission decides whether an engine's home daemon takes a request: by
// the service's load bound, the engine's capacity and the workspace's limits.
// It is a state machine without I/O or clock.
//
// An engine's fair load is the service's load, the new request included, times
// the engine's part of the service's capacity. The engine takes the request if
// it then carries no more than the larger of
//
//   - its fair load, rounded up: so that some engine always takes a request
//     while the service has capacity left, and an idle service takes its first;
//   - its fair load times the load bound less the headroom, rounded down: the
//     rest of the bound is for the mean that falls while requests run. A request
//     whose chat's context the engine holds leaves less of it free, and one that
//     every other candidate has refused none.
//
// Neither exceeds the load bound times the mean, rounded up. A joining engine's
// capacity counts in part, rising over SlowStart.
//
// That holds when a request is admitted, for the mean as the home knows it. Later
// the mean may fall faster than the engine's own requests end. What is left is
// slack: while engines come and go, an engine is above the bound for less than
// one part in a hundred of the time, by an eighth of its capacity at most.
//
// A request that no engine has room for waits in its engine's queue, which is
// bounded: by the service's queue length beyond what the engine could run. A workspace that runs less than its share of the engine
// goes first, then the higher priority, then the workspace that runs less for
// its share, then the earlier request. Each home divides only its own engines:
// a workspace that has its share of each engine has its share of the service.
package admission

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// TickInterval is how often the driver calls Tick, at least.
const TickInterval = 250 * time.Millisecond

// Request is what admission needs to know of a request.
type Request struct {
	ID         string
	Service    string
	Engine     string
	Workspace  string
	Priority   int32
	Deadline   time.Time // when it must have started
	LastResort bool      // every other candidate has refused
	Warm       bool      // the engine holds the context of the request's chat
	Resumed    bool      // the engine runs it already, admitted by another home
}

// Ticket names one admission. A request that is tried twice has two.
type Ticket uint64

// Outcome is what became of a request.
type Outcome int

// The outcomes. Queued is followed by one of the other two, unless the request
// is released first.
const (
	Admitted Outcome = iota
	Queued
	Refused
)

// Decision is the outcome of one request.
type Decision struct {
	Ticket  Ticket
	Outcome Outcome
	Refusal *refusal.Refusal // of a refused request
}

// entry is a request that waits or runs.
type entry struct {
	ticket  Ticket
	request Request
	engine  *engine
	queued  time.Time // when it came into the queue, if it did
	started time.Time // zero while it waits
}

// Controller counts the requests in flight and decides on new ones. It is not
// safe for concurrent use.
type Controller struct {
	document   *environment.Document
	takes      func(engine string) bool
	services   map[string]*service
	engines    map[string]*engine
	peers      map[string]*peer
	entries    map[Ticket]*entry
	waiting    map[*engine]bool // engines with queued requests
	busy       map[*engine]bool // engines with own counts to tell peers
	lastTicket Ticket
	sequence   uint64 // rises with each change of the own counts
}

// New returns a controller. The function takes reports whether an engine takes
// new work.
func New(takes func(engine string) bool) *Controller {
	return &Controller{
		takes:    takes,
		services: make(map[string]*service),
		engines:  make(map[string]*engine),
		peers:    make(map[string]*peer),
		entries:  make(map[Ticket]*entry),
		waiting:  make(map[*engine]bool),
		busy:     make(map[*engine]bool),
	}
}

// Admit decides on a request. The first decision is on the request itself, the
// second list on requests that had been queued. What is admitted or queued must
// be given back with Release.
func (c *Controller) Admit(request Request, now time.Time) (Decision, []Decision) {
	if c.document == nil || c.document.Engine(request.Engine) == nil {
		return refused(refusal.NotRun(refusal.EngineUnknown, 0, "admit: engine %s is not in the document", request.Engine)), nil
	}
	target := c.engines[request.Engine]
	if request.Resumed {
		return c.takeOver(target, request, now), nil
	}
	if !c.takes(target.name) {
		return refused(leaving(target)), nil
	}
	c.refreshTaking(target, now)
	if c.workspaceFull(target, request.Workspace) {
		return refused(workspaceRefusal(target, request.Workspace)), nil
	}
	if len(target.queue) == 0 && target.hasRoom(request) {
		return c.start(c.newEntry(target, request), now), nil
	}
	if better := c.leastLoaded(target.service, target.name); better != "" && !request.LastResort {
		return refused(busy(target, better)), nil
	}
	return c.enqueue(c.newEntry(target, request), now)
}

// Release gives back what Admit took: a running request ends, and a queued one
// leaves the queue. A ticket that is unknown, or released already, changes
// nothing. It returns the decisions on queued requests that follow.
func (c *Controller) Release(ticket Ticket, now time.Time) []Decision {
	released := c.entries[ticket]
	if released == nil {
		return nil
	}
	delete(c.entries, ticket)
	target := released.engine
	if released.started.IsZero() {
		target.unqueue(released)
	} else {
		c.finish(released, now)
	}
	return c.pump(target, now)
}

// Tick lets time pass: slow starts and leftover counts go on, and queued
// requests are admitted or refused. The order of engines does not matter.
func (c *Controller) Tick(now time.Time) []Decision {
	c.forgetPeers(now)
	for _, each := range c.services {
		c.refreshService(each, now)
	}
	return c.PumpQueues(now)
}

// PumpQueues decides anew on the queued requests, as after news of peers' counts.
func (c *Controller) PumpQueues(now time.Time) []Decision {
	var decisions []Decision
	for target := range c.waiting {
		decisions = append(decisions, c.pump(target, now)...)
	}
	return decisions
}

func (c *Controller) newEntry(target *engine, request Request) *entry {
	c.lastTicket++
	return &entry{ticket: c.lastTicket, request: request, engine: target}
}

// start counts a request as running.
func (c *Controller) start(started *entry, now time.Time) Decision {
	target := started.engine
	started.started = now
	c.entries[started.ticket] = started
	target.own++
	c.busy[target] = true
	target.workspaces[started.request.Workspace]++
	target.update()
	c.sequence++
	return Decision{Ticket: started.ticket, Outcome: Admitted}
}

// finish counts a request as ended.
func (c *Controller) finish(ended *entry, now time.Time) {
	target := ended.engine
	workspace := ended.request.Workspace
	target.own--
	c.dropIdle(target)
	target.workspaces[workspace]--
	if target.workspaces[workspace] == 0 {
		delete(target.workspaces, workspace)
	}
	target.noteDuration(now.Sub(ended.started))
	target.update()
	c.sequence++
	if target.removed && target.own == 0 && len(target.queue) == 0 {
		delete(c.engines, target.name)
	}
}

// dropIdle takes an engine out of what peers are told, once there is nothing.
func (c *Controller) dropIdle(target *engine) {
	if target.own == 0 && target.taken.recent == 0 {
		delete(c.busy, target)
	}
}

// takeOver counts a request that the engine runs already. It is never refused:
// that would cut the answer off and free nothing.
func (c *Controller) takeOver(target *engine, request Request, now time.Time) Decision {
	target.takeLeftover(now)
	return c.start(c.newEntry(target, request), now)
}

// InFlight returns what an engine carries: the own count, what peers last said,
// and what is left of the counts of daemons that have gone down.
func (c *Controller) InFlight(name string) int {
	target := c.engines[name]
	if target == nil {
		return 0
	}
	return target.carried()
}

// OwnLoad returns this daemon's counts for its peers.
func (c *Controller) OwnLoad(daemon string, incarnation uint64) *peerpb.DaemonLoad {
	load := &peerpb.DaemonLoad{Daemon: daemon, Incarnation: incarnation, Sequence: c.sequence}
	for target := range c.busy {
		load.Counts = append(load.Counts, &peerpb.EngineCount{
			Engine:    target.name,
			InFlight:  uint32(target.own),
			TakenOver: uint32(target.taken.recent),
		})
	}
	slices.SortFunc(load.Counts, func(a, b *peerpb.EngineCount) int { return compareNames(a.GetEngine(), b.GetEngine()) })
	return load
}

func refused(reason *refusal.Refusal) Decision {
	return Decision{Outcome: Refused, Refusal: reason}
}
