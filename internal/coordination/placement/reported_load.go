package placement

import (
	"cmp"
	"slices"
	"time"

	"hemlockknot/internal/state/fleet"
)

// ReportedLoad is a target's latest reported load, as daemons exchange it. Without
// the exchange, many daemons that each send a few requests of one session to its
// engine receive reports from the engine too rarely to know that it is full.
type ReportedLoad struct {
	TargetHash uint32        // low 32 bits of the hash of the target's id
	Requests   int           // requests in progress or waiting at the target
	Age        time.Duration // time since the target's report
}

// MostLoaded returns at most count targets that have a fresh report, in descending
// order of load. Targets that serve only this daemon's requests are left out.
func (t *Table) MostLoaded(count int, now time.Time) []ReportedLoad {
	elapsed := now.Sub(t.createdAt)
	var loads []ReportedLoad
	for hash, c := range t.byHash {
		if c.load.fresh(elapsed) && c.load.otherRequests > 0 {
			loads = append(loads, ReportedLoad{TargetHash: hash, Requests: c.load.ownRequests + c.load.otherRequests, Age: elapsed - c.load.reportedAt})
		}
	}
	slices.SortFunc(loads, func(a, b ReportedLoad) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.TargetHash, b.TargetHash))
	})
	return loads[:min(count, len(loads))]
}

// TargetByHash returns the target with the low 32 bits of its id's hash, nil if there is none.
func (t *Table) TargetByHash(hash uint32) *fleet.Target {
	if c := t.byHash[hash]; c != nil {
		return c.target
	}
	return nil
}

// MergeLoads records the loads that another daemon has sent, except those of unknown
// targets and those that are not newer than the report that this daemon has.
func (t *Table) MergeLoads(loads []ReportedLoad, now time.Time) {
	elapsed := now.Sub(t.createdAt)
	for _, load := range loads {
		c := t.byHash[load.TargetHash]
		if c == nil {
			continue
		}
		if reportedAt := elapsed - load.Age; !c.load.reported || reportedAt > c.load.reportedAt {
			c.load.recordReport(load.Requests, reportedAt)
		}
	}
}
