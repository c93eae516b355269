package shutdown_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/shutdown"
)

func TestRequestIsTakenOnlyIfItEndsInTime(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	plan := New(start, 8*time.Second)
	for name, c := range map[string]struct {
		at, remaining time.Duration
		taken         bool
	}{
		"while the platform may send it here":        {2 * time.Second, 12 * time.Second, true},
		"later, and it may outlast the stop":         {3 * time.Second, 12 * time.Second, false},
		"later, and it ends in time":                 {3 * time.Second, 1500 * time.Millisecond, true},
		"late, and it ends in time":                  {6 * time.Second, 800 * time.Millisecond, true},
		"late, and it ends just when others are cut": {6 * time.Second, 1400 * time.Millisecond, false},
		"after the cut":                              {7900 * time.Millisecond, time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := start.Add(c.at)
			must.Eq(t, c.taken, plan.Takes(now, now.Add(c.remaining)))
		})
	}
}

// The users excuse a cut only in the last sixth of the grace period.
func TestCutIsInTheLastSixthOfTheGrace(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, grace := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 8 * time.Second, 30 * time.Second} {
		plan := New(start, grace)
		must.GreaterEq(t, grace*5/6, plan.CutAt.Sub(start))
		must.True(t, plan.DrainAt.Before(plan.CutAt))
		must.True(t, plan.CutAt.Before(plan.EndAt))
		must.True(t, plan.EndAt.Before(start.Add(grace)))
	}
}
