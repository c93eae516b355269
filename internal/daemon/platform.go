package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/coordination/spread"
	"hemlockknot/internal/state/platform"
)

// Intervals of following the platform.
const (
	// retryInterval is how long the daemon waits after a failed platform call.
	retryInterval = time.Second
	// roleInterval is how often a daemon checks whether it should watch.
	roleInterval = 250 * time.Millisecond
	// relistInterval is how often a watcher reads everything anew, in case the
	// platform has lost changes or started over.
	relistInterval = 5 * time.Minute
	// awayLifetime is how long a daemon that does not watch is passed over after
	// its last failed call.
	awayLifetime = 5 * time.Second
)

// runPlatform follows the environment object and the list of hosts while this
// daemon is one of its failure domain's watchers. A starting daemon reads the
// environment once in any case, but asks its peers first: the platform's reads
// may be older than what is in force.
func (d *Daemon) runPlatform(ctx context.Context) {
	d.askPeers(ctx)
	go d.follow(ctx, platform.KindHosts, d.watches, d.takeHost)
	started := false
	d.follow(ctx, platform.KindEnvironments, func() bool {
		first := !started && d.loop.Snapshot() == nil
		started = true
		return first || d.watches()
	}, d.takeEnvironment)
}

// watches reports whether this daemon is to watch the platform.
func (d *Daemon) watches() bool {
	watches := false
	d.loop.Do(func(state *control.State, now time.Time) {
		watches = spread.Watches(state.Members.Self(), state.Members.Live(now))
	})
	return watches
}

// follow reports the present and every later state of a kind's objects, through
// outages, while wanted holds, until ctx ends.
func (d *Daemon) follow(ctx context.Context, kind string, wanted func() bool, handle func(platform.Event)) {
	var lastFailure time.Time
	for ctx.Err() == nil {
		if !wanted() {
			if time.Since(lastFailure) > awayLifetime {
				d.setPlatformAway(kind, false)
			}
			wait(ctx, roleInterval)
			continue
		}
		err := d.listAndWatch(ctx, kind, wanted, handle)
		if err != nil && ctx.Err() == nil {
			d.log.Warn("platform away", "step", "follow "+kind, "err", err)
			lastFailure = time.Now()
			d.setPlatformAway(kind, !errors.Is(err, platform.ErrVersionExpired))
			wait(ctx, retryInterval)
		}
	}
}

// listAndWatch reads a kind's objects and follows their changes until it is to
// read anew.
func (d *Daemon) listAndWatch(ctx context.Context, kind string, wanted func() bool, handle func(platform.Event)) error {
	list, err := d.platform.List(ctx, kind)
	if err != nil {
		return err
	}
	d.setPlatformAway(kind, false)
	for _, object := range list.Items {
		handle(platform.Event{Type: platform.EventAdded, Object: object})
	}
	version := list.WatchFrom()
	for relist := time.Now().Add(relistInterval); time.Now().Before(relist) && ctx.Err() == nil && wanted(); {
		if version, err = d.platform.Watch(ctx, kind, version, handle); err != nil {
			return err
		}
	}
	return nil
}

// setPlatformAway tells the peers whether this daemon reaches the platform. The
// environment's calls decide; the hosts' calls go the same way.
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

// takeHost takes in an entry of the platform's list of live and leaving hosts.
func (d *Daemon) takeHost(event platform.Event) {
	var spec platform.HostSpec
	if err := json.Unmarshal(event.Object.Spec, &spec); err != nil {
		d.log.Error("host object unreadable", "step", "decode host", "err", err)
		return
	}
	state := health.Live
	if spec.State == platform.HostLeaving && event.Type != platform.EventDeleted {
		state = health.Leaving
	}
	d.loop.Do(func(s *control.State, _ time.Time) {
		s.Health.NoteListed(event.Object.Metadata.Name, state, event.Object.Metadata.Version())
	})
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
