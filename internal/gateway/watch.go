package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hemlockknot/internal/state/fleet"
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
	// awayAfter failed calls in a row the store counts as away.
	awayAfter = 2
)

// watcher follows one kind of objects.
type watcher struct {
	kind  string
	store *platform.Store
	log   logger
	// replace takes in a whole list, change single events. Returned says that the
	// store was away before.
	replace func(objects []platform.Object, returned bool)
	change  func(changes []platform.Change, returned bool)

	failures int
}

// run lists and watches until the context ends.
func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		objects, revision, err := w.store.List(ctx, w.kind)
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		w.replace(objects, w.returned())
		w.follow(ctx, revision)
	}
}

// follow watches until a list is needed again.
func (w *watcher) follow(ctx context.Context, revision int64) {
	for ctx.Err() == nil {
		changes, next, err := w.store.Watch(ctx, w.kind, revision, w.wait())
		if errors.Is(err, platform.ErrHistoryGone) {
			w.log.Warn("history of the store is gone, listing again", "kind", w.kind, "revision", revision)
			return
		}
		if err != nil {
			w.failed(ctx, err)
			continue
		}
		returned := w.returned()
		if len(changes) > 0 || returned {
			w.change(changes, returned)
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
		w.log.Warn("store is away", "kind", w.kind, "error", err)
	}
	pause := min(maxPause, minPause<<min(w.failures-1, 8))
	// Up to half is random, so that the daemons do not come back together.
	pause -= time.Duration(rand.Int64N(int64(pause) / 2))
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

// watchTargets follows the list of targets.
func (g *Gateway) watchTargets(ctx context.Context) {
	w := &watcher{kind: platform.KindTargets, store: g.store, log: g.log}
	w.replace = func(objects []platform.Object, returned bool) {
		var targets []*fleet.Target
		for _, object := range objects {
			if target := g.decodeTarget(object); target != nil {
				targets = append(targets, target)
			}
		}
		g.control.replaceTargets(targets, returned)
		g.log.Warn("listed targets", "targets", len(targets), "entries", len(objects))
	}
	w.change = func(changes []platform.Change, returned bool) {
		var put []*fleet.Target
		var removed []string
		for _, change := range changes {
			target := (*fleet.Target)(nil)
			if !change.Deleted {
				target = g.decodeTarget(change.Object)
			}
			if target == nil {
				removed = append(removed, change.Object.Name)
				continue
			}
			put = append(put, target)
			g.log.Info("target changed", "target", target.ID, "service", target.Service, "draining", target.Draining, "revision", change.Object.Revision)
		}
		for _, id := range removed {
			g.log.Info("target removed", "target", id)
		}
		g.control.changeTargets(put, removed, returned)
	}
	w.run(ctx)
}

// decodeTarget returns nil for an entry that names no target.
func (g *Gateway) decodeTarget(object platform.Object) *fleet.Target {
	target, err := platform.DecodeTarget(object)
	if err != nil {
		g.log.Warn("entry of the list names no target", "entry", object.Name, "error", err)
		g.metrics.badEntry()
		return nil
	}
	return target
}

// watchDocument follows the configuration.
func (g *Gateway) watchDocument(ctx context.Context) {
	w := &watcher{kind: platform.KindDocument, store: g.store, log: g.log}
	w.replace = func(objects []platform.Object, _ bool) {
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
