package attempt_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/attempt"
)

// The users count retries in sliding windows. No window may contain more retries
// than the ratio of its requests plus extra.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const (
		ratio     = 0.2
		window    = 10 * time.Second
		extra     = 7.0 // share of one of eight daemons
		perSecond = 20
		seconds   = 60
	)
	for _, spendAfter := range []time.Duration{0, 25 * time.Second} {
		budget := NewBudget(ratio, window)
		var spent []time.Time
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for i := range perSecond * seconds {
			now := start.Add(time.Duration(i) * time.Second / perSecond)
			budget.RecordRequest(extra, now)
			for now.Sub(start) >= spendAfter && budget.Spend(extra, now) {
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

// When a failure domain is cut off, the streams of more than half of a second's
// requests break at once. The budget must have that many retries available.
func TestBudgetCoversBurstOfBrokenStreams(t *testing.T) {
	const perSecond, extra, brokenStreams = 20, 6.5, 13
	budget := NewBudget(0.2, 10*time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 30 * perSecond {
		now = now.Add(time.Second / perSecond)
		budget.RecordRequest(extra, now)
	}
	for range brokenStreams {
		must.True(t, budget.Spend(extra, now))
	}
}

// The users count the retries of a window against the requests of that window, of
// the one before it or of the one half a window before, whichever has most. The
// limit must hold for varying traffic and for retries at any time.
func TestBudgetHoldsForVaryingTraffic(t *testing.T) {
	const ratio, extra, window, tick = 0.2, 7.0, 10 * time.Second, 50 * time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		budget := NewBudget(ratio, window)
		var requests, spent []int // by tick
		requestsPerTick, spendProbability := 1.0, 0.5
		for i := range 2400 {
			if i%40 == 0 {
				requestsPerTick, spendProbability = 3*random.Float64()*random.Float64(), random.Float64()
			}
			now := start.Add(time.Duration(i) * tick)
			requests, spent = append(requests, 0), append(spent, 0)
			for range int(requestsPerTick + random.Float64()) {
				budget.RecordRequest(extra, now)
				requests[i]++
			}
			for random.Float64() < spendProbability && budget.Spend(extra, now) {
				spent[i]++
			}
		}
		const windowTicks = int(window / tick)
		for from := range len(spent) - windowTicks {
			countedRequests := max(sum(requests, from, windowTicks), sum(requests, from-windowTicks, windowTicks), sum(requests, from-windowTicks/2, windowTicks))
			must.LessEq(t, ratio*float64(countedRequests)+extra, float64(sum(spent, from, windowTicks)), must.Sprint("seed ", seed, " from ", from))
		}
	}
}

// sum adds up count values that start at an index. Values before the first one count
// as 0.
func sum(values []int, from, count int) int {
	total := 0
	for i := max(0, from); i < from+count; i++ {
		total += values[i]
	}
	return total
}

// 20 requests add at least one retry, and at most four by the users' ratio.
func TestBudgetRunsOut(t *testing.T) {
	budget := NewBudget(0.2, 10*time.Second)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for budget.Spend(8, now) {
	}
	for range 20 {
		budget.RecordRequest(8, now)
	}
	earned := 0
	for budget.Spend(8, now) {
		earned++
	}
	must.Between(t, 1, earned, 4)
}
