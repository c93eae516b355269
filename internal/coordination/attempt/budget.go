package attempt

import (
	"math"
	"time"
)

// Budget bounds one service's retries. The users count the retries of all
// daemons in sliding windows against a ratio of the requests and a number
// besides; each daemon takes its part of that number.
type Budget struct {
	ratio  float64
	window time.Duration
	// tokens of the two parts, which fill with requests and with time.
	earned  float64
	granted float64
	recent  float64 // requests of about a window, older ones fading
	last    time.Time
}

// Parts of the ratio. A failure domain that is cut off breaks many streams off at
// one moment: so requests earn slowly, and what they earn is kept for longer. Both
// parts together leave a fifth for requests of this daemon that the users count in
// another window than it does.
const (
	earnedPart = 0.5 // is earned by each request
	keptPart   = 0.3 // of a window's requests may be kept for a burst
)

// NewBudget returns a full budget. Ratio is retries for each request, and
// window the time over which they are counted.
func NewBudget(ratio float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, window: window}
}

// Request notes a request of the service. Extra is this daemon's part of the
// retries that are allowed besides in a window.
func (b *Budget) Request(extra float64, now time.Time) {
	b.refill(extra, now)
	b.recent++
	b.earned = min(b.earned+earnedPart*b.ratio, max(1, extra/2+keptPart*b.ratio*b.recent))
}

// Spend takes a retry, and reports whether there was one.
func (b *Budget) Spend(extra float64, now time.Time) bool {
	b.refill(extra, now)
	switch {
	case b.earned >= 1:
		b.earned--
	case b.granted >= 1:
		b.granted--
	default:
		return false
	}
	return true
}

// refill grants a quarter of the extra at once and a quarter over a window; half
// is kept for what has been earned earlier. So no window sees more than all of it.
func (b *Budget) refill(extra float64, now time.Time) {
	quarter := extra / 4
	if b.last.IsZero() {
		b.granted, b.last = quarter, now
		return
	}
	windows := float64(now.Sub(b.last)) / float64(b.window)
	b.granted = min(quarter, b.granted+quarter*windows)
	b.recent *= math.Exp(-windows)
	b.last = now
}
