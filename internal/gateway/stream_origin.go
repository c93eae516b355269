package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/origin"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

const (
	// originCopies is how many other daemons get a copy of a stream's origin. After the loss
	// of 55% of all daemons at once, the users' worst, over three quarters of what the lost
	// ones began is still found (TestStreamsGoOnAfterTheLossOfDaemons).
	originCopies = 3
	// originCandidates is how many daemons are asked for an origin: more than have copies, as
	// daemons that have started since may rank before them.
	originCandidates = 8
	// originBatchDelay is how long origins are gathered before they are copied. A stream
	// whose daemon crashes within this time of its first event cannot go on.
	originBatchDelay = 10 * time.Millisecond
	// originQueryTimeout is how long the caller of an interrupted stream waits for the other
	// daemons. A round trip takes 3 ms, a connection that has to be opened twice that.
	originQueryTimeout = 250 * time.Millisecond
	// maxOriginCalls bounds the calls that copy origins at the same time. More are not made
	// while many daemons do not answer.
	maxOriginCalls = 64
)

// originKey returns the hash by which daemons find the origin of a request's stream.
func (req *callerRequest) originKey() uint64 {
	if req.call.Resumes != "" {
		return xxhash.Sum64String(req.call.Resumes)
	}
	return xxhash.Sum64String(req.call.ID)
}

// takesUpStream reports whether the caller takes up a stream that another request of it has
// begun.
func (req *callerRequest) takesUpStream() bool {
	return req.route.Resumable && (req.call.LastEventID > 0 || req.call.Resumes != "")
}

// resolveOrigin finds out at which software version a stream that the caller takes up may go
// on. It refuses the request and returns false if it may not go on at any.
func (g *Gateway) resolveOrigin(req *relayedRequest) bool {
	if !req.takesUpStream() {
		return true
	}
	search := originSearch{Resolution: g.coordinator.resolveOrigin(req)}
	if !search.Found && req.call.Resumes != "" {
		search = g.peers.findOrigin(req, search.Resolution)
	}
	var recorded recordKnowledge
	if !search.Found && req.call.Resumes != "" && (search.SeveralVersions || search.Unknown || !search.complete) {
		search.Resolution, recorded = g.findRecordedOrigin(req, search.Resolution)
	}
	if search.Found {
		req.start.pinVersion(search.Version)
		return true
	}
	upToDate := search.complete || recorded.namesAll || req.call.Resumes == ""
	if upToDate && !search.SeveralVersions && !search.Unknown {
		if search.Only { // another version may join before a target is chosen
			req.start.pinVersion(search.Version)
		}
		return true
	}
	doubt := "record not read"
	if recorded.read {
		if doubt = g.searchPreceding(req, &search); search.Found {
			req.start.pinVersion(search.Version)
			return true
		}
	}
	g.log.Info("stream cannot be taken up", "request", req.call.ID, "resumes", req.call.Resumes, "service", req.service,
		"several_versions", search.SeveralVersions, "peers_answered", search.complete, "record_read", recorded.read, "record_names_all", recorded.namesAll, "doubt", doubt)
	g.refuse(req.callerRequest, reasonUnknownOrigin, g.retryAfterLostOrigin(req, recorded, search.complete))
	req.last.reason = reasonUnknownOrigin
	g.recordResult(req, "not_run")
	return false
}

// recordKnowledge is what a read of the record for a request has brought.
type recordKnowledge struct {
	read bool // the store has answered since the request came
	// namesAll is set if the record then named all versions of the service that served lately.
	namesAll bool
	// listedIn is how long it takes until that is known; 0 if it is not expected.
	listedIn time.Duration
}

// findRecordedOrigin looks for the origin of the stream that a request takes up in the store, and
// for versions of which this daemon has not heard: those that know may be gone, or this daemon
// may be cut off from them.
func (g *Gateway) findRecordedOrigin(req *relayedRequest, known origin.Resolution) (found origin.Resolution, knowledge recordKnowledge) {
	ctx, cancel := context.WithTimeout(req.r.Context(), originQueryTimeout)
	defer cancel()
	knowledge.read = g.streamRecord.refresh(ctx)
	recorded := g.coordinator.resolveOrigin(req)
	if knowledge.read {
		knowledge.namesAll, knowledge.listedIn = g.coordinator.recordNamesAll(req.service)
	}
	recorded.SeveralVersions = recorded.SeveralVersions || known.SeveralVersions
	recorded.Unknown = recorded.Unknown && known.Unknown
	if recorded.Only && len(g.declaredBeyond(req.service, recorded.Version)) > 0 {
		recorded.SeveralVersions = true
	}
	return recorded, knowledge
}

// recordNamesAll reports whether the record names all versions of a service that served lately, and
// otherwise how long it takes until that is known.
func (c *coordinator) recordNamesAll(service string) (namesAll bool, listedIn time.Duration) {
	c.do(func() {
		now := time.Now()
		if namesAll = c.origins.RecordNamesAll(service, now); namesAll {
			return
		}
		if due, needed := c.origins.ListDue(now); needed {
			listedIn = max(due.Sub(now), recordRetryDelay)
		}
	})
	return namesAll, listedIn
}

