// Package route decides to which engine the entry daemon sends each attempt of
// one request. The entry daemon receives the request from the caller; the home
// daemon of an engine admits calls to that engine and dispatches them.
//
// The package is a state machine without I/O or clock: the entry daemon reports
// the result of each attempt and asks for the next one.
package route

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Limits on the attempts of one request.
const (
	MaxEngines = 4 // engines tried, extra attempts not counted
	// MaxFailedEngines limits the engines that fail under a request before their answer
	// begins. One failure may have any cause; after two the request itself is suspected to
	// crash engines, and is not sent to a third.
	MaxFailedEngines = 2
	MaxFailedHomes   = 4 // home daemons that were stopping, not ready, lost or unreachable
	// MaxExtraAttempts limits the extra attempts at engines that a busy home recommends
	// because they have free capacity. An extra attempt may go to an engine that
	// has been tried before, or come after MaxEngines engines have been tried.
	MaxExtraAttempts = 3
	// MaxQueuesLeft limits how often a request leaves a queue, in which it has waited as a
	// last resort, for an engine that the home recommends.
	MaxQueuesLeft = 3
)

// retryAfter is the retry delay in the refusals that this package creates for
// requests that did not run.
const retryAfter = 2 * time.Second

// Request holds the properties of a request that routing depends on.
type Request struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// Resumable is set if an interrupted stream can be resumed at its engine.
	Resumable bool
}

// Attempt describes the next attempt: the engine to use, and the daemons that must
// not act as its home.
type Attempt struct {
	Engine             string
	ExcludedHomes      []string
	Resume             *peerpb.Resume
	LastResort         bool // no attempt is left after this one: the home queues the call instead of recommending another engine
	LeavesQueue        bool // a last resort that has waited in vain may be sent on to another engine
	DirectoryConsulted bool // the chat directory has been consulted: the home must not redirect again
	Warm               bool // the chat directory names this engine as the one that holds the chat's context
}

// AttemptResult is the result of one attempt, as operators see it.
type AttemptResult struct {
	Engine string         `json:"engine"`
	Home   string         `json:"home"`
	Reason refusal.Reason `json:"reason,omitempty"` // empty if the request was served
	Detail string         `json:"detail,omitempty"`
}

// Route is the routing state of one request at its entry daemon.
type Route struct {
	request         Request
	candidates      []string // engines still to be tried, best first
	currentEngine   string   // of the current attempt
	enginesTried    int
	failedEngines   int      // failed under the request, which may have run there
	extraAttempts   int      // granted so far
	excludedHomes   []string // homes that were stopping, not ready, lost or unreachable
	retrySameEngine bool     // the next attempt goes to the current engine through another home
	warmEngine      string   // holds the chat's context, according to the chat directory
	// queueEngine is the engine in whose queue the request waits if no other engine takes it:
	// the last one whose busy home recommended another engine, or whose queue it has left.
	queueEngine    string
	lastResortUsed bool             // an attempt with LastResort set has been made
	queuesLeft     int              // queues that the request has left for another engine
	sentOnTo       string           // engine to which a home has sent a last resort on
	silentEngine   string           // beside which this route's attempts are made; empty: the route is no hedge
	hedged         bool             // another route has the other engines, and this one stays at its current one
	mayHaveRun     bool             // the current attempt may have been dispatched to its engine
	started        bool             // the current engine has started the request
	offset         uint64           // of the last event passed on to the caller
	finalRefusal   *refusal.Refusal // set once no further attempt is allowed
	lastRefusal    *refusal.Refusal // of the attempts so far
	results        []AttemptResult
}

// New returns the route of a request. The candidates are engines, best first.
func New(request Request, candidates []string) *Route {
	return &Route{request: request, candidates: slices.Clone(candidates)}
}

// Results returns the results of the attempts so far.
func (r *Route) Results() []AttemptResult { return r.results }

// Offset returns the offset of the last event passed on to the caller, or 0.
func (r *Route) Offset() uint64 { return r.offset }

// NotStarted reports whether the current engine has not started the request.
func (r *Route) NotStarted() bool { return !r.started }

