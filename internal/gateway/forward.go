package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/forward"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/fleet"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/platform"
)

const (
	// unsentBeforeForward is how many targets must not be reached before a request is
	// forwarded while this daemon still takes the service to be reached.
	unsentBeforeForward = 2
	// maxForwards is how many other daemons a request is passed to if they cannot serve it
	// either. Which daemons can is known except in the first moments.
	maxForwards = 3
	// minLocalForwarders is how many daemons of the own failure domain must be able to
	// take requests to use these only. Bytes between domains are dear, but a single daemon
	// would take all that its neighbours receive.
	minLocalForwarders = 2
	// forwarderAvoidance is how long a daemon gets no forwarded requests of a service after
	// it could not be reached or could not serve one.
	forwarderAvoidance = time.Second
)

// forwarder is a daemon to which requests can be forwarded.
type forwarder struct{ name, address string }

// avoidedForwarder identifies a daemon that cannot serve a service.
type avoidedForwarder struct{ name, service string }

// mustForward reports whether the request's next attempt should be made by way of another
// daemon. A request that has been forwarded is not forwarded again.
func (g *Gateway) mustForward(req *relayedRequest) bool {
	if req.forwarded != nil {
		return false
	}
	return req.state.UnsentAttempts() >= unsentBeforeForward || g.coordinator.unreached(req.service)
}

// canForward reports whether another daemon may make an attempt for the request.
func (g *Gateway) canForward(req *relayedRequest) bool {
	return len(g.forwarders(req)) > 0
}

// forwarders returns the daemons that may make the next attempt for the request.
func (g *Gateway) forwarders(req *relayedRequest) []forwarder {
	if req.forwarded != nil || len(req.triedForwarders) >= maxForwards {
		return nil
	}
	return g.peers.forwarders(req)
}

// forwardAttempt makes one attempt by way of another daemon. It returns false if no daemon
// could take the request.
func (g *Gateway) forwardAttempt(req *relayedRequest) (outcome attempt.Outcome, made bool) {
	for candidates := g.forwarders(req); len(candidates) > 0; candidates = g.forwarders(req) {
		if outOfTime(req) {
			return attempt.DeadlineExceeded, true
		}
		chosen := candidates[rand.IntN(len(candidates))]
		req.triedForwarders = append(req.triedForwarders, chosen.name)
		if outcome, made = g.forwardTo(req, chosen); made {
			return outcome, true
		}
		req.via = ""
	}
	return 0, false
}

// forwardTo passes the request to another daemon. It returns false if that daemon has not
// received it, or has said that it cannot serve it.
func (g *Gateway) forwardTo(req *relayedRequest, to forwarder) (outcome attempt.Outcome, made bool) {
	req.choice, req.chosenAt, req.via = placement.Choice{}, time.Now(), to.name
	ctx, cancel := context.WithCancel(req.r.Context())
	defer cancel()
	silence := g.watchSilence(req, cancel)
	defer silence.stop()
	response, exchangeErr := g.peerPool.Do(ctx, g.buildForward(req, to.address))
	if exchangeErr != nil {
		g.metrics.countForward("failed")
		g.log.Info("forwarding failed", "request", req.call.ID, "peer", to.name, "may_have_been_sent", exchangeErr.MaybeSent, "error", exchangeErr)
		if !exchangeErr.MaybeSent {
			g.peers.avoidForwarder(to.name, req.service)
			return 0, false
		}
		req.reason = "peer_broken"
		return attempt.NoAnswer, true
	}
	defer response.Close()
	answer, err := forward.ParseAnswer(response.Header)
	if err != nil {
		g.log.Warn("bad answer to a forwarded request", "request", req.call.ID, "peer", to.name, "error", err)
		req.reason = "peer_broken"
		return attempt.NoAnswer, true
	}
	g.metrics.countForward(string(answer.Outcome))
	return g.handleForwardAnswer(req, response, answer, silence)
}

