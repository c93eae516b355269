package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/timing"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/internal/transport/memory"
	"hemlockknot/platform"
)

const (
	// maxResponseBytes limits the size of a response that is not a stream.
	maxResponseBytes = 8 << 20
	// choiceLifetime is how long after the choice of a target the request may be sent
	// to it. If the process is paused in between, the target may have left meanwhile,
	// and the deadline in the request's header is too late. Opening a connection takes
	// up to exchange.DialTimeout.
	choiceLifetime = 400 * time.Millisecond
	// minDispatchTime is the least time that a target is given. Without any it would set no
	// deadline.
	minDispatchTime = time.Millisecond
	// responseSlack is how long after the request's deadline the response of a target
	// is still accepted.
	responseSlack = 50 * time.Millisecond
)

// heldAnswer is an answer that has begun, and what has been read of it that the caller does not
// have.
type heldAnswer struct {
	response *exchange.Answer
	buffered *bufferedResponse // the whole answer; nil for a stream
	stream   *heldStream       // nil for another answer
}

// close ends the exchange.
func (h *heldAnswer) close() {
	if h.stream != nil {
		h.stream.untrack()
		h.stream.buffers.release()
	}
	h.response.Close()
}

// open makes an attempt until its answer has begun, and reports whether it has. It is made at a
// target, or by way of another daemon if this one reaches none. A hedge is not tried in vain at
// targets that are not reached.
func (g *Gateway) open(a *targetAttempt) (outcome attempt.Outcome, begun bool) {
	if a.outOfTime() {
		return attempt.DeadlineExceeded, false
	}
	if a.ctx.Err() != nil {
		return attempt.NotSent, false
	}
	if g.mustForward(a) {
		if outcome, begun, made := g.forwardAttempt(a); made {
			return outcome, begun
		}
		if (a.backs != nil || a.unsentAttempts() > 0) && g.coordinator.unreached(a.service) {
			a.reason = reasonUnreached
			return attempt.NoTarget, false
		}
	}
	choice := g.chooseTarget(a)
	switch {
	case choice.Target != nil:
		return g.sendToTarget(a, choice)
	case a.ctx.Err() != nil:
		return attempt.NotSent, false
	case a.hold != nil:
		a.reason = "part_held_back"
		if a.hold.IsRequest {
			a.reason = "request_held_back"
		}
		return attempt.HeldBack, false
	case a.refusedForRoom():
		a.reason = a.roomWait.reason
		return attempt.NoTarget, false
	case a.outOfTime():
		return attempt.DeadlineExceeded, false
	}
	return g.handleNoTarget(a)
}

// chooseTarget chooses the target of an attempt. It waits while the target
// reads the prompt of the request's session for another request.
func (g *Gateway) chooseTarget(a *targetAttempt) placement.Choice {
	choice, promptRead := g.coordinator.chooseTarget(a, true)
	if a.roomWait != nil {
		return g.awaitRoom(a)
	}
	if promptRead == nil {
		return choice
	}
	g.awaitPromptRead(a.ctx, a.callerRequest, promptRead)
	g.metrics.countPromptWait()
	if time.Until(a.deadline) <= 0 || a.ctx.Err() != nil {
		return placement.Choice{}
	}
	if choice, _ = g.coordinator.chooseTarget(a, false); a.roomWait != nil {
		return g.awaitRoom(a)
	}
	return choice
}

// handleNoTarget makes an attempt by way of another daemon if that may find a target, and
// sets the reason otherwise.
func (g *Gateway) handleNoTarget(a *targetAttempt) (outcome attempt.Outcome, begun bool) {
	if outcome, begun, made := g.forwardUnlessLimited(a); made {
		return outcome, begun
	}
	a.reason = "no_target"
	if g.coordinator.atLimit(a.service) {
		a.reason = reasonAtLimit
	}
	if g.coordinator.coldTargetsUsedUp(a) {
		a.reason = reasonCold
		g.metrics.countCold("refused")
	}
	if g.coordinator.allEvacuated(a.service) {
		a.reason = reasonEvacuated
	}
	if a.position.versionPinned {
		a.reason = reasonNoTargetOfVersion
	}
	return attempt.NoTarget, false
}

