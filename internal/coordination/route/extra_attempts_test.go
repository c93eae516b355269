package route

import (
	"errors"
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

// A last resort goes where a home sends it on, and back to the queue that it has left if it is not
// taken there. The number of queues that it leaves is limited.
func TestLastResortIsSentOnFromItsQueue(t *testing.T) {
	leave := func(better string) *refusal.Refusal {
		refused := busyRefusal(better)
		refused.LeftQueue = true
		return refused
	}
	elsewhere := refusal.NotRun(refusal.ChatElsewhere, 0, "")
	elsewhere.BetterEngine = "e3"
	leaving := refusal.NotRun(refusal.EngineLeaving, 0, "")
	unmet := refusal.NotRun(refusal.DeadlineUnmet, 0, "")
	failed := refusal.Unknown(refusal.EngineFailed, "")
	type step struct {
		refusal     *refusal.Refusal
		wantEngine  string // of the next attempt; "": none
		leavesQueue bool
	}
	for _, test := range []struct {
		name  string
		steps []step // after the last resort was sent to e1
	}{
		{"sent on until it stays", []step{{leave("e2"), "e2", true}, {leave("e1"), "e1", true}, {leave("e2"), "e2", false}, {unmet, "", false}}},
		{"sent on without end by a home that does not ask", []step{{leave("e2"), "e2", true}, {leave("e1"), "e1", true}, {leave("e2"), "e2", false}, {leave("e3"), "e1", false}, {leave("e2"), "", false}}},
		{"home of an earlier build", []step{{busyRefusal("e2"), "", false}}},
		{"queue is full, no engine has room", []step{{leave(""), "", false}}},
		{"cannot start in time", []step{{unmet, "", false}}},
		{"sent on to an engine that leaves", []step{{leave("e2"), "e2", true}, {leaving, "e1", true}, {unmet, "", false}}},
		{"sent on to engines that leave", []step{{leave("e2"), "e2", true}, {leaving, "e1", true}, {leave("e3"), "e3", true}, {leaving, "e1", true}, {leave("e2"), "e2", false}, {leaving, "e1", false}, {leaving, "", false}}},
		{"sent on to an engine that fails", []step{{leave("e2"), "e2", true}, {failed, "e1", true}, {failed, "", false}}},
		{"sent on to a chat's first engine", []step{{leave("e2"), "e2", true}, {elsewhere, "e3", true}, {leaving, "e2", true}, {unmet, "", false}}},
		{"last resort at a chat's first engine", []step{{elsewhere, "e3", true}, {leaving, "e1", true}, {leave("e2"), "e2", true}, {unmet, "", false}}},
		{"home stops", []step{{leave("e2"), "e2", true}, {refusal.NotRun(refusal.Stopping, 0, ""), "e2", true}, {leaving, "e1", true}, {unmet, "", false}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(Request{Repeatable: true}, []string{"e1"})
			for _, refused := range []*refusal.Refusal{busyRefusal("e2"), leaving} {
				_, ended := r.Next()
				must.Nil(t, ended)
				r.RecordRefusal("home", refused)
			}
			attempt, refused := r.Next()
			for i, step := range append([]step{{nil, "e1", true}}, test.steps...) {
				if step.refusal != nil {
					r.RecordRefusal("home", step.refusal)
					attempt, refused = r.Next()
				}
				must.Eq(t, step.wantEngine, attempt.Engine, must.Sprintf("step %d", i))
				must.Eq(t, step.wantEngine == "", refused != nil)
				must.Eq(t, step.wantEngine != "", attempt.LastResort)
				must.Eq(t, step.leavesQueue, attempt.LeavesQueue, must.Sprintf("step %d", i))
			}
		})
	}
}

// A route whose other engines a hedge has stays at its engine, so its home must not send it on.
func TestHedgedRouteStaysInItsQueue(t *testing.T) {
	r := New(Request{Repeatable: true}, []string{"e1", "e2"})
	_, refused := r.Next()
	must.Nil(t, refused)
	r.extraAttempts = MaxExtraAttempts
	hedge := r.Hedge()
	must.NotNil(t, hedge)
	r.RecordHomeFailure("home", errors.New("lost"))
	attempt, refused := r.Next()
	must.Nil(t, refused)
	must.Eq(t, "e1", attempt.Engine)
	must.True(t, attempt.LastResort)
	must.False(t, attempt.LeavesQueue)
	attempt, refused = hedge.Next()
	must.Nil(t, refused)
	must.Eq(t, "e2", attempt.Engine)
	must.True(t, attempt.LeavesQueue)
}
