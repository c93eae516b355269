package daemon

import (
	"context"
	"encoding/json"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
)

// retryInterval is how long the daemon waits after a failed platform call.
const retryInterval = time.Second

// runEnvironment follows the environment object at the platform.
func (d *Daemon) runEnvironment(ctx context.Context) {
	d.follow(ctx, platform.KindEnvironments, func(object platform.Object) {
		if object.Metadata.Name != d.settings.Environment {
			return
		}
		var spec platform.EnvironmentSpec
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			d.log.Error("environment object unreadable", "step", "decode environment", "err", err)
			return
		}
		d.apply(object.Metadata.Generation, []byte(spec.Document))
	})
}

// runHosts follows the platform's list of live and leaving hosts.
func (d *Daemon) runHosts(ctx context.Context) {
	d.follow(ctx, platform.KindHosts, func(object platform.Object) {
		var spec platform.HostSpec
		if err := json.Unmarshal(object.Spec, &spec); err != nil {
			d.log.Error("host object unreadable", "step", "decode host", "err", err)
			return
		}
		state := health.Live
		if spec.State == "leaving" {
			state = health.Leaving
		}
		d.loop.Do(func(s *control.State, now time.Time) {
			s.Health.Note(object.Metadata.Name, state, health.SourcePlatform, now)
		})
	})
}

// follow reports the present and every later state of a kind's objects, through
// outages, until ctx ends.
func (d *Daemon) follow(ctx context.Context, kind string, handle func(platform.Object)) {
	for ctx.Err() == nil {
		list, err := d.platform.List(ctx, kind)
		if err == nil {
			for _, object := range list.Items {
				handle(object)
			}
			err = d.watch(ctx, kind, list.Metadata.ResourceVersion, handle)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Warn("platform away", "step", "follow "+kind, "err", err)
			wait(ctx, retryInterval)
		}
	}
}

func (d *Daemon) watch(ctx context.Context, kind, version string, handle func(platform.Object)) error {
	var err error
	for err == nil && ctx.Err() == nil {
		version, err = d.platform.Watch(ctx, kind, version, func(event platform.Event) {
			if event.Type == "ADDED" || event.Type == "MODIFIED" {
				handle(event.Object)
			}
		})
	}
	return err
}

func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fetchNewer gets a peer's document if it is newer than this daemon's.
func (d *Daemon) fetchNewer(ctx context.Context, address string, generation uint64) {
	var known uint64
	if snapshot := d.loop.Snapshot(); snapshot != nil {
		known = snapshot.Generation
	}
	if generation <= known {
		return
	}
	reply, err := d.peers.FetchDocument(ctx, address, known)
	if err != nil {
		d.log.Debug("document not fetched", "step", "fetch document", "peer", address, "err", err)
		return
	}
	if len(reply.GetDocument()) > 0 {
		d.apply(reply.GetGeneration(), reply.GetDocument())
	}
}

// apply puts a document in force, if it is valid and newer.
func (d *Daemon) apply(generation uint64, text []byte) {
	document, err := environment.Parse(text)
	if err != nil {
		d.metrics.DocumentRefused()
		d.log.Error("document refused", "step", "parse document", "generation", generation, "err", err)
		return
	}
	next := &control.Snapshot{Generation: generation, Document: document, Text: text}
	if d.loop.Apply(next) {
		d.metrics.Generation(generation)
		d.log.Info("document in force", "generation", generation)
	}
}
