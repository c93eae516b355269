package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/attempt"
)

// The users count retries in sliding windows: no window may hold more than the
// ratio of its requests and the extra.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		ratio     = 0.2
		window    = 10 * time.Second
		extra     = 7.0 // of one of eight daemons
		perSecond = 20
		seconds   = 60
	)
	for _, burst := range []time.Duration{0, 25 * time.Second} {
		budget := NewBudget(ratio, window)
		var spent []time.Time
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range perSecond * seconds {
			now := start.Add(time.Duration(i) * time.Second / perSecond)
			budget.Request(extra, now)
			for now.Sub(start) >= burst && budget.Spend(extra, now) {
				spent = append(spent, now)
			}
		}
		must.SliceNotEmpty(t, spent)
		for _, from := range spent {
			count := 0
			for _, at := range spent {
				if !at.Before(from) && at.Sub(from) < window {
					count++
				}
			}
			must.LessEq(t, ratio*perSecond*window.Seconds()+extra, float64(count))
		}
	}
}

func TestBudgetRunsOut(t *testing.T) {
	budget := NewBudget(0.2, 10*time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for budget.Spend(8, now) {
	}
	for range 10 {
		budget.Request(8, now)
	}
	must.True(t, budget.Spend(8, now))
}
