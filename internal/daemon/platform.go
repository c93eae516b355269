package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/docsync"
	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/state/platform"
)

// Intervals of watching the platform.
const (
	// retryInterval is how long the daemon waits after a failed platform call.
	retryInterval = time.Second
	// watchCheckInterval is how often a daemon that does not watch the platform checks
	// whether it has become a watcher.
	watchCheckInterval = 250 * time.Millisecond
	// relistInterval is how often a watcher lists all objects again, in case the
	// platform has lost changes or restarted with other state.
	relistInterval = 5 * time.Minute
	// unreachableHold is how long a daemon that does not watch keeps reporting the
	// platform as unreachable after its last failed call. Other daemons are preferred
	// as watchers in that time.
	unreachableHold = 5 * time.Second
)

// runPlatform watches the platform's environment object and list of hosts while this
// daemon is one of its failure domain's watchers. A starting daemon without a document
// reads the environment once even if it is not a watcher. It contacts its peers
// first, because a read from the platform may be older than the document in force.
func (d *Daemon) runPlatform(ctx context.Context) {
	d.syncWithBootstrapPeers(ctx)
	go d.watchWhile(ctx, platform.KindHosts, d.isWatcher, d.handleHostEvent)
	initialReadTried := false
	d.watchWhile(ctx, platform.KindEnvironments, func() bool {
		initialRead := !initialReadTried && d.loop.Snapshot() == nil
		initialReadTried = true
		return initialRead || d.isWatcher()
	}, d.handleEnvironmentEvent)
}

// isWatcher reports whether this daemon is one of its failure domain's watchers of
// the platform.
func (d *Daemon) isWatcher() bool {
	watcher := false
	d.loop.Do(func(state *control.State, now time.Time) {
		watcher = docsync.ShouldWatchPlatform(state.Members.Self(), state.Members.Live(now))
	})
	return watcher
}

// watchWhile lists and watches a kind's objects while shouldWatch returns true, and
// passes each listed object and each change to handle. It retries after failures and
// returns when ctx is cancelled.
func (d *Daemon) watchWhile(ctx context.Context, kind string, shouldWatch func() bool, handle func(platform.Event)) {
	var lastFailure time.Time
	for ctx.Err() == nil {
		if !shouldWatch() {
			if time.Since(lastFailure) > unreachableHold {
				d.setPlatformAway(kind, false)
			}
			sleep(ctx, watchCheckInterval)
			continue
		}
		err := d.listAndWatch(ctx, kind, shouldWatch, handle)
		if err != nil && ctx.Err() == nil {
			d.log.Warn("watching the platform failed", "step", "follow "+kind, "err", err)
			lastFailure = time.Now()
			d.setPlatformAway(kind, !errors.Is(err, platform.ErrVersionExpired))
			sleep(ctx, retryInterval)
		}
	}
}

// listAndWatch lists a kind's objects and watches their changes until the next list
// is due or shouldWatch returns false.
func (d *Daemon) listAndWatch(ctx context.Context, kind string, shouldWatch func() bool, handle func(platform.Event)) error {
	list, err := d.platform.List(ctx, kind)
	if err != nil {
		return err
	}
	d.setPlatformAway(kind, false)
	for _, object := range list.Items {
		handle(platform.Event{Type: platform.EventAdded, Object: object})
	}
	version := list.WatchVersion()
	for relistAt := time.Now().Add(relistInterval); time.Now().Before(relistAt) && ctx.Err() == nil && shouldWatch(); {
		if version, err = d.platform.Watch(ctx, kind, version, handle); err != nil {
			return err
		}
	}
	return nil
}

// setPlatformAway publishes to the peers whether the platform is unreachable from this
// daemon. Only calls for environments count; calls for hosts use the same server.
func (d *Daemon) setPlatformAway(kind string, away bool) {
	if kind != platform.KindEnvironments {
		return
	}
	d.loop.Do(func(state *control.State, _ time.Time) {
		if state.Members.Self().GetPlatformAway() != away {
			state.Members.SetPlatformAway(away)
		}
	})
}

// handleHostEvent records the state of a host in the platform's list of live and
// leaving hosts. It records a deleted host as live.
func (d *Daemon) handleHostEvent(event platform.Event) {
	var spec platform.HostSpec
	if err := json.Unmarshal(event.Object.Spec, &spec); err != nil {
		d.log.Error("cannot decode host object", "step", "decode host", "err", err)
		return
	}
	state := health.Live
	if spec.State == platform.HostLeaving && event.Type != platform.EventDeleted {
		state = health.Leaving
	}
	d.loop.Do(func(s *control.State, _ time.Time) {
		s.Health.RecordPlatformState(event.Object.Metadata.Name, state, event.Object.Metadata.VersionNumber())
	})
}

// sleep waits for a duration or until ctx is cancelled.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
