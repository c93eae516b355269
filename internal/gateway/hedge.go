package gateway

import (
	"runtime/debug"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
)

// A sound target may be silent for a second and go on. A request whose target is silent is
// therefore hedged: another attempt is made beside the silent one, and neither ends before the
// request has the better of the two. That is the first to have an event, or a whole response: that
// a target has been chosen, has accepted a connection or has sent a head is no answer yet.
//
// Invariants: at most one attempt's answer goes to the caller from any position of a stream on;
// while no attempt has an answer, none is ended by this daemon.

// failureMargin is how long before the deadline a request gets the failure of a target that is in hand,
// unless another attempt has done better by then. At the deadline the caller may have left.
const failureMargin = 250 * time.Millisecond

// beginHedge makes another attempt beside one whose target is silent, if there is a target or
// daemon that would take the request and the retry budget grants it. It reports whether it does.
func (g *Gateway) beginHedge(silent *targetAttempt) bool {
	req := silent.relayedRequest
	hedge := &targetAttempt{relayedRequest: req, position: silent.position, backs: silent}
	if silent.via != "" {
		hedge.triedForwarders = []string{silent.via} // it would choose the same target, which is not known here
	}
	if !req.retryAllowed() || !g.hasNextAttempt(hedge) {
		return false
	}
	req.mu.Lock()
	if silent.superseded || req.ready != nil || req.closed || !req.state.RetryAllowed() || !g.spendRetry(req) {
		req.mu.Unlock()
		return false
	}
	req.state.RecordSilence(silent.record)
	req.hedges[g.register(hedge)] = struct{}{}
	req.hedged++
	req.hedging.Add(1)
	req.mu.Unlock()
	g.metrics.countHedge("begun")
	g.log.Info("target is silent, hedging request", "request", req.call.ID, "target", silent.targetID(), "via", silent.via, "answer_begun", silent.answer != nil, "after_event", silent.position.lastEventID)
	g.recordSilence(silent)
	go g.runHedge(hedge)
	return true
}

// hasNextAttempt reports whether a target or daemon would take the request. While no target of its
// service is reached, only a daemon can.
func (g *Gateway) hasNextAttempt(a *targetAttempt) bool {
	if g.mustForward(a) && g.canForward(a) {
		return true
	}
	return !g.coordinator.unreached(a.service) && g.coordinator.hasTarget(a)
}

// runHedge makes a hedge, and those that follow if it has no answer.
func (g *Gateway) runHedge(a *targetAttempt) {
	defer a.hedging.Done()
	defer a.backs.silence.hedgeFailed()
	defer func() {
		if panicked := recover(); panicked != nil {
			g.endPanicked(a, panicked)
		}
	}()
	for a != nil {
		outcome, begun := g.open(a)
		if begun && a.answer.endsWithoutEvent() {
			a.awaitCurrent()
		}
		if begun && a.offer() {
			g.metrics.countHedge("used")
			return
		}
		if begun {
			outcome = g.discard(a)
		}
		a = g.nextHedge(a, outcome)
	}
}

// endPanicked ends a hedge that has panicked: as with a handler, a fault in one request must not end
// the others.
func (g *Gateway) endPanicked(a *targetAttempt, panicked any) {
	serverObserver{g.log, g.metrics}.HandlerFailed(a.call.ID, panicked, debug.Stack())
	a.reason = "internal_error"
	a.close()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hedges, a)
	g.recordEnd(a, attempt.NoAnswer, true)
	a.changed.Broadcast()
}

// endsWithoutEvent reports whether the answer is a stream that has ended without an event.
func (h *heldAnswer) endsWithoutEvent() bool {
	return h.stream != nil && h.stream.ended && !h.stream.begun
}

// awaitCurrent waits until the current attempt has ended, or this hedge. That a target has no
// further event is no better answer than the events that a silent one may still bring.
func (a *targetAttempt) awaitCurrent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.current != nil && !a.superseded {
		a.changed.Wait()
	}
}

