package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockknot/internal/state/objects"
	"hemlockknot/platform"
)

// Timing of the watches of the store.
const (
	// watchMargin is what a watch may wait at the store less than the time after which a
	// host without contact counts as undisturbed again (the users' contactMs, 3 to 5 s).
	// With the time allowed for the call itself, a dead connection is then noticed
	// before. Each watch is a call, so a longer wait is cheaper.
	watchMargin = time.Second
	// minWatchTimeout is the least time that a watch waits.
	minWatchTimeout = 2 * time.Second
	// recoveryWatchTimeout replaces the watch's timeout after a failed call. During a longer
	// watch, an unavailable store would look like a store without changes.
	recoveryWatchTimeout = 50 * time.Millisecond
	// minBackoff is the pause after a failed call. It doubles with each further
	// failure, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// configBatchDelay and targetsBatchDelay are pauses after changes, so that the
	// store returns changes in quick succession in one response: each response costs
	// a call. A leaving target serves for drainMs or longer, and the users' bounds
	// allow no drainMs below 2 s.
	configBatchDelay  = 200 * time.Millisecond
	targetsBatchDelay = 500 * time.Millisecond
	// followCheckInterval is how often a daemon that does not follow the store checks
	// whether it must.
	followCheckInterval = 200 * time.Millisecond
	// minPeerWait and maxPeerWait are the range of the time for which a daemon that
	// starts waits for a peer's copy of a long list. A copy of 3,000 targets reaches 300
	// daemons within about 2 s, and those that still lack it do not ask all at once.
	minPeerWait = 2 * time.Second
	maxPeerWait = 6 * time.Second
	// failuresUntilUnavailable is the number of consecutive failed calls after which
	// the store is treated as unavailable.
	failuresUntilUnavailable = 2
)

// watcher follows one kind of objects in the store: it lists them and then waits for
// changes with long-poll calls.
type watcher struct {
	kind       string
	store      *platform.Store
	log        logger
	batchDelay time.Duration // pause after changes, so that the next ones arrive together
	timeout    time.Duration // how long one watch may wait at the store for a change
	// onList receives a full list. It returns the revision from which to watch, and whether
	// the list was accepted. onChanges receives changes of single objects, up to a revision.
	// The argument storeReturned is true if the store was unavailable before.
	onList    func(list []objects.Object, revision objects.Revision, storeReturned bool) (from objects.Revision, accepted bool)
	onChanges func(changes []objects.Change, until objects.Revision, storeReturned bool)
	// onStopped is called when the watcher no longer receives changes, because the
	// store is unavailable or need not be followed.
	onStopped func()
	// onResponse is called with the store's revision after each successful call.
	onResponse func(revision objects.Revision)
	// mustFollow reports whether this daemon must follow the store itself.
	mustFollow func() bool
	// staleOK reports whether the first list may be stale.
	staleOK func() bool

	failures int  // consecutive failed calls
	listed   bool // a list has been accepted

	mu           sync.Mutex
	cancelCall   context.CancelFunc // cancels the call in progress
	abortedCalls int                // number of calls of abortCall
}

func newWatcher(kind string, g *Gateway, batchDelay time.Duration) *watcher {
	return &watcher{kind: kind, store: g.store, log: g.log, batchDelay: batchDelay, timeout: watchTimeout(g.settings), onStopped: func() {}, onResponse: func(objects.Revision) {}, mustFollow: func() bool { return true }, staleOK: func() bool { return false }, cancelCall: func() {}}
}

// abortCall cancels the call in progress because its connection seems to be dead. The
// watcher then calls the store again.
func (w *watcher) abortCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall()
	w.abortedCalls++
}

// abortCount returns how often abortCall has been called.
func (w *watcher) abortCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.abortedCalls
}

// newCall returns the context of the next call, which abortCall cancels.
func (w *watcher) newCall(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall()
	callCtx, cancel := context.WithCancel(ctx)
	w.cancelCall = cancel
	return callCtx
}

// run lists and watches the objects until the context ends, whenever this daemon
// must follow the store.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.mustFollow() {
			w.onStopped()
			sleep(ctx, followCheckInterval)
			continue
		}
		list, revision, err := w.store.List(w.newCall(ctx), w.kind, !w.listed && w.staleOK())
		if errors.Is(err, platform.ErrLongList) {
			w.leaveToPeers(ctx)
			continue
		}
		if err != nil {
			w.backOff(ctx, err)
			continue
		}
		from, accepted := w.onList(list, revision, w.recordSuccess())
		if !accepted {
			sleep(ctx, minBackoff)
			continue
		}
		w.listed = true
		w.onResponse(revision)
		w.watchChanges(ctx, from)
	}
}

