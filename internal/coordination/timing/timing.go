// Package timing sets the timeouts after which another target is tried, and the
// delays after which callers may retry. The timeouts cover two faults that show in
// no other way: a target that hangs or whose answers are lost while its connections
// stay open, and a failure domain that is cut off without connection resets.
package timing

import (
	"time"

	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/routing"
)

// Timeouts as factors of the route's latency objective and pause limit. While an
// engine prefills a long prompt, all its streams are silent for several hundred
// milliseconds; callers leave after four latency objectives, or eight pause limits.
const (
	streamFirstByteFactor = 1.0 // of the objective, in addition to the prefill time
	plainFirstByteFactor  = 0.8 // of the objective
	pauseFactor           = 2.5 // of the pause limit
	// maxSlownessFactor bounds the additional time for a slow target: callers leave after four
	// objectives, and the other target needs the rest.
	maxSlownessFactor = 2.0
	// prefillTimePerToken is the prefill time allowed for a token of the prompt: about
	// three times what the users' engines take.
	prefillTimePerToken = 30 * time.Microsecond
	// promptHoldFactor is the part of the objective for which a request may wait for its
	// session's prompt to be read for another request. Reading it once more would take
	// as long.
	promptHoldFactor = 0.25
)

// FirstByteTimeout returns how long to wait for the first byte of a target's answer
// before the request is retried at another target, if that is allowed.
func FirstByteTimeout(route *routing.Route, call relay.Call) time.Duration {
	if route.LatencyObjective <= 0 {
		return noTimeout
	}
	if route.Kind == routing.Stream {
		return time.Duration(streamFirstByteFactor*float64(route.LatencyObjective)) + time.Duration(call.PromptTokens)*prefillTimePerToken
	}
	return time.Duration(plainFirstByteFactor * float64(route.LatencyObjective))
}

// MaxPromptHold returns how long a request may wait until an engine has read the prompt
// of its session for another request.
func MaxPromptHold(route *routing.Route, call relay.Call) time.Duration {
	hold := time.Duration(call.PromptTokens) * prefillTimePerToken
	if route.LatencyObjective > 0 {
		hold = min(hold, time.Duration(promptHoldFactor*float64(route.LatencyObjective)))
	}
	return hold
}

// PauseTimeout returns how long to wait for the next event of a stream that has begun
// before the stream is resumed at another target, if that is allowed.
func PauseTimeout(route *routing.Route) time.Duration {
	if route.PauseObjective <= 0 {
		return noTimeout
	}
	return time.Duration(pauseFactor * float64(route.PauseObjective))
}

// ForSlowness returns a timeout for a target at which work takes slowness times as long as usual: a target that is
// known to be slow is not silent yet when others would be. A slowness of 0 is not known.
func ForSlowness(timeout time.Duration, slowness float64) time.Duration {
	return time.Duration(float64(timeout) * max(1, min(slowness, maxSlownessFactor)))
}

// noTimeout stands for no timeout: it is longer than any request may take.
const noTimeout = time.Hour
