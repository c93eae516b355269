// Package evacuation keeps a daemon's view of the failure domains that the operator has evacuated:
// nothing more may be sent to targets there. It is a state machine without I/O or clock.
//
// The load that it answers is a failure domain that is emptied in the middle of a surge: all daemons
// must stop sending there within seconds, also those that do not read the store, that have just
// started or that reach the store again after an outage, and must use the domain again once it is
// taken back.
//
// Invariants: the view never goes back to an earlier revision of the store, in the order of eras and
// numbers; and an evacuation that is missing from the first list after a restore of the store holds
// for restoreGrace, as the operator writes again what the copy lacks.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"hemlockknot/internal/coordination/targetview"
	"hemlockknot/internal/state/objects"
)

// restoreGrace is how long an evacuation that a restored store lacks stays in force: what the
// operator wrote since the copy was made is written again within about two seconds.
const restoreGrace = 2 * time.Second

// Set is the set of evacuated failure domains. It is not safe for concurrent use.
type Set struct {
	view    *targetview.View
	known   bool                 // a list has been received
	domains map[string]bool      // by the view
	kept    map[string]time.Time // domains that a restored store lacks, and until when they are kept
}

// New returns a set of which nothing is known yet.
func New() *Set {
	return &Set{view: targetview.New(), domains: make(map[string]bool), kept: make(map[string]time.Time)}
}

// Known reports whether a list of the store has been received, directly or from a peer.
func (s *Set) Known() bool { return s.known }

// Revision returns the store's revision as of which the set is known.
func (s *Set) Revision() objects.Revision { return s.view.Revision() }

// ReplaceFromStore applies a complete list of the store as of a revision. It returns the revision from
// which to watch, and whether the list was accepted: one of an era before is on its way from a time before
// the store was restored.
func (s *Set) ReplaceFromStore(list []objects.Object, revision objects.Revision, now time.Time) (from objects.Revision, accepted bool) {
	update := s.view.ReplaceFromStore(list, revision)
	if update == targetview.Ignored {
		return revision, false
	}
	s.apply(update, now)
	return s.view.Revision(), true
}

// ChangeFromStore applies changes that the store has sent, up to a revision.
func (s *Set) ChangeFromStore(changes []objects.Change, revision objects.Revision, now time.Time) {
	s.apply(s.view.ChangeFromStore(changes, revision), now)
}

// ApplyFromPeer applies the complete set that a peer knows as of a revision. It is ignored if this
// daemon knows as much, or follows the store itself.
func (s *Set) ApplyFromPeer(domains []string, revision objects.Revision, now time.Time) {
	var list []objects.Change
	for _, domain := range domains {
		list = append(list, objects.Change{Object: objects.Object{Name: domain, Revision: revision.Number}})
	}
	s.apply(s.view.ApplyFromPeer(list, true, revision), now)
}

// StopFollowing records that this daemon no longer receives changes from the store.
func (s *Set) StopFollowing() { s.view.StopFollowing() }

// Confirm records the revision in a response of the store.
func (s *Set) Confirm(revision objects.Revision) { s.view.Confirm(revision) }

// IsBehind reports whether this daemon follows the store and a peer knows a later revision all the same.
func (s *Set) IsBehind(peer objects.Revision) bool {
	return s.view.Following() && s.view.IsBehind(peer)
}

// apply takes the domains of the view over, after an update.
func (s *Set) apply(update targetview.Update, now time.Time) {
	if update == targetview.Ignored {
		return
	}
	s.known = true
	if update == targetview.Outdated {
		return
	}
	before := s.domains
	s.domains = make(map[string]bool)
	for _, object := range s.view.Objects() {
		s.domains[object.Name] = true
		delete(s.kept, object.Name)
	}
	if update != targetview.Restored {
		return
	}
	for domain := range before {
		if !s.domains[domain] {
			s.kept[domain] = now.Add(restoreGrace)
		}
	}
}

// Domains returns the failure domains that are evacuated, in order. The operator's removal of an
// evacuation ends it at once, but not before a restored store has had time to be written again.
func (s *Set) Domains(now time.Time) []string {
	maps.DeleteFunc(s.kept, func(_ string, until time.Time) bool { return !now.Before(until) })
	domains := slices.AppendSeq(s.Listed(), maps.Keys(s.kept))
	slices.Sort(domains)
	return domains
}

// Listed returns the failure domains that are evacuated as of Revision, which is what peers are told: to
// them, a domain that is only kept for a while would be one that the store has confirmed.
func (s *Set) Listed() []string { return slices.Collect(maps.Keys(s.domains)) }
