// Package route decides, try by try, where the entry daemon sends one request.
// It is a state machine without I/O or clock: the caller reports what became of
// each try and asks for the next.
package route

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Limits on the tries of one request.
const (
	MaxEngines = 4 // engines tried for one request
	MaxHomes   = 4 // home daemons lost or unreachable for one request
	// MaxReturns is how often a request goes on to an engine that a home has just
	// found to have room, although it has been tried or MaxEngines have been.
	MaxReturns = 3
)

// retryAfterNoEngine is when a caller may come back to a service that has no
// engine to offer.
const retryAfterNoEngine = 2 * time.Second

// Request is what routing needs to know of a request.
type Request struct {
	// Repeatable says whether the request may run more than once.
	Repeatable bool
	// Resumable says whether an interrupted answer can go on at its engine.
	Resumable bool
}

// Try is one attempt: the engine to use, and the daemons not to use as home.
type Try struct {
	Engine        string
	ExcludedHomes []string
	Resume        *peerpb.Resume
	LastResort    bool // no other try is left after this one
	Located       bool // the chat's directory has been asked
	Warm          bool // the directory has named this engine
}

// Trace is what became of one try, for operators.
type Trace struct {
	Engine string         `json:"engine"`
	Home   string         `json:"home"`
	Reason refusal.Reason `json:"reason,omitempty"` // empty: served
	Detail string         `json:"detail,omitempty"`
}

// Route is the state of one request at its entry daemon.
type Route struct {
	request    Request
	candidates []string // still to be tried, best first
	current    string
	engines    int // tried so far
	returns    int // further tries that homes have given reason for
	homes      []string
	sameEngine bool   // the next try goes to the current engine's next home
	warm       string // the engine that the chat's directory has named
	// spilledFrom is the last engine whose busy home sent the request elsewhere
	// instead of queueing it.
	spilledFrom string
	lastResort  bool // a last resort has been tried
	mayRun      bool // the current try may have been dispatched
	started     bool // the engine has started the current try
	offset      uint64
	final       *refusal.Refusal
	last        *refusal.Refusal
	trace       []Trace
}

// New returns the route of a request with its candidates, best first.
func New(request Request, candidates []string) *Route {
	return &Route{request: request, candidates: slices.Clone(candidates)}
}

// Trace returns what became of the tries so far.
func (r *Route) Trace() []Trace { return r.trace }

// Offset returns the last event that the caller has received.
func (r *Route) Offset() uint64 { return r.offset }

// Fresh reports whether no engine has started the request yet.
func (r *Route) Fresh() bool { return !r.started }

// Expired returns the final refusal of a request that has not started within
// its deadline.
func (r *Route) Expired() *refusal.Refusal {
	r.note("", refusal.NotRun(refusal.DeadlineUnmet, retryAfterNoEngine, "route: not started within the deadline after %d tries", len(r.trace)))
	return r.last
}

// Next returns the next try, or the final refusal.
func (r *Route) Next() (Try, *refusal.Refusal) {
	if r.final != nil {
		return Try{}, r.final
	}
	if r.sameEngine {
		r.sameEngine = false
		return r.try(), nil
	}
	if len(r.candidates) == 0 || r.engines >= r.maxEngines() {
		if r.spilledFrom == "" || r.lastResort {
			return Try{}, r.exhausted()
		}
		// The engines that a busy home has named take no work after all: the
		// request waits in that home's queue.
		r.candidates = []string{r.spilledFrom}
		r.returns = MaxReturns
	}
	r.current = r.candidates[0]
	r.candidates = r.candidates[1:]
	r.engines++
	r.started = false
	return r.try(), nil
}

func (r *Route) try() Try {
	r.mayRun = false
	try := Try{
		Engine:        r.current,
		ExcludedHomes: slices.Clone(r.homes),
		LastResort:    r.returns >= MaxReturns && (len(r.candidates) == 0 || r.engines >= r.maxEngines()),
		Located:       r.warm != "",
		Warm:          r.warm == r.current,
	}
	r.lastResort = r.lastResort || try.LastResort
	if r.started {
		try.Resume = &peerpb.Resume{Engine: r.current, Offset: r.offset}
	}
	return try
}

func (r *Route) maxEngines() int { return MaxEngines + r.returns }

// exhausted returns the refusal when no candidate is left.
func (r *Route) exhausted() *refusal.Refusal {
	if r.last != nil {
		return r.last
	}
	return refusal.NotRun(refusal.NoEngine, retryAfterNoEngine, "route: no engine of the service takes new work")
}

// Sent notes that the current try is on its way: from now on its home may
// dispatch it, unless the entry's permission is needed first.
func (r *Route) Sent() { r.mayRun = true }

// Held notes that the current try waits for the entry's permission, which was
// not given: it cannot have run.
func (r *Route) Held() { r.mayRun = false }

// Started notes that the engine has started the request.
func (r *Route) Started() { r.started = true }

// Progress notes the last event passed on to the caller.
func (r *Route) Progress(offset uint64) { r.offset = max(r.offset, offset) }

