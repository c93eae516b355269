package speed

import (
	"cmp"
	"slices"
	"time"
)

// Report is a work time that a target has reported, as daemons exchange it. Only slumps, which last
// for seconds, and their ends are exchanged: a shorter disturbance is over when the report arrives.
type Report struct {
	TargetHash uint32        // low 32 bits of the hash of the target's id
	Percent    int           // of the usual work time
	Age        time.Duration // time since the target's report
}

// Slumps returns at most count reports of slumps and of their ends, the latest first.
func (t *Tracker) Slumps(count int, now time.Time) []Report {
	if len(t.slumps) == 0 || count <= 0 {
		return nil
	}
	at := t.Elapsed(now)
	var reports []Report
	for target, until := range t.slumps {
		if at >= until {
			delete(t.slumps, target)
			continue
		}
		reports = append(reports, Report{TargetHash: target.hash, Percent: int(100 * target.workTime), Age: at - target.workTimeAt})
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.TargetHash, b.TargetHash))
	})
	return reports[:min(count, len(reports))]
}

// Merge records what another daemon has sent, except of unknown targets and what is not newer than
// this daemon's own knowledge.
func (t *Tracker) Merge(reports []Report, now time.Time) {
	at := t.Elapsed(now)
	for _, report := range reports {
		target := t.byHash[report.TargetHash]
		if target == nil || report.Percent <= 0 || report.Age < 0 || report.Age > slumpEnd {
			continue
		}
		if reportedAt := at - report.Age; reportedAt > target.workTimeAt {
			target.setWorkTime(float64(report.Percent)/100, reportedAt)
		}
	}
}
