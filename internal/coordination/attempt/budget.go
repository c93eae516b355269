package attempt

import (
	"math"
	"time"
)

// Budget limits the retries of one service. The users' limit holds for all daemons
// together in every sliding window: a ratio of the requests plus a fixed number.
// Each daemon uses its share of that number, which is called extra.
type Budget struct {
	ratio          float64
	window         time.Duration
	requestTokens  float64 // retries available; added by requests
	timeTokens     float64 // retries available; added over time
	recentRequests float64 // requests of about one window; their weight decays with age
	refilledAt     time.Time
}

// Shares of the ratio. When a failure domain is cut off, many streams break at the
// same time. Requests therefore add tokens slowly, and the tokens are kept for
// longer. Both shares together leave a fifth of the ratio for requests that the
// users count in another window than this daemon does.
const (
	earnedShare = 0.5 // tokens that each request adds
	savedShare  = 0.3 // tokens that may be saved for a burst, for each request of a window
)

// NewBudget returns a budget. Ratio is the number of retries allowed for each
// request, and window is the time over which both are counted. Only the tokens that
// are added over time are full at the first use.
func NewBudget(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, window: window}
}

// RecordRequest records a request of the service. Extra is this daemon's share of the
// retries that are allowed in a window in addition to the ratio.
func (b *Budget) RecordRequest(extra float64, now time.Time) {
	b.refill(extra, now)
	b.recentRequests++
	b.requestTokens = min(b.requestTokens+earnedShare*b.ratio, max(1, extra/2+savedShare*b.ratio*b.recentRequests))
}

// Spend takes a retry from the budget, and reports whether there was one.
func (b *Budget) Spend(extra float64, now time.Time) bool {
	b.refill(extra, now)
	switch {
	case b.requestTokens >= 1:
		b.requestTokens--
	case b.timeTokens >= 1:
		b.timeTokens--
	default:
		return false
	}
	return true
}

// refill adds the tokens for the time since the last refill. A quarter of extra is
// available at once and another quarter is added over a window; the other half is
// left for saved tokens of earlier requests. No window gets more than extra retries
// in addition to the ratio.
func (b *Budget) refill(extra float64, now time.Time) {
	quarter := extra / 4
	if b.refilledAt.IsZero() {
		b.timeTokens, b.refilledAt = quarter, now
		return
	}
	windows := float64(now.Sub(b.refilledAt)) / float64(b.window)
	b.timeTokens = min(quarter, b.timeTokens+quarter*windows)
	b.recentRequests *= math.Exp(-windows)
	b.refilledAt = now
}
