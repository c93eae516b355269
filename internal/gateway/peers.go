package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/coordination/storefollow"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/objects"
	"hemlockknot/internal/transport/mesh"
	"hemlockknot/platform"
)

const (
	// exchangeInterval is how often a daemon exchanges state with two others. An
	// update reaches all daemons in a few rounds, within the time that a
	// configuration may take to be applied. At the target size the control traffic of a
	// daemon is just below 10 KB per second.
	exchangeInterval = 450 * time.Millisecond
	// membersPerExchange is how many daemons' entries are sent in an exchange.
	membersPerExchange = 4
	// loadsPerExchange is how many targets' loads are sent in an exchange, the highest
	// loads first.
	loadsPerExchange = 12
	// loadsBesideTrouble is how many are sent in an exchange that reports crashes of
	// engines, or of limits that targets name.
	loadsBesideTrouble = 3
	// loadsPerEvacuation is how many loads the name of an evacuated failure domain takes the place of. The
	// revision of the evacuations takes the place of one.
	loadsPerEvacuation = 2
	// staleWatchAfter is how long a peer may know a newer list of targets before this
	// daemon treats its own watch as dead.
	staleWatchAfter = 500 * time.Millisecond
	// holdersPerExchange is how many holders of prompts are sent in an exchange, those
	// of the largest prompts first.
	holdersPerExchange = 4
	// minRoundSpacing is the least time between two rounds of exchanges. Urgent changes start a
	// round before the interval is over.
	minRoundSpacing = 50 * time.Millisecond
	// firstRoundWait is how long a daemon that starts waits for the answers of its seeds
	// before it applies a configuration of a store that may have been restored from a
	// copy: the copy holds an older one than the fleet uses. A round trip takes 3 ms,
	// and a busy host answers within tens. After a loss of power of all hosts no seed
	// answers, and callers wait for this time.
	firstRoundWait = 100 * time.Millisecond
	// localStartTime is how long after its start a daemon asks only the seeds and its own
	// failure domain for the list of targets: bytes between domains are dear, and a
	// whole list is asked for once.
	localStartTime = time.Second
	// listLinkShare is the part of the host's link that lists of targets for peers may
	// use. When all daemons of a large fleet start together, all ask the seeds; if a
	// seed answered all at once, no answer would be complete before its call's timeout.
	listLinkShare = 0.25
	// listBurst is how many bytes of lists may be sent at once. A larger list counts as
	// this many.
	listBurst = 256 << 10
	// leavingPerExchange is how many leaving targets an exchange reports. The platform
	// lists a target as draining within seconds, so few are not listed yet.
	leavingPerExchange = 16
)

// errNoPeerDeclares says that no other daemon has written this daemon's declaration to the store.
var errNoPeerDeclares = errors.New("no peer writes declared versions")

// peers exchanges state with other daemons: membership, target loads, and what they
// have read from the store. A daemon that need not follow the store or cannot reach it
// gets the configuration and the list of targets from peers. A daemon whose watch is
// dead notices that when a peer keeps reporting a newer list of targets.
type peers struct {
	gateway        *Gateway
	client         *mesh.Client
	address        string        // at which other daemons reach this one
	exchangeRand   *rand.Rand    // used by the goroutine of run only
	exchangeNow    chan string   // address of a peer with a newer configuration or list
	roundRequested chan struct{} // signals that peers should receive a change at once
	firstRound     chan struct{} // closed after the first round of exchanges
	originsPending chan struct{} // signals that origins of streams are to be copied
	wideSearches   chan struct{} // one element for each search that asks all daemons
	startedAt      time.Time
	incarnation    uint64
	listBytes      *rate.Limiter // of packed lists of targets sent to peers

	mu          sync.Mutex
	seeds       []string // without this daemon's own address
	isSeed      bool     // this daemon's address is among the seeds
	table       *member.Table
	behindSince time.Time // since when a peer has known a newer list of targets; zero if none does
	// lastStoreResponse is the time of the store's last response to this daemon, by kind
	// of objects. lastPeerStoreResponse is the latest such time that a peer has reported.
	lastStoreResponse     map[string]time.Time
	lastPeerStoreResponse time.Time
	followerHeardAt       time.Time // when a daemon that follows the store was last heard of
	followsUntil          time.Time // until when this daemon follows the store as it has taken over
	reportedFleetSize     int       // by a daemon that has run for a while; 0: not known
	knownRanks            []uint64  // hashes of the names of the other known daemons
	knownRanksAt          time.Time // when knownRanks was computed
	// avoidedUntil is until when daemons get no forwarded requests of a service.
	avoidedUntil map[avoidedForwarder]time.Time
}

