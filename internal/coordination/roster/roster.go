// Package roster keeps the set of known targets, from the platform's lists of
// targets and the changes to them. It is a state machine without I/O or clock.
package roster

import (
	"slices"
	"strings"
	"time"

	"hemlockknot/internal/state/fleet"
)

// StoreReturnGrace is the time after an outage of the platform's store within which
// the entries of live targets that expired during the outage reappear, by the
// platform's contract.
const StoreReturnGrace = 2 * time.Second

// Roster is the set of known targets. A draining target stays in the set while the
// platform lists it, because it still serves the requests that it has. Roster is
// not safe for concurrent use.
type Roster struct {
	entries         map[string]*entry // by id of the target
	storeReturnedAt time.Time         // end of the store's last outage; zero if there was none
}

// entry is the state of one target.
type entry struct {
	target    *fleet.Target
	firstSeen time.Time // when this incarnation was first listed
	// removeAt is when a target that the platform no longer lists is removed; zero
	// while it is listed.
	removeAt time.Time
}

// Member is a target and the time at which its incarnation was first listed.
type Member struct {
	Target    *fleet.Target
	FirstSeen time.Time
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[string]*entry)} }

// RecordStoreReturn records that the store is available again after an outage.
func (r *Roster) RecordStoreReturn(now time.Time) { r.storeReturnedAt = now }

// Replace applies a complete list of targets. Targets that are missing from the list
// are removed as by Remove, at once or at the end of the grace.
func (r *Roster) Replace(targets []*fleet.Target, now time.Time) {
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
		r.Put(target, now)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(id, now)
		}
	}
}

// Put adds or updates one target.
func (r *Roster) Put(target *fleet.Target, now time.Time) {
	e := r.entries[target.ID]
	if e == nil || !e.target.SameIncarnation(target) {
		r.entries[target.ID] = &entry{target: target, firstSeen: now}
		return
	}
	e.target = target
	e.removeAt = time.Time{}
}

// Remove removes one target. During the grace after an outage of the store, a target
// that is not draining is kept until Expire removes it at the end of the grace; Put
// cancels the removal.
func (r *Roster) Remove(id string, now time.Time) {
	e := r.entries[id]
	if e == nil {
		return
	}
	graceEnd := r.storeReturnedAt.Add(StoreReturnGrace)
	if r.storeReturnedAt.IsZero() || !now.Before(graceEnd) || e.target.Draining {
		delete(r.entries, id)
		return
	}
	if e.removeAt.IsZero() {
		e.removeAt = graceEnd
	}
}

// Expire removes the targets whose grace has ended, and reports whether there were
// any.
func (r *Roster) Expire(now time.Time) bool {
	before := len(r.entries)
	for id, e := range r.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			delete(r.entries, id)
		}
	}
	return len(r.entries) != before
}

// Members returns all known targets, sorted by id.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.entries))
	for _, e := range r.entries {
		members = append(members, Member{Target: e.target, FirstSeen: e.firstSeen})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return members
}
