package control

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/protocol/refusal"
)

// Admit takes a request for an engine, or says why not. What it took must be
// given back with Release.
func (l *Loop) Admit(_ context.Context, request admission.Request) *refusal.Refusal {
	refused := refusal.NotRun(refusal.Stopping, 0, "admit: the daemon has stopped")
	l.Do(func(state *State, now time.Time) {
		refused = state.Admission.Admit(request)
	})
	return refused
}

// Release gives back what Admit took.
func (l *Loop) Release(request admission.Request) {
	l.Do(func(state *State, _ time.Time) {
		state.Admission.Release(request)
	})
}
