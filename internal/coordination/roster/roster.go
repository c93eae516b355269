// Package roster keeps the set of known targets, from the platform's lists of
// targets, the changes to them and what targets say of themselves. It is a state
// machine without I/O or clock.
//
// Invariant: an incarnation that has said that it leaves gets no new requests, whatever
// the list says.
package roster

import (
	"slices"
	"strings"
	"time"

	"hemlockknot/internal/state/fleet"
)

const (
	// StoreReturnGrace is the time after an outage of the platform's store within which
	// the entries of live targets that expired during the outage reappear, by the
	// platform's contract.
	StoreReturnGrace = 2 * time.Second
	// missedHeartbeats is how many heartbeat intervals of silence it takes until the
	// platform removes a target's entry.
	missedHeartbeats = 3
	// departureMemory is how long a removed target is remembered, in case the store is
	// restored from a copy that still lists it. Copies are some seconds old.
	departureMemory = 30 * time.Second
)

// Roster is the set of known targets. A draining target stays in the set while the
// platform lists it, because it still serves the requests that it has. Roster is
// not safe for concurrent use.
type Roster struct {
	entries         map[string]*entry     // by id of the target
	departed        map[string]*departure // by id: targets that were removed lately
	storeReturnedAt time.Time             // end of the store's last outage; zero if there was none
	restoredDoubt   time.Duration         // how long an entry of a restored list is in doubt
}

// entry is the state of one target.
type entry struct {
	listed    *fleet.Target // as the platform lists it
	effective *fleet.Target // as Members returns it
	firstSeen time.Time     // when this incarnation was first listed
	// removeAt is when a target that the platform no longer lists is removed; zero
	// while it is listed.
	removeAt time.Time
	leaving  bool // the target itself has said that it leaves
	// doubtedUntil is set for a target that was known to drain or had been removed
	// when the store was restored from a copy that lists it as ready. It ends when the
	// entry is written again, or when the entry of a dead target would have expired.
	doubtedUntil time.Time
}

// departure is a target that was removed.
type departure struct {
	target  *fleet.Target
	leaving bool
	at      time.Time
}

// Member is a target and the time at which its incarnation was first listed.
type Member struct {
	Target    *fleet.Target
	FirstSeen time.Time
}

// New returns an empty roster. Targets write their entries once per
// heartbeatInterval.
func New(heartbeatInterval time.Duration) *Roster {
	return &Roster{
		entries:       make(map[string]*entry),
		departed:      make(map[string]*departure),
		restoredDoubt: missedHeartbeats*heartbeatInterval + StoreReturnGrace,
	}
}

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

// ReplaceRestored applies the first complete list after the store was restored from a
// copy. The list is older than what was known: a target that was known to drain, or
// that had been removed, gets no new requests because of it, and a target that it lacks
// has the grace of an outage to write its entry again.
func (r *Roster) ReplaceRestored(targets []*fleet.Target, now time.Time) {
	r.RecordStoreReturn(now)
	doubted := make(map[string]bool)
	for _, target := range targets {
		doubted[target.ID] = !target.Draining && r.wasLeaving(target)
	}
	r.Replace(targets, now)
	for id, doubt := range doubted {
		if doubt {
			r.entries[id].doubtedUntil = now.Add(r.restoredDoubt)
			r.entries[id].update()
		}
	}
}

// wasLeaving reports whether an incarnation was known to drain or was removed.
func (r *Roster) wasLeaving(target *fleet.Target) bool {
	if e := r.entries[target.ID]; e != nil {
		return e.listed.SameIncarnation(target) && e.effective.Draining
	}
	gone := r.departed[target.ID]
	return gone != nil && gone.target.SameIncarnation(target)
}

