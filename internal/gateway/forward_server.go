package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
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
		g.answerForwarded(&relayedRequest{callerRequest: req, reason: "peer_busy"}, forward.Unreached, 0)
		return
	}
	endLimit := limitBodyTime(req)
	if req.body, err = req.buffers.readAll(r.Body, maxForwardedBody); err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		g.answerForwarded(&relayedRequest{callerRequest: req, reason: "no_buffer_space"}, forward.Unreached, 0)
		return
	}
	endLimit()
	g.coordinator.waitForTargets(r.Context(), startupWait)
	g.relayForwarded(req)
}

// relayForwarded makes attempts until one reaches a target, and answers the daemon that has
// passed the request on.
func (g *Gateway) relayForwarded(incoming *callerRequest) {
	description := incoming.forwarded
	req := &relayedRequest{
		callerRequest:   incoming,
		triedTargets:    make(map[string]bool),
		draw:            rand.Uint64() | 1,
		state:           attempt.New(attempt.Policy{MaxAttempts: 1}),
		softwareVersion: description.SoftwareVersion, versionPinned: description.VersionPinned,
		lastEventID: max(incoming.call.LastEventID, description.LastEventID),
	}
	req.brokenAt.Store(description.BrokenAt)
	for _, id := range description.Tried {
		req.triedTargets[id] = true
	}
	if g.coordinator.unreached(req.service) {
		req.reason = reasonUnreached
		g.answerForwarded(req, forward.Unreached, 0)
		return
	}
	outcome := g.attemptOnce(req)
	for outcome == attempt.NotSent && req.state.Decide(outcome, time.Until(req.deadline), func() bool { return false }) == attempt.Retry {
		outcome = g.attemptOnce(req)
	}
	if req.ended() {
		req.reason = req.endReason()
	}
	g.respondForwarded(req, outcome)
}

// respondForwarded tells the other daemon how the attempt has ended, unless the attempt has
// sent the answer already.
func (g *Gateway) respondForwarded(req *relayedRequest, outcome attempt.Outcome) {
	switch outcome {
	case attempt.Answered:
		g.recordResult(req, "delivered")
	case attempt.TargetError:
		g.deliver(req, req.failedResponse)
		g.recordResult(req, "failure_delivered")
	case attempt.Interrupted:
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

// answerForwarded answers a forwarded request for which there is no answer of a target.
func (g *Gateway) answerForwarded(req *relayedRequest, outcome forward.Outcome, retryAfter time.Duration) {
	answer := forward.Answer{Outcome: outcome, Reason: req.reason, RetryAfter: retryAfter, BrokenAt: req.brokenAt.Load()}
	if req.choice.Target != nil && (outcome == forward.Refused || outcome == forward.NoAnswer) {
		answer.Target, answer.SoftwareVersion = req.choice.Target.ID, req.choice.Target.SoftwareVersion
	}
	forward.SetAnswer(req.w.Header(), answer)
	req.w.WriteHeader(http.StatusServiceUnavailable)
	g.recordResult(req, "forward_"+string(outcome))
}

// describeForwarded adds to the headers of a target's answer to a forwarded request which
// target it is.
func (req *relayedRequest) describeForwarded(header http.Header) {
	if req.forwarded != nil {
		target := req.choice.Target
		forward.SetAnswer(header, forward.Answer{Outcome: forward.Answered, Target: target.ID, SoftwareVersion: target.SoftwareVersion})
	}
}
