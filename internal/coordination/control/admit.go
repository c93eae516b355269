package control

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Admit takes a request for an engine, or says why not. A request that is queued
// waits here until it is decided on, or until ctx ends. What Admit took must be
// given back with Release.
func (l *Loop) Admit(ctx context.Context, request admission.Request) (admission.Ticket, *refusal.Refusal) {
	decision, later := l.decide(request)
	if decision.Outcome == admission.Queued {
		decision = l.await(ctx, decision.Ticket, later)
	}
	return decision.Ticket, decision.Refusal
}

// decide asks for a decision. The channel brings the final one for a queued
// request.
func (l *Loop) decide(request admission.Request) (admission.Decision, <-chan admission.Decision) {
	stopped := refusal.NotRun(refusal.Stopping, 0, "admit: the daemon has stopped")
	decision := admission.Decision{Outcome: admission.Refused, Refusal: stopped}
	later := make(chan admission.Decision, 1)
	l.Do(func(state *State, now time.Time) {
		var others []admission.Decision
		decision, others = state.Admission.Admit(request, now)
		if decision.Outcome == admission.Queued {
			state.waiters[decision.Ticket] = later
		}
		state.deliver(others)
	})
	return decision, later
}

// await waits for the final decision on a queued request. If ctx ends first the
// request is released, whether it is still queued or has just been admitted.
func (l *Loop) await(ctx context.Context, ticket admission.Ticket, later <-chan admission.Decision) admission.Decision {
	select {
	case decision := <-later:
		return decision
	case <-l.stopped:
		return admission.Decision{Refusal: refusal.NotRun(refusal.Stopping, 0, "admit: the daemon has stopped")}
	case <-ctx.Done():
		l.Release(ticket)
		return admission.Decision{Refusal: refusal.NotRun(refusal.CallerGone, 0, "queue: %v", context.Cause(ctx))}
	}
}

// Release gives back what Admit took.
func (l *Loop) Release(ticket admission.Ticket) {
	l.Do(func(state *State, now time.Time) {
		delete(state.waiters, ticket)
		state.deliver(state.Admission.Release(ticket, now))
	})
}

// MergeLoads takes in what peers say about their in-flight counts.
func (s *State) MergeLoads(loads []*peerpb.DaemonLoad, now time.Time) {
	s.Admission.MergeLoads(s.Members.Self().GetName(), loads, now)
	s.deliver(s.Admission.PumpQueues(now))
}

// OwnLoad returns this daemon's in-flight counts.
func (s *State) OwnLoad() *peerpb.DaemonLoad {
	self := s.Members.Self()
	return s.Admission.OwnLoad(self.GetName(), self.GetIncarnation())
}

// deliver passes final decisions on to the requests that wait for them.
func (s *State) deliver(decisions []admission.Decision) {
	for _, decision := range decisions {
		if later := s.waiters[decision.Ticket]; later != nil {
			later <- decision // has room for the only one
			delete(s.waiters, decision.Ticket)
		}
	}
}
