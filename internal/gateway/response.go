package gateway

import (
	"net/http"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/timing"
	"hemlockknot/platform"
)

// bufferedResponse is a target's response.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    []byte
	partial bool // body is only its beginning, as there was no memory for the rest
}

// deliver sends the complete response of an attempt's target to the caller.
func (g *Gateway) deliver(a *targetAttempt, response *bufferedResponse) {
	limitDelivery(a.callerRequest)
	copyHeader(a.w.Header(), platform.ForwardedResponseHeader(response.header))
	a.describeForwarded(a.w.Header())
	a.firstByteAt = time.Now()
	a.w.WriteHeader(response.status)
	if _, err := a.w.Write(response.body); err != nil {
		a.unwritable.Store(true)
	}
}

// copyHeader copies the headers of a response. If the target sent no Content-Type,
// copyHeader keeps net/http from adding one.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, found := from["Content-Type"]; !found {
		to["Content-Type"] = nil
	}
}

// respondFinal sends the final response to the caller, unless the last attempt has sent
// it already, and records the result. If a response has begun and cannot be completed,
// respondFinal aborts it by a panic.
func (g *Gateway) respondFinal(req *relayedRequest, action attempt.Action, outcome attempt.Outcome) {
	result := "delivered"
	switch {
	case action == attempt.Abort:
		g.recordResult(req, "aborted")
		panic(http.ErrAbortHandler) // closes the connection before the end of the response
	case action == attempt.Deliver && outcome == attempt.Answered:
	case req.failedResponse != nil:
		result = "failure_delivered"
		g.deliver(req.last, req.failedResponse)
	case action == attempt.ReplyNotRun:
		result = "not_run"
		g.refuse(req.callerRequest, req.last.reason, g.retryAfter(req, outcome))
	case action == attempt.ReplyTimeout:
		result = "timed_out"
		g.respond(req.callerRequest, http.StatusGatewayTimeout, "may have run: out of time", 0)
	default:
		result = "unknown"
		g.respond(req.callerRequest, http.StatusBadGateway, "may have run: "+req.last.reason, 0)
	}
	g.recordResult(req, result)
}

// respondEnded sends the final response to a request that must not go on after an attempt. A
// caller that has only closed its sending half reads it, and must not take what it reads for a
// whole answer.
func (g *Gateway) respondEnded(req *relayedRequest, action attempt.Action, outcome attempt.Outcome) {
	if action != attempt.Deliver {
		req.last.reason = req.endReason()
		req.w.Header().Set("Connection", "close")
	}
	g.respondFinal(req, action, outcome)
}

// retryAfter returns when the caller of a request that has not run should retry. If it
// or a part of its prompt is held back, that is not before the next trial. If all
// targets of the service want no requests for a time, that is not before the first of
// them takes requests again.
func (g *Gateway) retryAfter(req *relayedRequest, outcome attempt.Outcome) time.Duration {
	remaining := time.Until(req.deadline)
	if req.last.reason == reasonStopping {
		return timing.RetryAfter(timing.DaemonStopping, remaining)
	}
	if req.last.refusedForRoom() {
		return req.last.roomWait.retryAfter
	}
	if req.last.forwardRetryAfter > 0 {
		return req.last.forwardRetryAfter
	}
	if outcome == attempt.HeldBack && req.last.hold != nil {
		return req.last.hold.For // not limited to what callers honour: coming back sooner is in vain
	}
	if refusing := g.coordinator.serviceRefusingFor(req.service); refusing > 0 {
		return timing.RetryAfterRefusal(refusing, remaining)
	}
	return timing.RetryAfter(refusalCause(req, outcome), remaining)
}

// retryAfterLostOrigin returns when the caller of a stream whose origin is not known should
// retry. If the store was restored lately, it may go on once the versions that serve are known. If the
// store has just said that it does not know it either, that is never: without a
// time to wait, the caller soon knows that the stream has ended. Otherwise a daemon that knows
// the origin may be reachable soon.
func (g *Gateway) retryAfterLostOrigin(req *relayedRequest, record recordKnowledge, searchComplete bool) time.Duration {
	if record.listedIn > 0 {
		return timing.RetryAfterRefusal(record.listedIn, time.Until(req.deadline))
	}
	if record.read && searchComplete {
		return 0
	}
	return timing.RetryAfter(timing.NoTargetReachable, time.Until(req.deadline))
}

// refusalCause returns why a request could not be served, which determines when the
// caller should retry.
func refusalCause(req *relayedRequest, outcome attempt.Outcome) timing.Cause {
	if outcome == attempt.Refused || req.last.reason == reasonAtLimit || req.last.reason == reasonCold {
		return timing.TargetFull
	}
	return timing.NoTargetReachable
}

// recordResult logs and counts a request that has ended.
func (g *Gateway) recordResult(req *relayedRequest, result string) {
	var firstByte time.Duration
	if !req.firstByteAt.IsZero() {
		firstByte = req.firstByteAt.Sub(req.arrived)
	}
	if req.unwritable.Load() || result != "delivered" && req.ended() && req.endReason() == reasonCallerLeft {
		result = reasonCallerLeft
	}
	g.metrics.countRequest(result, firstByte)
	last := req.last
	req.mu.Lock()
	tries, hedged := req.tries, req.hedged
	req.mu.Unlock()
	fields := []any{
		"request", req.call.ID, "result", result, "route", req.route.Name, "service", req.service, "version", req.version,
		"tries", tries, "first_byte_ms", firstByte.Milliseconds(), "total_ms", time.Since(req.arrived).Milliseconds(),
	}
	if last.choice.Target != nil {
		fields = append(fields, "target", last.choice.Target.ID, "load", last.choice.Load, "mean_load", last.choice.MeanLoad, "fetched", last.choice.FetchFrom != nil)
	}
	if last.choice.Target != nil && req.route.Resumable {
		fields = append(fields, "target_version", last.choice.Target.SoftwareVersion, "resumes", req.call.Resumes, "resumes_after_event", req.call.LastEventID)
	}
	fields = append(fields, req.roomFields...)
	if hedged > 0 {
		fields = append(fields, "hedges", hedged)
	}
	if last.coldHome != "" {
		fields = append(fields, "cold_home", last.coldHome)
		g.metrics.countCold("moved")
	}
	if last.via != "" {
		fields = append(fields, "via", last.via)
	}
	if req.forwarded != nil {
		fields = append(fields, "entry", req.forwarded.Entry)
	}
	if last.hold != nil {
		fields = append(fields, "held_part", partName(last.hold.Feature), "held_part_id", truncatedID(last.hold.PartID), "held_request", last.hold.IsRequest, "crashes", last.hold.Crashes)
	}
	if home := last.choice.Home; home != nil && home != last.choice.Target {
		fields = append(fields, "home", home.ID, "home_draining", home.Draining, "home_load", last.choice.HomeLoad)
	}
	if result == "delivered" {
		g.log.Info("request", fields...)
		return
	}
	g.log.Warn("request", append(fields, "reason", last.reason)...)
}
