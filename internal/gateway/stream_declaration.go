package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hemlockknot/internal/coordination/origin"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// kindDeclarations is one object a daemon: at which software versions it may begin streams.
const kindDeclarations = "stream-declarations"

const (
	// declarationInterval is the time between two checks whether the declaration is up to date.
	declarationInterval = 50 * time.Millisecond
	// declarationDelay is the time in which the origins of earlier streams are copied before a
	// daemon declares a second version: once it has, its streams that nobody knows cannot go on.
	declarationDelay = 2 * recordInterval
	// declarationSpacing is the mean time between the writes of two daemons, all of which declare a
	// new version. The users' store takes 400 writing calls a second.
	declarationSpacing = 5 * time.Millisecond
	// declarationHelpers is how many other daemons are asked to write the declaration of one that
	// cannot.
	declarationHelpers = 3
)

// declarations are the declarations of all daemons, by name, as read from the store.
type declarations struct {
	byDaemon map[string]storedDeclaration
	// versions are the records of the versions of services that were read before them.
	versions map[string]recordedVersions
}

// storedDeclaration is a declaration and the revision of its object.
type storedDeclaration struct {
	origin.Declaration
	revision int64
}

// recordedVersions is what the store holds of a service, and the revision of its object.
type recordedVersions struct {
	origin.Recorded
	revision int64
}

// declarer is a daemon that has declared versions.
type declarer struct {
	name        string
	incarnation uint64
	earlier     bool // an earlier incarnation, which is not known, has declared them
}

// beyond returns the daemons that may have begun streams of a service at other versions than the
// given one. A version that the service's record does not name although it is newer than the
// declaration has left before streams began that may still be taken up.
func (d declarations) beyond(service, version string) []declarer {
	record, recorded := d.versions[service]
	var daemons []declarer
	for name, declaration := range d.byDaemon {
		isOther := func(declared string) bool {
			hasLeft := recorded && record.revision > declaration.revision && !slices.Contains(record.Versions, declared)
			return declared != version && !hasLeft
		}
		if slices.ContainsFunc(declaration.Services[service], isOther) {
			daemons = append(daemons, declarer{name: name, incarnation: declaration.Incarnation})
		}
		if slices.ContainsFunc(declaration.Earlier[service], isOther) {
			daemons = append(daemons, declarer{name: name, incarnation: declaration.Incarnation, earlier: true})
		}
	}
	return daemons
}

// declaredBeyond returns the daemons that may have begun streams of a service at other versions
// than the given one, as the record says that was read last. This daemon itself, and those that
// have been silent for longer than a stream may be taken up, do not count.
func (g *Gateway) declaredBeyond(service, version string) []declarer {
	g.streamRecord.mu.Lock()
	daemons := g.streamRecord.declarations.beyond(service, version)
	g.streamRecord.mu.Unlock()
	return slices.DeleteFunc(daemons, func(d declarer) bool { return g.peers.isSelf(d) || g.peers.isLongGone(d) })
}

// isSelf reports whether a declaration is this daemon's, not that of an earlier incarnation.
func (p *peers) isSelf(d declarer) bool {
	return !d.earlier && d.name == p.gateway.settings.Host && d.incarnation == p.incarnation
}

// isLongGone reports whether an incarnation has been silent for longer than a stream may be taken up.
func (p *peers) isLongGone(d declarer) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silentSince := p.table.SilentSince(d.name, d.incarnation)
	if silentSince.IsZero() {
		silentSince = p.startedAt
	}
	return !d.earlier && time.Since(silentSince) > 2*origin.Lifetime
}

