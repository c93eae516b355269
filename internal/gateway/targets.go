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

	// turn is held while news is taken in, by the mirror and by control: news from
	// the store and from peers come on two threads.
	turn sync.Mutex

	mu      sync.Mutex
	entries map[string]platform.Object
	// changed is a revision of the store up to which all changes are known, and
	// after which none is: 0 as long as there is no list.
	changed int64
	// seen is the store's revision as of its last answer: no change up to it is
	// missing.
	seen int64
	away bool // the store does not tell of changes
	// removed holds the revisions at which entries went, and complete the revision
	// since which it holds all of them.
	removed  map[string]int64
	complete int64
}

func newTargetList(g *Gateway) *targetList {
	list := &targetList{gateway: g, entries: make(map[string]platform.Object), removed: make(map[string]int64), away: true}
	list.watch = newWatcher(platform.KindTargets, g.store, g.log, gatherTargets)
	list.watch.replace = list.replace
	list.watch.change = list.change
	list.watch.lost = list.lost
	list.watch.needed = g.peers.lookout
	list.watch.confirmed = func(revision int64) {
		list.confirm(revision)
		g.peers.confirm(platform.KindTargets)
	}
	return list
}

// lastChange returns the revision of the last change that is known.
func (l *targetList) lastChange() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// confirm notes the store's revision as of an answer.
func (l *targetList) confirm(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = max(l.seen, revision)
}

// lacks reports whether a change that a peer knows is not known here.
func (l *targetList) lacks(revision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return revision > max(l.changed, l.seen)
}

// following reports whether the store tells of changes.
func (l *targetList) following() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.away
}

// since returns what has changed after a revision, or the whole list if the
// changes are not known that far back, and the revision that this leads to.
func (l *targetList) since(revision int64) (changes []platform.Change, whole bool, until int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	whole = revision < l.complete
	for _, object := range l.entries {
		if whole || object.Revision > revision {
			changes = append(changes, platform.Change{Object: object})
		}
	}
	if whole {
		return changes, true, l.changed
	}
	for name, at := range l.removed {
		if at > revision {
			changes = append(changes, platform.Change{Object: platform.Object{Name: name, Revision: at}, Deleted: true})
		}
	}
	return changes, false, l.changed
}

func (l *targetList) lost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = true
}

// replace takes in a whole list from the store, as of a revision.
func (l *targetList) replace(objects []platform.Object, revision int64, returned bool) {
	l.turn.Lock()
	defer l.turn.Unlock()
	l.set(objects, revision, false)
	l.gateway.control.replaceTargets(l.decode(objects), returned)
	l.gateway.log.Warn("listed targets", "entries", len(objects), "revision", revision)
}

// change takes in changes of single entries from the store.
func (l *targetList) change(changes []platform.Change, returned bool) {
	l.turn.Lock()
	defer l.turn.Unlock()
	last := int64(0)
	for _, change := range changes {
		last = max(last, change.Object.Revision)
	}
	l.apply(changes, last, false)
	l.pass(changes, returned)
}

// fromPeer takes in what a peer has from the store, while this daemon does not
// follow the store itself. The peer knows all changes up to the revision.
func (l *targetList) fromPeer(changes []platform.Change, whole bool, revision int64) {
	l.turn.Lock()
	defer l.turn.Unlock()
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

// set replaces the mirror by a list as of a revision. What the list lacks went
// before that revision, so peers that know less are told the whole.
func (l *targetList) set(objects []platform.Object, revision int64, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.entries)
	clear(l.removed)
	for _, object := range objects {
		l.entries[object.Name] = object
	}
	l.changed = max(l.changed, revision)
	l.complete = l.changed
	l.away = away
}

// apply changes the mirror up to a revision.
func (l *targetList) apply(changes []platform.Change, revision int64, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	for _, change := range changes {
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
