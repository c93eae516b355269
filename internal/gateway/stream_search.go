package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"hemlockknot/internal/coordination/origin"
	"hemlockknot/internal/protocol/peerpb"
)

// maxWideSearches bounds the searches at the same time that ask all daemons for the origin of a
// stream.
const maxWideSearches = 16

// originSearch is what a search for the origin of a stream has brought.
type originSearch struct {
	origin.Resolution
	// complete is set if all daemons that would have been asked if none were silent, one at least, have
	// answered that they do not know the stream, and know all versions which served lately.
	complete bool
	// unanswered is set if a daemon that counts as alive has not answered.
	unanswered bool
	// preceding are the versions that, as the others say, alone served before the present ones.
	preceding []string
	asked     []string // addresses of the daemons that were asked
	// answered are the incarnations of the daemons that have answered that they do not know the
	// stream, by address; 0 if one is not known.
	answered map[string]uint64
	// versionsKnown counts the daemons that have answered that they know all versions which served lately. One
	// of an earlier build does not say so.
	versionsKnown int
	// undeclared is set if one that has answered knows of a silent daemon that declares no versions.
	undeclared bool
}

// findOrigin asks other daemons for the origin of the stream that a request takes up, all at
// once, and returns what the first one knows that knows it.
func (p *peers) findOrigin(req *relayedRequest, known origin.Resolution) originSearch {
	asked, silent := p.originHolders(req.originKey())
	search := originSearch{Resolution: known, asked: asked, answered: make(map[string]uint64)}
	if p.askForOrigin(req, asked, &search); search.Found {
		return search
	}
	answered := len(search.answered)
	search.Unknown = search.Unknown && search.versionsKnown == 0
	search.complete = answered > 0 && search.versionsKnown == len(asked) && silent == 0
	search.unanswered = answered < len(asked)
	return search
}

// askForOrigin asks the daemons at addresses for the origin of the stream that a request takes up,
// and adds to the search what they answer, until one knows it.
func (p *peers) askForOrigin(req *relayedRequest, addresses []string, search *originSearch) {
	ctx, cancel := context.WithTimeout(req.r.Context(), originQueryTimeout)
	defer cancel()
	query := &peerpb.StreamOriginQuery{Request: req.originKey(), Service: req.service}
	type addressedReply struct {
		*peerpb.StreamOriginReply
		address string
	}
	replies := make(chan addressedReply)
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() {
			reply, err := p.client.FindOrigin(ctx, address, query)
			if err != nil {
				p.gateway.metrics.countPeerFailure()
				return
			}
			select {
			case replies <- addressedReply{reply, address}:
			case <-ctx.Done():
			}
		})
	}
	go func() { calls.Wait(); close(replies) }()
	for reply := range replies {
		if reply.GetFound() {
			search.Resolution = origin.Resolution{Found: true, Version: reply.GetVersion()}
			return
		}
		search.answered[reply.address] = reply.GetIncarnation()
		search.SeveralVersions = search.SeveralVersions || reply.GetSeveralVersions()
		if reply.GetVersionsKnown() {
			search.versionsKnown++
		}
		search.undeclared = search.undeclared || reply.GetUndeclared()
		if reply.PrecedingVersion != nil {
			search.preceding = append(search.preceding, reply.GetPrecedingVersion())
		}
	}
}

// precedingVersion returns the version at which a stream that nobody knows may have begun although
// several versions serve: its daemon was lost before it had heard of a second one, or it would have
// copied and recorded the origin. Whether no other daemon may have begun it, mayHaveBegunElsewhere
// decides. The caller must have read the record.
func (g *Gateway) precedingVersion(req *relayedRequest, search originSearch) (version string, known bool) {
	versions := search.preceding
	if own, mayBeLost := g.peers.lostAtPreceding(req.service); mayBeLost || own != nil && search.unanswered {
		versions = append(versions, *own)
	}
	if len(versions) == 0 || len(slices.Compact(slices.Sorted(slices.Values(versions)))) > 1 {
		return "", false
	}
	return versions[0], true
}

