package admission

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// takenLife is how long a request that was taken over from a lost home is set off
// against the counts of that home: longer than the daemons' views differ.
const takenLife = 5 * time.Second

// taken counts the requests that this daemon has lately taken over. Until the
// former home is known to be down they are in its last counts as well.
type taken struct {
	recent int // all of them, for peers
	early  int // those taken over before the former home was known to be down
	last   time.Time
}

func (t *taken) add(now time.Time, early bool) {
	t.recent++
	t.last = now
	if early {
		t.early++
	}
}

// expire forgets them after takenLife, and reports whether there were any.
func (t *taken) expire(now time.Time) bool {
	if t.recent == 0 || now.Sub(t.last) <= takenLife {
		return false
	}
	t.recent, t.early = 0, 0
	return true
}

// useEarly takes up to limit of the early ones away and returns how many.
func (t *taken) useEarly(limit int) int {
	used := min(t.early, limit)
	t.early -= used
	return used
}

// taker is a peer that has lately taken requests of an engine over.
type taker struct {
	daemon   string
	inFlight int
	taken    int
}

// setTaker takes in what a peer has taken over, or drops it if sign is negative.
func (e *engine) setTaker(daemon string, count *peerpb.EngineCount, sign int) {
	if len(e.takers) > 0 {
		e.takers = slices.DeleteFunc(e.takers, func(each taker) bool { return each.daemon == daemon })
	}
	if sign > 0 && count.GetTakenOver() > 0 {
		e.takers = append(e.takers, taker{daemon, int(count.GetInFlight()), int(count.GetTakenOver())})
	}
}

// takenByPeers sums what peers have lately taken over.
func (e *engine) takenByPeers() int {
	sum := 0
	for _, each := range e.takers {
		sum += each.taken
	}
	return sum
}

// counted is what this daemon and its live peers carry. A request that was taken
// over is not counted again with its former home.
func (e *engine) counted() int {
	total := e.own + e.peers
	twice := min(e.taken.early, e.peers)
	for _, each := range e.takers {
		twice += min(each.taken, total-each.inFlight)
	}
	return max(0, total-twice)
}