// sendToTarget sends the request to the chosen target.
func (g *Gateway) sendToTarget(a *targetAttempt, choice placement.Choice) (outcome attempt.Outcome, begun bool) {
	a.recordChoice(choice)
	g.watchSilence(a)
	waiting := g.streams.addWaiting(choice.Target, a.silence.ifAllowed(a.retryAllowed()))
	response, exchangeErr := g.pool.Do(a.ctx, g.buildRequest(a, max(time.Until(a.deadline), minDispatchTime)))
	a.silence.pause()
	g.streams.removeWaiting(waiting, exchangeErr == nil)
	if exchangeErr != nil {
		if !exchangeErr.MaybeSent {
			g.coordinator.recordUnsent(choice.Target, a.chosenAt)
		}
		return g.handleAttemptError(a, exchangeErr), false
	}
	g.recordReached(choice.Target.Service, a.chosenAt)
	info := platform.ParseResponseHeader(response.Header)
	g.recordTargetState(a, response.Status, info)
	g.coordinator.recordAnswerBegun(choice.Target, a.chosenAt) // a rejection has been recorded by now
	if refusedByTarget(response.Status, info) {
		// The body is not read, so that the connection is closed: a faulty target may write
		// the refusal once more, and it would pass for that of a request with the same id.
		response.Close()
		a.reason = "refused_by_target"
		g.recordOutcome(a, outlier.Busy, true)
		return attempt.Refused, false
	}
	return g.holdAnswer(a, response, info)
}

// holdAnswer reads the beginning of a target's answer. A success without the target's signature is
// not the target's.
func (g *Gateway) holdAnswer(a *targetAttempt, response *exchange.Answer, info relay.Answer) (outcome attempt.Outcome, begun bool) {
	a.answer = &heldAnswer{response: response}
	switch {
	case response.Status < http.StatusMultipleChoices && !info.Signed:
		a.reason = "unsigned_answer"
		g.recordOutcome(a, outlier.ServerError, true)
		g.log.Info("attempt failed", "request", a.call.ID, "target", a.targetID(), "reason", a.reason, "status", response.Status)
		return attempt.NoAnswer, false
	case isEventStream(response):
		return g.holdStream(a)
	}
	return g.holdBuffered(a)
}

// watchSilence starts the timer that has a hedge begun if the first byte of the answer does not
// come, if the request may be retried.
func (g *Gateway) watchSilence(a *targetAttempt) {
	if a.retryAllowed() {
		a.silence.restart(timing.ForSlowness(timing.FirstByteTimeout(a.route, a.call), a.choice.Slowness))
	}
}

// forwardUnlessLimited makes an attempt by way of another daemon if there is a target that
// others may use. Limits and requests for no requests hold at all daemons.
func (g *Gateway) forwardUnlessLimited(a *targetAttempt) (outcome attempt.Outcome, begun, made bool) {
	if !g.coordinator.hasTargetForOthers(a) {
		return 0, false, false
	}
	return g.forwardAttempt(a)
}

