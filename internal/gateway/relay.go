package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/quarantine"
)

// Reasons of requests that could not be served.
const (
	// reasonAtLimit is the reason of a request for which no target was left within its limit.
	reasonAtLimit = "targets_at_limit"
	// reasonEvacuated is the reason of a request whose service has targets in evacuated failure domains
	// only.
	reasonEvacuated = "evacuated"
	// reasonCold is the reason of a request for which the only targets left are cold and take no
	// more requests of this daemon for now.
	reasonCold = "targets_cold"
	// reasonUnreached is the reason of a request for which neither this daemon nor any other that
	// it knows reaches a target.
	reasonUnreached = "no_target_reached"
	// reasonUnknownOrigin and reasonNoTargetOfVersion are the reasons of a stream that cannot go
	// on because its software version is not known, or has no target left.
	reasonUnknownOrigin     = "unknown_origin_of_stream"
	reasonNoTargetOfVersion = "no_target_of_version"
)

// relayedRequest is a caller's request and the state of its attempts. The goroutine that serves
// the caller makes one of them, the current one, and is the only one that writes to the caller.
// While the target of an attempt is silent, other goroutines make further attempts: the hedges.
type relayedRequest struct {
	*callerRequest
	draw        uint64         // random number of the request, not 0
	start       streamPosition // of the first attempt
	brokenAt    atomic.Uint32  // incarnation of the last target whose connection broke; 0: none
	firstByteAt time.Time      // when the first byte of the response was sent
	roomFields  []any          // what the request's log line says of its wait for room; nil if it did not wait

	hedging sync.WaitGroup // goroutines of hedges
	changed *sync.Cond     // a hedge is ready, superseded or has ended, or the current attempt has ended; of mu

	mu      sync.Mutex // guards the following fields
	state   *attempt.Request
	current *targetAttempt
	hedges  map[*targetAttempt]struct{}
	ready   *targetAttempt // a hedge whose answer is in hand and is to become the current attempt
	closed  bool           // no hedge may begin or become ready
	// retryReserved is true if the next attempt has been taken from the retry budget already.
	retryReserved  bool
	sentTo         []string          // ids of targets that may have received the request; replaced, never changed
	tries          int               // attempts that chose a target
	hedged         int               // hedges that have begun
	failedResponse *bufferedResponse // a target's error response, sent if no attempt does better
	failureTimer   *time.Timer       // delivers it before the deadline; nil: no other attempt is awaited
	claimed        bool              // an attempt's answer goes to the caller
	last           *targetAttempt    // the last attempt to end that was not superseded
	lastAction     attempt.Action    // what follows it
	lastOutcome    attempt.Outcome
}

// streamPosition is how far a stream has come at the caller, and where it may go on.
type streamPosition struct {
	lastEventID int64 // last event that the caller has received
	begun       bool  // the caller has received the head of the answer
	// softwareVersion is the only version of targets that may serve the request, as its
	// stream began there, if versionPinned is set.
	softwareVersion string
	versionPinned   bool
}

// newRelayedRequest returns a request that has had no attempt.
func newRelayedRequest(incoming *callerRequest, policy attempt.Policy) *relayedRequest {
	req := &relayedRequest{
		callerRequest: incoming,
		draw:          rand.Uint64() | 1,
		start:         streamPosition{lastEventID: incoming.call.LastEventID},
		state:         attempt.New(policy),
		hedges:        make(map[*targetAttempt]struct{}),
	}
	req.changed = sync.NewCond(&req.mu)
	req.last = &targetAttempt{relayedRequest: req}
	return req
}

