// Package targetview keeps a daemon's copy of the platform's list of targets, and decides
// which lists and changes of the store and of other daemons replace or extend it. It is
// a state machine without I/O or clock.
//
// Invariants: the revision of the copy never decreases, in the order of eras and numbers,
// nor does its content go back behind it; and a change is applied only to a copy of its own era. A copy of an earlier era stays
// in force until a complete list of the new era replaces it.
package targetview

import (
	"maps"
	"slices"

	"hemlockknot/internal/state/objects"
)

// maxRemovals limits the number of removals that are kept. If there are more, all are
// discarded.
const maxRemovals = 1000

// View is the copy. It is not safe for concurrent use.
type View struct {
	entries map[string]objects.Object // by name
	// known is the revision up to which all changes are known. Later changes may be
	// missing, even if entries contains some. It is zero until there is a list.
	known objects.Revision
	// confirmed is the revision in the last response of the store: no change up to it
	// is missing here.
	confirmed objects.Revision
	following bool // this daemon receives changes from the store itself
	// removals maps the name of each removed entry to the number of its removal, in the
	// era of known. It is complete for the numbers after removalsSince.
	removals      map[string]int64
	removalsSince int64
}

// New returns an empty view of a daemon that does not follow the store.
func New() *View {
	return &View{entries: make(map[string]objects.Object), removals: make(map[string]int64)}
}

// Revision returns the revision up to which all changes are known.
func (v *View) Revision() objects.Revision { return v.known }

// Objects returns the entries of the copy, in no order.
func (v *View) Objects() []objects.Object { return slices.Collect(maps.Values(v.entries)) }

// Following reports whether this daemon receives changes from the store itself.
func (v *View) Following() bool { return v.following }

// StopFollowing records that this daemon no longer receives changes from the store.
func (v *View) StopFollowing() { v.following = false }

// Confirm records the revision in a response of the store.
func (v *View) Confirm(revision objects.Revision) { v.confirmed = objects.Later(v.confirmed, revision) }

// IsBehind reports whether a peer's revision includes a change that is missing here, or
// is of a later era.
func (v *View) IsBehind(peer objects.Revision) bool {
	return peer.After(objects.Later(v.known, v.confirmed))
}

// Update says what came of a list or a change.
type Update int

// Results of lists and changes.
const (
	Ignored  Update = iota // older than the copy, or of another era
	Applied                // the copy has changed accordingly
	Restored               // the list has replaced the copy of an earlier era
	Outdated               // the copy is of a later revision than the list, and stays
)

// ReplaceFromStore applies a complete list of the store as of a revision. A list of an
// era before that of the copy is ignored: it was on its way when the store was restored.
// One of an earlier revision does not replace the copy either: it may be stale, or a peer
// has sent later changes while it was read. Further changes follow from Revision on.
func (v *View) ReplaceFromStore(list []objects.Object, revision objects.Revision) Update {
	if revision.Era < v.known.Era {
		return Ignored
	}
	v.following = true
	if revision.Era == v.known.Era && v.known.After(revision) {
		return Outdated
	}
	return v.replace(list, revision)
}

// ChangeFromStore applies changes of single entries, up to a revision.
func (v *View) ChangeFromStore(changes []objects.Change, revision objects.Revision) Update {
	if revision.Era != v.known.Era {
		return Ignored
	}
	v.following = true
	v.change(changes, revision)
	return Applied
}

// ApplyFromPeer applies changes, or a complete list, that a peer has received from the
// store. The peer knows all changes up to the revision. The update is ignored if this
// daemon follows the store itself or knows the revision already, and if it consists of
// changes to a copy of another era.
func (v *View) ApplyFromPeer(changes []objects.Change, full bool, revision objects.Revision) Update {
	if v.following || !revision.After(v.known) || !full && revision.Era != v.known.Era {
		return Ignored
	}
	if !full {
		v.change(changes, revision)
		return Applied
	}
	var list []objects.Object
	for _, change := range changes {
		list = append(list, change.Object)
	}
	return v.replace(list, revision)
}

// ChangesSince returns the changes after a peer's revision and the revision that they
// lead to. If the removals are not known that far back, or if the peer's revision is of
// another era, it returns the complete list.
func (v *View) ChangesSince(peer objects.Revision) (changes []objects.Change, full bool, until objects.Revision) {
	full = peer.Era != v.known.Era || peer.Number < v.removalsSince
	for _, object := range v.entries {
		if full || object.Revision > peer.Number {
			changes = append(changes, objects.Change{Object: object})
		}
	}
	if full {
		return changes, true, v.known
	}
	for name, removedAt := range v.removals {
		if removedAt > peer.Number {
			changes = append(changes, objects.Change{Object: objects.Object{Name: name, Revision: removedAt}, Deleted: true})
		}
	}
	return changes, false, v.known
}

// replace replaces the copy by a complete list. Entries that the list lacks were removed
// by its revision, at numbers that are not known: peers with an older revision are
// therefore sent the complete list.
func (v *View) replace(list []objects.Object, revision objects.Revision) Update {
	result := Applied
	if v.known != (objects.Revision{}) && revision.Era > v.known.Era {
		result = Restored
	}
	clear(v.entries)
	clear(v.removals)
	for _, object := range list {
		v.entries[object.Name] = object
	}
	v.known = objects.Later(v.known, revision)
	v.removalsSince = v.known.Number
	return result
}

// change applies changes of the copy's own era.
func (v *View) change(changes []objects.Change, revision objects.Revision) {
	for _, change := range changes {
		if change.Deleted {
			delete(v.entries, change.Object.Name)
			v.removals[change.Object.Name] = change.Object.Revision
			continue
		}
		v.entries[change.Object.Name] = change.Object
		delete(v.removals, change.Object.Name)
	}
	v.known = objects.Later(v.known, revision)
	if len(v.removals) > maxRemovals {
		clear(v.removals)
		v.removalsSince = v.known.Number
	}
}