// recordTargetState records what a response says about the state of its target: its
// load, that it leaves, that it takes a limited number of requests, or none for a time.
func (g *Gateway) recordTargetState(a *targetAttempt, status int, info relay.Answer) {
	target := a.choice.Target
	if status == http.StatusMisdirectedRequest {
		return // another target now has the address, and reports its own state
	}
	g.coordinator.recordLoad(target, info.Load)
	g.recordFullTarget(a, status, info)
	a.reportsWorkTime = info.Load != nil && info.Load.WorkTimePercent > 0
	if a.reportsWorkTime && status == http.StatusTooManyRequests && refusedByTarget(status, info) && info.RateLimit == 0 {
		g.coordinator.recordNoRoom(target.ID, *info.Load)
	}
	if g.coordinator.recordLimit(target, info.RateLimit) {
		g.metrics.countLimitChange()
		g.log.Info("target has changed its rate limit", "target", target.ID, "per_s", info.RateLimit, "source", "target", "request", a.call.ID)
	}
	if g.coordinator.recordBrittle(target, info.Brittle, info.Rejections, a.chosenAt) {
		g.log.Info("target has changed whether it is brittle", "target", target.ID, "brittle", info.Brittle, "rejections_per_s", info.Rejections, "request", a.call.ID)
	}
	if info.Brittle && refusedByTarget(status, info) {
		g.coordinator.recordRejection(target, a.chosenAt, info.Load)
		g.metrics.countBrittleRejection()
		g.log.Info("brittle target has rejected a request", "target", target.ID, "request", a.call.ID, "after_ms", time.Since(a.chosenAt).Milliseconds(),
			"rejections_per_s", info.Rejections, "unanswered", g.streams.waitingAt(target.ID), "known_daemons", g.peers.knownDaemons())
	}
	if info.ColdLeft != nil && g.coordinator.recordCold(target, *info.ColdLeft, a.chosenAt) {
		g.log.Info("targets are cold", "ids", []string{target.ID}, "count", 1, "left_ms", info.ColdLeft.Milliseconds(), "source", "target", "request", a.call.ID)
	}
	if info.Leaving && g.coordinator.markLeaving(target) {
		g.log.Info("target is leaving", "target", target.ID, "source", "target", "request", a.call.ID)
	}
	if status == http.StatusServiceUnavailable && info.RetryAfter > 0 {
		g.coordinator.recordRefusal(target, info.RetryAfter)
		g.metrics.countTargetRefusal()
		g.log.Info("target wants no requests", "target", target.ID, "request", a.call.ID, "for_ms", info.RetryAfter.Milliseconds())
	}
}

// buildRequest returns the request to the target of this attempt.
func (g *Gateway) buildRequest(a *targetAttempt, remaining time.Duration) exchange.Request {
	dispatch := relay.Dispatch{
		Target:   a.choice.Target.ID,
		Timeout:  remaining,
		Priority: a.route.Priority,
	}
	if a.workspace != nil {
		dispatch.Workspace = a.workspace.Name
		if a.workspace.HasPriority {
			dispatch.Priority = a.workspace.Priority
		}
	}
	if a.choice.FetchFrom != nil {
		dispatch.FetchFrom = a.choice.FetchFrom.Address
	}
	if a.position.lastEventID > a.call.LastEventID {
		dispatch.LastEventID = a.position.lastEventID
	}
	target, chosenAt := a.choice.Target, a.chosenAt
	return exchange.Request{
		Address:       target.Address,
		Method:        a.r.Method,
		URI:           a.r.RequestURI,
		Host:          a.r.Host,
		Header:        platform.ForwardedRequestHeader(a.r.Header, a.call, dispatch),
		Body:          a.body,
		AvoidStale:    !a.route.Repeatable(),
		NotAfter:      a.chosenAt.Add(choiceLifetime),
		AnswerTimeout: g.responseTimeout(a.callerRequest),
		OnWritten:     func() { g.awaitAccepted(target, chosenAt) },
		Matches:       func(header http.Header) bool { return platform.ParseResponseHeader(header).RequestID == a.call.ID },
		IdleTimeout:   func(header http.Header) time.Duration { return platform.ParseResponseHeader(header).IdleTimeout },
	}
}

// responseTimeout returns how long the target may take to complete its response.
func (g *Gateway) responseTimeout(req *callerRequest) time.Duration {
	return time.Until(req.deadline) + responseSlack
}

// refusedByTarget reports whether a response says that the target has not run the
// request. A success status contradicts the header for that, which is then ignored. A
// status of Misdirected Request without the target's signature says the same.
func refusedByTarget(status int, info relay.Answer) bool {
	return info.NotRun && status >= http.StatusBadRequest || status == http.StatusMisdirectedRequest && !info.Signed
}

