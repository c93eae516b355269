package gateway

import (
	"slices"
	"time"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/coordination/storefollow"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/platform"
)

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
