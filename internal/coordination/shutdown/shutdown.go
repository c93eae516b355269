// Package shutdown plans a graceful stop of a daemon: until when it takes which requests, and
// when it cuts those that still run. It is a decision without I/O or clock.
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
	// cut and to exit.
	cutMargin = 600 * time.Millisecond
	// minCutDivisor bounds cutMargin by a part of the grace period: running requests keep
	// the last sixth at least in part.
	minCutDivisor = 8
	// answerSlack is how long after its deadline a request may get its answer.
	answerSlack = 100 * time.Millisecond
)

// Plan is the plan of one stop.
type Plan struct {
	DrainAt time.Time // from then on only requests are taken that end in time
	CutAt   time.Time // requests that still run are cut
	EndAt   time.Time // the process ends
}

// New returns the plan of a stop that begins now.
func New(now time.Time, grace time.Duration) Plan {
	margin := min(cutMargin, grace/minCutDivisor)
	return Plan{
		DrainAt: now.Add(min(drainDelay, grace/2)),
		CutAt:   now.Add(grace - margin),
		EndAt:   now.Add(grace - margin/2),
	}
}

// Takes reports whether a request that has been read whole is taken, given when it must have its
// answer.
func (p Plan) Takes(now, deadline time.Time) bool {
	return now.Before(p.DrainAt) || !deadline.Add(answerSlack).After(p.CutAt)
}
