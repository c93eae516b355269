package gateway

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/targetview"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/fleet"
	"hemlockknot/internal/state/objects"
	"hemlockknot/platform"
)

// maxLoggedTargets limits the ids in one log line about the list of targets.
const maxLoggedTargets = 16

// maxTargetBytes is the size from which an entry of the list is not kept: targets write some hundred
// bytes. Another writer's entry may have a megabyte, which would be sent to peers with each
// whole list.
const maxTargetBytes = 64 << 10

// dropLarge returns the object without its spec if that is too large to be a target's.
func dropLarge(object objects.Object) objects.Object {
	if len(object.Spec) > maxTargetBytes {
		object.Spec = nil
	}
	return object
}

// targetList mirrors the platform's list of targets and forwards each change to the
// coordinator.
type targetList struct {
	gateway *Gateway
	watch   *watcher

	// updateMu is held during each complete update, so that the mirror and the
	// coordinator apply updates in the same order: updates from the store and from
	// peers arrive on different goroutines.
	updateMu sync.Mutex

	mu   sync.Mutex
	view *targetview.View
	// packedList is the whole list as sent to peers, as of packedUntil; nil until a peer
	// needs it. Many peers ask for the same one when they start together.
	packedList  []byte
	packedUntil objects.Revision
	// storeReturnedAt is when the store was last available again after an outage, to
	// this daemon or to the peer that said so; zero if it was never away.
	storeReturnedAt time.Time
}

func newTargetList(g *Gateway) *targetList {
	list := &targetList{gateway: g, view: targetview.New()}
	list.watch = newWatcher(platform.KindTargets, g, targetsBatchDelay)
	list.watch.onList = list.replaceFromStore
	list.watch.onChanges = list.applyFromStore
	list.watch.onStopped = list.setNotFollowing
	list.watch.mustFollow = g.peers.mustFollowStore
	list.watch.staleOK = g.peers.mayReadStale
	list.watch.onResponse = func(revision objects.Revision) {
		list.confirmRevision(revision)
		g.peers.recordStoreResponse(platform.KindTargets)
	}
	return list
}

// revision returns the store revision up to which all changes are known.
func (l *targetList) revision() objects.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Revision()
}

// confirmRevision records the revision in a response of the store.
func (l *targetList) confirmRevision(revision objects.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.Confirm(revision)
}

// isBehind reports whether a peer's revision includes a change that is missing here.
func (l *targetList) isBehind(peerRevision objects.Revision) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.IsBehind(peerRevision)
}

// followsStore reports whether this daemon receives changes from the store itself.
func (l *targetList) followsStore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.view.Following()
}

// encodedChanges are changes of the list as sent to a peer: plain or packed.
type encodedChanges struct {
	plain  []*peerpb.StoreObject
	packed []byte
	whole  bool             // the changes are the whole list
	until  objects.Revision // to which they lead
}

// minPackedTargets is the number of changes from which they are compressed. The entries
// of targets are alike, so that many shrink to a tenth.
const minPackedTargets = 8

// encodeSince returns the changes after a peer's revision, or the whole list.
func (l *targetList) encodeSince(revision objects.Revision) encodedChanges {
	l.mu.Lock()
	defer l.mu.Unlock()
	changes, whole, until := l.view.ChangesSince(revision)
	encoded := encodedChanges{whole: whole, until: until}
	if whole && l.packedList != nil && l.packedUntil == until {
		encoded.packed = l.packedList
		return encoded
	}
	for _, change := range changes {
		encoded.plain = append(encoded.plain, &peerpb.StoreObject{
			Name: change.Object.Name, Revision: change.Object.Revision, Spec: change.Object.Spec, Deleted: change.Deleted,
		})
	}
	if len(changes) < minPackedTargets {
		return encoded
	}
	content, _ := proto.Marshal(&peerpb.StoreObjects{Objects: encoded.plain}) // fails only for invalid UTF-8, which JSON cannot hold
	encoded.plain, encoded.packed = nil, compress(content)
	if whole {
		l.packedList, l.packedUntil = encoded.packed, until
	}
	return encoded
}

// setNotFollowing records that this daemon no longer receives changes from the store.
func (l *targetList) setNotFollowing() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.view.StopFollowing()
}

// recordStoreReturn records that the store is available again after an outage, which
// starts the grace for targets whose entries expired meanwhile.
func (l *targetList) recordStoreReturn(at time.Time) {
	l.mu.Lock()
	l.storeReturnedAt = at
	l.mu.Unlock()
	l.gateway.coordinator.recordStoreReturn(at)
}

// recordStoreReturnOfPeer does the same for a return that a peer has noticed, unless it
// is known: peers report each return for a while.
func (l *targetList) recordStoreReturnOfPeer(at time.Time) {
	l.mu.Lock()
	known := at.Sub(l.storeReturnedAt) < sameStoreReturn
	l.mu.Unlock()
	if !known {
		l.recordStoreReturn(at)
	}
}

// sameStoreReturn is the time within which two reports of a return of the store mean the
// same one: daemons notice it at different times.
const sameStoreReturn = 2 * time.Second

