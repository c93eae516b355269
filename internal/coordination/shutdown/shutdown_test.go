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
		"late, and it ends just when others are cut": {6 * time.Second, time.Second, false},
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
		must.True(t, plan.EndAt.Before(plan.ExitAt))
		must.True(t, plan.ExitAt.Before(start.Add(grace)))
	}
}

func TestStopWithSetTimesKeepsThem(t *testing.T) {
	const seconds = time.Second
	began := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		begunFor, delay, timeout   time.Duration
		drainAfter, cutAfter, ends time.Duration // since it began
	}{
		"long":                        {0, 2 * seconds, 600 * seconds, 2 * seconds, 596 * seconds, 599500 * time.Millisecond},
		"delay begins later":          {3 * seconds, 2 * seconds, 600 * seconds, 5 * seconds, 596 * seconds, 599500 * time.Millisecond},
		"no delay":                    {0, 0, 8 * seconds, 0, 6 * seconds, 7750 * time.Millisecond},
		"delay longer than the stop":  {0, 60 * seconds, 8 * seconds, 6 * seconds, 6 * seconds, 7750 * time.Millisecond},
		"the delay begins at the end": {8 * seconds, 2 * seconds, 8 * seconds, 6 * seconds, 6 * seconds, 7750 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			plan := NewWithTimes(began, began.Add(c.begunFor), c.delay, c.timeout)
			must.Eq(t, []time.Duration{c.drainAfter, c.cutAfter, c.ends},
				[]time.Duration{plan.DrainAt.Sub(began), plan.CutAt.Sub(began), plan.EndAt.Sub(began)})
		})
	}
}
