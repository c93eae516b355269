// Package cutoff decides whether a failure domain is cut off from this daemon. It
// is a state machine without I/O or clock.
//
// It detects a network partition that resets no connections: all streams from the
// domain become silent at once while streams from other domains continue. An engine
// that prefills a long prompt is silent too, so the streams of several engines must
// be silent. A domain is also cut off if several of its targets do not answer
// connection attempts.
package cutoff

import "time"

// Thresholds for silent domains.
const (
	// SilenceThreshold is the time without an event from any of a domain's streams
	// after which the domain counts as silent. An engine sends an event about every
	// 25 ms.
	SilenceThreshold = 120 * time.Millisecond
	// maxActiveEventAge is how old the last event of some other domain may be. If all
	// domains are silent, this daemon itself was stalled.
	maxActiveEventAge = 60 * time.Millisecond
	// minServiceTargets is how many targets of a service must have streams that have begun.
	// There is no other domain to compare with, so it takes more than for a domain.
	minServiceTargets = 3
	// minWaitingTargets is how many targets of a service must have requests that wait.
	minWaitingTargets = 2
	// WaitThreshold is the time without an answer after which a request counts as waiting,
	// and its service as silent if requests wait. Plain services answer within 60 ms; an
	// engine that reads a long prompt takes longer, but not all of them at once.
	WaitThreshold = 300 * time.Millisecond
	// minStreamingTargets is how many targets of the domain must have streams that have
	// begun.
	minStreamingTargets = 2
)

// DomainStreams summarizes the streams that this daemon receives from a failure domain.
type DomainStreams struct {
	Domain  string
	Targets int // engines with streams that have begun
	// LastEvent is the time of the last event from any of the domain's streams. The
	// beginning of a stream's response and a target's response to a new connection
	// also count as events.
	LastEvent time.Time
}

// SilentDomains returns the failure domains that have become silent, except
// localDomain, which is this daemon's own.
func SilentDomains(domains []DomainStreams, localDomain string, now time.Time) []string {
	var silent []string
	for _, d := range domains {
		if d.Domain != localDomain && d.Targets >= minStreamingTargets && now.Sub(d.LastEvent) >= SilenceThreshold && othersActive(domains, d.Domain, now) {
			silent = append(silent, d.Domain)
		}
	}
	return silent
}

// othersActive reports whether a domain other than except has sent an event
// recently.
func othersActive(domains []DomainStreams, except string, now time.Time) bool {
	for _, d := range domains {
		if d.Domain != except && now.Sub(d.LastEvent) < maxActiveEventAge {
			return true
		}
	}
	return false
}

// ServiceActivity summarizes what this daemon receives from a service.
type ServiceActivity struct {
	Service    string
	Targets    int       // engines with streams that have begun
	Waiting    int       // targets with requests that have waited for an answer for WaitThreshold
	LastAnswer time.Time // of the last event or other answer of any target
}

// SilentServices returns the services that have become silent: this daemon may be cut off
// from all their targets.
func SilentServices(services []ServiceActivity, now time.Time) []string {
	var silent []string
	for _, s := range services {
		silence := now.Sub(s.LastAnswer)
		if s.Targets >= minServiceTargets && silence >= SilenceThreshold || s.Waiting >= minWaitingTargets && silence >= WaitThreshold {
			silent = append(silent, s.Service)
		}
	}
	return silent
}