// pinVersion restricts all further attempts of the request to targets of a software version.
func (p *streamPosition) pinVersion(version string) {
	p.softwareVersion, p.versionPinned = version, true
}

// resolveOrigin returns what this daemon knows of the origin of the stream that a request
// takes up. A request that does not name the one that began the stream has no origin that
// could be found.
func (c *coordinator) resolveOrigin(req *relayedRequest) origin.Resolution {
	var resolution origin.Resolution
	c.do(func() {
		now := time.Now()
		if req.call.Resumes == "" {
			resolution = c.origins.ResolveUnnamed(req.service, now)
			return
		}
		resolution = c.origins.Resolve(req.originKey(), req.service, now)
	})
	return resolution
}

// recordOrigin records that the request's stream has begun, or gone on, at the attempt's target. It
// reports whether there are origins to be copied to other daemons.
func (c *coordinator) recordOrigin(a *targetAttempt) (pending bool) {
	c.do(func() {
		target := a.choice.Target
		c.origins.Record(origin.Origin{Request: a.originKey(), Service: target.Service, Version: target.SoftwareVersion}, time.Now())
		pending = c.origins.HasPending()
	})
	return pending
}

// recordOrigin records that the request's stream has begun, or gone on, and restricts it to
// the software version of the attempt's target.
func (g *Gateway) recordOrigin(a *targetAttempt) {
	if !a.route.Resumable {
		return
	}
	a.position.pinVersion(a.choice.Target.SoftwareVersion)
	if g.coordinator.recordOrigin(a) {
		g.peers.copyOrigins()
	}
}

// updateVersions passes on which software versions serve. It reports whether there are
// origins to be copied to other daemons. The caller must run on the coordinator's goroutine.
func (c *coordinator) updateVersions(now time.Time) (pending bool) {
	serving := make(map[string]map[string]bool)
	c.softwareVersions = make(map[string]string)
	for _, member := range c.roster.Members() {
		target := member.Target
		if serving[target.Service] == nil {
			serving[target.Service] = make(map[string]bool)
		}
		serving[target.Service][target.SoftwareVersion] = true
		c.softwareVersions[target.ID] = target.SoftwareVersion
	}
	c.origins.SetVersions(serving, now)
	return c.origins.HasPending()
}

// takePendingOrigins returns the origins that are to be copied to other daemons.
func (c *coordinator) takePendingOrigins() []origin.Origin {
	var pending []origin.Origin
	c.do(func() { pending = c.origins.TakePending(time.Now()) })
	return pending
}

// copyOrigins starts to copy the pending origins soon.
func (p *peers) copyOrigins() {
	select {
	case p.originsPending <- struct{}{}:
	default:
	}
}

// runOriginCopies copies pending origins to other daemons until the context ends.
func (p *peers) runOriginCopies(ctx context.Context) {
	calls := make(chan struct{}, maxOriginCalls)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.originsPending:
		}
		sleep(ctx, originBatchDelay)
		for address, batches := range p.originBatches(p.gateway.coordinator.takePendingOrigins()) {
			for _, batch := range batches {
				if address == p.address {
					p.gateway.coordinator.recordOriginsLater(decodeOrigins(batch))
					continue
				}
				select {
				case calls <- struct{}{}:
				default:
					p.gateway.metrics.countPeerFailure()
					continue
				}
				go func() {
					defer func() { <-calls }()
					if err := p.client.KeepOrigins(ctx, address, batch); err != nil {
						p.gateway.metrics.countPeerFailure()
						if batch.GetRecord() { // this daemon may be cut off from the others only
							p.gateway.coordinator.recordOriginsLater(decodeOrigins(batch))
						}
					}
				}()
			}
		}
	}
}

// originBatches groups origins by the addresses of the daemons that receive them, and by
// service. Those that keep copies and the one that writes an origin to the store receive it.
func (p *peers) originBatches(origins []origin.Origin) map[string][]*peerpb.StreamOrigins {
	keepers := p.originKeepers()
	recorders := p.originRecorders(keepers)
	copies, records := make(map[string][]origin.Origin), make(map[string][]origin.Origin)
	for _, o := range origins {
		recorder := ranking.Top(o.Request, recorders, 1)[0]
		records[recorder] = append(records[recorder], o)
		for _, address := range ranking.Top(o.Request, keepers, originCopies) {
			if address != recorder {
				copies[address] = append(copies[address], o)
			}
		}
	}
	batches := make(map[string][]*peerpb.StreamOrigins)
	for address, received := range copies {
		batches[address] = batchByService(received)
	}
	for address, received := range records {
		for _, batch := range batchByService(received) {
			batch.Record = true
			batches[address] = append(batches[address], batch)
		}
	}
	return batches
}

