package cutoff

import "time"

// Evidence that a domain cannot be reached.
const (
	// minUnreachable targets of a domain must not answer to a new connection.
	minUnreachable = 3
	// evidenceLifetime is how long each of them counts.
	evidenceLifetime = 1500 * time.Millisecond
)

// Domains keeps which failure domains are cut off. It is not safe for concurrent
// use.
//
// Invariant: a domain that is cut off stays so until something in it has been
// reached again.
type Domains struct {
	cut      map[string]bool
	evidence map[string]map[string]time.Time // by domain and target
}

// NewDomains returns a table in which no domain is cut off.
func NewDomains() *Domains {
	return &Domains{cut: make(map[string]bool), evidence: make(map[string]map[string]time.Time)}
}

// Unreachable notes that a target, one of count in its domain, does not answer
// to a new connection. It reports whether the domain counts as cut off from now
// on.
func (d *Domains) Unreachable(domain, target string, count int, now time.Time) bool {
	if d.evidence[domain] == nil {
		d.evidence[domain] = make(map[string]time.Time)
	}
	d.evidence[domain][target] = now
	recent := 0
	for _, at := range d.evidence[domain] {
		if now.Sub(at) < evidenceLifetime {
			recent++
		}
	}
	return recent >= min(minUnreachable, count) && count > 1 && d.Cut(domain)
}

// Answered notes that a target of a domain has served a request.
func (d *Domains) Answered(domain string) { delete(d.evidence, domain) }

// Cut notes that a domain is cut off, and reports whether that is news.
func (d *Domains) Cut(domain string) bool {
	if d.cut[domain] {
		return false
	}
	d.cut[domain] = true
	return true
}

// IsCut reports whether a domain is cut off.
func (d *Domains) IsCut(domain string) bool { return d.cut[domain] }

// Reached notes that something in a domain has answered, and reports whether it
// was cut off before.
func (d *Domains) Reached(domain string) bool {
	delete(d.evidence, domain)
	was := d.cut[domain]
	delete(d.cut, domain)
	return was
}