// targetAttempt is one attempt of a request, at a target or by way of another daemon. A single
// goroutine uses it at a time, except for its silence timer.
type targetAttempt struct {
	*relayedRequest
	record   *attempt.Attempt
	ctx      context.Context
	cancel   context.CancelFunc
	position streamPosition
	// backs is the attempt with a silent target beside which this one is made; nil if it is none
	// of the hedges.
	backs           *targetAttempt
	silence         *silenceTimer
	silenceRecorded atomic.Bool // the silence has been recorded as a failure of the target
	tried           []string    // ids of targets chosen by this attempt and those that it follows
	triedForwarders []string    // names of daemons that these have asked to make an attempt

	choice   placement.Choice
	chosenAt time.Time        // when choice was made
	coldHome string           // the session's target, which is cold and took no more requests; empty: none
	via      string           // the daemon by way of which the attempt is made; empty: none
	hold     *quarantine.Hold // why the attempt was not made; nil if it was
	roomWait *roomWait        // the wait for a target with room; nil if there was none
	// reportsWorkTime says that the target has reported its work time with this attempt's answer.
	reportsWorkTime bool
	// restrained is set if the workspace is over its part while targets reject requests.
	restrained bool
	reason     string // why the attempt was not successful
	// forwardRetryAfter is when the caller may retry by the last daemon that was asked; 0 if
	// it has not said.
	forwardRetryAfter time.Duration
	answer            *heldAnswer       // nil until the answer has begun, and after close
	failure           *bufferedResponse // the target's error response; nil if there is none

	superseded bool // another attempt has had an answer first; guarded by mu of the request
}

// relay sends a request to targets, one attempt after another or beside a silent one, until the
// caller has its final response.
func (g *Gateway) relay(incoming *callerRequest) {
	req := newRelayedRequest(incoming, attempt.Policy{
		Repeatable:  incoming.route.Repeatable(),
		Resumable:   incoming.route.Resumable,
		MaxAttempts: incoming.route.MaxAttempts,
	})
	if !g.resolveOrigin(req) {
		return
	}
	defer g.endHedges(req)
	for a := g.beginAttempt(req); a != nil; {
		a = g.nextAttempt(a, g.run(a))
	}
	if req.ended() {
		g.respondEnded(req, req.lastAction, req.lastOutcome)
		return
	}
	g.respondFinal(req, req.lastAction, req.lastOutcome)
}

// run makes an attempt and passes its answer on to the caller: the events of a stream as they
// come, a complete response if it is final.
func (g *Gateway) run(a *targetAttempt) attempt.Outcome {
	if a.answer == nil {
		if outcome, begun := g.open(a); !begun {
			return outcome
		}
	}
	if a.answer.buffered != nil {
		return g.relayBuffered(a)
	}
	return g.relayStream(a)
}

// beginAttempt begins the first attempt of a request.
func (g *Gateway) beginAttempt(req *relayedRequest) *targetAttempt {
	first := &targetAttempt{relayedRequest: req, position: req.start}
	if req.forwarded != nil {
		first.tried = req.forwarded.Tried
	}
	req.mu.Lock()
	defer req.mu.Unlock()
	req.current = g.register(first)
	return first
}

// following returns the attempt that follows one that has ended. It is not registered.
func (a *targetAttempt) following() *targetAttempt {
	return &targetAttempt{relayedRequest: a.relayedRequest, position: a.position, backs: a.backs, tried: a.tried, triedForwarders: a.triedForwarders}
}

// register records that an attempt begins, and returns it. The caller holds the request's mu.
func (g *Gateway) register(a *targetAttempt) *targetAttempt {
	a.record = a.state.Begin()
	a.ctx, a.cancel = context.WithCancel(a.r.Context())
	a.silence = newSilenceTimer(func() bool { return g.beginHedge(a) })
	return a
}

// nextAttempt ends the current attempt of a request. It returns the one that becomes current: a
// retry, or a hedge that has an answer; nil if the request ends.
func (g *Gateway) nextAttempt(a *targetAttempt, outcome attempt.Outcome) *targetAttempt {
	a.close()
	ended := a.ended() && !a.hasWholeAnswer() // an answer that is in hand is delivered
	if ended {
		g.endHedges(a.relayedRequest)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = nil
	if ended {
		a.superseded = false // there is no other attempt left
	}
	for a.hasSupersededHedge() { // what follows depends on whether it was sent
		a.changed.Wait()
	}
	switch action := g.recordEnd(a, outcome, ended); action {
	case attempt.Retry, attempt.Resume:
		a.current = g.register(a.following())
	case attempt.Await:
		a.changed.Broadcast() // a hedge may wait for the end of the current attempt
		for a.ready == nil && len(a.hedges) > 0 {
			a.changed.Wait()
		}
		if a.ready != nil {
			a.current, a.ready = a.ready, nil
			a.current.backs = nil
		}
	}
	return a.current
}

// hasWholeAnswer reports whether a hedge has a whole answer, which is to become the current attempt.
func (req *relayedRequest) hasWholeAnswer() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.ready != nil && req.ready.answer.buffered != nil && !req.ready.answer.buffered.partial
}

