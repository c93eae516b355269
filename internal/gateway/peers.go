package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/mesh"
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

// announceLeaving marks this daemon as stopping in the state that peers receive.
func (p *peers) announceLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.MarkLeaving()
}
