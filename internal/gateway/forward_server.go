package gateway

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/protocol/forward"
	"hemlockknot/internal/state/routing"
	"hemlockknot/platform"
)

const (
	// maxForwardedRequests limits the requests of other daemons that are served at the same
	// time. The largest rate of the target size is 130 requests per second and daemon, which
	// last up to 4 s.
	maxForwardedRequests = 512
	// maxForwardedBody limits the body of a forwarded request, in bytes. The daemon that
	// received it has applied the configuration's limit.
	maxForwardedBody = 64 << 20
)

// listenForward opens the listener for forwarded requests, on the first port of the
// daemons' own range that is free.
func listenForward(settings platform.Settings) (net.Listener, error) {
	host, _, err := net.SplitHostPort(settings.PeerListenAddress)
	if err != nil {
		return nil, fmt.Errorf("address of the peer listener: %w", err)
	}
	var errs error
	for port := settings.FirstPeerPort; port <= settings.LastPeerPort; port++ {
		listener, err := listen("forwarded requests", net.JoinHostPort(host, strconv.Itoa(port)))
		if err == nil {
			return listener, nil
		}
		errs = errors.Join(errs, err)
	}
	return nil, errs
}

// handleForwarded serves a request that another daemon has passed on. It makes one attempt:
// the other daemon decides what follows.
func (g *Gateway) handleForwarded(w http.ResponseWriter, r *http.Request) {
	req := &callerRequest{w: w, r: r, arrived: time.Now(), buffers: g.buffers.newReservation()}
	defer req.buffers.release()
	description, err := forward.ParseRequest(r.Header)
	if err == nil {
		req.call, err = platform.ParseRequestHeader(r.Header)
	}
	if err != nil {
		g.log.Warn("bad forwarded request", "error", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	req.forwarded = &description
	req.route, req.service, req.version, req.digest = &description.Route, description.Service, description.DocumentVersion, description.Digest
	req.deadline = req.arrived.Add(description.Remaining)
	if description.Workspace != "" {
		req.workspace = &routing.Workspace{Name: description.Workspace}
	}
	if g.stopping() || g.forwards.Requests() > maxForwardedRequests {
		g.refuseForwarded(req, "peer_busy")
		return
	}
	endLimit := limitBodyTime(req)
	if req.body, err = req.buffers.readAll(r.Body, maxForwardedBody); err != nil || !req.decodePrompt() {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		g.refuseForwarded(req, "no_buffer_space")
		return
	}
	endLimit()
	g.coordinator.waitForTargets(r.Context(), startupWait)
	g.relayForwarded(req)
}

// relayForwarded makes attempts until one reaches a target, and answers the daemon that has
// passed the request on.
func (g *Gateway) relayForwarded(incoming *callerRequest) {
	if g.coordinator.unreached(incoming.service) {
		g.refuseForwarded(incoming, reasonUnreached)
		return
	}
	description := incoming.forwarded
	req := newRelayedRequest(incoming, attempt.Policy{MaxAttempts: 1})
	req.start = streamPosition{
		lastEventID:     max(incoming.call.LastEventID, description.LastEventID),
		softwareVersion: description.SoftwareVersion, versionPinned: description.VersionPinned,
	}
	req.brokenAt.Store(description.BrokenAt)
	for a := g.beginAttempt(req); a != nil; {
		a = g.nextAttempt(a, g.run(a))
	}
	if req.ended() {
		req.last.reason = req.endReason()
	}
	g.respondForwarded(req, req.lastOutcome)
}

// respondForwarded tells the other daemon how the attempt has ended, unless the attempt has
// sent the answer already.
func (g *Gateway) respondForwarded(req *relayedRequest, outcome attempt.Outcome) {
	switch outcome {
	case attempt.Answered:
		g.recordResult(req, "delivered")
	case attempt.TargetError:
		g.deliver(req.last, req.failedResponse)
		g.recordResult(req, "failure_delivered")
	case attempt.Interrupted, attempt.CutShort:
		g.recordResult(req, "aborted")
		panic(http.ErrAbortHandler) // closes the connection before the end of the response
	case attempt.NotSent:
		g.answerForwarded(req, forward.Unreached, 0)
	case attempt.NoTarget:
		g.answerForwarded(req, forward.NoTarget, g.retryAfter(req, outcome))
	case attempt.Refused:
		g.answerForwarded(req, forward.Refused, g.retryAfter(req, outcome))
	case attempt.HeldBack:
		g.answerForwarded(req, forward.HeldBack, g.retryAfter(req, outcome))
	case attempt.DeadlineExceeded:
		g.answerForwarded(req, forward.PastDeadline, 0)
	default:
		g.answerForwarded(req, forward.NoAnswer, 0)
	}
}

// refuseForwarded answers a forwarded request that this daemon cannot serve.
func (g *Gateway) refuseForwarded(incoming *callerRequest, reason string) {
	req := newRelayedRequest(incoming, attempt.Policy{})
	req.last.reason = reason
	g.answerForwarded(req, forward.Unreached, 0)
}

// answerForwarded answers a forwarded request for which there is no answer of a target.
func (g *Gateway) answerForwarded(req *relayedRequest, outcome forward.Outcome, retryAfter time.Duration) {
	answer := forward.Answer{Outcome: outcome, Reason: req.last.reason, RetryAfter: retryAfter, BrokenAt: req.brokenAt.Load()}
	if target := req.last.choice.Target; target != nil && (outcome == forward.Refused || outcome == forward.NoAnswer) {
		answer.Target, answer.SoftwareVersion = target.ID, target.SoftwareVersion
	}
	limitDelivery(req.callerRequest)
	forward.SetAnswer(req.w.Header(), answer)
	req.w.WriteHeader(http.StatusServiceUnavailable)
	g.recordResult(req, "forward_"+string(outcome))
}

// describeForwarded adds to the headers of a target's answer to a forwarded request which
// target it is.
func (a *targetAttempt) describeForwarded(header http.Header) {
	if a.forwarded != nil {
		target := a.choice.Target
		forward.SetAnswer(header, forward.Answer{Outcome: forward.Answered, Target: target.ID, SoftwareVersion: target.SoftwareVersion})
	}
}
