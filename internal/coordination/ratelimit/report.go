package ratelimit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sendLifetime is how long a change of a limit is reported. Daemons receive it from the
	// target itself as well, with the first answer.
	sendLifetime = 10 * time.Second
	// sendTimes is how often each daemon reports a change. Each daemon that receives it
	// for the first time does the same, so that nearly all receive it.
	sendTimes = 8
)

// Report is what one daemon sends another of a target's limit.
type Report struct {
	Incarnation uint32        // hash of the target's incarnation
	Limit       float64       // requests per second by all daemons; 0: the target has ended its limit
	Age         time.Duration // since the target said so
}

// Reports returns the changes of limits to send another daemon: at most limits targets
// that name a limit, and at most ends targets that have ended theirs. Those that were sent
// least often come first.
func (t *Tracker) Reports(limits, ends int, now time.Time) []Report {
	var named, ended []uint32
	for incarnation, known := range t.targets {
		switch {
		case now.Sub(known.changedAt) > sendLifetime || known.sent >= sendTimes:
		case known.limit > 0:
			named = append(named, incarnation)
		default:
			ended = append(ended, incarnation)
		}
	}
	return append(t.send(named, limits, now), t.send(ended, ends, now)...)
}

// send returns the reports of those targets that were sent least often, at most count.
func (t *Tracker) send(incarnations []uint32, count int, now time.Time) []Report {
	slices.SortFunc(incarnations, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(t.targets[a].sent, t.targets[b].sent), cmp.Compare(a, b))
	})
	var reports []Report
	for _, incarnation := range incarnations[:min(count, len(incarnations))] {
		known := t.targets[incarnation]
		known.sent++
		reports = append(reports, Report{incarnation, known.limit, now.Sub(known.saidAt)})
	}
	return reports
}

// Merge records what another daemon has sent. It reports whether any limit has changed.
func (t *Tracker) Merge(reports []Report, now time.Time) (changed bool) {
	for _, report := range reports {
		changed = t.record(report.Incarnation, report.Limit, now.Add(-report.Age), now) || changed
	}
	return changed
}
