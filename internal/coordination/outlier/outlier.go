// Package outlier decides which targets to leave alone for a while, from what
// requests show of them. It is a state machine without I/O or clock.
package outlier

import "time"

// Outcome is how an exchange with a target went.
type Outcome int

// Outcomes of exchanges.
const (
	Served      Outcome = iota // a whole answer
	Failed                     // the target answered with a failure of its own
	Broken                     // the connection broke while an answer was due
	Silent                     // nothing came in time
	Unreachable                // no connection could be opened
	Busy                       // the target refused for lack of room
)

// Times and thresholds of ejection.
const (
	// firstEjection is short: one lost packet or one crash of a connection must
	// not move sessions for long.
	firstEjection = 300 * time.Millisecond
	maxEjection   = 4 * time.Second
	// forgetAfter is the time without failure after which the next ejection is
	// the first one again.
	forgetAfter = 8 * time.Second
	// window is the time over which failures are weighed.
	window = 4 * time.Second
	// minFailures in the window eject a target that still answers.
	minFailures = 4
	// minSilences in a row eject a target: a single answer may have been lost.
	minSilences = 2
	// maxShare of exchanges may fail before a target counts as failing, beside
	// the share that fails at all targets of the service.
	maxShare = 0.25
)

// Tracker keeps the record of each target. It is not safe for concurrent use.
type Tracker struct {
	records map[string]*record
}

type record struct {
	ejectedUntil time.Time
	ejection     time.Duration // of the last one
	lastFailure  time.Time
	held         bool // left alone until released
	silences     int  // silent or unreachable in a row
	trial        bool // one request is trying the target after an ejection
	trialSince   time.Time
	served       decaying
	failed       decaying
}

// New returns a tracker that suspects no target.
func New() *Tracker { return &Tracker{records: make(map[string]*record)} }

// Forget drops the records of targets that are not kept.
func (t *Tracker) Forget(kept func(id string) bool) {
	for id := range t.records {
		if !kept(id) {
			delete(t.records, id)
		}
	}
}

// Note takes in the outcome of an exchange. Common is the share of exchanges
// that fail at the service's targets on the whole. It reports whether the
// target is ejected by it.
func (t *Tracker) Note(id string, outcome Outcome, common float64, now time.Time) bool {
	known := t.record(id)
	known.trial = false
	switch outcome {
	case Served, Busy:
		known.served.add(1, now)
		known.silences = 0
		if now.Sub(known.lastFailure) > forgetAfter {
			known.ejection = 0
		}
		return false
	case Failed:
		known.failed.add(1, now)
		return known.ejectIfFailing(common, now)
	case Broken:
		known.failed.add(1, now)
		known.lastFailure = now
		return known.ejectIfFailing(common, now)
	}
	known.failed.add(1, now)
	known.silences++
	if known.silences < minSilences && outcome == Silent {
		known.lastFailure = now
		return known.ejectIfFailing(common, now)
	}
	known.eject(now)
	return true
}

// Hold leaves a target alone until Release, for what shows elsewhere than in its
// exchanges.
func (t *Tracker) Hold(id string) { t.record(id).held = true }

// Release ends a hold, and the ejections that had the same cause.
func (t *Tracker) Release(id string) {
	known := t.record(id)
	known.held = false
	known.ejectedUntil = time.Time{}
	known.ejection = 0
	known.silences = 0
}

// Held reports whether a target is held.
func (t *Tracker) Held(id string) bool {
	known := t.records[id]
	return known != nil && known.held
}

func (t *Tracker) record(id string) *record {
	known := t.records[id]
	if known == nil {
		known = &record{}
		t.records[id] = known
	}
	return known
}

// FailureShare returns the share of a target's late exchanges that failed.
func (t *Tracker) FailureShare(id string, now time.Time) (failed, all float64) {
	known := t.records[id]
	if known == nil {
		return 0, 0
	}
	failed = known.failed.value(now)
	return failed, failed + known.served.value(now)
}

// Ejected reports whether a target is to be left alone.
func (t *Tracker) Ejected(id string, now time.Time) bool {
	known := t.records[id]
	if known == nil {
		return false
	}
	if known.held {
		return true
	}
	if known.ejectedUntil.IsZero() {
		return false
	}
	if now.Before(known.ejectedUntil) {
		return true
	}
	// After its ejection a target gets one request at a time until one is served.
	return known.trial && now.Sub(known.trialSince) < maxEjection
}

// Chosen notes that a request goes to a target: after an ejection it is the
// trial that decides.
func (t *Tracker) Chosen(id string, now time.Time) {
	known := t.records[id]
	if known == nil || known.ejectedUntil.IsZero() || now.Before(known.ejectedUntil) {
		return
	}
	known.trial = true
	known.trialSince = now
}

// Recovered notes that a target has answered after an ejection.
func (t *Tracker) Recovered(id string) {
	if known := t.records[id]; known != nil {
		known.ejectedUntil = time.Time{}
		known.trial = false
	}
}

func (r *record) ejectIfFailing(common float64, now time.Time) bool {
	failed := r.failed.value(now)
	share := failed / (failed + r.served.value(now))
	if failed < minFailures || share < common+maxShare {
		return false
	}
	r.eject(now)
	return true
}

func (r *record) eject(now time.Time) {
	if now.Before(r.ejectedUntil) {
		r.lastFailure = now
		return // a request that was already under way
	}
	if now.Sub(r.lastFailure) > forgetAfter {
		r.ejection = 0
	}
	r.ejection = min(max(2*r.ejection, firstEjection), maxEjection)
	r.ejectedUntil = now.Add(r.ejection)
	r.lastFailure = now
}

// decaying is a count that fades over the window.
type decaying struct {
	count float64
	at    time.Time
}

func (d *decaying) add(n float64, now time.Time) {
	d.count = d.value(now) + n
	d.at = now
}

func (d *decaying) value(now time.Time) float64 {
	age := now.Sub(d.at)
	if age >= 2*window {
		return 0
	}
	return d.count * (1 - float64(max(age, 0))/float64(2*window))
}
