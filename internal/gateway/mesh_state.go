package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/objects"
)

// revisionOf returns the revision of the list of targets in a daemon's state.
func revisionOf(state *peerpb.MeshState) objects.Revision {
	return objects.Revision{Era: state.GetStoreEra(), Number: state.GetTargetsRevision()}
}

// localState returns the state that this daemon sends in every exchange.
func (p *peers) localState(random *rand.Rand) *peerpb.MeshState {
	p.mu.Lock()
	members := p.table.SampleEntries(random, membersPerExchange, time.Now())
	p.mu.Unlock()
	now := time.Now()
	revision := p.gateway.targets.revision()
	state := &peerpb.MeshState{
		Members:         members,
		DocumentVersion: p.gateway.config.version(),
		StoreEra:        revision.Era,
		TargetsRevision: revision.Number,
		StoreAway:       !p.gateway.targets.followsStore(),
		StoreAgeMs:      uint32(p.storeAge(now).Milliseconds()),
		LeavingTargets:  p.gateway.coordinator.leavingHashes(leavingPerExchange),
	}
	state.FollowerAgeMs, state.FleetSize = p.followerState(now)
	p.gateway.evacuations.encode(state)
	if age, lately := p.gateway.targets.storeReturnAge(now); lately {
		state.StoreReturnAgeMs = uint32(max(1, age.Milliseconds()))
	}
	crashes := p.gateway.coordinator.crashReports(crashesPerExchange)
	state.EngineCrashes = encodeCrashes(crashes)
	suspicious := slices.ContainsFunc(crashes, func(r quarantine.Report) bool { return r.Suspicious })
	ends := endsPerExchange
	if suspicious {
		ends = endsBesideCrashes
	}
	encodeLimits(state, p.gateway.coordinator.limitReports(limitsPerExchange, ends))
	brittleServices, soundServices := p.gateway.coordinator.brittleReports()
	encodeBrittle(state, brittleServices)
	encodeSound(state, soundServices)
	services := len(brittleServices) + len(soundServices)
	loads, holders := loadsPerExchange-services, max(0, holdersPerExchange-holdersPerService*services)
	if suspicious || len(state.LimitedTargets)+len(state.UnlimitedTargets) > 0 { // they take the place of most loads and of all holders
		loads, holders = loadsBesideTrouble, 0
	}
	loads = max(0, loads-loadsBesideEvacuations(state))
	reported := p.gateway.coordinator.mostLoaded(loads)
	p.addSlumps(state, loads-len(reported), now)
	for _, load := range reported {
		state.LoadTargets = append(state.LoadTargets, load.TargetHash)
		state.Loads = append(state.Loads, uint32(load.Requests))
		state.LoadAgesMs = append(state.LoadAgesMs, uint32(load.Age.Milliseconds()))
	}
	if holders > 0 {
		encodeInProgress(state, p.gateway.coordinator.ownInProgress(p.recentDaemons()))
	}
	for _, holder := range p.gateway.coordinator.takeUnsentHolders(holders) {
		state.PromptSessions = append(state.PromptSessions, holder.SessionHash)
		state.PromptTargets = append(state.PromptTargets, holder.TargetHash)
		state.PromptAgesMs = append(state.PromptAgesMs, uint32(holder.Age.Milliseconds()))
		state.PromptTokens = append(state.PromptTokens, uint32(holder.Tokens))
	}
	return state
}

// loadsBesideEvacuations returns how many loads the evacuations in a state take the place of.
func loadsBesideEvacuations(state *peerpb.MeshState) int {
	if state.EvacuationsRevision == 0 {
		return 0
	}
	return 1 + loadsPerEvacuation*len(state.EvacuatedDomains)
}

// decodeHolders returns the holders of prompts in a peer's state.
func decodeHolders(remote *peerpb.MeshState) []placement.Holder {
	count := min(len(remote.GetPromptSessions()), len(remote.GetPromptTargets()), len(remote.GetPromptAgesMs()), len(remote.GetPromptTokens()))
	holders := make([]placement.Holder, count)
	for i := range holders {
		holders[i] = placement.Holder{
			SessionHash: remote.GetPromptSessions()[i],
			TargetHash:  remote.GetPromptTargets()[i],
			Age:         time.Duration(remote.GetPromptAgesMs()[i]) * time.Millisecond,
			Tokens:      int(remote.GetPromptTokens()[i]),
		}
	}
	return holders
}

// decodeLoads returns the target loads in a peer's state.
func decodeLoads(remote *peerpb.MeshState) []placement.ReportedLoad {
	count := min(len(remote.GetLoadTargets()), len(remote.GetLoads()), len(remote.GetLoadAgesMs()))
	loads := make([]placement.ReportedLoad, count)
	for i := range loads {
		loads[i] = placement.ReportedLoad{
			TargetHash: remote.GetLoadTargets()[i],
			Requests:   int(remote.GetLoads()[i]),
			Age:        time.Duration(remote.GetLoadAgesMs()[i]) * time.Millisecond,
		}
	}
	return loads
}

