// Package outlier decides which targets to eject for a while, from the outcomes of
// requests to them. It is a state machine without I/O or clock.
package outlier

import "time"

// Outcome is the result of one request to a target.
type Outcome int

// Outcomes of requests to targets.
const (
	Served         Outcome = iota // complete answer
	ServerError                   // the target answered with an error of its own
	ConnectionLost                // the connection broke before the answer was complete
	TimedOut                      // no answer within the timeout
	Unreachable                   // no connection could be opened
	Busy                          // the target refused the request for lack of capacity
)

// Durations and thresholds of ejection.
const (
	// initialEjection is short because a single lost packet or broken connection must
	// not move sessions for long. Each further ejection takes twice as long.
	initialEjection = 300 * time.Millisecond
	maxEjection     = 4 * time.Second
	// ejectionResetTime is the time without failures after which the next ejection
	// takes initialEjection again.
	ejectionResetTime = 8 * time.Second
	// failureWindow is half the time in which a count of outcomes decreases linearly
	// to zero if no outcome is added.
	failureWindow = 4 * time.Second
	// minFailures is how many recent failures, weighted by age, it takes to eject a
	// target that still answers.
	minFailures = 4
	// minConsecutiveTimeouts is how many timeouts in a row eject a target. One is not
	// enough, as a single answer may have been lost.
	minConsecutiveTimeouts = 2
	// maxExcessFailureShare is by how much a target's share of failed requests may
	// exceed that of all targets of its service before the target is ejected.
	maxExcessFailureShare = 0.25
)

// Tracker tracks the failures and ejections of targets. It is not safe for
// concurrent use.
type Tracker struct {
	targets map[string]*targetState // by id
}

// targetState is the recent history of one target.
type targetState struct {
	ejectedUntil        time.Time     // zero if not ejected since the last recovery
	lastEjection        time.Duration // length of the last ejection; 0 after a reset
	lastFailureAt       time.Time     // last broken connection, timeout or ejection
	held                bool          // ejected until Release
	refusingUntil       time.Time     // the target has asked for no requests until then
	consecutiveTimeouts int           // also counts failures to connect
	trialRunning        bool          // a request tests the target after its ejection
	trialStartedAt      time.Time
	successes           decayingCount
	failures            decayingCount
}

// New returns a tracker in which no target is ejected.
func New() *Tracker { return &Tracker{targets: make(map[string]*targetState)} }

// Retain drops the state of all targets for which keep returns false.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id := range t.targets {
		if !keep(id) {
			delete(t.targets, id)
		}
	}
}

// RecordOutcome records the outcome of a request, and reports whether it is a reason
// to eject the target, even if the target is already ejected. ServiceFailureShare is
// the share of failed requests at all targets of the service.
func (t *Tracker) RecordOutcome(id string, outcome Outcome, serviceFailureShare float64, now time.Time) bool {
	s := t.stateOf(id)
	s.trialRunning = false
	switch outcome {
	case Served, Busy:
		s.successes.add(1, now)
		s.consecutiveTimeouts = 0
		if now.Sub(s.lastFailureAt) > ejectionResetTime {
			s.lastEjection = 0
		}
		return false
	case ServerError:
		s.failures.add(1, now)
		return s.ejectIfFailing(serviceFailureShare, now)
	case ConnectionLost:
		s.failures.add(1, now)
		s.lastFailureAt = now
		return s.ejectIfFailing(serviceFailureShare, now)
	}
	s.failures.add(1, now)
	s.consecutiveTimeouts++
	if s.consecutiveTimeouts < minConsecutiveTimeouts && outcome == TimedOut {
		s.lastFailureAt = now
		return s.ejectIfFailing(serviceFailureShare, now)
	}
	s.eject(now)
	return true
}

// Hold ejects a target until Release is called, for faults that are not detected
// by the outcomes of its own requests.
func (t *Tracker) Hold(id string) { t.stateOf(id).held = true }

// Release ends a hold and a current ejection, which is taken to have the same
// cause.
func (t *Tracker) Release(id string) {
	s := t.stateOf(id)
	s.held = false
	s.ejectedUntil = s.refusingUntil
	s.lastEjection = 0
	s.consecutiveTimeouts = 0
}

// Held reports whether a target is held.
func (t *Tracker) Held(id string) bool {
	s := t.targets[id]
	return s != nil && s.held
}

