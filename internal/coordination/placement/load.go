package placement

import "time"

// reportLifetime is how long a target's own report of its load counts. Reports
// come with answers, so a loaded target is heard of often.
const reportLifetime = 2 * time.Second

// load is what this daemon knows of one target's work.
type load struct {
	own      int // this daemon's requests in progress
	others   int // those of all others, by the target's last report
	heard    bool
	reported time.Duration // when that came, since the table's start
}

// learn takes in what the target said at a time, to this daemon or another.
func (l *load) learn(total int, at time.Duration) {
	l.others = max(0, total-l.own)
	l.heard = true
	l.reported = at
}

// fresh reports whether the target's report still says something of its load.
func (l *load) fresh(at time.Duration) bool { return l.heard && at-l.reported < reportLifetime }

// estimate returns the requests that the target holds, as far as is known. At is
// the time since the table's start.
func (l *load) estimate(at time.Duration) float64 {
	age := at - l.reported
	if !l.heard || l.others == 0 || age >= reportLifetime {
		return float64(l.own)
	}
	fresh := 1 - float64(age)/float64(reportLifetime)
	return float64(l.own) + float64(l.others)*fresh
}