// addMissing adds to the local state what the remote daemon lacks: a newer
// configuration and, if it does not follow the store, changes to the list of targets.
func (p *peers) addMissing(local, remote *peerpb.MeshState) {
	if compressed, version := p.gateway.config.newerThan(remote.GetDocumentVersion()); compressed != nil {
		local.Document, local.DocumentVersion = compressed, version
	}
	if remote.GetStoreAway() && revisionOf(local).After(revisionOf(remote)) {
		changes := p.gateway.targets.encodeSince(revisionOf(remote))
		if !p.listBytes.AllowN(time.Now(), min(len(changes.packed), p.listBytes.Burst())) {
			return // another daemon, or the next exchange, will bring the changes
		}
		local.Whole, local.Targets, local.PackedTargets = changes.whole, changes.plain, changes.packed
		local.StoreEra, local.TargetsRevision = changes.until.Era, changes.until.Number
	}
}

// decodeTargets returns the changes of the list of targets in a peer's state.
func decodeTargets(remote *peerpb.MeshState) ([]objects.Change, error) {
	encoded := remote.GetTargets()
	if packed := remote.GetPackedTargets(); len(packed) > 0 {
		content, err := decompress(packed)
		if err != nil {
			return nil, err
		}
		var unpacked peerpb.StoreObjects
		if err := proto.Unmarshal(content, &unpacked); err != nil {
			return nil, fmt.Errorf("decode targets of a peer: %w", err)
		}
		encoded = unpacked.GetObjects()
	}
	var changes []objects.Change
	for _, entry := range encoded {
		object := objects.Object{Name: entry.GetName(), Revision: entry.GetRevision(), Spec: entry.GetSpec()}
		changes = append(changes, objects.Change{Object: object, Deleted: entry.GetDeleted()})
	}
	return changes, nil
}

// merge merges a peer's state into this daemon's. If that shows the watch of the
// list of targets to be dead, merge aborts the watch's call so that it starts again.
func (p *peers) merge(remote *peerpb.MeshState) {
	p.mergeConfig(remote)
	p.gateway.evacuations.merge(remote)
	p.gateway.coordinator.mergeLoads(decodeLoads(remote), decodeHolders(remote))
	p.gateway.coordinator.mergeInProgress(senderOf(remote), decodeInProgress(remote))
	if age := remote.GetStoreReturnAgeMs(); age > 0 {
		p.gateway.targets.recordStoreReturnOfPeer(time.Now().Add(-time.Duration(age) * time.Millisecond))
	}
	p.gateway.coordinator.mergeSlumps(decodeSlumps(remote))
	p.mergeCrashes(remote)
	p.mergeLimits(remote)
	p.mergeBrittle(remote)
	changes, err := decodeTargets(remote)
	if err != nil {
		p.gateway.log.Warn("cannot decode targets from a peer", "error", err)
		p.gateway.metrics.countBadEntry()
	} else if len(changes) > 0 {
		p.gateway.targets.applyFromPeer(changes, remote.GetWhole(), revisionOf(remote))
	}
	for _, target := range p.gateway.coordinator.mergeLeaving(remote.GetLeavingTargets()) {
		p.gateway.log.Info("target is leaving", "target", target.ID, "source", "peer")
	}
	if p.mergeMembership(remote) {
		p.gateway.log.Warn("a peer has a newer list of targets, restarting the watch of the store", "era", remote.GetStoreEra(), "revision", remote.GetTargetsRevision())
		p.gateway.targets.watch.abortCall()
	}
}

// mergeConfig applies a peer's configuration if it is newer than the current one.
func (p *peers) mergeConfig(remote *peerpb.MeshState) {
	compressed := remote.GetDocument()
	if len(compressed) == 0 || remote.GetDocumentVersion() <= p.gateway.config.version() {
		return
	}
	spec, err := decompress(compressed)
	if err != nil {
		p.gateway.log.Warn("cannot decompress configuration from a peer", "error", err)
		p.gateway.metrics.countBadEntry()
		return
	}
	p.gateway.applyConfig(spec, "peer")
}

// mergeMembership merges a peer's member entries and the age of its store data. It
// reports whether this daemon's watch of the list of targets seems to be dead: peers
// have known a newer list for longer than staleWatchAfter.
func (p *peers) mergeMembership(remote *peerpb.MeshState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.MergeEntries(remote.GetMembers(), now)
	if response := now.Add(-time.Duration(remote.GetStoreAgeMs()) * time.Millisecond); response.After(p.lastPeerStoreResponse) {
		p.lastPeerStoreResponse = response
	}
	p.mergeFollowerState(remote, now)
	switch {
	case !p.gateway.targets.followsStore():
		p.behindSince = time.Time{}
	case !p.gateway.targets.isBehind(revisionOf(remote)):
		p.behindSince = time.Time{}
	case p.behindSince.IsZero():
		p.behindSince = now
	case now.Sub(p.behindSince) > staleWatchAfter:
		p.behindSince = time.Time{}
		return true
	}
	return false
}
