package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/mesh"
	"hemlockknot/platform"
)

const (
	// exchangeInterval is how often a daemon exchanges with two others. News
	// reaches all in a few rounds, within the bounds of a configuration.
	exchangeInterval = 400 * time.Millisecond
	// gossiped is how many daemons' entries go with an exchange.
	gossiped = 4
	// loadsTold is how many targets' loads go with an exchange, the fullest first.
	loadsTold = 12
	// behindAfter is how long a peer may know a later change to the list of
	// targets before this daemon takes its own watch for dead.
	behindAfter = 500 * time.Millisecond
	// lookouts of each failure domain follow the store; the others are told.
	lookouts = 3
	// trusted is how old what peers tell may be, by the store's last answer. A
	// lookout's answers come every 2 s at least.
	trusted = 5 * time.Second
)

// peers exchanges with other daemons what the store has told them: one that the
// store does not serve, or whose watch went silent, learns it from those.
type peers struct {
	gateway *Gateway
	client  *mesh.Client
	address string     // this daemon's for others
	random  *rand.Rand // of the exchanging goroutine
	hurry   chan string

	mu     sync.Mutex
	seeds  []string
	table  *member.Table
	behind time.Time // since when a peer knows a later list; zero if none does
	// answered is when the store last answered this daemon, by kind of objects, and
	// told when it last answered a peer, as far as peers have told.
	answered map[string]time.Time
	told     time.Time
}

func newPeers(g *Gateway, self *peerpb.Member) *peers {
	p := &peers{
		gateway:  g,
		client:   mesh.NewClient(g.metrics.peerBytes),
		address:  self.GetAddress(),
		random:   rand.New(rand.NewPCG(self.GetIncarnation(), 0)),
		hurry:    make(chan string, 1),
		table:    member.New(self),
		answered: make(map[string]time.Time),
	}
	p.setSeeds(g.settings.Seeds)
	return p
}

// run exchanges until the context ends.
func (p *peers) run(ctx context.Context) {
	defer p.client.Close()
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		for _, address := range p.addresses() {
			p.exchange(ctx, address)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case address := <-p.hurry:
			p.exchange(ctx, address)
		}
	}
}

// addresses returns whom to exchange with: live daemons, or a seed as long as
// none is known.
func (p *peers) addresses() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.Beat(now)
	p.table.Expire(now)
	var addresses []string
	for _, partner := range p.table.Partners(p.random, now) {
		addresses = append(addresses, partner.GetAddress())
	}
	if len(addresses) == 0 && len(p.seeds) > 0 {
		addresses = []string{p.seeds[p.random.IntN(len(p.seeds))]}
	}
	return addresses
}

func (p *peers) exchange(ctx context.Context, address string) {
	reply, err := p.client.Exchange(ctx, address, p.state(rand.New(rand.NewPCG(p.random.Uint64(), 0))))
	if err != nil {
		p.gateway.metrics.peerFailed()
		return // a peer that does not answer drops out of the table by itself
	}
	p.merge(reply)
}

// Exchange implements the drpc service.
func (p *peers) Exchange(_ context.Context, theirs *peerpb.MeshState) (*peerpb.MeshState, error) {
	ours := p.state(rand.New(rand.NewPCG(rand.Uint64(), 0)))
	p.addLacking(ours, theirs)
	p.merge(theirs)
	if theirs.GetDocumentVersion() > ours.GetDocumentVersion() && len(theirs.GetMembers()) > 0 {
		select {
		case p.hurry <- theirs.GetMembers()[0].GetAddress():
		default:
		}
	}
	return ours, nil
}

// state is what this daemon tells in every exchange.
func (p *peers) state(random *rand.Rand) *peerpb.MeshState {
	p.mu.Lock()
	members := p.table.Sample(random, gossiped, time.Now())
	p.mu.Unlock()
	state := &peerpb.MeshState{
		Members:         members,
		DocumentVersion: p.gateway.document.version(),
		TargetsRevision: p.gateway.targets.lastChange(),
		StoreAway:       !p.gateway.targets.following(),
		StoreAgeMs:      uint32(p.storeAge(time.Now()).Milliseconds()),
	}
	for _, heard := range p.gateway.control.hottest(loadsTold) {
		state.LoadTargets = append(state.LoadTargets, heard.Target)
		state.Loads = append(state.Loads, uint32(heard.Load))
		state.LoadAgesMs = append(state.LoadAgesMs, uint32(heard.Age.Milliseconds()))
	}
	return state
}