// DeadlineExceeded records that the request has not started within its deadline and
// returns the final refusal.
func (r *Route) DeadlineExceeded() *refusal.Refusal {
	r.recordFailure("", refusal.NotRun(refusal.DeadlineUnmet, retryAfter, "route: not started within the deadline after %d tries", len(r.results)))
	return r.lastRefusal
}

// Next returns the next attempt, or the final refusal if none is left.
func (r *Route) Next() (Attempt, *refusal.Refusal) {
	if r.finalRefusal != nil {
		return Attempt{}, r.finalRefusal
	}
	if r.retrySameEngine {
		r.retrySameEngine = false
		return r.newAttempt(), nil
	}
	if r.sentOnTo != "" || !r.hasNextEngine() {
		engine := r.takeLastResort()
		if engine == "" {
			return Attempt{}, r.noCandidateRefusal()
		}
		r.candidates = []string{engine}
		r.extraAttempts = MaxExtraAttempts
	}
	r.currentEngine = r.candidates[0]
	r.candidates = r.candidates[1:]
	r.enginesTried++
	r.started = false
	return r.newAttempt(), nil
}

// takeLastResort returns the engine at which the request may wait as no other engine took it, or
// "". Each is returned once.
func (r *Route) takeLastResort() string {
	engine := r.sentOnTo
	if engine == "" {
		engine, r.queueEngine = r.queueEngine, ""
	}
	r.sentOnTo = ""
	return engine
}

// Hedge returns a route for attempts beside the current one, whose engine is silent, or nil if none
// may be made. The hedge takes the engines that are left: from then on r stays at its current
// engine. A silent engine counts as one that has failed, so that no third one runs the request.
func (r *Route) Hedge() *Route {
	if r.hedged || r.silentEngine != "" || !r.request.Repeatable || r.offset > 0 || r.failedEngines+1 >= MaxFailedEngines {
		return nil
	}
	hedge := New(r.request, r.candidates)
	hedge.silentEngine = r.currentEngine
	hedge.candidates = slices.DeleteFunc(hedge.candidates, hedge.isSilent)
	hedge.enginesTried, hedge.extraAttempts = r.enginesTried, r.extraAttempts
	hedge.failedEngines = r.failedEngines + 1
	hedge.excludedHomes = slices.Clone(r.excludedHomes)
	hedge.warmEngine = r.warmEngine
	hedge.lastResortUsed, hedge.queuesLeft = r.lastResortUsed, r.queuesLeft
	if !hedge.isSilent(r.queueEngine) {
		hedge.queueEngine = r.queueEngine
	}
	if !hedge.hasNextEngine() && hedge.queueEngine == "" {
		return nil
	}
	r.hedged, r.candidates, r.queueEngine = true, nil, ""
	return hedge
}

// isSilent reports whether the route is a hedge beside an engine.
func (r *Route) isSilent(engine string) bool { return engine != "" && engine == r.silentEngine }

// hasNextEngine reports whether another engine is left and may be tried.
func (r *Route) hasNextEngine() bool {
	return len(r.candidates) > 0 && r.enginesTried < r.engineLimit()
}

// newAttempt returns the next attempt, at the current engine.
func (r *Route) newAttempt() Attempt {
	r.mayHaveRun = false
	attempt := Attempt{
		Engine:             r.currentEngine,
		ExcludedHomes:      slices.Clone(r.excludedHomes),
		LastResort:         r.extraAttempts >= MaxExtraAttempts && !r.hasNextEngine(),
		DirectoryConsulted: r.warmEngine != "",
		Warm:               r.warmEngine == r.currentEngine,
	}
	attempt.LeavesQueue = attempt.LastResort && r.queuesLeft < MaxQueuesLeft && !r.hedged
	if attempt.LastResort && !r.lastResortUsed {
		r.lastResortUsed, r.queueEngine = true, ""
	}
	if r.started {
		attempt.Resume = &peerpb.Resume{Engine: r.currentEngine, Offset: r.offset}
	}
	return attempt
}

// engineLimit returns how many engines may be tried, extra attempts included.
func (r *Route) engineLimit() int { return MaxEngines + r.extraAttempts }