// Put adds or updates one target.
func (r *Roster) Put(target *fleet.Target, now time.Time) {
	e := r.entries[target.ID]
	if e == nil || !e.listed.SameIncarnation(target) {
		e = &entry{firstSeen: now}
		if gone := r.departed[target.ID]; gone != nil && gone.target.SameIncarnation(target) {
			e.leaving = gone.leaving
		}
		r.entries[target.ID] = e
	}
	delete(r.departed, target.ID)
	if e.listed == nil || e.listed.EntryRevision != target.EntryRevision { // written again, not only listed
		e.doubtedUntil = time.Time{}
	}
	e.listed = target
	e.removeAt = time.Time{}
	e.update()
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
	if r.storeReturnedAt.IsZero() || !now.Before(graceEnd) || e.effective.Draining {
		r.drop(id, now)
		return
	}
	if e.removeAt.IsZero() {
		e.removeAt = graceEnd
	}
}

// drop removes a target and remembers it.
func (r *Roster) drop(id string, now time.Time) {
	r.departed[id] = &departure{target: r.entries[id].listed, leaving: r.entries[id].leaving, at: now}
	delete(r.entries, id)
}

// MarkLeaving records that a target itself has said that it leaves, and reports whether
// this was not known before. It has no effect on another incarnation. The target need not be listed: its
// entry may have been removed, and return with a restore of the store.
func (r *Roster) MarkLeaving(target *fleet.Target, now time.Time) bool {
	e := r.entries[target.ID]
	if e == nil {
		return r.markDepartedLeaving(target, now)
	}
	if e.leaving || !e.listed.SameIncarnation(target) {
		return false
	}
	e.leaving = true
	e.update()
	return true
}

// markDepartedLeaving is MarkLeaving for a target that is not listed.
func (r *Roster) markDepartedLeaving(target *fleet.Target, now time.Time) bool {
	gone := r.departed[target.ID]
	if gone == nil {
		gone = &departure{target: target}
		r.departed[target.ID] = gone
	}
	if !gone.target.SameIncarnation(target) {
		return false
	}
	wasKnown := gone.leaving
	gone.leaving, gone.at = true, now
	return !wasKnown
}

// MarkLeavingByHash does the same for the target whose incarnation has a hash. It
// returns the target, or nil if there is none or its leaving was known before.
func (r *Roster) MarkLeavingByHash(hash uint32, now time.Time) *fleet.Target {
	for _, e := range r.entries {
		if !e.leaving && e.listed.IncarnationHash() == hash && r.MarkLeaving(e.listed, now) {
			return e.listed
		}
	}
	return nil
}

// LeavingHashes returns the hashes of incarnations that have said that they leave while
// the platform lists them as ready, at most count.
func (r *Roster) LeavingHashes(count int) []uint32 {
	var hashes []uint32
	for _, e := range r.entries {
		if e.leaving && !e.listed.Draining && len(hashes) < count {
			hashes = append(hashes, e.listed.IncarnationHash())
		}
	}
	return hashes
}

// update sets the effective target from the rest of the entry.
func (e *entry) update() {
	e.effective = e.listed
	if (e.leaving || !e.doubtedUntil.IsZero()) && !e.listed.Draining {
		draining := *e.listed
		draining.Draining = true
		e.effective = &draining
	}
}

// Expire removes the targets whose grace has ended and ends the doubt about entries of
// a restored list. It reports whether Members has changed.
func (r *Roster) Expire(now time.Time) bool {
	changed := false
	for id, e := range r.entries {
		if !e.removeAt.IsZero() && !now.Before(e.removeAt) {
			r.drop(id, now)
			changed = true
			continue
		}
		if !e.doubtedUntil.IsZero() && !now.Before(e.doubtedUntil) {
			e.doubtedUntil = time.Time{}
			e.update()
			changed = true
		}
	}
	for id, gone := range r.departed {
		if now.Sub(gone.at) > departureMemory {
			delete(r.departed, id)
		}
	}
	return changed
}

// Members returns all known targets, sorted by id.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.entries))
	for _, e := range r.entries {
		members = append(members, Member{Target: e.effective, FirstSeen: e.firstSeen})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Target.ID, b.Target.ID) })
	return members
}
