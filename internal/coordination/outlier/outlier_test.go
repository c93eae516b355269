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
	tracker.RecordRecovery("e")
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