func newPeers(g *Gateway, self *peerpb.Member) *peers {
	p := &peers{
		gateway:           g,
		client:            mesh.NewClient(g.metrics.countPeerBytes),
		address:           self.GetAddress(),
		exchangeRand:      rand.New(rand.NewPCG(self.GetIncarnation(), 0)),
		exchangeNow:       make(chan string, 1),
		roundRequested:    make(chan struct{}, 1),
		firstRound:        make(chan struct{}),
		originsPending:    make(chan struct{}, 1),
		wideSearches:      make(chan struct{}, maxWideSearches),
		startedAt:         time.Now(),
		incarnation:       self.GetIncarnation(),
		listBytes:         rate.NewLimiter(rate.Limit(listLinkShare*g.settings.LinkBytesPerS), listBurst),
		table:             member.New(self),
		lastStoreResponse: make(map[string]time.Time),
		avoidedUntil:      make(map[avoidedForwarder]time.Time),
	}
	p.setSeeds(g.settings.Seeds)
	return p
}

// run exchanges state with other daemons at a fixed interval, sooner after urgent changes,
// and at once with a peer that has a newer configuration or list of targets, until the
// context ends.
func (p *peers) run(ctx context.Context) {
	defer p.client.Close()
	timer := time.NewTimer(exchangeInterval)
	defer timer.Stop()
	for first := true; ; first = false {
		roundStarted := time.Now()
		p.gateway.evacuations.expire()
		p.exchangeWithAll(ctx, p.nextRound())
		if first {
			close(p.firstRound)
		}
		timer.Reset(exchangeInterval - min(time.Since(roundStarted), exchangeInterval-minRoundSpacing))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.roundRequested:
			sleep(ctx, minRoundSpacing)
		case address := <-p.exchangeNow:
			p.exchangeWithAll(ctx, []gossipPeer{{address: address}})
		}
	}
}

// startRoundSoon starts a round of exchanges soon. Each daemon that receives the change does
// the same, so that it reaches all of them within a few round trips.
func (p *peers) startRoundSoon() {
	select {
	case p.roundRequested <- struct{}{}:
	default:
	}
}

// gossipPeer is a daemon to exchange state with.
type gossipPeer struct {
	name    string // empty if not known
	address string
	outside bool // in another failure domain
}

// nextRound returns the daemons for the next round: live ones, or all seeds if no live
// one is known. It also advances this daemon's heartbeat and removes expired
// members from the table.
func (p *peers) nextRound() []gossipPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.AdvanceHeartbeat(now)
	p.table.RemoveExpired(now)
	var round []gossipPeer
	for _, peer := range p.table.GossipPeers(p.exchangeRand, now) {
		outside := peer.GetFailureDomain() != p.gateway.settings.FailureDomain
		round = append(round, gossipPeer{peer.GetName(), peer.GetAddress(), outside})
	}
	if len(round) > 0 {
		return round
	}
	for _, seed := range p.seeds {
		round = append(round, gossipPeer{address: seed})
	}
	return round
}

// exchangeWithAll exchanges state with several peers at once: one that does not answer
// must not delay the others.
func (p *peers) exchangeWithAll(ctx context.Context, round []gossipPeer) {
	var exchanges sync.WaitGroup
	for _, peer := range round {
		random := rand.New(rand.NewPCG(p.exchangeRand.Uint64(), 0))
		exchanges.Go(func() { p.exchangeWith(ctx, peer, random) })
	}
	exchanges.Wait()
}

// exchangeWith sends this daemon's state to a peer and merges the peer's reply.
func (p *peers) exchangeWith(ctx context.Context, peer gossipPeer, random *rand.Rand) {
	state := p.localState(random)
	if peer.outside && time.Since(p.startedAt) < localStartTime {
		state.StoreAway = false // daemons of this failure domain will send the list of targets
	}
	reply, err := p.client.Exchange(ctx, peer.address, state)
	if err != nil {
		p.gateway.metrics.countPeerFailure()
		p.mu.Lock()
		p.table.RecordUnreachable(peer.name, time.Now())
		p.mu.Unlock()
		return
	}
	p.merge(reply)
}

