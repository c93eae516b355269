// Package fleet defines the registered targets to which requests can be sent. A
// Target is immutable once it is published.
package fleet

// Target is one incarnation of an engine or of a plain service's process.
type Target struct {
	ID            string
	Service       string
	Address       string // IP:PORT
	FailureDomain string
	Slots         int   // maximum number of concurrent requests
	Draining      bool  // finishes its requests but accepts no new ones
	Born          int64 // start of the incarnation in Unix milliseconds; 0 if unknown
}

// Same reports whether both values describe the same incarnation at the same
// address.
func (t *Target) Same(other *Target) bool {
	return t.ID == other.ID && t.Address == other.Address && t.Born == other.Born && t.Service == other.Service
}