// heardBy returns the loads that a peer has told.
func heardBy(theirs *peerpb.MeshState) []placement.Heard {
	count := min(len(theirs.GetLoadTargets()), len(theirs.GetLoads()), len(theirs.GetLoadAgesMs()))
	heard := make([]placement.Heard, count)
	for i := range heard {
		heard[i] = placement.Heard{
			Target: theirs.GetLoadTargets()[i],
			Load:   int(theirs.GetLoads()[i]),
			Age:    time.Duration(theirs.GetLoadAgesMs()[i]) * time.Millisecond,
		}
	}
	return heard
}

// addLacking adds what the daemon that asks lacks.
func (p *peers) addLacking(ours, theirs *peerpb.MeshState) {
	if packed, version := p.gateway.document.newer(theirs.GetDocumentVersion()); packed != nil {
		ours.Document, ours.DocumentVersion = packed, version
	}
	if theirs.GetStoreAway() && ours.GetTargetsRevision() > theirs.GetTargetsRevision() {
		changes, whole, until := p.gateway.targets.since(theirs.GetTargetsRevision())
		ours.Whole = whole
		ours.TargetsRevision = until
		for _, change := range changes {
			ours.Targets = append(ours.Targets, &peerpb.StoreObject{
				Name: change.Object.Name, Revision: change.Object.Revision, Spec: change.Object.Spec, Deleted: change.Deleted,
			})
		}
	}
}

// merge takes in what a peer has told.
func (p *peers) merge(theirs *peerpb.MeshState) {
	p.mergeDocument(theirs)
	p.gateway.control.hear(heardBy(theirs))
	if entries := theirs.GetTargets(); len(entries) > 0 {
		var changes []platform.Change
		for _, entry := range entries {
			object := platform.Object{Name: entry.GetName(), Revision: entry.GetRevision(), Spec: entry.GetSpec()}
			changes = append(changes, platform.Change{Object: object, Deleted: entry.GetDeleted()})
		}
		p.gateway.targets.fromPeer(changes, theirs.GetWhole(), theirs.GetTargetsRevision())
	}
	if p.notice(theirs) {
		p.gateway.log.Warn("a peer knows a later list of targets, asking the store again", "revision", theirs.GetTargetsRevision())
		p.gateway.targets.watch.again()
	}
}

// mergeDocument takes in a peer's configuration, if it is newer than this daemon's.
func (p *peers) mergeDocument(theirs *peerpb.MeshState) {
	packed := theirs.GetDocument()
	if len(packed) == 0 || theirs.GetDocumentVersion() <= p.gateway.document.version() {
		return
	}
	spec, err := unpack(packed)
	if err != nil {
		p.gateway.log.Warn("configuration of a peer cannot be read", "error", err)
		p.gateway.metrics.badEntry()
		return
	}
	p.gateway.takeSpec(spec, "peer")
}

// notice notes a peer's members and reports whether this daemon's watch of the
// targets seems dead.
func (p *peers) notice(theirs *peerpb.MeshState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.Merge(theirs.GetMembers(), now)
	if told := now.Add(-time.Duration(theirs.GetStoreAgeMs()) * time.Millisecond); told.After(p.told) {
		p.told = told
	}
	switch {
	case !p.gateway.targets.following():
		p.behind = time.Time{}
	case !p.gateway.targets.lacks(theirs.GetTargetsRevision()):
		p.behind = time.Time{}
	case p.behind.IsZero():
		p.behind = now
	case now.Sub(p.behind) > behindAfter:
		p.behind = time.Time{}
		return true
	}
	return false
}

// confirm notes an answer of the store.
func (p *peers) confirm(kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[kind] = time.Now()
}

// storeAge returns how long ago the store confirmed what this daemon knows, to it
// or to a peer that has told it.
func (p *peers) storeAge(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	confirmed := p.answered[platform.KindDocument]
	if targets := p.answered[platform.KindTargets]; targets.Before(confirmed) {
		confirmed = targets
	}
	if p.told.After(confirmed) {
		confirmed = p.told
	}
	return min(max(now.Sub(confirmed), 0), time.Hour)
}

// lookout reports whether this daemon is to follow the store itself: it is one of
// the first of its failure domain, or what peers tell is old.
func (p *peers) lookout() bool {
	now := time.Now()
	if p.storeAge(now) > trusted {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Among(lookouts, now)
}

// known returns how many daemons there are, as far as is known.
func (p *peers) known() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Known()
}

// leave tells the peers that this daemon stops.
func (p *peers) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Leave()
}
