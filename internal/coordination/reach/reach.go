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
	// minTargets is how many targets of a service must refuse or not answer a connection,
	// with no answer from any target of the service in between. In a smaller service all
	// must.
	minTargets = 4
	// evidenceLifetime is how long a failed connection counts.
	evidenceLifetime = 1500 * time.Millisecond
)

// Tracker tracks which services this daemon reaches. It is not safe for concurrent use.
//
// Invariant: a service that is not reached stays so until RecordAnswer is called.
type Tracker struct {
	failures  map[string]map[string]time.Time // by service and target: the last failed connection
	unreached map[string]time.Time            // by service: since when
}

// New returns a tracker that takes all services to be reached.
func New() *Tracker {
	return &Tracker{failures: make(map[string]map[string]time.Time), unreached: make(map[string]time.Time)}
}

// RecordFailure records that no connection to a target could be opened. Count is the number
// of targets of the service. It reports whether the service is suspected not to be reached:
// connections to other targets of it must show that.
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
