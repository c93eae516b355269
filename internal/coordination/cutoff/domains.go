package cutoff

import "time"

// Evidence that a domain is cut off.
const (
	// minUnreachableTargets is how many targets of a domain must fail to answer a
	// connection attempt. In a smaller domain all must fail; a single target is no
	// evidence.
	minUnreachableTargets = 3
	// evidenceLifetime is how long an unanswered connection attempt counts.
	evidenceLifetime = 1500 * time.Millisecond
)

// Domains tracks which failure domains are cut off. It is not safe for concurrent
// use.
//
// Invariant: a domain that is cut off stays so until something in it has been
// reached again.
type Domains struct {
	cutOff   map[string]bool                 // by domain
	evidence map[string]map[string]time.Time // by domain and target: time of the last unanswered connection attempt
}

// NewDomains returns a Domains in which no domain is cut off.
func NewDomains() *Domains {
	return &Domains{cutOff: make(map[string]bool), evidence: make(map[string]map[string]time.Time)}
}

// RecordUnreachable records that a target has not answered a connection attempt.
// Count is the number of targets in its domain. It reports whether this marks the
// domain as cut off, and returns false if the domain was cut off before.
func (d *Domains) RecordUnreachable(domain, target string, count int, now time.Time) bool {
	if d.evidence[domain] == nil {
		d.evidence[domain] = make(map[string]time.Time)
	}
	d.evidence[domain][target] = now
	recent := 0
	for _, recordedAt := range d.evidence[domain] {
		if now.Sub(recordedAt) < evidenceLifetime {
			recent++
		}
	}
	return recent >= min(minUnreachableTargets, count) && count > 1 && d.MarkCutOff(domain)
}

// RecordAnswer records that a target of a domain has served a request, and discards
// the evidence. A domain that is cut off stays so.
func (d *Domains) RecordAnswer(domain string) { delete(d.evidence, domain) }

// MarkCutOff records that a domain is cut off, and reports whether it was not cut off
// before.
func (d *Domains) MarkCutOff(domain string) bool {
	if d.cutOff[domain] {
		return false
	}
	d.cutOff[domain] = true
	return true
}

// IsCutOff reports whether a domain is cut off.
func (d *Domains) IsCutOff(domain string) bool { return d.cutOff[domain] }

// MarkReachable records that something in a domain has answered, and reports whether
// the domain was cut off before.
func (d *Domains) MarkReachable(domain string) bool {
	delete(d.evidence, domain)
	wasCutOff := d.cutOff[domain]
	delete(d.cutOff, domain)
	return wasCutOff
}