// noCandidateRefusal returns the final refusal when no candidate is left.
func (r *Route) noCandidateRefusal() *refusal.Refusal {
	if r.lastRefusal != nil {
		return r.lastRefusal
	}
	return refusal.NotRun(refusal.NoEngine, retryAfter, "route: no engine of the service takes new work")
}

// MarkMayHaveRun records that the home may dispatch the current attempt from now on: the
// call is about to be sent, or the entry daemon has permitted the start.
func (r *Route) MarkMayHaveRun() { r.mayHaveRun = true }

// MarkNotRun records that the current attempt cannot have run: it was not sent, or its
// home still needs the entry daemon's permission to dispatch it.
func (r *Route) MarkNotRun() { r.mayHaveRun = false }

// MarkStarted records that the current engine has started the request.
func (r *Route) MarkStarted() { r.started = true }

// RecordOffset records the offset of an event passed on to the caller.
func (r *Route) RecordOffset(offset uint64) { r.offset = max(r.offset, offset) }

// RecordNoHome records that no daemon is left to act as the current engine's home.
func (r *Route) RecordNoHome() {
	refused := refusal.NotRun(refusal.HomeUnreachable, retryAfter, "route: no home daemon is left for engine %s", r.currentEngine)
	if r.started {
		r.failRequest("", refusal.Unknown(refusal.HomeLost, "route: no home daemon is left for engine %s", r.currentEngine))
		return
	}
	r.recordFailure("", refused)
}

// RecordRefusal records that a home refused the current attempt, and decides whether
// another engine or another home may take the request.
func (r *Route) RecordRefusal(home string, refused *refusal.Refusal) {
	if isHomeRefusal(refused.Reason) {
		r.mayHaveRun = r.mayHaveRun && !refused.DidNotRun()
		r.retryAtNextHome(home, refused)
		return
	}
	if refused.Reason == refusal.ChatElsewhere {
		r.redirect(home, refused)
		return
	}
	if !allowsOtherEngine(refused.Reason) {
		r.failRequest(home, refused)
		return
	}
	if refused.DidNotRun() {
		if r.offset > 0 {
			r.failRequest(home, refusal.Unknown(refusal.AnswerIncomplete, "resume at engine %s: %s", r.currentEngine, refused.Detail))
			return
		}
		if refused.Reason == refusal.EngineBusy && refused.BetterEngine != "" && !r.hedged && !r.lastResortUsed {
			r.queueEngine = r.currentEngine
		}
		if refused.LeftQueue {
			r.leaveQueueFor(refused.BetterEngine)
		}
		r.preferEngine(refused.BetterEngine)
		r.recordFailure(home, refused)
		return
	}
	r.failedEngines++
	if !r.request.Repeatable || r.offset > 0 || r.failedEngines >= MaxFailedEngines {
		r.failRequest(home, refused)
		return
	}
	r.recordFailure(home, refused)
}

// isHomeRefusal reports whether a refusal is due to the state of the home daemon,
// so that another home of the same engine may take the request.
func isHomeRefusal(reason refusal.Reason) bool {
	return reason == refusal.Stopping || reason == refusal.NotReady
}

// redirect puts the engine that holds the chat's context first. The current
// engine has not refused the request, as its home only pointed to the other one.
// It therefore stays a candidate and does not count as tried. It comes last,
// because the other candidates are ordered by their load.
func (r *Route) redirect(home string, refused *refusal.Refusal) {
	r.results = append(r.results, AttemptResult{Engine: r.currentEngine, Home: home, Reason: refused.Reason, Detail: refused.Detail})
	r.candidates = append(r.candidates, r.currentEngine)
	r.preferEngine(refused.BetterEngine)
	r.enginesTried--
	r.warmEngine = refused.BetterEngine
	if r.lastResortUsed && !r.hedged && !r.isSilent(refused.BetterEngine) {
		r.sentOnTo, r.queueEngine = refused.BetterEngine, r.currentEngine
	}
}

