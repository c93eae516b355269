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
		name     string
		outcomes []Outcome
		common   float64
		ejected  bool
	}{
		{"served", []Outcome{Served, Served}, 0, false},
		{"unreachable", []Outcome{Served, Unreachable}, 0, true},
		{"one lost answer", []Outcome{Served, Silent}, 0, false},
		{"two silences in a row", []Outcome{Served, Silent, Silent}, 0, true},
		{"silences between answers", []Outcome{Silent, Served, Silent, Served}, 0, false},
		{"half of the answers fail", []Outcome{Failed, Served, Failed, Served, Failed, Served, Failed}, 0, true},
		{"half fail everywhere", []Outcome{Failed, Served, Failed, Served, Failed, Served, Failed}, 0.5, false},
		{"a few fail", []Outcome{Served, Failed, Served, Served, Served, Failed, Served, Served}, 0, false},
		{"full is no failure", []Outcome{Busy, Busy, Busy, Busy, Busy}, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := New()
			for _, outcome := range c.outcomes {
				tracker.Note("e", outcome, c.common, start)
			}
			must.Eq(t, c.ejected, tracker.Ejected("e", start))
		})
	}
}

func TestEjectedTargetComesBackSlowly(t *testing.T) {
	tracker := New()
	now := start
	last := time.Duration(0)
	for range 6 {
		tracker.Note("e", Unreachable, 0, now)
		began := now
		for tracker.Ejected("e", now) {
			now = now.Add(10 * time.Millisecond)
		}
		must.GreaterEq(t, last, now.Sub(began))
		last = now.Sub(began)
		tracker.Chosen("e", now)
		must.True(t, tracker.Ejected("e", now), must.Sprint("one trial at a time"))
	}
	must.LessEq(t, 4*time.Second, last)
	tracker.Recovered("e")
	tracker.Note("e", Served, 0, now)
	must.False(t, tracker.Ejected("e", now))
}

func TestForgottenTargetIsNotSuspected(t *testing.T) {
	tracker := New()
	tracker.Note("e", Unreachable, 0, start)
	tracker.Forget(func(string) bool { return false })
	must.False(t, tracker.Ejected("e", start))
}

func TestHeldTargetIsLeftAloneUntilReleased(t *testing.T) {
	tracker := New()
	tracker.Note("e", Unreachable, 0, start)
	tracker.Hold("e")
	must.True(t, tracker.Ejected("e", start.Add(time.Hour)))
	must.True(t, tracker.Held("e"))
	tracker.Release("e")
	must.False(t, tracker.Ejected("e", start))
	must.False(t, tracker.Held("e"))
}