// handleForwardAnswer records what another daemon says of its attempt, and passes the answer
// of the target on.
func (g *Gateway) handleForwardAnswer(req *relayedRequest, response *exchange.Answer, answer forward.Answer, silence *silenceTimer) (outcome attempt.Outcome, made bool) {
	req.reason, req.forwardRetryAfter = answer.Reason, answer.RetryAfter
	if answer.Target != "" {
		req.attempts++
		req.sentTo = append(req.sentTo, answer.Target)
		req.choice.Target = &fleet.Target{ID: answer.Target, Service: req.service, SoftwareVersion: answer.SoftwareVersion}
	}
	if answer.BrokenAt != 0 {
		req.brokenAt.Store(answer.BrokenAt)
	}
	switch answer.Outcome {
	case forward.Answered:
	case forward.Unreached:
		g.peers.avoidForwarder(req.via, req.service)
		return 0, false
	case forward.NoTarget:
		return 0, false
	case forward.Refused:
		return attempt.Refused, true
	case forward.HeldBack:
		return attempt.HeldBack, true
	case forward.PastDeadline:
		return attempt.DeadlineExceeded, true
	default:
		return attempt.NoAnswer, true
	}
	return g.relayAnswer(req, response, platform.ParseResponseHeader(response.Header), silence), true
}

// buildForward returns the request to another daemon.
func (g *Gateway) buildForward(req *relayedRequest, address string) exchange.Request {
	description := forward.Request{
		Entry: g.settings.Host, Service: req.service, Route: *req.route, DocumentVersion: req.version,
		Remaining: time.Until(req.deadline), SoftwareVersion: req.softwareVersion, VersionPinned: req.versionPinned,
		LastEventID: req.lastEventID, Tried: req.sentTo, BrokenAt: req.brokenAt.Load(), Digest: req.digest,
	}
	description.Route.ServiceWeights = nil
	if req.workspace != nil {
		description.Workspace = req.workspace.Name
		if req.workspace.HasPriority {
			description.Route.Priority = req.workspace.Priority
		}
	}
	header := platform.PeerRequestHeader(req.r.Header)
	forward.SetRequest(header, description)
	return exchange.Request{
		Address: address, Method: req.r.Method, URI: req.r.RequestURI, Host: req.r.Host, Header: header, Body: req.body,
		AvoidStale:    !req.route.Repeatable(),
		NotAfter:      req.chosenAt.Add(choiceLifetime),
		AnswerTimeout: g.responseTimeout(req),
		Matches:       func(http.Header) bool { return true }, // daemons send no surplus answers
		IdleTimeout:   func(http.Header) time.Duration { return 0 },
	}
}

// serviceHash returns the name of a service in the entries of daemons.
func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// announceUnreached tells the other daemons of which services this one reaches no target.
func (p *peers) announceUnreached(services []string) {
	hashes := make([]uint32, len(services))
	for i, service := range services {
		hashes[i] = serviceHash(service)
	}
	p.mu.Lock()
	p.table.SetUnreachedServices(hashes)
	p.mu.Unlock()
	p.startRoundSoon()
}

// forwarders returns the daemons to which the request may be forwarded: live ones that take
// requests and have not said that they do not reach the service. Those of this failure
// domain are enough if there are minLocalForwarders.
func (p *peers) forwarders(req *relayedRequest) []forwarder {
	hash, now := serviceHash(req.service), time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var all, local []forwarder
	for _, daemon := range p.table.Live(now) {
		address := forwardAddress(daemon)
		if daemon.GetName() == p.table.Self().GetName() || address == "" || daemon.GetLeaving() ||
			slices.Contains(daemon.GetUnreachedServices(), hash) || slices.Contains(req.triedForwarders, daemon.GetName()) ||
			now.Before(p.avoidedUntil[avoidedForwarder{daemon.GetName(), req.service}]) {
			continue
		}
		candidate := forwarder{daemon.GetName(), address}
		all = append(all, candidate)
		if daemon.GetFailureDomain() == p.gateway.settings.FailureDomain {
			local = append(local, candidate)
		}
	}
	if len(local) >= minLocalForwarders {
		return local
	}
	return all
}

// forwardAddress returns the address at which a daemon takes forwarded requests, "" if it
// takes none.
func forwardAddress(daemon *peerpb.Member) string {
	host, _, err := net.SplitHostPort(daemon.GetAddress())
	if err != nil || daemon.GetForwardPort() == 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(int(daemon.GetForwardPort())))
}

// avoidForwarder records that a daemon cannot serve requests of a service for now.
func (p *peers) avoidForwarder(name, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for avoided, until := range p.avoidedUntil {
		if !now.Before(until) {
			delete(p.avoidedUntil, avoided)
		}
	}
	p.avoidedUntil[avoidedForwarder{name, service}] = now.Add(forwarderAvoidance)
}