// recordEnd records the end of an attempt and returns what follows. Set ended if there must be no
// further attempt. The caller holds the request's mu.
func (g *Gateway) recordEnd(a *targetAttempt, outcome attempt.Outcome, ended bool) attempt.Action {
	if a.superseded {
		a.state.End(a.record, outcome)
		return attempt.Await
	}
	var action attempt.Action
	if ended {
		action = a.state.End(a.record, outcome)
	} else {
		action = a.state.Decide(a.record, outcome, time.Until(a.deadline), func() bool { return g.spendRetry(a.relayedRequest) })
	}
	a.last, a.lastAction, a.lastOutcome = a, action, outcome
	if a.failure != nil {
		a.failedResponse = a.failure
	}
	if action == attempt.Await && a.failedResponse != nil && a.failureTimer == nil {
		a.failureTimer = time.AfterFunc(time.Until(a.deadline)-failureMargin, a.awaitNoLonger)
	}
	if action == attempt.Retry || action == attempt.Resume {
		g.metrics.countRetry(a.reason)
		g.log.Info("retrying request", "request", a.call.ID, "reason", a.reason, "target", a.targetID(), "via", a.via, "after_event", a.position.lastEventID, "hedge", a.backs != nil)
	}
	return action
}

// spendRetry takes the request's next attempt from the retry budget unless it has been taken
// already, and reports whether it has one. The caller holds the request's mu.
func (g *Gateway) spendRetry(req *relayedRequest) bool {
	if req.retryReserved {
		req.retryReserved = false
		return true
	}
	return g.coordinator.spendRetry(req.service)
}

// close ends the exchange of an attempt. Its timer begins no hedge any more. An answer is closed
// before its context ends, as a connection whose exchange was interrupted is not reused.
func (a *targetAttempt) close() {
	a.silence.stop()
	if a.answer != nil {
		a.answer.close()
		a.answer = nil // the request refers to the attempt until its own end, and must not hold what was read
	}
	a.cancel()
}

// targetID returns the id of the attempt's target, "" if it has none.
func (a *targetAttempt) targetID() string {
	if a.choice.Target == nil {
		return ""
	}
	return a.choice.Target.ID
}

// recordChoice records that a target has been chosen, which may receive the request from now on.
func (a *targetAttempt) recordChoice(choice placement.Choice) {
	a.choice, a.chosenAt = choice, time.Now()
	a.tried = append(slices.Clip(a.tried), choice.Target.ID)
	a.recordSentTo(choice.Target.ID)
}

// recordSentTo records that a target has received the request, or may receive it.
func (a *targetAttempt) recordSentTo(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tries++
	a.sentTo = append(slices.Clip(a.sentTo), id)
}

// recordUnsent records that the attempt's target has not received the request.
func (a *targetAttempt) recordUnsent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sentTo = slices.DeleteFunc(slices.Clone(a.sentTo), func(id string) bool { return id == a.choice.Target.ID })
}

// sentTargets returns the ids of the targets that may have received the request.
func (req *relayedRequest) sentTargets() []string {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.sentTo
}

// excludedTargets returns the ids of the targets at which the attempt must not be made: those that
// it has tried, and those that may have received the request.
func (a *targetAttempt) excludedTargets() []string {
	return slices.Concat(a.tried, a.sentTargets())
}

// recordAnswerStarted records that a part of the answer has been sent to the caller.
func (req *relayedRequest) recordAnswerStarted() {
	req.mu.Lock()
	defer req.mu.Unlock()
	req.state.RecordAnswerStarted()
}

// retryAllowed reports whether another attempt may be made beside those in progress.
func (req *relayedRequest) retryAllowed() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.state.RetryAllowed()
}

// othersInProgress reports whether other attempts of the request are in progress.
func (req *relayedRequest) othersInProgress() bool {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.state.InProgress() > 1
}

// unsentAttempts returns the number of attempts that have not reached a target.
func (req *relayedRequest) unsentAttempts() int {
	req.mu.Lock()
	defer req.mu.Unlock()
	return req.state.UnsentAttempts()
}

// outOfTime reports whether the request's deadline has passed, and sets the reason if so.
func (a *targetAttempt) outOfTime() bool {
	if time.Until(a.deadline) > 0 {
		return false
	}
	a.reason = "out_of_time"
	return true
}