// allowsOtherEngine reports whether another engine may take a request that was
// refused for this reason.
func allowsOtherEngine(reason refusal.Reason) bool {
	switch reason {
	case refusal.EngineBusy, refusal.EngineLeaving, refusal.EngineUnknown,
		refusal.EngineFailed, refusal.EngineStalled, refusal.AnswerIncomplete,
		refusal.AnswerMismatch, refusal.WorkspaceLimit:
		return true
	}
	return false
}

// preferEngine puts the engine that a home recommends at the front of the
// candidates. An engine that has been tried may have free capacity by now, so a
// limited number of extra attempts is granted.
func (r *Route) preferEngine(engine string) {
	if engine == "" || engine == r.currentEngine || r.hedged || r.isSilent(engine) {
		return
	}
	index := slices.Index(r.candidates, engine)
	if index < 0 || r.enginesTried >= r.engineLimit() {
		if r.extraAttempts >= MaxExtraAttempts {
			return
		}
		r.extraAttempts++
	}
	if index >= 0 {
		r.candidates = slices.Delete(r.candidates, index, index+1)
	}
	r.candidates = slices.Insert(r.candidates, 0, engine)
}

// leaveQueueFor lets a request that has waited as a last resort go to the engine that the home
// recommends, unless it has left too many queues.
func (r *Route) leaveQueueFor(engine string) {
	if engine == "" || r.queuesLeft >= MaxQueuesLeft || r.hedged || r.isSilent(engine) {
		return
	}
	r.queuesLeft++
	r.sentOnTo, r.queueEngine = engine, r.currentEngine
}

// RecordHomeFailure records that the connection to the home could not be made, or was
// lost before the answer was complete.
func (r *Route) RecordHomeFailure(home string, err error) {
	failure := refusal.NotRun(refusal.HomeUnreachable, retryAfter, "home %s of engine %s: %v", home, r.currentEngine, err)
	if r.mayHaveRun {
		failure = refusal.Unknown(refusal.HomeLost, "home %s of engine %s: %v", home, r.currentEngine, err)
	}
	r.retryAtNextHome(home, failure)
}

// retryAtNextHome schedules the next attempt at the current engine through another
// home. It ends the request instead if too many homes have failed, if the request
// may have run and must not run twice, or if the caller has received events of a
// stream that cannot be resumed.
func (r *Route) retryAtNextHome(home string, refused *refusal.Refusal) {
	r.excludedHomes = append(r.excludedHomes, home)
	if r.mayHaveRun && !r.request.Repeatable && !r.request.Resumable {
		r.failRequest(home, refused)
		return
	}
	if r.offset > 0 && !r.request.Resumable {
		r.failRequest(home, refusal.Unknown(refusal.AnswerIncomplete, "%s", refused.Detail))
		return
	}
	if len(r.excludedHomes) >= MaxFailedHomes {
		r.failRequest(home, refused)
		return
	}
	r.started = r.started || (r.mayHaveRun && r.request.Resumable)
	r.recordFailure(home, refused)
	r.retrySameEngine = true
}

// RecordSuccess records that the answer is complete.
func (r *Route) RecordSuccess(home string) {
	r.results = append(r.results, AttemptResult{Engine: r.currentEngine, Home: home})
}

// recordFailure adds the refusal of the current attempt to the results and keeps it
// as the last refusal.
func (r *Route) recordFailure(home string, refused *refusal.Refusal) {
	r.setLastRefusal(refused)
	r.results = append(r.results, AttemptResult{Engine: r.currentEngine, Home: home, Reason: refused.Reason, Detail: refused.Detail})
}

// setLastRefusal keeps the refusal that the caller receives if no attempt
// succeeds. Once an attempt may have run, no later refusal says "not run".
func (r *Route) setLastRefusal(refused *refusal.Refusal) {
	earlierMayHaveRun := r.lastRefusal != nil && !r.lastRefusal.DidNotRun()
	r.lastRefusal = refused
	if earlierMayHaveRun && refused.DidNotRun() {
		copied := *refused
		copied.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
		r.lastRefusal = &copied
	}
}

// failRequest records the refusal of the current attempt and allows no further
// attempt.
func (r *Route) failRequest(home string, refused *refusal.Refusal) {
	r.recordFailure(home, refused)
	r.finalRefusal = r.lastRefusal
}
