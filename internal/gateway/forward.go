package gateway

import (
	"errors"
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

var errNoTargetNamed = errors.New("an answer without the target that gave it")

// forwarder is a daemon to which requests can be forwarded.
type forwarder struct{ name, address string }

// avoidedForwarder identifies a daemon that cannot serve a service.
type avoidedForwarder struct{ name, service string }

// mustForward reports whether the request's next attempt should be made by way of another
// daemon. A request that has been forwarded is not forwarded again.
func (g *Gateway) mustForward(a *targetAttempt) bool {
	if a.forwarded != nil {
		return false
	}
	return a.unsentAttempts() >= unsentBeforeForward || g.coordinator.unreached(a.service)
}

// canForward reports whether another daemon may make an attempt for the request.
func (g *Gateway) canForward(a *targetAttempt) bool {
	return len(g.forwarders(a)) > 0
}

// forwarders returns the daemons that may make the next attempt for the request.
func (g *Gateway) forwarders(a *targetAttempt) []forwarder {
	if a.forwarded != nil || len(a.triedForwarders) >= maxForwards {
		return nil
	}
	return g.peers.forwarders(a)
}

// forwardAttempt makes one attempt by way of another daemon. It returns false if no daemon
// could take the request.
func (g *Gateway) forwardAttempt(a *targetAttempt) (outcome attempt.Outcome, begun, made bool) {
	for candidates := g.forwarders(a); len(candidates) > 0; candidates = g.forwarders(a) {
		if a.outOfTime() {
			return attempt.DeadlineExceeded, false, true
		}
		chosen := candidates[rand.IntN(len(candidates))]
		a.triedForwarders = append(slices.Clip(a.triedForwarders), chosen.name)
		if outcome, begun, made = g.forwardTo(a, chosen); made {
			return outcome, begun, true
		}
		a.via = ""
	}
	return 0, false, false
}

// forwardTo passes the request to another daemon. It returns false if that daemon has not
// received it, or has said that it cannot serve it.
func (g *Gateway) forwardTo(a *targetAttempt, to forwarder) (outcome attempt.Outcome, begun, made bool) {
	a.choice, a.chosenAt, a.via = placement.Choice{}, time.Now(), to.name
	g.watchSilence(a)
	response, exchangeErr := g.peerPool.Do(a.ctx, g.buildForward(a, to.address))
	a.silence.pause()
	if exchangeErr != nil {
		g.metrics.countForward("failed")
		g.log.Info("forwarding failed", "request", a.call.ID, "peer", to.name, "may_have_been_sent", exchangeErr.MaybeSent, "error", exchangeErr)
		switch {
		case !exchangeErr.MaybeSent && a.ctx.Err() != nil: // says nothing about that daemon
			return attempt.NotSent, false, true
		case !exchangeErr.MaybeSent:
			g.peers.avoidForwarder(to.name, a.service)
			return 0, false, false
		}
		a.reason = "peer_broken"
		return attempt.NoAnswer, false, true
	}
	answer, err := forward.ParseAnswer(response.Header)
	if err == nil && answer.Outcome == forward.Answered && answer.Target == "" {
		err = errNoTargetNamed
	}
	if err != nil {
		g.log.Warn("bad answer to a forwarded request", "request", a.call.ID, "peer", to.name, "error", err)
		response.Close()
		a.reason = "peer_broken"
		return attempt.NoAnswer, false, true
	}
	g.metrics.countForward(string(answer.Outcome))
	return g.handleForwardAnswer(a, response, answer)
}

// handleForwardAnswer records what another daemon says of its attempt, and passes the answer
// of the target on.
func (g *Gateway) handleForwardAnswer(a *targetAttempt, response *exchange.Answer, answer forward.Answer) (outcome attempt.Outcome, begun, made bool) {
	a.reason, a.forwardRetryAfter = answer.Reason, answer.RetryAfter
	if answer.Target != "" {
		a.recordSentTo(answer.Target)
		a.choice.Target = &fleet.Target{ID: answer.Target, Service: a.service, SoftwareVersion: answer.SoftwareVersion}
	}
	if answer.BrokenAt != 0 {
		a.brokenAt.Store(answer.BrokenAt)
	}
	if answer.Outcome == forward.Answered {
		outcome, begun = g.holdAnswer(a, response, platform.ParseResponseHeader(response.Header))
		return outcome, begun, true
	}
	response.Close()
	switch answer.Outcome {
	case forward.Unreached:
		g.peers.avoidForwarder(a.via, a.service)
		return 0, false, false
	case forward.NoTarget:
		return 0, false, false
	case forward.Refused:
		return attempt.Refused, false, true
	case forward.HeldBack:
		return attempt.HeldBack, false, true
	case forward.PastDeadline:
		return attempt.DeadlineExceeded, false, true
	}
	return attempt.NoAnswer, false, true
}

// buildForward returns the request to another daemon.
func (g *Gateway) buildForward(a *targetAttempt, address string) exchange.Request {
	description := forward.Request{
		Entry: g.settings.Host, Service: a.service, Route: *a.route, DocumentVersion: a.version,
		Remaining: time.Until(a.deadline), SoftwareVersion: a.position.softwareVersion, VersionPinned: a.position.versionPinned,
		LastEventID: a.position.lastEventID, Tried: a.sentTargets(), BrokenAt: a.brokenAt.Load(), Digest: a.digest,
	}
	description.Route.ServiceWeights = nil
	if versions, restricted := g.coordinator.versionsToBegin(a); restricted && len(versions) > 0 {
		description.SoftwareVersion, description.VersionPinned = versions[0], true
	}
	if a.workspace != nil {
		description.Workspace = a.workspace.Name
		if a.workspace.HasPriority {
			description.Route.Priority = a.workspace.Priority
		}
	}
	header := platform.PeerRequestHeader(a.r.Header)
	forward.SetRequest(header, description)
	return exchange.Request{
		Address: address, Method: a.r.Method, URI: a.r.RequestURI, Host: a.r.Host, Header: header, Body: a.body,
		AvoidStale:    !a.route.Repeatable(),
		NotAfter:      a.chosenAt.Add(choiceLifetime),
		AnswerTimeout: g.responseTimeout(a.callerRequest),
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
func (p *peers) forwarders(a *targetAttempt) []forwarder {
	hash, now := serviceHash(a.service), time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var all, local []forwarder
	for _, daemon := range p.table.Live(now) {
		address := forwardAddress(daemon)
		if daemon.GetName() == p.table.Self().GetName() || address == "" || daemon.GetLeaving() ||
			slices.Contains(daemon.GetUnreachedServices(), hash) || slices.Contains(a.triedForwarders, daemon.GetName()) ||
			now.Before(p.avoidedUntil[avoidedForwarder{daemon.GetName(), a.service}]) {
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