// NoHome notes that no daemon is left to be the current engine's home.
func (r *Route) NoHome() {
	refused := refusal.NotRun(refusal.HomeUnreachable, retryAfterNoEngine, "route: no home daemon is left for engine %s", r.current)
	if r.started {
		r.fail("", refusal.Unknown(refusal.HomeLost, "route: no home daemon is left for engine %s", r.current))
		return
	}
	r.note("", refused)
}

// Refused notes that a home refused the current try.
func (r *Route) Refused(home string, refused *refusal.Refusal) {
	if concernsHome(refused.Reason) {
		r.mayRun = r.mayRun && !refused.DidNotRun()
		r.nextHome(home, refused)
		return
	}
	if refused.Reason == refusal.ChatElsewhere {
		r.redirect(home, refused)
		return
	}
	if !spills(refused.Reason) {
		r.fail(home, refused)
		return
	}
	if refused.DidNotRun() {
		if r.offset > 0 {
			r.fail(home, refusal.Unknown(refusal.AnswerIncomplete, "resume at engine %s: %s", r.current, refused.Detail))
			return
		}
		if refused.Reason == refusal.EngineBusy && refused.Better != "" {
			r.spilledFrom = r.current
		}
		r.prefer(refused.Better)
		r.note(home, refused)
		return
	}
	if !r.request.Repeatable || r.offset > 0 {
		r.fail(home, refused)
		return
	}
	r.note(home, refused)
}

// concernsHome reports whether a refusal is about the home daemon, so that the
// engine's next home may take the request.
func concernsHome(reason refusal.Reason) bool {
	return reason == refusal.Stopping || reason == refusal.NotReady
}

// redirect goes to the engine that holds the chat's context. The engine whose
// home knew of it has refused nothing, so it stays a candidate; it comes last,
// as the others are ordered by their load.
func (r *Route) redirect(home string, refused *refusal.Refusal) {
	r.trace = append(r.trace, Trace{Engine: r.current, Home: home, Reason: refused.Reason, Detail: refused.Detail})
	r.candidates = append(r.candidates, r.current)
	r.prefer(refused.Better)
	r.engines--
	r.warm = refused.Better
}

// spills reports whether another engine may take a request refused so.
func spills(reason refusal.Reason) bool {
	switch reason {
	case refusal.EngineBusy, refusal.EngineLeaving, refusal.EngineUnknown,
		refusal.EngineFailed, refusal.EngineStalled, refusal.AnswerIncomplete,
		refusal.AnswerMismatch, refusal.WorkspaceLimit:
		return true
	}
	return false
}

// prefer moves the engine that a home has recommended to the front. One that has
// been tried may have room by now: a few returns are allowed.
func (r *Route) prefer(engine string) {
	if engine == "" || engine == r.current {
		return
	}
	position := slices.Index(r.candidates, engine)
	if position < 0 || r.engines >= r.maxEngines() {
		if r.returns >= MaxReturns {
			return
		}
		r.returns++
	}
	if position >= 0 {
		r.candidates = slices.Delete(r.candidates, position, position+1)
	}
	r.candidates = slices.Insert(r.candidates, 0, engine)
}

// HomeFailed notes that the connection to the home was lost, or could not be
// made, before the answer was complete.
func (r *Route) HomeFailed(home string, err error) {
	lost := refusal.NotRun(refusal.HomeUnreachable, retryAfterNoEngine, "home %s of engine %s: %v", home, r.current, err)
	if r.mayRun {
		lost = refusal.Unknown(refusal.HomeLost, "home %s of engine %s: %v", home, r.current, err)
	}
	r.nextHome(home, lost)
}

// nextHome goes on with the current engine through another home, unless the
// request may run and must not run twice.
func (r *Route) nextHome(home string, refused *refusal.Refusal) {
	r.homes = append(r.homes, home)
	if r.mayRun && !r.request.Repeatable && !r.request.Resumable {
		r.fail(home, refused)
		return
	}
	if r.offset > 0 && !r.request.Resumable {
		r.fail(home, refusal.Unknown(refusal.AnswerIncomplete, "%s", refused.Detail))
		return
	}
	if len(r.homes) >= MaxHomes {
		r.fail(home, refused)
		return
	}
	r.started = r.started || (r.mayRun && r.request.Resumable)
	r.note(home, refused)
	r.sameEngine = true
}

// Served notes that the answer is complete.
func (r *Route) Served(home string) {
	r.trace = append(r.trace, Trace{Engine: r.current, Home: home})
}

func (r *Route) note(home string, refused *refusal.Refusal) {
	r.keepWorst(refused)
	r.trace = append(r.trace, Trace{Engine: r.current, Home: home, Reason: refused.Reason, Detail: refused.Detail})
}

// keepWorst remembers the refusal to end with. Once a try may have run, no
// later refusal says "not run".
func (r *Route) keepWorst(refused *refusal.Refusal) {
	mayHaveRun := r.last != nil && !r.last.DidNotRun()
	r.last = refused
	if mayHaveRun && refused.DidNotRun() {
		copied := *refused
		copied.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
		r.last = &copied
	}
}

func (r *Route) fail(home string, refused *refusal.Refusal) {
	r.note(home, refused)
	r.final = r.last
}
