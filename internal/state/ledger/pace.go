package ledger

import (
	"sync"
	"time"
)

// The fleet's budget of claim writes, a part of what the platform can take.
const (
	writesPerSecond = 300
	// burst is how many writes one daemon makes at once after a quiet time.
	burst = 32
)

// pace is a token bucket for one daemon's writes. While it is empty, writes wait
// and gather more operations each.
type pace struct {
	mu     sync.Mutex
	rate   float64 // tokens a second
	tokens float64 // below zero: tokens that writers wait for
	filled time.Time
}

func newPace() *pace { return &pace{rate: writesPerSecond, tokens: burst, filled: time.Now()} }

// share sets how many daemons share the budget.
func (p *pace) share(daemons int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(time.Now())
	p.rate = writesPerSecond / float64(max(1, daemons))
}

// take takes a token and waits until it is there.
func (p *pace) take() {
	time.Sleep(p.reserve(time.Now()))
}

// giveBack returns a token that was not used.
func (p *pace) giveBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens++
}

// reserve takes a token and returns when it will be there.
func (p *pace) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now)
	p.tokens--
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}

func (p *pace) fill(now time.Time) {
	p.tokens = min(burst, p.tokens+p.rate*now.Sub(p.filled).Seconds())
	p.filled = now
}
