package route

import (
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

// busyRefusal returns the refusal of a busy home that recommends another engine.
func busyRefusal(better string) *refusal.Refusal {
	refused := refusal.NotRun(refusal.EngineBusy, 0, "busy")
	refused.BetterEngine = better
	return refused
}

func TestBusyHomesGrantLimitedExtraAttempts(t *testing.T) {
	r := New(Request{}, []string{"e1", "e2"})
	var tried []string
	var lastAttempt Attempt
	for {
		attempt, refused := r.Next()
		if refused != nil {
			must.Eq(t, refusal.EngineBusy, refused.Reason)
			break
		}
		must.False(t, lastAttempt.LastResort, must.Sprint("attempt after the last resort"))
		tried, lastAttempt = append(tried, attempt.Engine), attempt
		otherEngine := map[string]string{"e1": "e2", "e2": "e1"}
		r.RecordRefusal("home", busyRefusal(otherEngine[attempt.Engine]))
	}
	must.Eq(t, []string{"e1", "e2", "e1", "e2", "e1"}, tried)
	must.True(t, lastAttempt.LastResort)
}

// A busy home may recommend an engine that is leaving without the home's knowledge.
// The request must then return to the busy home and wait in its queue.
func TestRequestQueuesAtBusyEngineIfRecommendedEngineIsLeaving(t *testing.T) {
	r := New(Request{}, []string{"e1"})
	_, refused := r.Next()
	must.Nil(t, refused)
	r.RecordRefusal("home", busyRefusal("e2"))
	attempt, refused := r.Next()
	must.Nil(t, refused)
	must.Eq(t, "e2", attempt.Engine)
	r.RecordRefusal("home", refusal.NotRun(refusal.EngineLeaving, 0, "leaving"))
	attempt, refused = r.Next()
	must.Nil(t, refused)
	must.Eq(t, "e1", attempt.Engine)
	must.True(t, attempt.LastResort)
	r.RecordRefusal("home", busyRefusal(""))
	_, refused = r.Next()
	must.Eq(t, refusal.EngineBusy, refused.Reason)
}

func TestRequestEndsWhenNoHomeRecommendsAnEngine(t *testing.T) {
	r := New(Request{}, []string{"e1"})
	attempt, refused := r.Next()
	must.Nil(t, refused)
	must.False(t, attempt.LastResort)
	r.RecordRefusal("home", busyRefusal(""))
	_, refused = r.Next()
	must.Eq(t, refusal.EngineBusy, refused.Reason)
}

// A last resort that reaches its chat's first engine goes on to the engine that holds the chat's
// context, and back to the first engine's queue if it is not taken there.
func TestLastResortFollowsItsChat(t *testing.T) {
	elsewhere := refusal.NotRun(refusal.ChatElsewhere, 0, "")
	elsewhere.BetterEngine = "e4"
	leaving := refusal.NotRun(refusal.EngineLeaving, 0, "")
	r := New(Request{Repeatable: true}, []string{"e1", "e2", "e3"})
	attempt, refused := r.Next()
	for !attempt.LastResort {
		must.Nil(t, refused)
		better := map[string]string{"e1": "e2", "e2": "e3", "e3": "e1"}
		r.RecordRefusal("home", busyRefusal(better[attempt.Engine]))
		attempt, refused = r.Next()
	}
	firstEngine := attempt.Engine
	for _, step := range []struct {
		refusal    *refusal.Refusal
		wantEngine string // of the next attempt; "": none
	}{{elsewhere, "e4"}, {leaving, firstEngine}, {leaving, ""}} {
		must.Nil(t, refused)
		r.RecordRefusal("home", step.refusal)
		attempt, refused = r.Next()
		must.Eq(t, step.wantEngine, attempt.Engine)
	}
	must.True(t, refused.DidNotRun())
}
