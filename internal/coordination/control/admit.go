package control

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Admit admits a request to an engine, or returns its refusal. If the request is
// queued, Admit calls onQueued and blocks until the final decision or until ctx ends.
// The caller must pass the ticket of an admitted request to Release.
func (l *Loop) Admit(ctx context.Context, request admission.Request, onQueued func()) (admission.Ticket, *refusal.Refusal) {
	decision, final := l.requestAdmission(request)
	if decision.Outcome == admission.Queued {
		onQueued()
		decision = l.awaitDecision(ctx, decision.Ticket, final)
	}
	return decision.Ticket, decision.Refusal
}

// requestAdmission returns the first decision on a request. If that is to queue the
// request, the channel receives the final decision.
func (l *Loop) requestAdmission(request admission.Request) (admission.Decision, <-chan admission.Decision) {
	stopped := refusal.NotRun(refusal.Stopping, 0, "admit: the daemon has stopped")
	decision := admission.Decision{Outcome: admission.Refused, Refusal: stopped}
	final := make(chan admission.Decision, 1)
	l.Do(func(state *State, now time.Time) {
		var queuedDecisions []admission.Decision
		decision, queuedDecisions = state.Admission.Admit(request, now)
		if decision.Outcome == admission.Queued {
			state.waiters[decision.Ticket] = final
		}
		state.deliverDecisions(queuedDecisions)
	})
	return decision, final
}

// awaitDecision waits for the final decision on a queued request. If ctx ends first,
// awaitDecision releases the request, whether it is still queued or has just been
// admitted.
func (l *Loop) awaitDecision(ctx context.Context, ticket admission.Ticket, final <-chan admission.Decision) admission.Decision {
	select {
	case decision := <-final:
		return decision
	case <-l.stopped:
		return admission.Decision{Refusal: refusal.NotRun(refusal.Stopping, 0, "admit: the daemon has stopped")}
	case <-ctx.Done():
		l.Release(ticket)
		return admission.Decision{Refusal: refusal.NotRun(refusal.CallerGone, 0, "queue: %v", context.Cause(ctx))}
	}
}

// Release ends an admission: it frees the request's slot on the engine, or removes
// the request from the engine's queue.
func (l *Loop) Release(ticket admission.Ticket) {
	l.Do(func(state *State, now time.Time) {
		delete(state.waiters, ticket)
		state.deliverDecisions(state.Admission.Release(ticket, now))
	})
}

// MergeLoads records the in-flight counts that peers have reported, and decides again
// on queued requests.
func (s *State) MergeLoads(loads []*peerpb.DaemonLoad, now time.Time) {
	s.Admission.MergeLoads(s.Members.Self().GetName(), loads, now)
	s.deliverDecisions(s.Admission.ProcessQueues(now))
}

// OwnLoad returns this daemon's in-flight counts.
func (s *State) OwnLoad() *peerpb.DaemonLoad {
	self := s.Members.Self()
	return s.Admission.OwnLoad(self.GetName(), self.GetIncarnation())
}

// deliverDecisions sends final decisions to the requests that wait for them.
func (s *State) deliverDecisions(decisions []admission.Decision) {
	for _, decision := range decisions {
		if final := s.waiters[decision.Ticket]; final != nil {
			final <- decision // never blocks: the buffer holds the only decision
			delete(s.waiters, decision.Ticket)
		}
	}
}
