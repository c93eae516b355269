package ledger

import (
	"sync"
	"time"
)

// Limits of claim writes.
const (
	// writesPerSecond is the budget of the whole fleet. It leaves a part of the
	// platform's write capacity to other objects.
	writesPerSecond = 300
	// maxBurst is the number of writes that an idle daemon can make at once.
	maxBurst = 32
)

// writeLimiter is a token bucket for the writes of one daemon. While it is empty,
// writes wait, and each of them commits more operations.
type writeLimiter struct {
	mu              sync.Mutex
	tokensPerSecond float64
	tokens          float64 // negative: the number of tokens that writers wait for
	refilledAt      time.Time
}

func newWriteLimiter() *writeLimiter {
	return &writeLimiter{tokensPerSecond: writesPerSecond, tokens: maxBurst, refilledAt: time.Now()}
}

// setDaemonCount sets the number of daemons that share the budget.
func (l *writeLimiter) setDaemonCount(daemons int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(time.Now())
	l.tokensPerSecond = writesPerSecond / float64(max(1, daemons))
}

// wait takes a token and sleeps until the token is available.
func (l *writeLimiter) wait() {
	time.Sleep(l.reserve(time.Now()))
}

// returnToken returns a token that was not used.
func (l *writeLimiter) returnToken() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens++
}

// reserve takes a token and returns the time until the token is available.
func (l *writeLimiter) reserve(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	l.tokens--
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / l.tokensPerSecond * float64(time.Second))
}

// refill adds the tokens for the time since the last call.
func (l *writeLimiter) refill(now time.Time) {
	l.tokens = min(maxBurst, l.tokens+l.tokensPerSecond*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}
