package admission

import (
	"math"
	"time"
)

const (
	// ReportLag is how far an engine's report may lie behind its time stamp.
	ReportLag = time.Second
	// ReportLife is how long a report is used.
	ReportLife = 5 * time.Second
	// samplesKept covers ReportLag and the ticks on both its sides.
	samplesKept = int(ReportLag/TickInterval) + 2
)

// report compares an engine's own late count with the counts of the daemons at
// that time. What the daemons cannot explain runs there all the same, such as
// requests of a daemon that this one never heard of.
type report struct {
	at          time.Time // zero: none
	unexplained int       // running at the engine, but counted nowhere
	most        int       // the most that may be left over from daemons that went down
	samples     [samplesKept]sample
	next        int
}

// sample is what the daemons counted at one time.
type sample struct {
	count int
	at    time.Time
}

// SetReport takes in an engine's own count of its running requests, as of a
// time. A late count never lowers what this daemon itself counts.
func (c *Controller) SetReport(name string, load int, at time.Time) {
	target := c.engines[name]
	if target == nil || !at.After(target.report.at) {
		return
	}
	least, greatest := target.report.counted(target.counted(), at)
	target.report.at = at
	target.report.unexplained = max(0, load-greatest)
	target.report.most = max(0, load-least)
	target.decay(at)
	target.update()
}

// counted returns the least and the greatest count since the earliest time that
// a report may stand for.
func (r *report) counted(now int, at time.Time) (least, greatest int) {
	least, greatest = now, now
	earliest := at.Add(-ReportLag - TickInterval)
	for _, each := range r.samples {
		if each.at.Before(earliest) {
			continue
		}
		least, greatest = min(least, each.count), max(greatest, each.count)
	}
	return least, greatest
}

// sample notes what the daemons count, for engines that report.
func (r *report) sample(count int, now time.Time) {
	if r.at.IsZero() {
		return
	}
	r.samples[r.next] = sample{count: count, at: now}
	r.next = (r.next + 1) % len(r.samples)
}

// expire drops a report that is too old.
func (r *report) expire(now time.Time) {
	if now.Sub(r.at) > ReportLife {
		r.unexplained, r.most = 0, math.MaxInt
	}
}

// mostSince returns the most that may be left over since a time: a report that
// may be older says nothing.
func (r *report) mostSince(since time.Time) int {
	if r.at.Sub(since) <= ReportLag {
		return math.MaxInt
	}
	return r.most
}

// explain notes that one unexplained request has come back to this daemon.
func (r *report) explain() {
	r.unexplained = max(0, r.unexplained-1)
	if r.most < math.MaxInt {
		r.most = max(0, r.most-1)
	}
}
