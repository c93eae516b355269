package attempt_test

import (
	"math/rand/v2"
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

// A failure domain that is cut off breaks off what half of a second's requests and
// more have begun: that much is there at once.
func TestBudgetKeepsEnoughForACut(t *testing.T) {
	const perSecond, extra, broken = 20, 6.5, 13
	budget := NewBudget(0.2, 10*time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 30 * perSecond {
		now = now.Add(time.Second / perSecond)
		budget.Request(extra, now)
	}
	for range broken {
		must.True(t, budget.Spend(extra, now))
	}
}

// The users count the requests of a window, of the one before it or of the one half
// a window before, whichever has most. Traffic that comes and goes, and retries at
// any time, must stay within that.
func TestBudgetHoldsForTrafficThatComesAndGoes(t *testing.T) {
	const ratio, extra, window, tick = 0.2, 7.0, 10 * time.Second, 50 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		budget := NewBudget(ratio, window)
		var requests, spent []int // by tick
		rate, greed := 1.0, 0.5
		for i := range 2400 {
			if i%40 == 0 {
				rate, greed = 3*random.Float64()*random.Float64(), random.Float64()
			}
			now := start.Add(time.Duration(i) * tick)
			requests, spent = append(requests, 0), append(spent, 0)
			for range int(rate + random.Float64()) {
				budget.Request(extra, now)
				requests[i]++
			}
			for random.Float64() < greed && budget.Spend(extra, now) {
				spent[i]++
			}
		}
		const ticks = int(window / tick)
		for from := range len(spent) - ticks {
			counted := max(sum(requests, from, ticks), sum(requests, from-ticks, ticks), sum(requests, from-ticks/2, ticks))
			must.LessEq(t, ratio*float64(counted)+extra, float64(sum(spent, from, ticks)), must.Sprint("seed ", seed, " from ", from))
		}
	}
}

// sum adds count values from an index on; there is nothing before the first.
func sum(values []int, from, count int) int {
	total := 0
	for i := max(0, from); i < from+count; i++ {
		total += values[i]
	}
	return total
}

// What 20 requests earn is a retry at least, and four at most by the users' ratio.
func TestBudgetRunsOut(t *testing.T) {
	budget := NewBudget(0.2, 10*time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for budget.Spend(8, now) {
	}
	for range 20 {
		budget.Request(8, now)
	}
	earned := 0
	for budget.Spend(8, now) {
		earned++
	}
	must.Between(t, 1, earned, 4)
}