// waitForFirstRound waits until all seeds have answered or failed to, for firstRoundWait
// after the start of the daemon at most.
func (p *peers) waitForFirstRound(ctx context.Context) {
	timer := time.NewTimer(firstRoundWait - time.Since(p.startedAt))
	defer timer.Stop()
	select {
	case <-p.firstRound:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Exchange implements the drpc service: it merges the state of the calling daemon
// and returns the state of this one. If the calling daemon has a newer configuration
// or list of targets, Exchange makes run exchange state with that daemon at once.
func (p *peers) Exchange(_ context.Context, remote *peerpb.MeshState) (*peerpb.MeshState, error) {
	p.mergeCrashes(remote) // before the reply is made, which then clears what is known to be sound
	local := p.localState(rand.New(rand.NewPCG(rand.Uint64(), 0)))
	p.addMissing(local, remote)
	p.merge(remote)
	newerTargets := local.GetStoreAway() && revisionOf(remote).After(revisionOf(local))
	if (newerTargets || remote.GetDocumentVersion() > local.GetDocumentVersion()) && len(remote.GetMembers()) > 0 {
		select {
		case p.exchangeNow <- remote.GetMembers()[0].GetAddress():
		default:
		}
	}
	return local, nil
}

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

// recordStoreResponse records that a call of the store for a kind of objects succeeded.
func (p *peers) recordStoreResponse(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastStoreResponse[kind] = time.Now()
}

// storeAge returns how long ago the store last confirmed that the data of this daemon is
// current, one hour at most. The ages that peers report for their data count as well.
func (p *peers) storeAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	confirmed := p.lastStoreResponse[platform.KindDocument]
	if targets := p.lastStoreResponse[platform.KindTargets]; targets.Before(confirmed) {
		confirmed = targets
	}
	if evacuations := p.lastStoreResponse[platform.KindEvacuations]; p.gateway.evacuations != nil && evacuations.Before(confirmed) {
		confirmed = evacuations
	}
	if p.lastPeerStoreResponse.After(confirmed) {
		confirmed = p.lastPeerStoreResponse
	}
	return min(max(now.Sub(confirmed), 0), time.Hour)
}

// followerAge returns how long ago this daemon heard of one that follows the store, itself
// included, one hour at most.
func (p *peers) followerAge(now time.Time) time.Duration {
	follows := p.gateway.targets.followsStore()
	p.mu.Lock()
	defer p.mu.Unlock()
	if follows {
		p.followerHeardAt = now
	}
	return min(max(now.Sub(p.followerHeardAt), 0), time.Hour)
}

// followerState returns what peers need to know in order to decide whether they must follow
// the store.
func (p *peers) followerState(now time.Time) (followerAgeMs, fleetSize uint32) {
	age := p.followerAge(now)
	if p.storeKnowledge().Settled() {
		fleetSize = uint32(p.knownDaemons())
	}
	return 1 + uint32(age.Milliseconds()), fleetSize
}

// mergeFollowerState merges what a peer has said of the daemons that follow the store. A peer of
// an earlier build says nothing, and counts as one that follows it. The caller holds mu.
func (p *peers) mergeFollowerState(remote *peerpb.MeshState, now time.Time) {
	heardAt := now
	if age := remote.GetFollowerAgeMs(); age > 0 {
		heardAt = now.Add(-time.Duration(age-1) * time.Millisecond)
	}
	if heardAt.After(p.followerHeardAt) {
		p.followerHeardAt = heardAt
	}
	if size := remote.GetFleetSize(); size > 0 {
		p.reportedFleetSize = int(size)
	}
}

// mustFollowStore reports whether this daemon must follow the store itself. Once it has taken over
// it does so for one watch of each kind of objects: the first kind that it follows makes it a
// follower, which must not keep the others from being read.
func (p *peers) mustFollowStore() bool {
	knowledge := p.storeKnowledge()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if knowledge.FollowersLost() && !p.followerHeardAt.IsZero() {
		p.followsUntil = now.Add(knowledge.ResponseGap)
	}
	return knowledge.MustFollow() || now.Before(p.followsUntil)
}

// mayReadStale reports whether this daemon may read a state of the store that is seconds
// old.
func (p *peers) mayReadStale() bool { return p.storeKnowledge().Settling() }

// storeKnowledge returns what decides whether this daemon must follow the store.
func (p *peers) storeKnowledge() storefollow.Knowledge {
	now := time.Now()
	age, followerAge := p.storeAge(now), p.followerAge(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	preceding, domainSize := p.table.Preceding(now)
	return storefollow.Knowledge{
		DataAge:           age,
		FollowerAge:       followerAge,
		SinceStart:        now.Sub(p.startedAt),
		IsSeed:            p.isSeed,
		KnowsSeeds:        len(p.seeds) > 0,
		Domains:           len(p.gateway.settings.PlaceByFailureDomain),
		Preceding:         preceding,
		DomainSize:        domainSize,
		FleetSize:         p.table.Count(),
		ReportedFleetSize: p.reportedFleetSize,
		RoundSpacing:      exchangeInterval,
		ResponseGap:       watchTimeout(p.gateway.settings),
	}
}

// knownDaemons returns the number of daemons that this one knows, itself included.
func (p *peers) knownDaemons() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Count()
}

// rankFor returns the rank of this daemon for a key among the live daemons that it knows,
// 0 for the first.
func (p *peers) rankFor(key uint64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []ranking.Candidate
	for _, daemon := range p.table.Live(time.Now()) {
		if !daemon.GetLeaving() {
			candidates = append(candidates, ranking.Candidate{Name: daemon.GetName(), Weight: 1})
		}
	}
	return max(0, slices.Index(ranking.Order(key, candidates), p.table.Self().GetName()))
}

// announceLeaving marks this daemon as stopping in the state that peers receive.
func (p *peers) announceLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.MarkLeaving()
}