// loadDeclarations reads the declarations of all daemons.
func (r *streamRecord) loadDeclarations(ctx context.Context) error {
	list, revision, err := r.gateway.store.List(ctx, kindDeclarations, false)
	if err == nil {
		err = r.checkEra(revision.Era)
	}
	if err != nil {
		return err
	}
	byDaemon := make(map[string]storedDeclaration, len(list))
	for _, object := range list {
		stored := storedDeclaration{revision: object.Revision}
		if err := json.Unmarshal(object.Spec, &stored.Declaration); err != nil {
			r.gateway.log.Warn("cannot decode the versions that a daemon has declared", "daemon", object.Name, "error", err)
			r.gateway.metrics.countBadEntry()
			continue
		}
		byDaemon[object.Name] = stored
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.declarations = declarations{byDaemon, r.versions}
	return nil
}

// restoreDeclaration passes what the store holds of this daemon's declaration on to the coordinator.
func (r *streamRecord) restoreDeclaration() {
	r.mu.Lock()
	own := r.declarations.byDaemon[r.gateway.settings.Host].Declaration
	r.mu.Unlock()
	c := r.gateway.coordinator
	c.do(func() { c.origins.LoadDeclaration(own, time.Now()) })
	r.declarable.Store(true)
}

// declareVersions keeps this daemon's declaration up to date until the context ends.
func (r *streamRecord) declareVersions(ctx context.Context) {
	ticker := time.NewTicker(declarationInterval)
	defer ticker.Stop()
	var due time.Time // zero while the declaration is up to date
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		switch now, stale := time.Now(), r.declarationStaleness(); {
		case stale == origin.UpToDate:
			due = time.Time{}
		case stale == origin.Blocking:
			due = now
		case due.IsZero():
			spread := time.Duration(r.gateway.peers.knownDaemons()) * declarationSpacing
			due = now.Add(declarationDelay + rand.N(spread))
		}
		if !due.IsZero() && !time.Now().Before(due) && r.declarable.Load() && !r.declare(ctx) {
			sleep(ctx, recordRetryDelay)
		}
	}
}

// declarationStaleness returns how this daemon's declaration differs from what it should hold.
func (r *streamRecord) declarationStaleness() (stale origin.Staleness) {
	c := r.gateway.coordinator
	c.do(func() { _, stale = c.origins.Declarable(time.Now()) })
	return stale
}

// declare writes this daemon's declaration, by way of another daemon if the store cannot be
// reached, and reports whether it has been written.
func (r *streamRecord) declare(ctx context.Context) bool {
	c := r.gateway.coordinator
	var next origin.Declaration
	var stale origin.Staleness
	c.do(func() {
		next, stale = c.origins.Declarable(time.Now())
		c.origins.BeginDeclaration(next)
	})
	err := r.gateway.store.Put(ctx, kindDeclarations, r.gateway.settings.Host, next)
	if err != nil && stale != origin.Excessive { // a late write of a shorter declaration could replace a newer one
		err = r.gateway.peers.declare(ctx, next)
	}
	c.do(func() { c.origins.EndDeclaration(next, err == nil) })
	if err != nil {
		r.gateway.log.Warn("software versions cannot be declared", "services", fmt.Sprint(next.Services), "error", err)
		return false
	}
	r.gateway.log.Info("software versions declared", "services", fmt.Sprint(next.Services), "earlier", fmt.Sprint(next.Earlier))
	return true
}

// declare has other daemons write this daemon's declaration to the store, and returns the last error
// if none has.
func (p *peers) declare(ctx context.Context, next origin.Declaration) error {
	spec, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode declared versions for a peer: %w", err)
	}
	host := p.gateway.settings.Host
	failure := errNoPeerDeclares
	for _, address := range ranking.Top(ranking.Hash(kindDeclarations, host), p.originKeepers(), declarationHelpers) {
		declared, err := p.client.DeclareVersions(ctx, address, &peerpb.StreamOrigins{DeclaringDaemon: host, Declaration: spec})
		if declared {
			return nil
		}
		if err != nil {
			p.gateway.metrics.countPeerFailure()
			failure = err
		}
	}
	return failure
}

// writeDeclaration writes the declaration of another daemon to the store, and reports whether it
// has been written.
func (p *peers) writeDeclaration(ctx context.Context, daemon string, spec []byte) bool {
	if daemon == "" || !json.Valid(spec) {
		return false
	}
	if err := p.gateway.store.Put(ctx, kindDeclarations, daemon, json.RawMessage(spec)); err != nil {
		p.gateway.log.Info("software versions of another daemon cannot be declared", "daemon", daemon, "error", err)
		return false
	}
	return true
}

// versionsToBegin is begins for callers that do not run on the coordinator's goroutine.
func (c *coordinator) versionsToBegin(a *targetAttempt) (versions []string, restricted bool) {
	c.do(func() { versions, restricted = c.begins(a, time.Now()) })
	return versions, restricted
}

// begins returns the software versions at which the next attempt of a request may begin a stream, and
// false if any may be chosen. The caller must run on the coordinator's goroutine.
func (c *coordinator) begins(a *targetAttempt, now time.Time) (versions []string, restricted bool) {
	if !a.route.Resumable || a.position.versionPinned {
		return nil, false
	}
	return c.origins.Begins(a.service, now)
}
