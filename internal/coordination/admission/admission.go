// Package admission decides whether an engine runs a request now, queues it or
// refuses it. Each engine has a home daemon, which makes these decisions for it
// from the service's load bound, the engine's capacity and the workspace's
// limits. The package is a state machine without I/O and without a clock.
//
// The mean load of a service is its load divided by its capacity. An engine's fair
// load is the service's load, including the new request, times the engine's
// fraction of the service's capacity. An engine admits a request if its load
// including that request exceeds neither its capacity nor the larger of
//
//   - its fair load, rounded up. This ensures that some engine admits a request
//     while the service has capacity left, and that an idle service admits its
//     first request.
//   - its fair load times the reduced load bound, rounded down. The reduced bound
//     is the service's load bound less a headroom, which is kept free because
//     the mean load may fall while requests run. The headroom is smaller for a
//     request whose chat context the engine has cached, and zero for a request
//     whose entry daemon will try no other engine.
//
// Neither value exceeds the load bound times the fair load, rounded up. A joining
// engine counts with a fraction of its capacity, which rises during slow start.
//
// The limit holds at the moment of admission, for the mean load that the home
// daemon knows. Afterwards the mean may fall faster than the engine's requests
// end. The resulting excess is small: while engines join and leave, an engine is
// above the load bound for less than one hundredth of the time, and by at most
// one eighth of its capacity.
//
// A request that no engine of the service has room for waits in its engine's
// queue. The queue holds at most the service's queue length plus the engine's
// unused capacity. Queued requests start in this order: requests of workspaces
// that use less than their share of the engine come first, then requests of
// higher priority, then requests of the workspace with the lower usage per
// share, then older requests. A request that its entry daemon has sent as a last
// resort stays for lastResortStay, and is then sent on to an engine that has room;
// at once, if it cannot start here in time. A home daemon divides only its own engines among
// the workspaces: a workspace that gets its share of each engine gets its share
// of the service.
package admission

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// TickInterval is the longest time between two calls of Tick.
const TickInterval = 250 * time.Millisecond

// Request holds the properties of a request that admission depends on.
type Request struct {
	ID          string
	Service     string
	Engine      string
	Workspace   string
	Priority    int32
	Deadline    time.Time // latest start time
	LastResort  bool      // the entry daemon tries no other engine after this one
	LeavesQueue bool      // the entry daemon tries another engine if the last resort has waited in vain
	Warm        bool      // the engine has the context of the request's chat in its cache
	Resumed     bool      // the engine already runs the request, which another daemon admitted
}

// Ticket identifies one call of Admit. Two attempts to admit the same request
// have different tickets.
type Ticket uint64

// Outcome is the result of an admission decision.
type Outcome int

// The outcomes of a decision. A Queued decision is followed by an Admitted or a
// Refused one, unless the request is released first.
const (
	Admitted Outcome = iota
	Queued
	Refused
)

// Decision is an admission decision on one request.
type Decision struct {
	Ticket  Ticket // zero if the request was refused without being queued
	Outcome Outcome
	Refusal *refusal.Refusal // set if the outcome is Refused
}

// trackedRequest is a queued or running request.
type trackedRequest struct {
	ticket    Ticket
	request   Request
	engine    *engine
	queuedAt  time.Time // zero if the request was never queued
	startedAt time.Time // zero while the request is queued
}

// Controller counts the requests in flight on each engine and decides whether to
// admit new ones. It is not safe for concurrent use.
type Controller struct {
	document         *environment.Document
	acceptsWork      func(engine string) bool
	services         map[string]*service
	engines          map[string]*engine
	peers            map[string]*peerState
	requests         map[Ticket]*trackedRequest
	enginesWithQueue map[*engine]bool
	advertised       map[*engine]bool // engines whose counts this daemon sends to peers
	lastTicket       Ticket
	loadSequence     uint64 // incremented with each change of this daemon's counts
}

// New returns a controller without engines. The function acceptsWork reports
// whether an engine accepts new requests.
func New(acceptsWork func(engine string) bool) *Controller {
	return &Controller{
		acceptsWork:      acceptsWork,
		services:         make(map[string]*service),
		engines:          make(map[string]*engine),
		peers:            make(map[string]*peerState),
		requests:         make(map[Ticket]*trackedRequest),
		enginesWithQueue: make(map[*engine]bool),
		advertised:       make(map[*engine]bool),
	}
}

// Admit decides on a request. It returns the decision on this request, and the
// decisions on requests that were already queued. The caller must call Release
// with the ticket of each request that is admitted or queued.
func (c *Controller) Admit(request Request, now time.Time) (Decision, []Decision) {
	if c.document == nil || c.document.Engine(request.Engine) == nil {
		return refusedDecision(refusal.NotRun(refusal.EngineUnknown, 0, "admit: engine %s is not in the document", request.Engine)), nil
	}
	target := c.engines[request.Engine]
	if request.Resumed {
		return c.admitResumed(target, request, now), nil
	}
	if !c.acceptsWork(target.name) {
		return refusedDecision(engineLeavingRefusal(target)), nil
	}
	c.refreshNewlyAccepting(target, now)
	if c.workspaceAtLimit(target, request.Workspace) {
		return refusedDecision(workspaceLimitRefusal(target, request.Workspace)), nil
	}
	if len(target.queue) == 0 && target.hasRoom(request) {
		return c.recordStart(c.newTrackedRequest(target, request), now), nil
	}
	if alternative := c.leastLoaded(target.service, target.name); alternative != "" && !request.LastResort {
		return refusedDecision(engineBusyRefusal(target, alternative)), nil
	}
	return c.enqueue(c.newTrackedRequest(target, request), now)
}

