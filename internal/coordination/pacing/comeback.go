package pacing

import (
	"math/rand/v2"
	"time"
)

// Shortage is why a request could not be served.
type Shortage int

// Shortages.
const (
	Full     Shortage = iota // the target had no room: that passes within some answers
	Gone                     // no target could be reached: that lasts
	Starting                 // this daemon has just started; others serve
)

// Pauses after which a caller may come back.
const (
	fullPause     = 100 * time.Millisecond
	gonePause     = time.Second
	startingPause = 50 * time.Millisecond
	// patienceShare of the caller's time is the longest pause that callers honour,
	// by the users' protocol.
	patienceShare = 3
)

// ComeBack returns when a caller that has not been served should come back. Up
// to half as much again is random: callers that were turned away together do not
// return together.
func ComeBack(shortage Shortage, left time.Duration) time.Duration {
	pause := fullPause
	switch shortage {
	case Gone:
		pause = gonePause
	case Starting:
		pause = startingPause
	}
	pause += time.Duration(rand.Int64N(int64(pause) / 2))
	if left > 0 {
		pause = min(pause, left/patienceShare)
	}
	return pause
}
