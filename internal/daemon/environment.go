package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/spread"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
)

// takeEnvironment takes in the environment object as the platform holds it. A
// deleted object leaves the document in force.
func (d *Daemon) takeEnvironment(event platform.Event) {
	metadata := event.Object.Metadata
	if metadata.Name != d.settings.Environment || event.Type == platform.EventDeleted {
		return
	}
	var spec platform.EnvironmentSpec
	if err := json.Unmarshal(event.Object.Spec, &spec); err != nil {
		d.log.Error("environment object unreadable", "step", "decode environment", "err", err)
		return
	}
	d.apply(metadata.Generation, []byte(spec.Document))
}

// considerVersion fetches a peer's document if it is newer than this daemon's.
func (d *Daemon) considerVersion(ctx context.Context, address string, offered spread.Version) {
	fetch := false
	d.loop.Do(func(state *control.State, now time.Time) {
		fetch = state.Versions.Fetch(offered, now)
	})
	if !fetch {
		return
	}
	if err := d.fetchDocument(ctx, address, true); err != nil {
		d.log.Debug("document not fetched", "step", "fetch document", "peer", address, "err", err)
	}
}

// fetchDocument gets a peer's document, as a difference from the one in force if
// allowed, and puts it in force.
func (d *Daemon) fetchDocument(ctx context.Context, address string, allowSteps bool) error {
	request := new(peerpb.DocumentRequest)
	present := d.loop.Snapshot()
	if allowSteps && present != nil {
		request.KnownGeneration, request.KnownDigest = present.Generation, present.Digest
	}
	reply, err := d.peers.FetchDocument(ctx, address, request)
	if err != nil {
		return err
	}
	text := reply.GetDocument()
	if len(reply.GetSteps()) > 0 && present != nil {
		text, err = spread.Rebuild(present.Text, reply.GetSteps())
		if err != nil && allowSteps {
			d.log.Warn("document fetched whole", "step", "rebuild document", "peer", address, "err", err)
			return d.fetchDocument(ctx, address, false)
		}
	}
	if len(text) == 0 {
		return nil
	}
	if version := spread.VersionOf(reply.GetGeneration(), text); version.Digest != reply.GetDigest() {
		return fmt.Errorf("check digest of generation %d from %s: %w", version.Generation, address, spread.ErrMismatch)
	}
	d.apply(reply.GetGeneration(), text)
	return nil
}

// apply puts a document in force, if it is valid and newer.
func (d *Daemon) apply(generation uint64, text []byte) {
	version := spread.VersionOf(generation, text)
	acceptable := false
	d.loop.Do(func(state *control.State, _ time.Time) {
		acceptable = state.Versions.Acceptable(version)
	})
	if !acceptable {
		return
	}
	document, err := environment.Parse(text)
	if err != nil {
		d.metrics.DocumentRefused()
		d.loop.Do(func(state *control.State, _ time.Time) { state.Versions.Refuse(version) })
		d.log.Error("document refused", "step", "parse document", "generation", generation, "err", err)
		return
	}
	next := &control.Snapshot{Generation: generation, Digest: version.Digest, Document: document, Text: text}
	if d.loop.Apply(next) {
		d.metrics.Generation(generation)
		d.log.Info("document in force", "generation", generation)
	}
}