// Release records the end of a running request, or removes a queued request from
// the queue. An unknown or already released ticket has no effect. Release returns
// the resulting decisions on queued requests.
func (c *Controller) Release(ticket Ticket, now time.Time) []Decision {
	tracked := c.requests[ticket]
	if tracked == nil {
		return nil
	}
	delete(c.requests, ticket)
	target := tracked.engine
	if tracked.startedAt.IsZero() {
		target.removeFromQueue(tracked)
	} else {
		c.recordEnd(tracked, now)
	}
	return c.processQueue(target, now)
}

// Tick updates the state that depends on time, such as slow starts and the counts
// of orphaned requests, and then decides on the queued requests. The order in
// which it visits the engines does not matter.
func (c *Controller) Tick(now time.Time) []Decision {
	c.forgetDownPeers(now)
	for _, svc := range c.services {
		c.refreshService(svc, now)
	}
	return c.ProcessQueues(now)
}

// ProcessQueues decides again on all queued requests, for example after an update of
// the peers' counts.
func (c *Controller) ProcessQueues(now time.Time) []Decision {
	var decisions []Decision
	for target := range c.enginesWithQueue {
		decisions = append(decisions, c.processQueue(target, now)...)
	}
	return decisions
}

func (c *Controller) newTrackedRequest(target *engine, request Request) *trackedRequest {
	c.lastTicket++
	return &trackedRequest{ticket: c.lastTicket, request: request, engine: target}
}

// recordStart counts a request as running and returns its admission.
func (c *Controller) recordStart(tracked *trackedRequest, now time.Time) Decision {
	target := tracked.engine
	tracked.startedAt = now
	c.requests[tracked.ticket] = tracked
	target.ownInFlight++
	c.advertised[target] = true
	target.inFlightByWorkspace[tracked.request.Workspace]++
	target.updateServiceSums()
	c.loadSequence++
	return Decision{Ticket: tracked.ticket, Outcome: Admitted}
}

// recordEnd removes an ended request from the counts. It deletes an engine that
// is no longer in the document when its last request ends.
func (c *Controller) recordEnd(tracked *trackedRequest, now time.Time) {
	target := tracked.engine
	workspace := tracked.request.Workspace
	target.ownInFlight--
	c.stopAdvertisingIdle(target)
	target.inFlightByWorkspace[workspace]--
	if target.inFlightByWorkspace[workspace] == 0 {
		delete(target.inFlightByWorkspace, workspace)
	}
	target.recordDuration(now.Sub(tracked.startedAt))
	target.updateServiceSums()
	c.loadSequence++
	if target.removed && target.ownInFlight == 0 && len(target.queue) == 0 {
		delete(c.engines, target.name)
	}
}

// stopAdvertisingIdle stops sending an engine's counts to peers if this daemon has
// neither requests in flight nor recent takeovers on the engine.
func (c *Controller) stopAdvertisingIdle(target *engine) {
	if target.ownInFlight == 0 && target.takeovers.total == 0 {
		delete(c.advertised, target)
	}
}

// admitResumed admits a request that the engine already runs. Such a request is
// never refused: a refusal would cut off its response without freeing capacity.
func (c *Controller) admitResumed(target *engine, request Request, now time.Time) Decision {
	target.adoptOrphan(now)
	return c.recordStart(c.newTrackedRequest(target, request), now)
}

// InFlight returns the estimated number of requests on an engine: those of this
// daemon, those that live peers last reported, and those that no live daemon
// counts.
func (c *Controller) InFlight(engineName string) int {
	target := c.engines[engineName]
	if target == nil {
		return 0
	}
	return target.estimatedLoad()
}

// OwnLoad returns the counts of this daemon, to be sent to its peers.
func (c *Controller) OwnLoad(daemon string, incarnation uint64) *peerpb.DaemonLoad {
	load := &peerpb.DaemonLoad{Daemon: daemon, Incarnation: incarnation, Sequence: c.loadSequence}
	for target := range c.advertised {
		load.Counts = append(load.Counts, &peerpb.EngineCount{
			Engine:    target.name,
			InFlight:  uint32(target.ownInFlight),
			TakenOver: uint32(target.takeovers.total),
		})
	}
	slices.SortFunc(load.Counts, func(a, b *peerpb.EngineCount) int { return compareNames(a.GetEngine(), b.GetEngine()) })
	return load
}

func refusedDecision(r *refusal.Refusal) Decision {
	return Decision{Outcome: Refused, Refusal: r}
}
