// Package fleet holds what is registered: the targets that requests can be sent
// to. A Target is never changed once it is published.
package fleet

// Target is one incarnation of an engine or of a plain service's process.
type Target struct {
	ID            string
	Service       string
	Address       string // IP:PORT
	FailureDomain string
	Slots         int   // requests that it runs at once
	Draining      bool  // finishes its work and takes no more
	Born          int64 // Unix milliseconds of its start; 0 if not known
}

// Same reports whether two entries are of the same incarnation at the same
// address.
func (t *Target) Same(other *Target) bool {
	return t.ID == other.ID && t.Address == other.Address && t.Born == other.Born && t.Service == other.Service
}