// promisesNotRun reports whether a status tells callers that the request has not run and never
// will. A target may use it without saying so itself: then the request may have run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isEventStream reports whether a response is a stream, whatever the parameters of its type.
func isEventStream(response *exchange.Answer) bool {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return response.Status == http.StatusOK && strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// holdBuffered reads a response that is not a stream to its end. If a stream has begun, such a
// response cannot continue it. While the silent target that a hedge backs may still answer, that may
// do better than a failure of the hedge.
func (g *Gateway) holdBuffered(a *targetAttempt) (outcome attempt.Outcome, begun bool) {
	response := a.answer.response
	g.watchSilence(a)
	body, err := a.buffers.readAll(response, maxResponseBytes)
	a.silence.pause()
	partial := errors.Is(err, errNoBufferSpace) && g.mayPassOnPartial(a)
	if err != nil && !partial {
		g.recordIncompleteAnswer(a, len(body) > 0, err)
		return attempt.NoAnswer, false
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body, partial: partial}
	switch {
	case partial:
		a.answer.buffered = buffered
		g.recordAnswer(a)
		return attempt.Answered, true
	case promisesNotRun(response.Status) && !a.route.Repeatable():
		a.reason = "untrue_promise"
		g.recordOutcome(a, outlier.ServerError, true)
		return attempt.NoAnswer, false
	case response.Status >= http.StatusInternalServerError:
		a.reason, a.failure = "failed_at_target", buffered
		g.recordOutcome(a, outlier.ServerError, true)
		return attempt.TargetError, false
	case response.Status >= http.StatusBadRequest && a.backs != nil && a.othersInProgress():
		a.reason, a.failure = "failed_at_target", buffered
		g.recordOutcome(a, outlier.Served, true)
		return attempt.TargetError, false
	case a.position.begun:
		a.reason = "no_stream"
		g.recordOutcome(a, outlier.ServerError, true)
		return attempt.TargetError, false
	}
	g.recordOutcome(a, outlier.Served, true)
	g.recordAnswer(a)
	a.answer.buffered = buffered
	return attempt.Answered, true
}

// mayPassOnPartial reports whether the beginning of a response may go to the caller, as there is no
// memory for the rest. A response without a length may be of a target that sends bytes without end:
// another attempt is better if there may be one.
func (g *Gateway) mayPassOnPartial(a *targetAttempt) bool {
	response := a.answer.response
	return response.Status < http.StatusBadRequest && !a.position.begun && response.Length <= maxResponseBytes &&
		(response.Length >= 0 || !a.retryAllowed())
}

// recordIncompleteAnswer records a response that has broken off, or for which there is no memory.
func (g *Gateway) recordIncompleteAnswer(a *targetAttempt, begun bool, err error) {
	a.reason = "incomplete_answer"
	noSpace := errors.Is(err, errNoBufferSpace)
	if !noSpace && a.showsFault() {
		g.checkForCrash(a, progressOf(begun), isTimeout(err))
	}
	g.recordOutcome(a, outlier.ConnectionLost, !noSpace && a.conclusive(isTimeout(err)))
	g.log.Info("attempt failed", "request", a.call.ID, "target", a.targetID(), "reason", a.reason, "superseded", a.wasSuperseded(), "error", err, "digest", digestName(a.digest), "shared_parts", loggedParts(a.call.Parts))
}

// relayBuffered passes a whole response on to the caller, or one of which the rest is still to be
// read.
func (g *Gateway) relayBuffered(a *targetAttempt) attempt.Outcome {
	if !a.claim() {
		return g.discard(a)
	}
	if a.answer.buffered.partial {
		return g.relayPartial(a)
	}
	g.deliver(a, a.answer.buffered)
	return attempt.Answered
}

// relayPartial passes the beginning of a response on, and the rest as it comes.
func (g *Gateway) relayPartial(a *targetAttempt) attempt.Outcome {
	if length := a.answer.response.Length; length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	g.deliver(a, a.answer.buffered)
	a.recordAnswerStarted()
	buffer := make([]byte, memory.FreeBytes)
	for length := len(a.answer.buffered.body); ; {
		n, err := a.answer.response.Read(buffer)
		if length += n; length > maxResponseBytes {
			err = errBodyTooLong
		}
		_, writeErr := a.w.Write(buffer[:n])
		switch {
		case writeErr != nil || !flush(a.relayedRequest):
			a.unwritable.Store(true)
			g.recordOutcome(a, outlier.Served, false)
			return attempt.CutShort
		case errors.Is(err, io.EOF):
			g.recordOutcome(a, outlier.Served, true)
			return attempt.Answered
		case err != nil:
			g.recordIncompleteAnswer(a, true, err)
			return attempt.CutShort
		}
	}
}
