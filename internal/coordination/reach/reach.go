// Package reach decides whether this daemon reaches the targets of a service. It is a state
// machine without I/O or clock.
//
// Whether a target can be reached is a fact about a daemon and a target. A target that is
// down fails for all daemons, and other targets of its service still answer. A daemon that is
// cut off fails at all targets of a service, while other daemons reach them: it must say
// nothing about the targets then, and can serve its callers through the other daemons.
package reach

import (
	"slices"
	"time"
)

// Evidence that no target of a service is reached.
const (
	// minTargets is how many targets of a service must have had an attempt that ended without
	// the beginning of an answer, with no answer from any target of the service in between. In
	// a smaller service all must.
	minTargets = 4
	// evidenceLifetime is how long such an attempt counts.
	evidenceLifetime = 1500 * time.Millisecond
	// minBroken is how many requests that were sent must have brought no answer, with none from
	// any target of the service in between. They may have had the same target: one that takes
	// requests is not ejected while all targets fail alike, and the nearest gets all of few.
	minBroken = 4
	// brokenLifetime is how long such a request counts.
	brokenLifetime = 3 * time.Second
)

// Tracker tracks which services this daemon reaches. It is not safe for concurrent use.
//
// Invariant: a service that is not reached stays so until RecordAnswer is called.
type Tracker struct {
	failures  map[string]map[string]time.Time // by service and target: the end of the last attempt without an answer
	broken    map[string][]time.Time          // by service: the ends of the last requests that brought no answer
	unreached map[string]time.Time            // by service: since when
}

// New returns a tracker that takes all services to be reached.
func New() *Tracker {
	return &Tracker{failures: make(map[string]map[string]time.Time), broken: make(map[string][]time.Time), unreached: make(map[string]time.Time)}
}

// RecordFailure records that an attempt at a target has ended without the beginning of an answer.
// Count is the number of targets of the service. It reports whether the service is suspected not
// to be reached: probes of targets of it must show that, since requests may be what makes targets
// break connections.
func (t *Tracker) RecordFailure(service, target string, count int, now time.Time) bool {
	failures := t.failures[service]
	if failures == nil {
		failures = make(map[string]time.Time)
		t.failures[service] = failures
	}
	failures[target] = now
	recent := 0
	for id, failedAt := range failures {
		if now.Sub(failedAt) >= evidenceLifetime {
			delete(failures, id)
			continue
		}
		recent++
	}
	return recent >= min(minTargets, count) && !t.Unreached(service)
}

// RecordBroken is RecordFailure for a request that may have been sent.
func (t *Tracker) RecordBroken(service, target string, count int, now time.Time) bool {
	suspected := t.RecordFailure(service, target, count, now)
	recent := slices.DeleteFunc(t.broken[service], func(at time.Time) bool { return now.Sub(at) >= brokenLifetime })
	recent = append(recent[max(0, len(recent)+1-minBroken):], now)
	t.broken[service] = recent
	return suspected || len(recent) >= minBroken && !t.Unreached(service)
}

// Failed reports whether a target has failed since the last answer of its service.
func (t *Tracker) Failed(service, target string) bool {
	_, failed := t.failures[service][target]
	return failed
}

// RecordAnswer records that a target of a service has answered a request or a probe that was
// sent at a time. An answer to an earlier request does not end that the service is not
// reached: it may have come on a connection that outlived the path for new ones.
func (t *Tracker) RecordAnswer(service string, sentAt time.Time) {
	delete(t.failures, service)
	delete(t.broken, service)
	if since, unreached := t.unreached[service]; unreached && sentAt.After(since) {
		delete(t.unreached, service)
	}
}

// MarkUnreached records that no target of a service is reached, and reports whether this is
// new.
func (t *Tracker) MarkUnreached(service string, now time.Time) bool {
	if t.Unreached(service) {
		return false
	}
	t.unreached[service] = now
	return true
}

// Unreached reports whether no target of a service is reached.
func (t *Tracker) Unreached(service string) bool {
	_, unreached := t.unreached[service]
	return unreached
}

// UnreachedServices returns the services that are not reached, sorted.
func (t *Tracker) UnreachedServices() []string {
	var services []string
	for service := range t.unreached {
		services = append(services, service)
	}
	slices.Sort(services)
	return services
}