// storeReturnAge returns how long ago the store was last available again, if that was
// within the time for which it matters.
func (l *targetList) storeReturnAge(now time.Time) (age time.Duration, lately bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age = now.Sub(l.storeReturnedAt)
	return age, !l.storeReturnedAt.IsZero() && age < storeReturnLifetime
}

// storeReturnLifetime is how long daemons report a return of the store.
const storeReturnLifetime = 4 * time.Second

// replaceFromStore replaces the list with a full list of the store as of a revision, unless it is
// newer already. It returns the revision from which to watch the store, and whether the list was
// accepted.
func (l *targetList) replaceFromStore(list []objects.Object, revision objects.Revision, storeReturned bool) (from objects.Revision, accepted bool) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	for i := range list {
		list[i] = dropLarge(list[i])
	}
	l.mu.Lock()
	update := l.view.ReplaceFromStore(list, revision)
	from = l.view.Revision()
	l.mu.Unlock()
	if update == targetview.Ignored {
		l.gateway.log.Warn("list of an earlier era of the store ignored", "era", revision.Era, "revision", revision.Number)
		return revision, false
	}
	if storeReturned || update == targetview.Restored {
		l.recordStoreReturn(time.Now())
	}
	if update == targetview.Outdated {
		l.gateway.log.Info("target list is newer than that of the store, and stays", "era", from.Era, "revision", from.Number, "listed_revision", revision.Number)
		return from, true
	}
	l.replaceTargets(list, revision, update, "store")
	return revision, true
}

// applyFromStore applies changes of single entries received from the store.
func (l *targetList) applyFromStore(changes []objects.Change, until objects.Revision, storeReturned bool) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	// The revision of the response also counts changes of other kinds of objects. Peers
	// compare the revision of the last change of the list.
	last := objects.Revision{Era: until.Era}
	for i, change := range changes {
		changes[i].Object = dropLarge(change.Object)
		last.Number = max(last.Number, change.Object.Revision)
	}
	l.mu.Lock()
	update := l.view.ChangeFromStore(changes, last)
	l.mu.Unlock()
	if storeReturned {
		l.recordStoreReturn(time.Now())
	}
	if update == targetview.Applied {
		l.forwardChanges(changes, last)
	}
}

// applyFromPeer applies changes, or a full list, that a peer has received from the
// store.
func (l *targetList) applyFromPeer(changes []objects.Change, full bool, until objects.Revision) {
	l.updateMu.Lock()
	defer l.updateMu.Unlock()
	l.mu.Lock()
	update := l.view.ApplyFromPeer(changes, full, until)
	l.mu.Unlock()
	switch {
	case update == targetview.Ignored:
	case full:
		var list []objects.Object
		for _, change := range changes {
			list = append(list, change.Object)
		}
		l.replaceTargets(list, until, update, "peer")
	default:
		l.forwardChanges(changes, until)
	}
}

// replaceTargets passes a full list on to the coordinator.
func (l *targetList) replaceTargets(list []objects.Object, revision objects.Revision, update targetview.Update, source string) {
	restored := update == targetview.Restored
	if restored {
		l.gateway.streamRecord.markStale()
	}
	l.gateway.coordinator.replaceTargets(l.decodeTargets(list), restored)
	l.gateway.log.Warn("target list loaded", "source", source, "entries", len(list), "era", revision.Era, "revision", revision.Number, "restored", restored)
	l.gateway.peers.startRoundSoon()
}

// forwardChanges passes changes on to the coordinator: only the last one of each
// entry, since one response may report that an entry expired and was written again.
func (l *targetList) forwardChanges(changes []objects.Change, until objects.Revision) {
	lastIndex := make(map[string]int, len(changes))
	for i, change := range changes {
		lastIndex[change.Object.Name] = i
	}
	var updated []objects.Object
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
	if len(targets)+len(removed) == 0 {
		return
	}
	l.gateway.coordinator.applyTargetChanges(targets, removed)
	l.logChanges(targets, removed, until)
	l.gateway.peers.startRoundSoon()
}

// logChanges logs changes in one line: a line for each target would be as many lines as
// the fleet has daemons and targets when all targets register.
func (l *targetList) logChanges(targets []*fleet.Target, removed []string, until objects.Revision) {
	var ready, draining []string
	for _, target := range targets {
		if target.Draining {
			draining = append(draining, target.ID)
		} else {
			ready = append(ready, target.ID)
		}
	}
	l.gateway.log.Info("targets changed", "era", until.Era, "revision", until.Number,
		"ready", len(ready), "draining", len(draining), "removed", len(removed),
		"ready_ids", firstIDs(ready), "draining_ids", firstIDs(draining), "removed_ids", firstIDs(removed))
}

// firstIDs returns the first maxLoggedTargets ids.
func firstIDs(ids []string) []string { return ids[:min(len(ids), maxLoggedTargets)] }

// decodeTargets decodes entries of the list. It logs, counts and skips the invalid
// ones.
func (l *targetList) decodeTargets(list []objects.Object) []*fleet.Target {
	var targets []*fleet.Target
	for _, object := range list {
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
