package gateway

import (
	"maps"
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
}

func newTargetList(g *Gateway) *targetList {
	list := &targetList{gateway: g, entries: make(map[string]platform.Object), away: true}
	list.watch = newWatcher(platform.KindTargets, g.store, g.log)
	list.watch.replace = list.replace
	list.watch.change = list.change
	list.watch.lost = list.lost
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

// objects returns the entries as the store gave them.
func (l *targetList) objects() []platform.Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Values(l.entries))
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

// fromPeer takes in a whole list that a peer has from the store, while the store
// does not answer this daemon.
func (l *targetList) fromPeer(objects []platform.Object, revision int64) {
	if l.following() || revision <= l.lastChange() {
		return
	}
	l.set(objects, revision, true)
	l.gateway.control.replaceTargets(l.decode(objects), false)
	l.gateway.log.Warn("took the list of targets from a peer", "entries", len(objects), "revision", revision)
}

func (l *targetList) set(objects []platform.Object, revision int64, away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.entries)
	for _, object := range objects {
		l.entries[object.Name] = object
		revision = max(revision, object.Revision)
	}
	l.changed = max(l.changed, revision)
	l.away = away
}

// change takes in changes of single entries.
func (l *targetList) change(changes []platform.Change, returned bool) {
	var put []platform.Object
	var removed []string
	l.mu.Lock()
	l.away = false
	for _, change := range changes {
		l.changed = max(l.changed, change.Object.Revision)
		if change.Deleted {
			delete(l.entries, change.Object.Name)
			removed = append(removed, change.Object.Name)
			continue
		}
		l.entries[change.Object.Name] = change.Object
		put = append(put, change.Object)
	}
	l.mu.Unlock()
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
