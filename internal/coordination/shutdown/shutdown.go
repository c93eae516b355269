// Package shutdown plans a graceful stop of a daemon: until when it takes which requests, and
// when it cuts those that still run. It is a decision without I/O or clock. New plans a stop with
// the times of the users' platform, NewWithTimes one with times of the operator.
//
// Invariant: a request that is taken after DrainAt has its final answer before CutAt, whatever
// its target does, as its deadline is before. So only requests that came while the platform may
// still have sent them here can be cut.
package shutdown

import "time"

const (
	// drainDelay is how long the platform may go on sending new connections after the daemon
	// reports that it is not ready: it checks readiness once a second and acts on two equal
	// results.
	drainDelay = 2500 * time.Millisecond
	// cutMargin is the part of the grace period that is left to answer the requests that are
	// cut, thousands on a host with a part of a core, and to exit.
	cutMargin = time.Second
	// minCutDivisor bounds cutMargin by a part of the grace period: running requests keep
	// the last sixth at least in part.
	minCutDivisor = 8
	// answerEighths and exitEighths divide cutMargin: the answers have five eighths of it, the
	// exit has two, and one is left.
	answerEighths, exitEighths = 5, 2
	// maxSetCutMargin is cutMargin for a stop with a set timeout: other daemons confirm within
	// 2 s that a request is cancelled, and the result of a keyed call is stored within 1 s.
	maxSetCutMargin = 4 * time.Second
	// minSetCutDivisor bounds maxSetCutMargin by a part of the timeout.
	minSetCutDivisor = 4
	// exitDivisor divides that margin: the part is left to exit.
	exitDivisor = 8
	// answerSlack is how long after its deadline a request may get its answer.
	answerSlack = 100 * time.Millisecond
)

// Plan is the plan of one stop.
type Plan struct {
	DrainAt time.Time // from then on only requests are taken that end in time
	CutAt   time.Time // requests that still run are cut
	EndAt   time.Time // connections that are still open are closed
	ExitAt  time.Time // the process exits, whatever has not ended
}

// New returns the plan of a stop that begins now.
func New(now time.Time, grace time.Duration) Plan {
	margin := min(cutMargin, grace/minCutDivisor)
	cutAt := now.Add(grace - margin)
	endAt := cutAt.Add(margin / 8 * answerEighths)
	return Plan{DrainAt: now.Add(min(drainDelay, grace/2)), CutAt: cutAt, EndAt: endAt, ExitAt: endAt.Add(margin / 8 * exitEighths)}
}

// NewWithTimes returns the plan of a stop that began at a time and ends after the timeout. All
// requests are taken for the delay from now, if the timeout allows it.
func NewWithTimes(began, now time.Time, delay, timeout time.Duration) Plan {
	margin := min(maxSetCutMargin, timeout/minSetCutDivisor)
	cutAt := began.Add(timeout - margin)
	drainAt := now.Add(delay)
	if drainAt.After(cutAt) {
		drainAt = cutAt
	}
	return Plan{DrainAt: drainAt, CutAt: cutAt, EndAt: began.Add(timeout - margin/exitDivisor), ExitAt: began.Add(timeout)}
}

// Takes reports whether a request that has been read whole is taken, given when it must have its
// answer.
func (p Plan) Takes(now, deadline time.Time) bool {
	return now.Before(p.DrainAt) || !deadline.Add(answerSlack).After(p.CutAt)
}
