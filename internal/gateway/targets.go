package gateway

import (
	"slices"
	"sync"

	"hemlockknot/internal/state/fleet"
	"hemlockknot/platform"
)

// targetList mirrors the platform's list of targets and hands its changes to
// control.
type targetList struct {
	gateway *Gateway
	watch   *watcher

	mu      sync.Mutex
	entries map[string]platform.Object
	changed int64 // revision of the last change; 0 as long as there is no list
	away    bool  // the store does not tell of changes
	// removed holds the revisions at which entries went, and complete the revision
	// since which it holds all of them.
	removed  map[string]int64
	complete int64
}

func newTargetList(g *Gateway) *targetList {
	list := &targetList{gateway: g, entries: make(map[string]platform.Object), removed: make(map[string]int64), away: true}
	list.watch = newWatcher(platform.KindTargets, g.store, g.log)
	list.watch.replace = list.replace
	list.watch.change = list.change
	list.watch.lost = list.lost
	list.watch.needed = g.peers.lookout
	list.watch.confirmed = func() { g.peers.confirm(platform.KindTargets) }
	return list
}

// lastChange returns the revision of the last change that is known.
func (l *targetList) lastChange() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// following reports whether the store tells of changes.
func (l *targetList) following() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.away
}

// since returns what has changed after a revision, or the whole list if the
// changes are not known that far back.
func (l *targetList) since(revision int64) (changes []platform.Change, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole = revision < l.complete
	for _, object := range l.entries {
		if whole || object.Revision > revision {
			changes = append(changes, platform.Change{Object: object})
		}
	}
	if whole {
		return changes, true
	}
	for name, at := range l.removed {
		if at > revision {
			changes = append(changes, platform.Change{Object: platform.Object{Name: name, Revision: at}, Deleted: true})
		}
	}
	return changes, false
}

func (l *targetList) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
}

// replace takes in a whole list from the store.
func (l *targetList) replace(objects []platform.Object, returned bool) {
	l.set(objects, 0, false)
	l.gateway.control.replaceTargets(l.decode(objects), returned)
	l.gateway.log.Warn("listed targets", "entries", len(objects))
}

// change takes in changes of single entries from the store.
func (l *targetList) change(changes []platform.Change, returned bool) {
	l.apply(changes, 0, false)
	l.pass(changes, returned)
}

// fromPeer takes in what a peer has from the store, while this daemon does not
// follow the store itself.
func (l *targetList) fromPeer(changes []platform.Change, whole bool, revision int64) {
	if l.following() || revision <= l.lastChange() {
		return
	}
	if !whole {
		l.apply(changes, revision, true)
		l.pass(changes, false)
		return
	}
	var objects []platform.Object
	for _, change := range changes {
		objects = append(objects, change.Object)
	}
	l.set(objects, revision, true)
	l.gateway.control.replaceTargets(l.decode(objects), false)
	l.gateway.log.Warn("took the list of targets from a peer", "entries", len(objects), "revision", revision)
}

// set replaces the mirror.
func (l *targetList) set(objects []platform.Object, revision int64, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.entries)
	clear(l.removed)
	for _, object := range objects {
		l.entries[object.Name] = object
		revision = max(revision, object.Revision)
	}
	l.changed = max(l.changed, revision)
	l.complete = l.changed
	l.away = away
}

// apply changes the mirror.
func (l *targetList) apply(changes []platform.Change, revision int64, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	for _, change := range changes {
		revision = max(revision, change.Object.Revision)
		if change.Deleted {
			delete(l.entries, change.Object.Name)
			l.removed[change.Object.Name] = change.Object.Revision
			continue
		}
		l.entries[change.Object.Name] = change.Object
		delete(l.removed, change.Object.Name)
	}
	l.changed = max(l.changed, revision)
	if len(l.removed) > maxRemoved {
		clear(l.removed)
		l.complete = l.changed
	}
}

// maxRemoved bounds the remembered removals.
const maxRemoved = 1000

// pass hands changes to control: of each entry the last one, as an entry may
// lapse and come back within one answer.
func (l *targetList) pass(changes []platform.Change, returned bool) {
	last := make(map[string]int, len(changes))
	for i, change := range changes {
		last[change.Object.Name] = i
	}
	var put []platform.Object
	var removed []string
	for i, change := range changes {
		if last[change.Object.Name] != i {
			continue
		}
		if change.Deleted {
			removed = append(removed, change.Object.Name)
			continue
		}
		put = append(put, change.Object)
	}
	targets := l.decode(put)
	for _, object := range put {
		if !slices.ContainsFunc(targets, func(target *fleet.Target) bool { return target.ID == object.Name }) {
			removed = append(removed, object.Name) // it names no target any more
		}
	}
	for _, target := range targets {
		l.gateway.log.Info("target changed", "target", target.ID, "service", target.Service, "draining", target.Draining)
	}
	for _, id := range removed {
		l.gateway.log.Info("target removed", "target", id)
	}
	l.gateway.control.changeTargets(targets, removed, returned)
}

// decode leaves out entries that name no target.
func (l *targetList) decode(objects []platform.Object) []*fleet.Target {
	var targets []*fleet.Target
	for _, object := range objects {
		target, err := platform.DecodeTarget(object)
		if err != nil {
			l.gateway.log.Warn("entry of the list names no target", "entry", object.Name, "error", err)
			l.gateway.metrics.badEntry()
			continue
		}
		targets = append(targets, target)
	}
	return targets
}