// minSilence is how long a daemon must not have been heard of to count as one that may have been
// lost. In a small fleet each other one is heard of in this time; in a larger one some are not.
const minSilence = 4 * exchangeInterval

// lostAtPreceding returns the version that alone served a service before the present ones, nil
// if that is not known, and whether a daemon may have been lost that had not heard of these. A
// daemon that has started since cannot know whether one was.
func (p *peers) lostAtPreceding(service string) (version *string, mayBeLost bool) {
	now := time.Now()
	var preceding origin.Preceding
	known := false
	p.gateway.coordinator.do(func() { preceding, known = p.gateway.coordinator.origins.Preceding(service, now) })
	if !known {
		return nil, false
	}
	from, until := preceding.EndedAt.Add(-2*origin.Lifetime), preceding.EndedAt.Add(origin.SpreadTime)
	startedSince := p.startedAt.After(from) && !p.gateway.settings.FirstStart
	p.mu.Lock()
	defer p.mu.Unlock()
	return &preceding.Version, startedSince || p.table.MayHaveLost(from, until, now.Add(-minSilence))
}

// searchPreceding searches on for the origin of a stream that nobody knows of those asked so far
// although several versions serve. If it is certain that the stream began at the preceding version,
// the search has found that; searchPreceding returns what makes it doubtful otherwise.
func (g *Gateway) searchPreceding(req *relayedRequest, search *originSearch) (doubt string) {
	version, known := g.precedingVersion(req, *search)
	if !known {
		return "no preceding version"
	}
	select {
	case g.peers.wideSearches <- struct{}{}:
		defer func() { <-g.peers.wideSearches }()
	default:
		return "too many searches"
	}
	if g.peers.askForOrigin(req, g.peers.unasked(search.asked), search); search.Found {
		return ""
	}
	if doubt = g.mayHaveBegunElsewhere(req.service, version, *search); doubt != "" {
		return doubt
	}
	g.log.Info("stream of a lost daemon goes on at the preceding version", "request", req.call.ID, "resumes", req.call.Resumes,
		"service", req.service, "target_version", version)
	search.Resolution = origin.Resolution{Found: true, Version: version}
	return ""
}

// unasked returns the addresses of the live daemons, also of those that leave, that have not
// been asked yet.
func (p *peers) unasked(asked []string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, daemon := range p.table.Live(time.Now()) {
		if address := daemon.GetAddress(); address != "" && address != p.address && !slices.Contains(asked, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// hasAnswered reports whether the incarnation of a daemon has answered a search.
func (p *peers) hasAnswered(d declarer, search originSearch) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return d.incarnation != 0 && search.answered[p.table.Member(d.name).GetAddress()] == d.incarnation
}

// mayHaveBegunElsewhere returns why a stream that nobody knows may have begun at another version than
// the preceding one, empty if it cannot: each daemon that may have begun streams at another one
// has answered that it does not know the stream. The caller must have read the record since the
// request came.
func (g *Gateway) mayHaveBegunElsewhere(service, version string, search originSearch) (doubt string) {
	now := time.Now()
	preceding, known, declarationsKnown := origin.Preceding{}, false, false
	g.coordinator.do(func() {
		preceding, known = g.coordinator.origins.Preceding(service, now)
		declarationsKnown = g.coordinator.origins.DeclarationsKnown(now)
	})
	if !known { // this daemon has started since
		preceding.EndedAt = g.peers.startedAt
	}
	if !declarationsKnown {
		return "store restored"
	}
	for _, d := range g.declaredBeyond(service, version) {
		if d.earlier || !g.peers.hasAnswered(d, search) {
			return "a daemon that does not answer has declared another version"
		}
	}
	hasAnswered := func(address string) bool { _, answered := search.answered[address]; return answered }
	g.peers.mu.Lock()
	defer g.peers.mu.Unlock()
	if search.undeclared || g.peers.table.Undeclared(preceding.EndedAt.Add(-2*origin.Lifetime), preceding.EndedAt, hasAnswered) {
		return "a daemon does not declare versions"
	}
	return ""
}
