package placement

import "time"

// reportLifetime is how long a target's load report is used. Targets send
// reports with their answers, so a loaded target reports often.
const reportLifetime = 2 * time.Second

// load is this daemon's view of the requests at one target.
type load struct {
	ownRequests   int           // this daemon's requests in progress
	toldRequests  int           // those of the daemons that have told theirs lately
	otherRequests int           // requests of all other daemons, by the target's last report
	reported      bool          // whether there has been a report
	reportedAt    time.Duration // time of the last report, since the table's creation
}

// recordReport records the total number of requests that the target reported to
// this daemon or to another one. ReportedAt is the time since the table's
// creation.
func (l *load) recordReport(total int, reportedAt time.Duration) {
	l.otherRequests = max(0, total-l.ownRequests)
	l.reported = true
	l.reportedAt = reportedAt
}

// fresh reports whether the target's last report is recent enough to be used.
func (l *load) fresh(at time.Duration) bool { return l.reported && at-l.reportedAt < reportLifetime }

// estimate returns the estimated number of requests at the target of a service. The weight of its
// last report decreases linearly with its age, and that of what daemons have told each other
// increases. Elapsed is the time since the table's creation.
func (l *load) estimate(elapsed time.Duration, service serviceLoad) float64 {
	expected := service.expected(l)
	age := elapsed - l.reportedAt
	if !l.reported || age >= reportLifetime {
		return expected
	}
	weight := 1 - float64(age)/float64(reportLifetime)
	return float64(l.ownRequests+l.otherRequests)*weight + expected*(1-weight)
}
