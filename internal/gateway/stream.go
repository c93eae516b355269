package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/timing"
	"hemlockknot/internal/protocol/events"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/platform"
)

// relayStream forwards the events of a stream as they arrive, but only complete ones.
func (g *Gateway) relayStream(req *relayedRequest, response *exchange.Answer) attempt.Outcome {
	reader := events.NewReader(response)
	cancel := func() { response.SetReadTimeout(0) }
	silence := newSilenceTimer(func() bool { return g.mayRetryElsewhere(req) }, cancel)
	defer silence.stop()
	retryable := req.state.RetryAllowed()
	var stream *trackedStream
	if req.via == "" {
		stream = g.streams.add(req.choice.Target, silence.ifAllowed(retryable))
		defer g.streams.remove(stream)
	}
	response.SetReadTimeout(g.responseTimeout(req))
	for first := true; ; first = false {
		if retryable {
			silence.restart(timing.PauseTimeout(req.route))
		}
		event, err := reader.Next()
		silence.pause() // from here on the caller may be slow, not the target
		if errors.Is(err, io.EOF) {
			return g.finishStream(req, response)
		}
		if err != nil {
			flush(req) // the caller gets all received events, even if no more follow
			return g.handleStreamError(req, !first, err)
		}
		if stream != nil {
			g.streams.recordEvent(stream)
		}
		if first {
			g.recordAnswer(req)
		}
		if event.ID != 0 && event.ID <= req.lastEventID {
			continue // the caller has received this event already
		}
		if req.firstByteAt.IsZero() {
			g.recordOrigin(req)
		}
		if !g.forwardEvent(req, response, event, reader.Buffered()) {
			g.recordOutcome(req, outlier.Served, false)
			return attempt.Answered
		}
	}
}

// forwardEvent sends one event to the caller, after the response headers if it is the
// first one. It flushes only if no more events are buffered, and reports whether the
// caller could be written to.
func (g *Gateway) forwardEvent(req *relayedRequest, response *exchange.Answer, event events.Event, moreBuffered bool) bool {
	g.startResponse(req, response)
	if _, err := req.w.Write(event.Bytes); err != nil {
		return false
	}
	req.lastEventID = max(req.lastEventID, event.ID)
	if moreBuffered {
		return true
	}
	return flush(req)
}

// flush sends the buffered part of a response that has begun to the caller, and reports
// whether the caller could be written to. It returns true if no response has begun.
func flush(req *relayedRequest) bool {
	return req.firstByteAt.IsZero() || http.NewResponseController(req.w).Flush() == nil
}

// startResponse sends the response headers of a stream unless they have been sent. A
// stream that is resumed at another target keeps the headers of its first target.
func (g *Gateway) startResponse(req *relayedRequest, response *exchange.Answer) {
	if !req.firstByteAt.IsZero() {
		return
	}
	req.firstByteAt = time.Now()
	copyHeader(req.w.Header(), platform.ForwardedResponseHeader(response.Header))
	req.describeForwarded(req.w.Header())
	req.w.WriteHeader(response.Status)
	req.state.RecordAnswerStarted()
}

// finishStream records a stream that the target has completed. If no event has been
// forwarded, finishStream sends the response headers.
func (g *Gateway) finishStream(req *relayedRequest, response *exchange.Answer) attempt.Outcome {
	g.startResponse(req, response)
	g.recordOutcome(req, outlier.Served, true)
	return attempt.Answered
}

// handleStreamError records a stream that failed before its end. Begun reports whether
// this attempt has brought an event.
func (g *Gateway) handleStreamError(req *relayedRequest, begun bool, err error) attempt.Outcome {
	callerLeft := req.r.Context().Err() != nil
	req.reason = "stream_broken"
	if !callerLeft {
		g.checkForCrash(req, progressOf(begun), isTimeout(err))
	}
	g.recordOutcome(req, outlier.ConnectionLost, !callerLeft)
	if !callerLeft {
		g.log.Info("stream interrupted", "request", req.call.ID, "target", req.choice.Target.ID, "target_version", req.choice.Target.SoftwareVersion, "after_event", req.lastEventID, "attempt_begun", begun, "error", err, "digest", digestName(req.digest), "shared_parts", loggedParts(req.call.Parts))
	}
	if req.firstByteAt.IsZero() {
		return attempt.NoAnswer
	}
	return attempt.Interrupted
}
