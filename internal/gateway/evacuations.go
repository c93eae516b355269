package gateway

import (
	"slices"
	"sync"
	"time"

	"hemlockknot/internal/coordination/evacuation"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/objects"
	"hemlockknot/platform"
)

const (
	// evacuationsBatchDelay is the pause after changes of evacuations, so that the store returns
	// changes in quick succession in one response. The users' bound is 5 s.
	evacuationsBatchDelay = 500 * time.Millisecond
	// maxUnknownEvacuations is how long a daemon that could serve otherwise is not ready because it does not know
	// the evacuations. Daemons of an earlier build don't tell them, and the store may be away.
	maxUnknownEvacuations = time.Second
)

// evacuations follows the failure domains that the operator has evacuated and passes them to the
// coordinator. It is nil where the settings know no evacuations.
type evacuations struct {
	gateway *Gateway
	watch   *watcher

	mu           sync.Mutex
	set          *evacuation.Set
	domains      []string  // as last passed to the coordinator
	waitingSince time.Time // since when the daemon has been ready but for the evacuations; zero if it has not
	behindSince  time.Time // since when a peer has known a later revision than the store's watch; zero if none does
}

func newEvacuations(g *Gateway) *evacuations {
	if g.settings.EvacuateDeadline <= 0 {
		return nil
	}
	e := &evacuations{gateway: g, set: evacuation.New()}
	e.watch = newWatcher(platform.KindEvacuations, g, evacuationsBatchDelay)
	e.watch.mustFollow = g.peers.mustFollowStore
	e.watch.staleOK = g.peers.mayReadStale
	e.watch.onList = func(list []objects.Object, revision objects.Revision, _ bool) (from objects.Revision, accepted bool) {
		e.update("store", func(now time.Time) { from, accepted = e.set.ReplaceFromStore(list, revision, now) })
		return from, accepted
	}
	e.watch.onChanges = func(changes []objects.Change, until objects.Revision, _ bool) {
		last := objects.Revision{Era: until.Era} // the response's revision also counts changes of other kinds
		for _, change := range changes {
			last.Number = max(last.Number, change.Object.Revision)
		}
		e.update("store", func(now time.Time) { e.set.ChangeFromStore(changes, last, now) })
	}
	e.watch.onStopped = func() { e.do(e.set.StopFollowing) }
	e.watch.onResponse = func(revision objects.Revision) {
		e.do(func() { e.set.Confirm(revision) })
		g.peers.recordStoreResponse(platform.KindEvacuations)
	}
	return e
}

// do runs a function that uses the set.
func (e *evacuations) do(task func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	task()
}

// update changes the set, and passes the evacuated domains on if they have changed.
func (e *evacuations) update(source string, change func(now time.Time)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	change(now)
	domains := e.set.Domains(now)
	if slices.Equal(domains, e.domains) {
		return
	}
	e.domains = domains
	revision := e.set.Revision()
	e.gateway.coordinator.setEvacuated(domains)
	e.gateway.log.Warn("evacuated failure domains changed", "domains", domains, "source", source, "era", revision.Era, "revision", revision.Number)
	e.gateway.peers.startRoundSoon()
}

// expire ends evacuations that were kept for a while after a restore of the store.
func (e *evacuations) expire() {
	if e != nil {
		e.update("restored store", func(time.Time) {})
	}
}

// knownOrOverdue reports whether the evacuations are known, or have not been for so long that the daemon must
// serve without. It is asked once the daemon could serve otherwise.
func (e *evacuations) knownOrOverdue(now time.Time) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.waitingSince.IsZero() {
		e.waitingSince = now
	}
	return e.set.Known() || now.Sub(e.waitingSince) >= maxUnknownEvacuations
}

// encode adds the evacuations to the state that is sent to a peer.
func (e *evacuations) encode(state *peerpb.MeshState) {
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.set.Known() {
		revision := e.set.Revision()
		state.EvacuatedDomains = e.set.Listed()
		state.EvacuationsEra, state.EvacuationsRevision = revision.Era, revision.Number
	}
}

// merge applies what a peer knows. A peer of an earlier build knows nothing. If a peer keeps knowing a
// later revision than the store's watch brings, that watch is dead, and starts again.
func (e *evacuations) merge(remote *peerpb.MeshState) {
	revision := objects.Revision{Era: remote.GetEvacuationsEra(), Number: remote.GetEvacuationsRevision()}
	if e == nil || revision == (objects.Revision{}) {
		return
	}
	e.update("peer", func(now time.Time) { e.set.ApplyFromPeer(remote.GetEvacuatedDomains(), revision, now) })
	if e.watchIsDead(revision, time.Now()) {
		e.gateway.log.Warn("a peer knows newer evacuations, restarting the watch of the store", "era", revision.Era, "revision", revision.Number)
		e.watch.abortCall()
	}
}

// watchIsDead reports whether peers have known a later revision than the watch for staleWatchAfter.
func (e *evacuations) watchIsDead(peer objects.Revision, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !e.set.IsBehind(peer):
		e.behindSince = time.Time{}
	case e.behindSince.IsZero():
		e.behindSince = now
	case now.Sub(e.behindSince) > staleWatchAfter:
		e.behindSince = time.Time{}
		return true
	}
	return false
}

// evacuatedTargets returns the ids of the roster's targets in the evacuated domains, nil if there are
// none. The caller must run on the coordinator's goroutine.
func (c *coordinator) evacuatedTargets() map[string]bool {
	if len(c.evacuatedDomains) == 0 {
		return nil
	}
	targets := make(map[string]bool)
	for _, member := range c.roster.Members() {
		if slices.Contains(c.evacuatedDomains, member.Target.FailureDomain) {
			targets[member.Target.ID] = true
		}
	}
	return targets
}

// setEvacuated sets the failure domains to whose targets nothing is sent.
func (c *coordinator) setEvacuated(domains []string) {
	c.do(func() {
		c.evacuatedDomains = domains
		c.evacuated = c.evacuatedTargets()
	})
}

// allEvacuated reports whether a service has targets that take new requests, and all of them are in
// evacuated domains.
func (c *coordinator) allEvacuated(service string) bool {
	all := false
	c.do(func() {
		candidates := c.placement.Candidates(service)
		all = len(candidates) > 0
		for _, target := range candidates {
			all = all && c.evacuated[target.ID]
		}
	})
	return all
}
