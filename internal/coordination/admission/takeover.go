package admission

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// takeoverLifetime is how long a request taken over from a lost home daemon is
// deducted from the last counts of that daemon. It is longer than the daemons'
// membership views can differ.
const takeoverLifetime = 5 * time.Second

// recentTakeovers counts the requests that this daemon has recently taken over from
// lost home daemons. Until a former home daemon is known to be down, its last
// counts still include these requests.
type recentTakeovers struct {
	total      int // all recent takeovers, as reported to peers
	beforeDown int // those made before the former home daemon was known to be down
	lastAt     time.Time
}

func (t *recentTakeovers) add(now time.Time, beforeDown bool) {
	t.total++
	t.lastAt = now
	if beforeDown {
		t.beforeDown++
	}
}

// expire resets the counts if the last takeover is older than takeoverLifetime. It
// reports whether it reset any.
func (t *recentTakeovers) expire(now time.Time) bool {
	if t.total == 0 || now.Sub(t.lastAt) <= takeoverLifetime {
		return false
	}
	t.total, t.beforeDown = 0, 0
	return true
}

// consumeBeforeDown removes up to limit takeovers from beforeDown and returns how
// many it removed.
func (t *recentTakeovers) consumeBeforeDown(limit int) int {
	consumed := min(t.beforeDown, limit)
	t.beforeDown -= consumed
	return consumed
}

// peerTakeover counts the requests on an engine that a peer has recently taken over
// from lost home daemons.
type peerTakeover struct {
	daemon    string
	inFlight  int // all requests of the peer on the engine
	takenOver int // those that were taken over
}

// setPeerTakeover replaces the takeovers that a peer reported for the engine, or
// removes them if sign is negative.
func (e *engine) setPeerTakeover(daemon string, count *peerpb.EngineCount, sign int) {
	if len(e.peerTakeovers) > 0 {
		e.peerTakeovers = slices.DeleteFunc(e.peerTakeovers, func(takeover peerTakeover) bool { return takeover.daemon == daemon })
	}
	if sign > 0 && count.GetTakenOver() > 0 {
		e.peerTakeovers = append(e.peerTakeovers, peerTakeover{daemon, int(count.GetInFlight()), int(count.GetTakenOver())})
	}
}

// takenOverByPeers returns how many requests peers have recently taken over.
func (e *engine) takenOverByPeers() int {
	sum := 0
	for _, takeover := range e.peerTakeovers {
		sum += takeover.takenOver
	}
	return sum
}

// liveLoad returns the number of requests that this daemon and its live peers count
// on the engine. A request that was taken over is deducted once, as the counts of
// its former home daemon still include it.
func (e *engine) liveLoad() int {
	total := e.ownInFlight + e.peerInFlight
	doubleCounted := min(e.takeovers.beforeDown, e.peerInFlight)
	for _, takeover := range e.peerTakeovers {
		doubleCounted += min(takeover.takenOver, total-takeover.inFlight)
	}
	return max(0, total-doubleCounted)
}
