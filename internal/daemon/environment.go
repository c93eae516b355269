package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/docsync"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
)

// handleEnvironmentEvent applies the document of the platform's environment object.
// If the object is deleted, the daemon keeps the document in force.
func (d *Daemon) handleEnvironmentEvent(event platform.Event) {
	metadata := event.Object.Metadata
	if metadata.Name != d.settings.Environment || event.Type == platform.EventDeleted {
		return
	}
	var spec platform.EnvironmentSpec
	if err := json.Unmarshal(event.Object.Spec, &spec); err != nil {
		d.log.Error("cannot decode environment object", "step", "decode environment", "err", err)
		return
	}
	d.applyDocument(metadata.Generation, []byte(spec.Document))
}

// fetchIfNewer fetches and applies a peer's document if the offered version is newer
// than the one in force and no fetch has started within docsync.MinFetchInterval.
func (d *Daemon) fetchIfNewer(ctx context.Context, address string, offered docsync.Version) {
	fetch := false
	d.loop.Do(func(state *control.State, now time.Time) {
		fetch = state.Versions.StartFetch(offered, now)
	})
	if !fetch {
		return
	}
	if err := d.fetchDocument(ctx, address, true); err != nil {
		d.log.Debug("fetching document from peer failed", "step", "fetch document", "peer", address, "err", err)
	}
}

// fetchDocument fetches a peer's document and applies it. If allowDelta is set, the
// peer may send only the changes since the document in force here.
func (d *Daemon) fetchDocument(ctx context.Context, address string, allowDelta bool) error {
	request := new(peerpb.DocumentRequest)
	current := d.loop.Snapshot()
	if allowDelta && current != nil {
		request.KnownGeneration, request.KnownDigest = current.Generation, current.Digest
	}
	reply, err := d.peers.FetchDocument(ctx, address, request)
	if err != nil {
		return err
	}
	text := reply.GetDocument()
	if len(reply.GetSteps()) > 0 && current != nil {
		text, err = docsync.ApplySteps(current.Text, reply.GetSteps())
		if err != nil && allowDelta {
			d.log.Warn("document delta not applicable, fetching the whole document", "step", "rebuild document", "peer", address, "err", err)
			return d.fetchDocument(ctx, address, false)
		}
	}
	if len(text) == 0 {
		return nil
	}
	if version := docsync.VersionOf(reply.GetGeneration(), text); version.Digest != reply.GetDigest() {
		return fmt.Errorf("check digest of generation %d from %s: %w", version.Generation, address, docsync.ErrDocumentMismatch)
	}
	d.applyDocument(reply.GetGeneration(), text)
	return nil
}

// applyDocument puts a document in force if it is valid and newer.
func (d *Daemon) applyDocument(generation uint64, text []byte) {
	version := docsync.VersionOf(generation, text)
	acceptable := false
	d.loop.Do(func(state *control.State, _ time.Time) {
		acceptable = state.Versions.Acceptable(version)
	})
	if !acceptable {
		return
	}
	document, err := environment.Parse(text)
	if err != nil {
		d.metrics.CountInvalidDocument()
		d.loop.Do(func(state *control.State, _ time.Time) { state.Versions.Reject(version) })
		d.log.Error("document refused", "step", "parse document", "generation", generation, "err", err)
		return
	}
	next := &control.Snapshot{Generation: generation, Digest: version.Digest, Document: document, Text: text}
	if d.loop.ApplySnapshot(next) {
		d.metrics.SetDocumentGeneration(generation)
		d.log.Info("document in force", "generation", generation)
	}
}
