package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockknot/platform"
)

// Times of the watches of the store.
const (
	// watchWait is how long one watch waits at the store. With the time that a call
	// may take besides, it bounds how long a connection that went silent is
	// believed: less than the users' contactMs of 3 s.
	watchWait = 2 * time.Second
	// probeWait is the same after a failed call: until the store has answered, a
	// long silence would say nothing.
	probeWait = 50 * time.Millisecond
	// Pauses after a failed call, doubled each time.
	minPause = 50 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// gatherDocument and gatherTargets let changes that come together be told in one
	// answer, as each answer is a call. A target that leaves serves for drainMs and
	// longer: the shortest is 2 s, by the users' bounds.
	gatherDocument = 200 * time.Millisecond
	gatherTargets  = 500 * time.Millisecond
	// idlePause is how often a daemon that need not follow the store asks whether
	// it must.
	idlePause = 200 * time.Millisecond
	// awayAfter failed calls in a row the store counts as away.
	awayAfter = 2
)

// watcher follows one kind of objects.
type watcher struct {
	kind   string
	store  *platform.Store
	log    logger
	gather time.Duration // pause after changes
	// replace takes in a whole list, change single events. Returned says that the
	// store was away before.
	replace func(objects []platform.Object, revision int64, returned bool)
	change  func(changes []platform.Change, returned bool)
	// lost is told when the store is not followed any more.
	lost func()
	// confirmed is told of each answer of the store, and the revision that it
	// answered for.
	confirmed func(revision int64)
	// needed reports whether this daemon is to follow the store itself.
	needed func() bool

	failures int

	mu     sync.Mutex
	cancel context.CancelFunc // of the call in progress
	broken int                // calls that were broken off as dead
}

func newWatcher(kind string, store *platform.Store, log logger, gather time.Duration) *watcher {
	return &watcher{kind: kind, store: store, log: log, gather: gather, lost: func() {}, confirmed: func(int64) {}, needed: func() bool { return true }, cancel: func() {}}
}

// again breaks off the call in progress, as its connection seems dead.
func (w *watcher) again() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	w.broken++
}

// asked returns how often a call was broken off to ask again.
func (w *watcher) asked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.broken
}

// begin returns the context of the next call.
func (w *watcher) begin(ctx context.Context) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel()
	call, cancel := context.WithCancel(ctx)
	w.cancel = cancel
	return call
}

// run lists and watches until the context ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.needed() {
			w.lost()
			pauseFor(ctx, idlePause)
			continue
		}
		objects, revision, err := w.store.List(w.begin(ctx), w.kind)
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		w.replace(objects, revision, w.returned())
		w.confirmed(revision)
		w.follow(ctx, revision)
	}
}

// follow watches until a list is needed again, or nothing is.
func (w *watcher) follow(ctx context.Context, revision int64) {
	for ctx.Err() == nil && w.needed() {
		changes, next, err := w.store.Watch(w.begin(ctx), w.kind, revision, w.wait())
		if errors.Is(err, platform.ErrHistoryGone) {
			w.log.Warn("history of the store is gone, listing again", "kind", w.kind, "revision", revision)
			return
		}
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		returned := w.returned()
		changed := len(changes) > 0 || returned
		if changed {
			w.change(changes, returned)
		}
		w.confirmed(next)
		if changed {
			pauseFor(ctx, w.gather)
		}
		revision = next
	}
}

// wait returns how long the next watch may wait at the store.
func (w *watcher) wait() time.Duration {
	if w.failures > 0 {
		return probeWait
	}
	return watchWait
}

// failed notes a failed call and waits before the next.
func (w *watcher) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	w.failures++
	if w.failures == awayAfter {
		w.lost()
		w.log.Warn("store is away", "kind", w.kind, "error", err)
	}
	pause := min(maxPause, minPause<<min(w.failures-1, 8))
	// Up to half is random, so that the daemons do not come back together.
	pause -= time.Duration(rand.Int64N(int64(pause) / 2))
	pauseFor(ctx, pause)
}

func pauseFor(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

// returned notes a call that succeeded and reports whether the store was away
// before it.
func (w *watcher) returned() bool {
	was := w.failures >= awayAfter
	if was {
		w.log.Warn("store is back", "kind", w.kind, "failed_calls", w.failures)
	}
	w.failures = 0
	return was
}

// watchDocument follows the configuration.
func (g *Gateway) watchDocument(ctx context.Context) {
	w := newWatcher(platform.KindDocument, g.store, g.log, gatherDocument)
	w.needed = g.peers.lookout
	w.confirmed = func(int64) { g.peers.confirm(platform.KindDocument) }
	w.replace = func(objects []platform.Object, _ int64, _ bool) {
		for _, object := range objects {
			g.takeDocument(object)
		}
	}
	w.change = func(changes []platform.Change, _ bool) {
		for _, change := range changes {
			if !change.Deleted {
				g.takeDocument(change.Object)
			}
		}
	}
	w.run(ctx)
}
