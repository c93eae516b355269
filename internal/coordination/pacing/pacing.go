// Package pacing decides how long to wait for a target before another one is
// tried. It answers two patterns: a target whose answers are lost or that hangs
// while its connections stay open, and a failure domain that is cut off without
// a reset; nothing but silence shows either.
package pacing

import (
	"time"

	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/routing"
)

// Multiples of the objectives after which silence is taken for a failure. An
// engine that reads long prompts is silent for some hundred milliseconds to all
// its streams; callers leave after four objectives, or eight pauses.
const (
	streamStart = 1.0 // of the objective, beside the prompt's reading
	plainStart  = 0.8 // of the objective
	pauses      = 2.5 // of the longest pause that is on time
	// readingTime is how long a token of the prompt is given to be read: about
	// threefold what the users' engines take.
	readingTime = 30 * time.Microsecond
)

// FirstByte returns how long a target may take to begin its answer before another
// one is tried, if one may be.
func FirstByte(route *routing.Route, call relay.Call) time.Duration {
	if route.Objective <= 0 {
		return unlimited
	}
	if route.Kind == routing.Stream {
		return time.Duration(streamStart*float64(route.Objective)) + time.Duration(call.PromptTokens)*readingTime
	}
	return time.Duration(plainStart * float64(route.Objective))
}

// Pause returns how long a stream that has begun may be silent before another
// target goes on with it, if one may.
func Pause(route *routing.Route) time.Duration {
	if route.PauseLimit <= 0 {
		return unlimited
	}
	return time.Duration(pauses * float64(route.PauseLimit))
}

// unlimited is longer than any request may take.
const unlimited = time.Hour