// offer makes a hedge that has an answer the next current attempt. It reports whether no other has
// had one before. All others end.
func (a *targetAttempt) offer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded || a.closed {
		return false
	}
	delete(a.hedges, a)
	a.supersedeHedges()
	if a.current != nil {
		a.current.supersede()
	}
	a.ready, a.claimed = a, true
	a.state.RecordSound(a.record) // no other attempt is to follow one that ends meanwhile
	a.changed.Broadcast()
	return true
}

// claim makes the current attempt, which has a part of an answer, the one whose answer goes to the
// caller. It reports whether no hedge has had one before. All hedges end.
func (a *targetAttempt) claim() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.superseded {
		return false
	}
	a.claimed = true
	a.state.RecordSound(a.record)
	a.silenceRecorded.Store(false)
	a.supersedeHedges()
	return true
}

// awaitNoLonger ends all attempts if none has an answer, so that the failure in hand is delivered.
func (req *relayedRequest) awaitNoLonger() {
	req.mu.Lock()
	defer req.mu.Unlock()
	if req.claimed || req.closed {
		return
	}
	req.closed = true
	req.supersedeHedges()
	if req.current != nil {
		req.current.supersede()
	}
}

// supersede ends the exchange of an attempt, as another has an answer. The caller holds the
// request's mu.
func (a *targetAttempt) supersede() {
	a.superseded = true
	a.cancel()
}

// supersedeHedges ends all hedges. The caller holds mu.
func (req *relayedRequest) supersedeHedges() {
	for hedge := range req.hedges {
		hedge.supersede()
	}
	req.changed.Broadcast()
}

// hasSupersededHedge reports whether a hedge has been superseded and has not ended yet. The caller
// holds mu.
func (req *relayedRequest) hasSupersededHedge() bool {
	for hedge := range req.hedges {
		if hedge.superseded {
			return true
		}
	}
	return false
}

// nextHedge ends a hedge that has brought no answer. It returns the one that follows, nil if none
// does.
func (g *Gateway) nextHedge(a *targetAttempt, outcome attempt.Outcome) *targetAttempt {
	a.close()
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.hedges, a)
	defer a.changed.Broadcast()
	action := g.recordEnd(a, outcome, a.closed || a.ended())
	g.log.Info("hedge has no answer", "request", a.call.ID, "target", a.targetID(), "via", a.via, "reason", a.reason, "superseded", a.superseded)
	if action == attempt.Retry || action == attempt.Resume {
		next := g.register(a.following())
		a.hedges[next] = struct{}{}
		return next
	}
	if outcome == attempt.NotSent || outcome == attempt.NoTarget || outcome == attempt.HeldBack {
		a.retryReserved = true // it has been taken from the budget in vain
	}
	return nil
}

// endHedges ends all hedges and waits until they have ended. No other begins.
func (g *Gateway) endHedges(req *relayedRequest) {
	req.mu.Lock()
	req.closed = true
	req.supersedeHedges()
	ready := req.ready
	req.ready = nil
	if req.failureTimer != nil {
		req.failureTimer.Stop()
	}
	req.mu.Unlock()
	req.hedging.Wait()
	if ready == nil {
		return
	}
	outcome := g.discard(ready)
	ready.close()
	req.mu.Lock()
	defer req.mu.Unlock()
	req.state.End(ready.record, outcome)
}

// discard records an attempt whose answer has begun and is not used. The outcome of a whole response
// has been recorded already.
func (g *Gateway) discard(a *targetAttempt) attempt.Outcome {
	a.reason = "superseded"
	if a.answer.stream != nil || a.answer.buffered.partial {
		g.recordOutcome(a, outlier.Served, false)
	}
	return attempt.NoAnswer
}

// recordSilence records a failure of a target that is silent. The attempt goes on. One silence is
// one failure, however many hedges it takes.
func (g *Gateway) recordSilence(a *targetAttempt) {
	if a.via != "" || a.silenceRecorded.Swap(true) { // by way of another daemon: the target is not known
		return
	}
	outcome := outlier.TimedOut
	if a.answer != nil {
		outcome = outlier.ConnectionLost
	}
	if g.coordinator.recordSilence(a.choice.Target, outcome) {
		g.handleEjection(a)
	}
}

// wasSuperseded reports whether another attempt of the request has had an answer first.
func (a *targetAttempt) wasSuperseded() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.superseded
}
