package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/timing"
	"hemlockknot/internal/protocol/events"
	"hemlockknot/platform"
)

var (
	// errOutOfOrder says that a stream does not go on after the event that the caller has
	// received last: its run began elsewhere, or is none of this request.
	errOutOfOrder = errors.New("ids of events do not increase")
	// errNoEvents says that a stream has ended without an event, and does not show that there
	// is none: a target that stopped after its head may have closed its answer in good order.
	errNoEvents = errors.New("stream without an event")
)

// maxHeldComments is how many bytes of comments may be held until an event follows.
const maxHeldComments = 64 << 10

// heldStream is a stream of a target that has begun.
type heldStream struct {
	reader    *events.Reader
	buffers   *bufferReservation // of a long event
	pending   []events.Event     // have been read and not been forwarded
	held      int                // bytes of comments that are held until an event follows
	ended     bool               // the stream is whole with them
	begun     bool               // has brought an event
	hedgeable bool               // another attempt may be made if the target is silent
	gaps      gapMeter           // of its events
	// recordEvent and untrack record an event, and the end of the stream, for the silence of
	// failure domains and services.
	recordEvent, untrack func()
}

// holdStream reads the beginning of a stream: of a hedge an event, since a target that is about to
// fail may still send comments, of another attempt whatever comes first.
func (g *Gateway) holdStream(a *targetAttempt) (outcome attempt.Outcome, begun bool) {
	response := a.answer.response
	buffers := g.buffers.newReservation()
	stream := &heldStream{reader: events.NewReader(response, buffers.reserve), buffers: buffers, hedgeable: a.retryAllowed(), recordEvent: func() {}, untrack: func() {}}
	a.answer.stream = stream
	if a.via == "" {
		tracked := g.streams.add(a.choice.Target, a.silence.ifAllowed(stream.hedgeable))
		stream.recordEvent = func() { g.streams.recordEvent(tracked) }
		stream.untrack = func() { g.streams.remove(tracked) }
	}
	response.SetReadTimeout(g.responseTimeout(a.callerRequest))
	for comments := 0; ; {
		event, err := g.readEvent(a)
		if errors.Is(err, io.EOF) {
			stream.ended = true
			return attempt.Answered, true
		}
		if comments += len(event.Bytes); err == nil && event.ID == 0 && comments > maxHeldComments {
			err = errNoEvents
		}
		if err != nil {
			return g.handleStreamError(a, err), false
		}
		if a.backs == nil {
			stream.pending = append(stream.pending, event)
			return attempt.Answered, true
		}
		event.Bytes = bytes.Clone(event.Bytes)
		stream.pending = append(stream.pending, event)
		if event.ID != 0 {
			return attempt.Answered, true
		}
	}
}

// readEvent waits for the next event of a stream. While it waits, the request may be hedged.
func (g *Gateway) readEvent(a *targetAttempt) (events.Event, error) {
	response, stream := a.answer.response, a.answer.stream
	if stream.hedgeable {
		a.silence.restart(timing.ForSlowness(timing.PauseTimeout(a.route), a.choice.Slowness))
	}
	stream.gaps.beginWait(a.reportsWorkTime && a.via == "" && stream.begun)
	event, err := nextEvent(stream.reader, a.position.lastEventID, stream.begun || response.Framed && a.position.lastEventID > 0)
	a.silence.pause() // from here on the caller may be slow, not the target
	g.recordGap(a, event.ID != 0, err)
	if err != nil {
		return event, err
	}
	stream.recordEvent()
	if event.ID != 0 && !stream.begun {
		stream.begun = true
		g.recordAnswer(a)
	}
	return event, nil
}

// relayStream forwards the events of a stream as they arrive, but only complete ones. Their
// ids increase from the event after which the stream was asked for.
func (g *Gateway) relayStream(a *targetAttempt) attempt.Outcome {
	stream := a.answer.stream
	for {
		if !a.holdsComments() {
			if outcome, forwarded := g.forwardPending(a); !forwarded {
				return outcome
			}
		}
		if stream.ended {
			return g.finishStream(a)
		}
		event, err := g.readEvent(a)
		switch {
		case errors.Is(err, io.EOF):
			stream.ended = true
		case err != nil:
			flush(a.relayedRequest) // the caller gets all received events, even if no more follow
			return g.handleStreamError(a, err)
		default:
			stream.pending = append(stream.pending, event)
		}
	}
}

