package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/pacing"
	"hemlockknot/internal/protocol/events"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/platform"
)

// stream passes events on as they come, whole ones only.
func (g *Gateway) stream(t *journey, answer *exchange.Answer) attempt.Event {
	reader := events.NewReader(answer)
	giveUp := func() { answer.Within(0) }
	impatient := newImpatience(func() bool { return g.grant(t) }, giveUp)
	defer impatient.stop()
	replaceable := t.state.AnotherAfterThis()
	flowing := g.flows.begin(t.choice.Target, giveUp, replaceable)
	defer g.flows.end(flowing)
	answer.Within(g.left(t))
	for {
		if replaceable {
			impatient.wait(pacing.Pause(t.route))
		}
		event, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return g.streamEnded(t, answer)
		}
		if err != nil {
			flush(t) // what has come is the caller's, also if nothing follows
			return g.streamBroken(t, err)
		}
		g.flows.event(flowing)
		if event.ID != 0 && event.ID <= t.lastEvent {
			continue // the caller has it
		}
		if !g.pass(t, answer, event, reader.Buffered()) {
			g.note(t, outlier.Served, false)
			return attempt.Answered
		}
	}
}

// pass sends one event to the caller; the first one sends the headers before it.
func (g *Gateway) pass(t *journey, answer *exchange.Answer, event events.Event, more bool) bool {
	g.begin(t, answer)
	if _, err := t.w.Write(event.Bytes); err != nil {
		return false
	}
	t.lastEvent = max(t.lastEvent, event.ID)
	if more {
		return true
	}
	return flush(t)
}

// flush sends what has been written of an answer that has begun.
func flush(t *journey) bool {
	return t.firstByte.IsZero() || http.NewResponseController(t.w).Flush() == nil
}

// begin sends the headers of a stream. They are those of its first target.
func (g *Gateway) begin(t *journey, answer *exchange.Answer) {
	if !t.firstByte.IsZero() {
		return
	}
	t.firstByte = time.Now()
	copyHeader(t.w.Header(), platform.AnswerHeader(answer.Header))
	t.w.WriteHeader(answer.Status)
	t.state.Began()
}

func (g *Gateway) streamEnded(t *journey, answer *exchange.Answer) attempt.Event {
	g.begin(t, answer)
	g.note(t, outlier.Served, true)
	return attempt.Answered
}

func (g *Gateway) streamBroken(t *journey, err error) attempt.Event {
	left := t.r.Context().Err() != nil
	t.reason = "stream_broken"
	g.note(t, outlier.Broken, !left)
	if !left {
		g.log.Info("stream broke off", "request", t.call.ID, "target", t.choice.Target.ID, "after_event", t.lastEvent, "error", err)
	}
	if t.firstByte.IsZero() {
		return attempt.Lost
	}
	return attempt.Interrupted
}