// leaveToPeers waits until this daemon has received a long list from a peer, may read
// no stale list any more, or has waited for long enough. If all daemons of a large fleet
// read it when they start together, the store's link is full for seconds, all reads stall,
// and all are repeated.
func (w *watcher) leaveToPeers(ctx context.Context) {
	w.listed = true // the next list is whole
	wait := minPeerWait + rand.N(maxPeerWait-minPeerWait)
	w.log.Info("list is long, waiting for a peer's", "kind", w.kind, "for_ms", wait.Milliseconds())
	for deadline := time.Now().Add(wait); ctx.Err() == nil && w.mustFollow() && w.staleOK() && time.Now().Before(deadline); {
		sleep(ctx, followCheckInterval)
	}
}

// watchChanges watches for changes after a revision. It returns when the objects must
// be listed again, or when this daemon need not follow the store any longer.
func (w *watcher) watchChanges(ctx context.Context, revision objects.Revision) {
	for ctx.Err() == nil && w.mustFollow() {
		changes, next, err := w.store.Watch(w.newCall(ctx), w.kind, revision, w.nextWatchTimeout())
		if errors.Is(err, platform.ErrHistoryDiscarded) || errors.Is(err, platform.ErrEraChanged) {
			w.log.Warn("store has dropped the history since the revision, listing again", "kind", w.kind, "era", revision.Era, "revision", revision.Number, "error", err)
			return
		}
		if errors.Is(err, platform.ErrResponseTooLarge) {
			w.log.Warn("changes since the revision are too large, listing again", "kind", w.kind, "revision", revision.Number)
			return
		}
		if err != nil {
			w.backOff(ctx, err)
			continue
		}
		storeReturned := w.recordSuccess()
		notify := len(changes) > 0 || storeReturned
		if notify {
			w.onChanges(changes, next, storeReturned)
		}
		w.onResponse(next)
		if notify {
			sleep(ctx, w.batchDelay)
		}
		revision = next
	}
}

// nextWatchTimeout returns how long the next watch may wait at the store.
func (w *watcher) nextWatchTimeout() time.Duration {
	if w.failures > 0 {
		return recoveryWatchTimeout
	}
	return w.timeout
}

// watchTimeout returns how long one watch may wait at the store for a change.
func watchTimeout(settings platform.Settings) time.Duration {
	return max(minWatchTimeout, settings.RecoveryTime-watchMargin)
}

// backOff records a failed call and pauses before the next one.
func (w *watcher) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures++
	if w.failures == failuresUntilUnavailable {
		w.onStopped()
		w.log.Warn("store is unavailable", "kind", w.kind, "error", err)
	}
	pause := min(maxBackoff, minBackoff<<min(w.failures-1, 8))
	// Up to half of the pause is random, so that the daemons do not retry together.
	pause -= time.Duration(rand.Int64N(int64(pause) / 2))
	sleep(ctx, pause)
}

// sleep pauses until the time is over or the context ends.
func sleep(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// recordSuccess records a successful call and reports whether the store was
// unavailable before it.
func (w *watcher) recordSuccess() bool {
	wasUnavailable := w.failures >= failuresUntilUnavailable
	if wasUnavailable {
		w.log.Warn("store is available again", "kind", w.kind, "failed_calls", w.failures)
	}
	w.failures = 0
	return wasUnavailable
}

// watchConfig follows the configuration in the store until the context ends.
func (g *Gateway) watchConfig(ctx context.Context) {
	w := newWatcher(platform.KindDocument, g, configBatchDelay)
	w.mustFollow = g.peers.mustFollowStore
	w.onResponse = func(objects.Revision) { g.peers.recordStoreResponse(platform.KindDocument) }
	w.onList = func(list []objects.Object, revision objects.Revision, _ bool) (objects.Revision, bool) {
		if revision.Era > 0 {
			g.peers.waitForFirstRound(ctx)
		}
		for _, object := range list {
			g.applyStoredConfig(object)
		}
		return revision, true
	}
	w.onChanges = func(changes []objects.Change, _ objects.Revision, _ bool) {
		for _, change := range changes {
			if !change.Deleted {
				g.applyStoredConfig(change.Object)
			}
		}
	}
	w.run(ctx)
}
