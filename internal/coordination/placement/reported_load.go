package placement

import (
	"cmp"
	"slices"
	"time"
)

// Heard is a target's latest reported load, as daemons exchange it. Without the
// exchange, many daemons that each send a few requests of one session to its
// engine receive reports from it too rarely to know that it is full.
type Heard struct {
	Target uint32        // low 32 bits of the hash of the target's id
	Load   int           // requests in progress or waiting at the target
	Age    time.Duration // time since the target's report
}

// Hottest returns at most count targets that have a fresh report, in descending
// order of load. Targets that serve only this daemon's requests are left out.
func (t *Table) Hottest(count int, now time.Time) []Heard {
	elapsed := now.Sub(t.createdAt)
	var loads []Heard
	for hash, c := range t.byHash {
		if c.load.fresh(elapsed) && c.load.otherRequests > 0 {
			loads = append(loads, Heard{Target: hash, Load: c.load.ownRequests + c.load.otherRequests, Age: elapsed - c.load.reportedAt})
		}
	}
	slices.SortFunc(loads, func(a, b Heard) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Target, b.Target))
	})
	return loads[:min(count, len(loads))]
}

// Hear records the loads that another daemon has sent, except those of unknown
// targets and those that are not newer than this daemon's own.
func (t *Table) Hear(loads []Heard, now time.Time) {
	elapsed := now.Sub(t.createdAt)
	for _, load := range loads {
		c := t.byHash[load.Target]
		if c == nil {
			continue
		}
		if reportedAt := elapsed - load.Age; !c.load.reported || reportedAt > c.load.reportedAt {
			c.load.recordReport(load.Load, reportedAt)
		}
	}
}