// RecordRefusal records that a target has asked this daemon to send no requests for a
// time. Answers to earlier requests do not end that time. After it, the target gets one
// request at a time until it serves one, as after an ejection, so that the requests
// that were kept from it do not all arrive at once.
func (t *Tracker) RecordRefusal(id string, retryAfter time.Duration, now time.Time) {
	s := t.stateOf(id)
	if until := now.Add(retryAfter); until.After(s.refusingUntil) {
		s.refusingUntil = until
	}
	if s.refusingUntil.After(s.ejectedUntil) {
		s.ejectedUntil = s.refusingUntil
	}
	s.trialRunning = false
}

// Refusing reports whether a target has asked for no requests at this time. Such a
// target must not be chosen even if there is no other.
func (t *Tracker) Refusing(id string, now time.Time) bool {
	s := t.targets[id]
	return s != nil && now.Before(s.refusingUntil)
}

// RefusingFor returns how long a target still wants no requests, 0 if it takes them.
func (t *Tracker) RefusingFor(id string, now time.Time) time.Duration {
	if s := t.targets[id]; s != nil {
		return max(0, s.refusingUntil.Sub(now))
	}
	return 0
}

// Forget drops the state of a target, whose id now belongs to a new incarnation.
func (t *Tracker) Forget(id string) { delete(t.targets, id) }

// stateOf returns the state of a target, which it adds if there is none.
func (t *Tracker) stateOf(id string) *targetState {
	s := t.targets[id]
	if s == nil {
		s = &targetState{}
		t.targets[id] = s
	}
	return s
}

// FailureCounts returns the number of a target's recent requests that failed, and
// of all its recent requests, weighted by age.
func (t *Tracker) FailureCounts(id string, now time.Time) (failed, all float64) {
	s := t.targets[id]
	if s == nil {
		return 0, 0
	}
	failed = s.failures.value(now)
	return failed, failed + s.successes.value(now)
}

// Ejected reports whether a target must not be chosen.
func (t *Tracker) Ejected(id string, now time.Time) bool {
	s := t.targets[id]
	if s == nil {
		return false
	}
	if s.held || now.Before(s.refusingUntil) {
		return true
	}
	if s.ejectedUntil.IsZero() {
		return false
	}
	if now.Before(s.ejectedUntil) {
		return true
	}
	// After its ejection a target receives one request at a time until one succeeds.
	// If this trial takes maxEjection or longer, another one may start.
	return s.trialRunning && now.Sub(s.trialStartedAt) < maxEjection
}

// RecordRequest records that a request is sent to a target. After an ejection that
// request is the trial that decides whether the target has recovered.
func (t *Tracker) RecordRequest(id string, now time.Time) {
	s := t.targets[id]
	if s == nil || s.ejectedUntil.IsZero() || now.Before(s.ejectedUntil) {
		return
	}
	s.trialRunning = true
	s.trialStartedAt = now
}

// RecordRecovery records that a target has answered, which ends its ejection and the
// trial after it. It does not end the time for which the target wants no requests.
func (t *Tracker) RecordRecovery(id string, now time.Time) {
	if s := t.targets[id]; s != nil && !now.Before(s.refusingUntil) {
		s.ejectedUntil = time.Time{}
		s.trialRunning = false
	}
}

// ejectIfFailing ejects the target if it has too many failures, and reports whether
// that is so.
func (s *targetState) ejectIfFailing(serviceFailureShare float64, now time.Time) bool {
	failures := s.failures.value(now)
	share := failures / (failures + s.successes.value(now))
	if failures < minFailures || share < serviceFailureShare+maxExcessFailureShare {
		return false
	}
	s.eject(now)
	return true
}

// eject ejects the target for twice as long as the last time, but for maxEjection at
// most. An ejection that has not ended is not extended.
func (s *targetState) eject(now time.Time) {
	if now.Before(s.ejectedUntil) {
		s.lastFailureAt = now
		return // the failed request was sent before the current ejection
	}
	if now.Sub(s.lastFailureAt) > ejectionResetTime {
		s.lastEjection = 0
	}
	s.lastEjection = min(max(2*s.lastEjection, initialEjection), maxEjection)
	s.ejectedUntil = now.Add(s.lastEjection)
	s.lastFailureAt = now
}

// decayingCount is a count that decreases linearly to zero, over twice the
// failureWindow after its last update.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func (d *decayingCount) add(n float64, now time.Time) {
	d.count = d.value(now) + n
	d.updatedAt = now
}

func (d *decayingCount) value(now time.Time) float64 {
	age := now.Sub(d.updatedAt)
	if age >= 2*failureWindow {
		return 0
	}
	return d.count * (1 - float64(max(age, 0))/float64(2*failureWindow))
}
