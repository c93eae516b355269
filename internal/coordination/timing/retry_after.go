package timing

import (
	"math/rand/v2"
	"time"
)

// Cause is the reason why a request was not served.
type Cause int

// Reasons why a request was not served.
const (
	TargetFull        Cause = iota // the target had no free slot; it has one when a few requests end
	NoTargetReachable              // no target could be reached, which lasts longer than a lack of slots
	DaemonStarting                 // this daemon has just started; other daemons can serve the request
	DaemonStopping                 // this daemon is about to end; other daemons can serve the request
)

// Delays after which a caller may retry.
const (
	fullDelay        = 100 * time.Millisecond
	unreachableDelay = time.Second
	elsewhereDelay   = 50 * time.Millisecond // other daemons can serve the request at once
	// The remaining time divided by maxDelayDivisor is the longest delay that callers
	// honour, by the users' protocol.
	maxDelayDivisor = 3
)

// RetryAfter returns the delay after which a caller whose request was not served
// should retry. A random addition of up to half the delay keeps callers that were
// refused together from retrying together. Remaining is the caller's remaining
// time, which limits the delay if it is more than 0.
func RetryAfter(cause Cause, remaining time.Duration) time.Duration {
	delay := fullDelay
	switch cause {
	case NoTargetReachable:
		delay = unreachableDelay
	case DaemonStarting, DaemonStopping:
		delay = elsewhereDelay
	}
	return spread(delay, remaining)
}

// RetryAfterRefusal returns the delay after which a caller should retry if all targets
// of a service want no requests for a time.
func RetryAfterRefusal(refusing, remaining time.Duration) time.Duration {
	return spread(max(refusing, fullDelay), remaining)
}

// spread adds a random part to a delay, so that callers that were refused together do
// not retry together, and limits the sum to what callers honour.
func spread(delay, remaining time.Duration) time.Duration {
	delay += time.Duration(rand.Int64N(int64(delay) / 2))
	if remaining > 0 {
		delay = min(delay, remaining/maxDelayDivisor)
	}
	return delay
}
