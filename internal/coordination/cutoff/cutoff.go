// Package cutoff decides that a failure domain has been cut off from this
// daemon. It is a state machine without I/O or clock.
//
// It answers a partition that resets nothing: all streams from the domain fall
// silent at once while those from elsewhere flow. A single engine that reads a
// long prompt is silent too, so streams of several engines are asked for.
package cutoff

import "time"

// Thresholds.
const (
	// silence is the time without an event from a domain's flowing streams; an
	// engine makes one about every 25 ms.
	silence = 120 * time.Millisecond
	// fresh is how recent another domain's event must be: if nothing comes from
	// anywhere, this daemon itself is what stands still.
	fresh = 60 * time.Millisecond
	// minTargets of the domain must have flowing streams.
	minTargets = 2
)

// Flow is what a daemon sees of a domain's streams.
type Flow struct {
	Domain    string
	Targets   int       // engines with streams that have begun
	LastEvent time.Time // of any of these streams
}

// Silent returns the domains that have fallen silent; own is this daemon's.
func Silent(flows []Flow, own string, now time.Time) []string {
	var silent []string
	for _, flow := range flows {
		if flow.Domain != own && flow.Targets >= minTargets && now.Sub(flow.LastEvent) >= silence && othersFlow(flows, flow.Domain, now) {
			silent = append(silent, flow.Domain)
		}
	}
	return silent
}

func othersFlow(flows []Flow, domain string, now time.Time) bool {
	for _, flow := range flows {
		if flow.Domain != domain && now.Sub(flow.LastEvent) < fresh {
			return true
		}
	}
	return false
}