// forwardPending forwards the events that have been read, and reports whether the caller has them.
func (g *Gateway) forwardPending(a *targetAttempt) (outcome attempt.Outcome, forwarded bool) {
	stream := a.answer.stream
	for i, event := range stream.pending {
		if !a.claim() {
			return g.discard(a), false
		}
		if a.firstByteAt.IsZero() {
			g.recordOrigin(a)
		}
		if !g.forwardEvent(a, event, i+1 < len(stream.pending) || stream.reader.HasNext()) {
			a.unwritable.Store(true)
			g.recordOutcome(a, outlier.Served, false)
			return attempt.Interrupted, false
		}
	}
	stream.pending, stream.held = stream.pending[:0], 0
	return 0, true
}

// holdsComments reports whether what is pending is held until an event follows: comments are no
// answer, for which other attempts in progress would be ended.
func (a *targetAttempt) holdsComments() bool {
	stream := a.answer.stream
	if stream.ended || len(stream.pending) == 0 {
		return false
	}
	last := &stream.pending[len(stream.pending)-1]
	if last.ID != 0 || stream.held > maxHeldComments || !a.othersInProgress() {
		return false
	}
	last.Bytes = bytes.Clone(last.Bytes)
	stream.held += len(last.Bytes)
	return true
}

// nextEvent returns the next event of a stream that goes on after an event, or comments. At the
// end of a whole stream it returns io.EOF. MayEnd reports whether the stream may end here: it has
// had an event, or its framing shows that a target that was asked for the events after one has none.
func nextEvent(reader *events.Reader, after int64, mayEnd bool) (events.Event, error) {
	event, err := reader.Next()
	switch {
	case errors.Is(err, io.EOF) && !mayEnd:
		return event, errNoEvents
	case err == nil && event.ID != 0 && event.ID <= after:
		return event, fmt.Errorf("%w: %d after %d", errOutOfOrder, event.ID, after)
	}
	return event, err
}

// forwardEvent sends one event to the caller, after the response headers if it is the
// first one. It flushes unless the next event is there already, and reports whether the caller
// could be written to.
func (g *Gateway) forwardEvent(a *targetAttempt, event events.Event, hasNext bool) bool {
	g.startResponse(a)
	if _, err := a.w.Write(event.Bytes); err != nil {
		return false
	}
	a.position.lastEventID = max(a.position.lastEventID, event.ID)
	if hasNext {
		return true
	}
	return flush(a.relayedRequest)
}

// flush sends the buffered part of a response that has begun to the caller, and reports
// whether the caller could be written to. It returns true if no response has begun.
func flush(req *relayedRequest) bool {
	return req.firstByteAt.IsZero() || http.NewResponseController(req.w).Flush() == nil
}

// startResponse sends the response headers of a stream unless they have been sent. A
// stream that is resumed at another target keeps the headers of its first target.
func (g *Gateway) startResponse(a *targetAttempt) {
	if !a.firstByteAt.IsZero() {
		return
	}
	response := a.answer.response
	a.firstByteAt = time.Now()
	limitDelivery(a.callerRequest)
	copyHeader(a.w.Header(), platform.ForwardedResponseHeader(response.Header))
	a.describeForwarded(a.w.Header())
	a.w.WriteHeader(response.Status)
	a.position.begun = true
	a.recordAnswerStarted()
}

// finishStream records a stream that the target has completed. If the caller has all events
// already, finishStream sends the response headers.
func (g *Gateway) finishStream(a *targetAttempt) attempt.Outcome {
	if !a.claim() {
		return g.discard(a)
	}
	g.startResponse(a)
	g.recordOutcome(a, outlier.Served, true)
	return attempt.Answered
}

// handleStreamError records a stream that failed before its end.
func (g *Gateway) handleStreamError(a *targetAttempt, err error) attempt.Outcome {
	a.reason = "stream_broken"
	begun := a.answer.stream.begun
	a.answer.stream.reader = nil                 // may hold a part of a long event
	noSpace := errors.Is(err, events.ErrNoSpace) // which other streams may have used up
	if !noSpace && a.showsFault() {
		g.checkForCrash(a, progressOf(begun), isTimeout(err))
	}
	g.recordOutcome(a, outlier.ConnectionLost, !noSpace && a.conclusive(isTimeout(err)))
	if !a.ended() {
		g.log.Info("stream interrupted", "request", a.call.ID, "target", a.targetID(), "target_version", a.choice.Target.SoftwareVersion, "after_event", a.position.lastEventID, "attempt_begun", begun, "superseded", a.wasSuperseded(), "error", err, "digest", digestName(a.digest), "shared_parts", loggedParts(a.call.Parts))
	}
	if !a.position.begun {
		return attempt.NoAnswer
	}
	return attempt.Interrupted
}
