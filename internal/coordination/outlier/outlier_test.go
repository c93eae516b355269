package outlier_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/outlier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestEjection(t *testing.T) {
	cases := []struct {
		name                string
		outcomes            []Outcome
		serviceFailureShare float64
		ejected             bool
	}{
		{"served", []Outcome{Served, Served}, 0, false},
		{"unreachable", []Outcome{Served, Unreachable}, 0, true},
		{"single timeout", []Outcome{Served, TimedOut}, 0, false},
		{"two consecutive timeouts", []Outcome{Served, TimedOut, TimedOut}, 0, true},
		{"timeouts between answers", []Outcome{TimedOut, Served, TimedOut, Served}, 0, false},
		{"half of the requests fail", []Outcome{ServerError, Served, ServerError, Served, ServerError, Served, ServerError}, 0, true},
		{"half of the requests fail at all targets", []Outcome{ServerError, Served, ServerError, Served, ServerError, Served, ServerError}, 0.5, false},
		{"a quarter of the requests fail", []Outcome{Served, ServerError, Served, Served, Served, ServerError, Served, Served}, 0, false},
		{"refusals of a busy target are no failures", []Outcome{Busy, Busy, Busy, Busy, Busy}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := New()
			for _, outcome := range c.outcomes {
				tracker.RecordOutcome("e", outcome, c.serviceFailureShare, start)
			}
			must.Eq(t, c.ejected, tracker.Ejected("e", start))
		})
	}
}

func TestRepeatedEjectionsGetLonger(t *testing.T) {
	tracker := New()
	now := start
	lastDuration := time.Duration(0)
	for range 6 {
		tracker.RecordOutcome("e", Unreachable, 0, now)
		ejectedAt := now
		for tracker.Ejected("e", now) {
			now = now.Add(10 * time.Millisecond)
		}
		must.GreaterEq(t, lastDuration, now.Sub(ejectedAt))
		lastDuration = now.Sub(ejectedAt)
		tracker.RecordRequest("e", now)
		must.True(t, tracker.Ejected("e", now), must.Sprint("only one trial request at a time"))
	}
	must.LessEq(t, 4*time.Second, lastDuration)
	tracker.RecordRecovery("e", now)
	tracker.RecordOutcome("e", Served, 0, now)
	must.False(t, tracker.Ejected("e", now))
}

func TestForgottenTargetIsNotEjected(t *testing.T) {
	tracker := New()
	tracker.RecordOutcome("e", Unreachable, 0, start)
	tracker.Retain(func(string) bool { return false })
	must.False(t, tracker.Ejected("e", start))
}

func TestHeldTargetIsEjectedUntilReleased(t *testing.T) {
	tracker := New()
	tracker.RecordOutcome("e", Unreachable, 0, start)
	tracker.Hold("e")
	must.True(t, tracker.Ejected("e", start.Add(time.Hour)))
	must.True(t, tracker.Held("e"))
	tracker.Release("e")
	must.False(t, tracker.Ejected("e", start))
	must.False(t, tracker.Held("e"))
}

// A target that asks for no requests for a time gets none until then, whatever earlier
// requests bring, and not all that were kept from it at once afterwards. An ejected
// target may be chosen if there is no other; this one may not.
func TestTargetThatAsksForNoRequestsGetsNone(t *testing.T) {
	const wanted = 2 * time.Second
	tracker := New()
	tracker.RecordOutcome("e", Busy, 0, start)
	tracker.RecordRefusal("e", wanted, start)
	for name, event := range map[string]func(now time.Time){
		"an earlier request is served":    func(now time.Time) { tracker.RecordRecovery("e", now); tracker.RecordOutcome("e", Served, 0, now) },
		"an earlier request fails":        func(now time.Time) { tracker.RecordOutcome("e", Unreachable, 0, now) },
		"its domain is reachable again":   func(now time.Time) { tracker.Hold("e"); tracker.Release("e") },
		"it names a shorter time":         func(now time.Time) { tracker.RecordRefusal("e", wanted/10, now) },
		"its entry is missing for a time": func(now time.Time) { tracker.Retain(func(id string) bool { return tracker.Refusing(id, now) }) },
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(wanted / 2)
			event(now)
			must.True(t, tracker.Refusing("e", now))
			must.True(t, tracker.Ejected("e", now))
			must.Eq(t, wanted/2, tracker.RefusingFor("e", now))
		})
	}
	after := start.Add(wanted)
	must.False(t, tracker.Refusing("e", after))
	must.Eq(t, 0, tracker.RefusingFor("e", after))
	tracker.RecordRequest("e", after)
	must.True(t, tracker.Ejected("e", after), must.Sprint("one request at a time"))
	tracker.RecordRecovery("e", after)
	must.False(t, tracker.Ejected("e", after))
}

func TestNewIncarnationTakesRequests(t *testing.T) {
	tracker := New()
	tracker.RecordRefusal("e", time.Minute, start)
	tracker.Forget("e")
	must.False(t, tracker.Ejected("e", start))
}