// batchByService encodes origins, one message a service.
func batchByService(origins []origin.Origin) []*peerpb.StreamOrigins {
	var batches []*peerpb.StreamOrigins
	for _, o := range origins {
		at := slices.IndexFunc(batches, func(b *peerpb.StreamOrigins) bool { return b.GetService() == o.Service })
		if at < 0 {
			at = len(batches)
			batches = append(batches, &peerpb.StreamOrigins{Service: o.Service})
		}
		batch := batches[at]
		index := slices.Index(batch.Versions, o.Version)
		if index < 0 {
			index = len(batch.Versions)
			batch.Versions = append(batch.Versions, o.Version)
		}
		batch.Requests = append(batch.Requests, o.Request)
		batch.VersionIndexes = append(batch.VersionIndexes, uint32(index))
	}
	return batches
}

// decodeOrigins returns the origins in a message.
func decodeOrigins(batch *peerpb.StreamOrigins) []origin.Origin {
	var origins []origin.Origin
	for i := range min(len(batch.GetRequests()), len(batch.GetVersionIndexes())) {
		if index := int(batch.GetVersionIndexes()[i]); index < len(batch.GetVersions()) {
			origins = append(origins, origin.Origin{Request: batch.GetRequests()[i], Service: batch.GetService(), Version: batch.GetVersions()[index]})
		}
	}
	return origins
}

// originRecorders returns the daemons that write origins to the store, this one perhaps
// included.
func (p *peers) originRecorders(keepers []ranking.Candidate) []ranking.Candidate {
	all := append(slices.Clone(keepers), ranking.Candidate{Name: p.address, Weight: 1})
	chosen := ranking.Top(ranking.Hash(kindOrigins), all, max(1, len(all)/daemonsPerRecorder))
	recorders := make([]ranking.Candidate, len(chosen))
	for i, address := range chosen {
		recorders[i] = ranking.Candidate{Name: address, Weight: 1}
	}
	return recorders
}

// recordOriginsLater keeps origins that this daemon is to write to the store.
func (c *coordinator) recordOriginsLater(origins []origin.Origin) {
	c.do(func() { c.origins.RecordLater(origins) })
}

// originKeepers returns the addresses of the daemons that may keep copies of origins: all
// live ones but this one. Addresses are ranked instead of names, as they are what is needed.
func (p *peers) originKeepers() []ranking.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keepers []ranking.Candidate
	for _, daemon := range p.table.Live(time.Now()) {
		if daemon.GetAddress() != p.address && daemon.GetAddress() != "" && !daemon.GetLeaving() {
			keepers = append(keepers, ranking.Candidate{Name: daemon.GetAddress(), Weight: 1})
		}
	}
	return keepers
}

// originHolders returns the addresses of the live daemons that may have a copy of an origin, and
// how many silent ones may have one. A daemon that is cut off takes the others for silent.
func (p *peers) originHolders(request uint64) (live []string, silent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var known []ranking.Candidate
	alive := make(map[string]bool)
	for _, name := range p.table.KnownPeers() {
		daemon := p.table.Member(name)
		if daemon.GetAddress() == "" || daemon.GetLeaving() {
			continue
		}
		known = append(known, ranking.Candidate{Name: daemon.GetAddress(), Weight: 1})
		alive[daemon.GetAddress()] = p.table.Alive(name, now)
	}
	for _, address := range ranking.Top(request, known, originCandidates) {
		if alive[address] {
			live = append(live, address)
		} else {
			silent++
		}
	}
	return live, silent
}

// KeepOrigins implements the drpc service: it keeps copies of another daemon's origins, and
// writes its declaration to the store.
func (p *peers) KeepOrigins(ctx context.Context, remote *peerpb.StreamOrigins) (*peerpb.StreamOriginsKept, error) {
	origins := decodeOrigins(remote)
	p.gateway.coordinator.keepOrigins(origins)
	if remote.GetRecord() {
		p.gateway.coordinator.recordOriginsLater(origins)
	}
	return &peerpb.StreamOriginsKept{Declared: p.writeDeclaration(ctx, remote.GetDeclaringDaemon(), remote.GetDeclaration())}, nil
}

// FindOrigin implements the drpc service: it returns what this daemon knows of the origin
// of a stream.
func (p *peers) FindOrigin(_ context.Context, query *peerpb.StreamOriginQuery) (*peerpb.StreamOriginReply, error) {
	reply := &peerpb.StreamOriginReply{}
	if version, mayBeLost := p.lostAtPreceding(query.GetService()); mayBeLost {
		reply.PrecedingVersion = version
	}
	c := p.gateway.coordinator
	c.do(func() {
		o, found := c.origins.Find(query.GetRequest())
		reply.Found, reply.Version = found, o.Version
		now := time.Now()
		reply.SeveralVersions = c.origins.SeveralVersions(query.GetService(), now)
		reply.VersionsKnown = !c.origins.ResolveUnnamed(query.GetService(), now).Unknown
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	live := make(map[string]bool)
	for _, daemon := range p.table.Live(now) {
		live[daemon.GetAddress()] = true
	}
	reply.Incarnation = p.incarnation
	reply.Undeclared = p.table.Undeclared(now.Add(-2*origin.Lifetime), now, func(address string) bool { return live[address] })
	return reply, nil
}
