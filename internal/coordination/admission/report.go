package admission

import (
	"math"
	"time"
)

const (
	// MaxReportLag is the longest time by which the state that an engine reports may be
	// older than the report's timestamp.
	MaxReportLag = time.Second
	// ReportLifetime is how long a report is used after its timestamp.
	ReportLifetime = 5 * time.Second
	// maxSamples covers the report lag and one tick before and after it.
	maxSamples = int(MaxReportLag/TickInterval) + 2
)

// engineReport compares the load that an engine itself reports with the counts of
// the daemons at the time of the report. The engine may run requests that no
// daemon counts, such as requests of a daemon unknown to this one.
type engineReport struct {
	timestamp   time.Time // zero if there is no report
	unaccounted int       // requests on the engine that no live daemon counts
	maxOrphans  int       // highest possible number of orphaned requests
	samples     [maxSamples]loadSample
	nextSample  int // index of the sample to overwrite next
}

// loadSample is the load that the daemons counted at one time.
type loadSample struct {
	load    int
	takenAt time.Time
}

// SetEngineReport records the number of running requests that an engine itself reports
// for a time. The report may be late, so it never lowers the counts of the daemons.
func (c *Controller) SetEngineReport(engineName string, load int, timestamp time.Time) {
	target := c.engines[engineName]
	if target == nil || !timestamp.After(target.report.timestamp) {
		return
	}
	lowest, highest := target.report.countRange(target.liveLoad(), timestamp)
	target.report.timestamp = timestamp
	target.report.unaccounted = max(0, load-highest)
	target.report.maxOrphans = max(0, load-lowest)
	target.decayOrphans(timestamp)
	target.updateServiceSums()
}

// countRange returns the lowest and the highest of the current count and the
// samples since the earliest time that a report with this timestamp may describe.
func (r *engineReport) countRange(current int, timestamp time.Time) (lowest, highest int) {
	lowest, highest = current, current
	earliest := timestamp.Add(-MaxReportLag - TickInterval)
	for _, sample := range r.samples {
		if sample.takenAt.Before(earliest) {
			continue
		}
		lowest, highest = min(lowest, sample.load), max(highest, sample.load)
	}
	return lowest, highest
}

// recordSample records the number of requests that the daemons count now. It does
// nothing for an engine that has never reported its load.
func (r *engineReport) recordSample(load int, now time.Time) {
	if r.timestamp.IsZero() {
		return
	}
	r.samples[r.nextSample] = loadSample{load: load, takenAt: now}
	r.nextSample = (r.nextSample + 1) % len(r.samples)
}

// expire discards the report if it is too old.
func (r *engineReport) expire(now time.Time) {
	if now.Sub(r.timestamp) > ReportLifetime {
		r.unaccounted, r.maxOrphans = 0, math.MaxInt
	}
}

// maxOrphansSince returns the highest possible number of requests orphaned at a
// time. A report that may be older than that time sets no limit.
func (r *engineReport) maxOrphansSince(since time.Time) int {
	if r.timestamp.Sub(since) <= MaxReportLag {
		return math.MaxInt
	}
	return r.maxOrphans
}

// recordResumed records that one request which no live daemon counted has been
// resumed through this daemon.
func (r *engineReport) recordResumed() {
	r.unaccounted = max(0, r.unaccounted-1)
	if r.maxOrphans < math.MaxInt {
		r.maxOrphans = max(0, r.maxOrphans-1)
	}
}
