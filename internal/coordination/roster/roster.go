// Package roster decides which targets exist, from the platform's list and the
// changes to it. It is a state machine without I/O or clock.
package roster

import (
	"slices"
	"strings"
	"time"

	"hemlockknot/internal/state/fleet"
)

// ReturnGrace is how long after the store's return an entry that has lapsed
// meanwhile may take to come back, by the platform's contract.
const ReturnGrace = 2 * time.Second

// Roster is the set of known targets. A target that leaves is remembered as long
// as it may still serve what it holds, but is not listed as ready.
// It is not safe for concurrent use.
type Roster struct {
	entries  map[string]*entry
	returned time.Time // when the store last came back; zero if never away
}

type entry struct {
	target *fleet.Target
	seen   time.Time // when this incarnation was first heard of
	// lapses is when a missing entry is given up; zero while it is listed.
	lapses time.Time
}

// Member is a target and how long it has been known.
type Member struct {
	Target *fleet.Target
	Seen   time.Time
}

// New returns an empty roster.
func New() *Roster { return &Roster{entries: make(map[string]*entry)} }

// StoreReturned notes that the store answers again after it was away.
func (r *Roster) StoreReturned(now time.Time) { r.returned = now }

// Replace takes in a whole list. What is missing from it is gone, unless the
// store has just come back.
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

// Put takes in one entry.
func (r *Roster) Put(target *fleet.Target, now time.Time) {
	known := r.entries[target.ID]
	if known == nil || !known.target.Same(target) {
		r.entries[target.ID] = &entry{target: target, seen: now}
		return
	}
	known.target = target
	known.lapses = time.Time{}
}

// Remove takes out one entry, at once or after the grace that follows the
// store's return.
func (r *Roster) Remove(id string, now time.Time) {
	known := r.entries[id]
	if known == nil {
		return
	}
	grace := r.returned.Add(ReturnGrace)
	if r.returned.IsZero() || !now.Before(grace) || known.target.Draining {
		delete(r.entries, id)
		return
	}
	if known.lapses.IsZero() {
		known.lapses = grace
	}
}

// Expire gives up the entries whose grace has ended, and reports whether there
// were any.
func (r *Roster) Expire(now time.Time) bool {
	before := len(r.entries)
	for id, known := range r.entries {
		if !known.lapses.IsZero() && !now.Before(known.lapses) {
			delete(r.entries, id)
		}
	}
	return len(r.entries) != before
}

// Members returns all known targets in the order of their ids.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.entries))
	for _, known := range r.entries {
		members = append(members, Member{Target: known.target, Seen: known.seen})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return members
}
