package gateway

import (
	"slices"
	"sync"

	"hemlockknot/internal/state/fleet"
	"hemlockknot/platform"
)

// targetList mirrors the platform's list of targets and forwards each change to the
// coordinator.
type targetList struct {
	gateway *Gateway
	watch   *watcher

	// updateMu is held during each complete update, so that the mirror and the
	// coordinator apply updates in the same order: updates from the store and from
	// peers arrive on different goroutines.
	updateMu sync.Mutex

	mu      sync.Mutex
	entries map[string]platform.Object // by name
	// knownRevision is the store revision up to which all changes are known. Later
	// changes may be missing, even if entries contains some. It is 0 until a list has
	// been loaded.
	knownRevision int64
	// confirmedRevision is the store revision in the last response of the store: no
	// change up to it is missing here.
	confirmedRevision int64
	notFollowing      bool // this daemon does not receive changes from the store
	// removals maps the name of each removed entry to the revision of its removal. It
	// is complete for the revisions after removalsSince.
	removals      map[string]int64
	removalsSince int64
}

func newTargetList(g *Gateway) *targetList {
	list := &targetList{gateway: g, entries: make(map[string]platform.Object), removals: make(map[string]int64), notFollowing: true}
	list.watch = newWatcher(platform.KindTargets, g.store, g.log, targetsBatchDelay)
	list.watch.onList = list.replaceFromStore
	list.watch.onChanges = list.applyFromStore
	list.watch.onStopped = list.setNotFollowing
	list.watch.mustFollow = g.peers.mustFollowStore
	list.watch.onResponse = func(revision int64) {
		list.confirmRevision(revision)
		g.peers.recordStoreResponse(platform.KindTargets)
	}
	return list
}

// revision returns the store revision up to which all changes are known.
func (l *targetList) revision() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownRevision
}

// confirmRevision records the revision in a response of the store.
func (l *targetList) confirmRevision(revision int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedRevision = max(l.confirmedRevision, revision)
}

// isBehind reports whether a peer's revision includes a change that is missing here.
func (l *targetList) isBehind(peerRevision int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return peerRevision > max(l.knownRevision, l.confirmedRevision)
}

// followsStore reports whether this daemon receives changes from the store itself.
func (l *targetList) followsStore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.notFollowing
}

// changesSince returns the changes after a revision and the revision that they lead
// to. If the removals are not known that far back, it returns the full list.
func (l *targetList) changesSince(revision int64) (changes []platform.Change, full bool, until int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	full = revision < l.removalsSince
	for _, object := range l.entries {
		if full || object.Revision > revision {
			changes = append(changes, platform.Change{Object: object})
		}
	}
	if full {
		return changes, true, l.knownRevision
	}
	for name, removedAt := range l.removals {
		if removedAt > revision {
			changes = append(changes, platform.Change{Object: platform.Object{Name: name, Revision: removedAt}, Deleted: true})
		}
	}
	return changes, false, l.knownRevision
}

// setNotFollowing records that this daemon no longer receives changes from the store.
func (l *targetList) setNotFollowing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notFollowing = true
}

// replaceFromStore replaces the list with a full list of the store as of a revision.
func (l *targetList) replaceFromStore(objects []platform.Object, revision int64, storeReturned bool) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	l.replaceEntries(objects, revision, false)
	l.gateway.coordinator.replaceTargets(l.decodeTargets(objects), storeReturned)
	l.gateway.log.Warn("target list loaded from the store", "entries", len(objects), "revision", revision)
}

// applyFromStore applies changes of single entries received from the store.
func (l *targetList) applyFromStore(changes []platform.Change, storeReturned bool) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	last := int64(0)
	for _, change := range changes {
		last = max(last, change.Object.Revision)
	}
	l.updateEntries(changes, last, false)
	l.forwardChanges(changes, storeReturned)
}

// applyFromPeer applies changes, or a full list, that a peer has received from the
// store. The peer knows all changes up to the revision. The update is ignored if this
// daemon follows the store itself or knows the revision already.
func (l *targetList) applyFromPeer(changes []platform.Change, full bool, revision int64) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	if l.followsStore() || revision <= l.revision() {
		return
	}
	if !full {
		l.updateEntries(changes, revision, true)
		l.forwardChanges(changes, false)
		return
	}
	var objects []platform.Object
	for _, change := range changes {
		objects = append(objects, change.Object)
	}
	l.replaceEntries(objects, revision, true)
	l.gateway.coordinator.replaceTargets(l.decodeTargets(objects), false)
	l.gateway.log.Warn("target list received from a peer", "entries", len(objects), "revision", revision)
}

// replaceEntries replaces the mirror with a full list as of a revision. Entries that
// the list lacks were removed by that revision, at revisions that are not known:
// peers with an older revision are therefore sent the full list.
func (l *targetList) replaceEntries(objects []platform.Object, revision int64, notFollowing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.entries)
	clear(l.removals)
	for _, object := range objects {
		l.entries[object.Name] = object
	}
	l.knownRevision = max(l.knownRevision, revision)
	l.removalsSince = l.knownRevision
	l.notFollowing = notFollowing
}

// updateEntries applies changes to the mirror, up to a revision.
func (l *targetList) updateEntries(changes []platform.Change, revision int64, notFollowing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notFollowing = notFollowing
	for _, change := range changes {
		if change.Deleted {
			delete(l.entries, change.Object.Name)
			l.removals[change.Object.Name] = change.Object.Revision
			continue
		}
		l.entries[change.Object.Name] = change.Object
		delete(l.removals, change.Object.Name)
	}
	l.knownRevision = max(l.knownRevision, revision)
	if len(l.removals) > maxRemovals {
		clear(l.removals)
		l.removalsSince = l.knownRevision
	}
}

// maxRemovals limits the number of removals that are kept. If there are more, all are
// discarded.
const maxRemovals = 1000

// forwardChanges passes changes on to the coordinator: only the last one of each
// entry, since one response may report that an entry expired and was written again.
func (l *targetList) forwardChanges(changes []platform.Change, storeReturned bool) {
	lastIndex := make(map[string]int, len(changes))
	for i, change := range changes {
		lastIndex[change.Object.Name] = i
	}
	var updated []platform.Object
	var removed []string
	for i, change := range changes {
		if lastIndex[change.Object.Name] != i {
			continue
		}
		if change.Deleted {
			removed = append(removed, change.Object.Name)
			continue
		}
		updated = append(updated, change.Object)
	}
	targets := l.decodeTargets(updated)
	for _, object := range updated {
		if !slices.ContainsFunc(targets, func(target *fleet.Target) bool { return target.ID == object.Name }) {
			removed = append(removed, object.Name) // its new content does not decode to a target
		}
	}
	for _, target := range targets {
		l.gateway.log.Info("target changed", "target", target.ID, "service", target.Service, "draining", target.Draining)
	}
	for _, id := range removed {
		l.gateway.log.Info("target removed", "target", id)
	}
	l.gateway.coordinator.applyTargetChanges(targets, removed, storeReturned)
}

// decodeTargets decodes entries of the list. It logs, counts and skips the invalid
// ones.
func (l *targetList) decodeTargets(objects []platform.Object) []*fleet.Target {
	var targets []*fleet.Target
	for _, object := range objects {
		target, err := platform.DecodeTarget(object)
		if err != nil {
			l.gateway.log.Warn("cannot decode entry of the target list", "entry", object.Name, "error", err)
			l.gateway.metrics.countBadEntry()
			continue
		}
		targets = append(targets, target)
	}
	return targets
}
