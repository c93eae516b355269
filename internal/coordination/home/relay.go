package home

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// Limits of one stream.
const (
	// maxResumes limits how often the home daemon resumes a stream at its engine.
	// Resumptions before the answer begins are counted separately from later ones.
	maxResumes = 3
	// nextEventTimeout is how long an engine may pause between events. If the entry daemon
	// lets a silent engine be awaited, the stream is then resumed on another connection
	// beside the silent one, and may pause for maxPause.
	nextEventTimeout = 15 * time.Second
	maxPause         = 2 * time.Minute
)

// streamRelay passes one stream's events on from the engine to the entry daemon, and
// resumes the stream at the engine when the connection to the engine is lost.
type streamRelay struct {
	targets      targetapi.Client
	exchange     Exchange
	call         targetapi.Call
	engine       string
	answer       *targetapi.Answer
	offset       uint64 // of the last event passed on
	resumes      int
	eventTimeout time.Duration // for the next event
	awaitSilent  bool          // a begun stream may pause for maxPause
	silence      *time.Timer   // reports that there is no first event; nil once there is one
}

func newStreamRelay(targets targetapi.Client, exchange Exchange, call targetapi.Call, engine string, answer *targetapi.Answer, eventTimeout time.Duration) *streamRelay {
	return &streamRelay{
		targets:      targets,
		exchange:     exchange,
		call:         call,
		engine:       engine,
		answer:       answer,
		offset:       call.Resume.GetOffset(),
		eventTimeout: eventTimeout,
	}
}

// run passes events on up to the last one. A stream that ends without its terminal
// event is never reported as complete.
func (r *streamRelay) run(ctx context.Context) error {
	defer func() { r.answer.Events.Close() }()
	if err := sendStarted(r.exchange, r.engine, r.answer); err != nil {
		return fmt.Errorf("send start of answer to request %s: %w", r.call.RequestID, err)
	}
	for {
		event, err := r.nextEvent(ctx)
		if isCancelled(ctx) {
			return sendRefusal(r.exchange, cancelledRefusal())
		}
		if errors.Is(err, io.EOF) {
			return sendEnd(r.exchange)
		}
		if errors.Is(err, errStalled) {
			return sendRefusal(r.exchange, r.cancelStalled(ctx))
		}
		if err != nil {
			if refused := r.resume(ctx, err); refused != nil {
				return sendRefusal(r.exchange, refused)
			}
			continue
		}
		if err := r.sendEvent(event); err != nil {
			return fmt.Errorf("send events of request %s to entry daemon: %w", r.call.RequestID, err)
		}
	}
}

// errStalled means that the engine did not send an event in time.
var errStalled = errors.New("the engine did not send an event in time")

// nextEvent returns the next event. If the event does not arrive in time, nextEvent
// aborts the stream and returns errStalled.
func (r *streamRelay) nextEvent(ctx context.Context) (*peerpb.Event, error) {
	if r.awaitSilent && r.offset > 0 {
		return r.nextEventAfterPause(ctx)
	}
	events := r.answer.Events
	var stalled atomic.Bool
	timer := time.AfterFunc(r.eventTimeout, func() {
		stalled.Store(true)
		events.Abort()
	})
	defer timer.Stop()
	event, err := events.Next()
	if err != nil && stalled.Load() {
		return nil, errStalled
	}
	r.eventTimeout = nextEventTimeout
	return event, err
}

// cancelStalled cancels the call at an engine that did not send an event in time,
// and returns the refusal that ends the exchange.
func (r *streamRelay) cancelStalled(ctx context.Context) *refusal.Refusal {
	go r.targets.Cancel(context.WithoutCancel(ctx), r.call.Address, r.call.RequestID)
	return refusal.Unknown(refusal.EngineStalled, "engine %s sent no event for %s after event %d", r.engine, r.eventTimeout, r.offset)
}

// sendEvent passes one event on to the entry daemon.
func (r *streamRelay) sendEvent(event *peerpb.Event) error {
	if r.silence != nil {
		r.silence.Stop()
		r.silence = nil
	}
	r.offset = event.GetOffset()
	data := &peerpb.Data{Events: []*peerpb.Event{event}}
	return r.exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Data{Data: data}})
}

// resume resumes the stream at the engine after the last event passed on. If this
// fails, it returns the refusal that ends the exchange.
func (r *streamRelay) resume(ctx context.Context, cause error) *refusal.Refusal {
	if ctx.Err() != nil || r.resumes >= maxResumes {
		return refusal.Unknown(refusal.AnswerIncomplete, "read stream of engine %s: %v", r.engine, cause)
	}
	r.resumes++
	r.answer.Events.Close()
	r.call.Resume = &peerpb.Resume{Engine: r.engine, Offset: r.offset}
	answer, refused := r.targets.Call(ctx, r.call)
	if refused != nil {
		return refusal.Unknown(refusal.AnswerIncomplete, "resume stream of engine %s: %s", r.engine, refused.Detail)
	}
	if answer.Events == nil {
		return refusal.Unknown(refusal.AnswerIncomplete, "resume stream of engine %s: status %d", r.engine, answer.Status)
	}
	r.answer = answer
	return nil
}
