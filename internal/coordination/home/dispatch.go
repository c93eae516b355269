package home

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// Timeouts of calls to targets.
const (
	// minFirstEventTimeout and maxFirstEventTimeout limit the time that an engine may
	// take to begin a stream's answer, and then to send the first event. Between
	// these limits each of the two times is half of the time left until the deadline,
	// which the request's class sets, so that another engine can still be tried. If the
	// entry daemon lets a silent engine be awaited, the silence is reported after the
	// first of these times, and the engine has until the deadline.
	minFirstEventTimeout = time.Second
	maxFirstEventTimeout = 30 * time.Second
	// wholeAnswerTimeout is how long a target may take for an answer that is not a
	// stream.
	wholeAnswerTimeout = 2 * time.Minute
)

// dispatch sends the call to the engine and passes the answer on to the entry
// daemon.
func (s *Server) dispatch(exchange Exchange, call *peerpb.Call, address string, generation uint64) error {
	ctx, cancel := context.WithCancelCause(exchange.Context())
	defer cancel(nil)
	go s.awaitCancel(ctx, cancel, exchange, address, call)
	silence := reportSilence(exchange, call)
	defer silence.Stop()
	firstEventDue := time.Now().Add(answerTimeout(call))
	answer, refused := s.callWithTimeout(ctx, func() { cancel(nil) }, call, newTargetCall(call, address, generation))
	if isCancelled(ctx) && (refused == nil || !refused.DidNotRun()) {
		if refused == nil && answer.Events != nil {
			answer.Events.Close()
		}
		return sendRefusal(exchange, cancelledRefusal())
	}
	if refused != nil {
		s.markLeavingEngine(call.GetEngine(), refused)
		return sendRefusal(exchange, refused)
	}
	s.forgetPlacement(call)
	if answer.Events == nil {
		return sendWholeAnswer(exchange, call, answer)
	}
	eventTimeout := firstEventTimeout(call)
	if call.GetAwaitSilent() {
		eventTimeout = max(time.Until(firstEventDue), minFirstEventTimeout)
	}
	stream := newStreamRelay(s.targets, exchange, newTargetCall(call, address, generation), call.GetEngine(), answer, eventTimeout)
	stream.silence = silence
	stream.awaitSilent = call.GetAwaitSilent()
	return stream.run(ctx)
}

// reportSilence tells an entry daemon that lets a silent engine be awaited once the engine has sent
// no event of a stream for so long that another attempt may be made, unless the timer is stopped.
func reportSilence(exchange Exchange, call *peerpb.Call) *time.Timer {
	timer := time.AfterFunc(firstEventTimeout(call), func() {
		// If the send fails, the next one returns the error.
		_ = exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Silent{Silent: &peerpb.Silent{}}})
	})
	if !call.GetStream() || !call.GetAwaitSilent() {
		timer.Stop()
	}
	return timer
}

// callWithTimeout makes the call, and cancels it if the target does not begin its
// answer in time.
func (s *Server) callWithTimeout(ctx context.Context, cancel context.CancelFunc, call *peerpb.Call, request targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	timeout := answerTimeout(call)
	var stalled atomic.Bool
	timer := time.AfterFunc(timeout, func() {
		stalled.Store(true)
		cancel()
	})
	defer timer.Stop()
	answer, refused := s.callOrResume(ctx, call, request)
	if refused == nil || refused.DidNotRun() || !stalled.Load() {
		return answer, refused
	}
	if call.GetStream() {
		go s.targets.Cancel(context.WithoutCancel(ctx), request.Address, request.RequestID)
	}
	return nil, refusal.Unknown(refusal.EngineStalled, "engine %s did not answer within %s", call.GetEngine(), timeout)
}

// callOrResume makes the call. If the connection for a stream is lost before the
// answer begins, callOrResume asks the engine up to maxResumes times to resume the
// stream, or to start the stream if the engine has not started it yet.
func (s *Server) callOrResume(ctx context.Context, call *peerpb.Call, request targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	answer, refused := s.targets.Call(ctx, request)
	for range maxResumes {
		if refused == nil || refused.DidNotRun() || !call.GetStream() || ctx.Err() != nil {
			return answer, refused
		}
		if request.Resume == nil {
			request.Resume = &peerpb.Resume{Engine: call.GetEngine()}
		}
		var resumeRefused *refusal.Refusal
		answer, resumeRefused = s.targets.Call(ctx, request)
		if resumeRefused != nil && resumeRefused.DidNotRun() {
			return nil, refused
		}
		refused = resumeRefused
	}
	return answer, refused
}

// answerTimeout returns how long a target may take to begin its answer.
func answerTimeout(call *peerpb.Call) time.Duration {
	switch {
	case !call.GetStream():
		return wholeAnswerTimeout
	case !call.GetAwaitSilent():
		return firstEventTimeout(call)
	case call.GetResume().GetOffset() > 0: // the deadline is that of the first event
		return max(timeLeft(call), maxPause)
	}
	return max(timeLeft(call), minFirstEventTimeout)
}

// timeLeft returns the time that was left until the deadline when the call was sent.
func timeLeft(call *peerpb.Call) time.Duration {
	return time.Duration(call.GetDeadlineMs()) * time.Millisecond
}

// firstEventTimeout returns how long an engine may take to begin a stream's answer,
// and then to send the first event.
func firstEventTimeout(call *peerpb.Call) time.Duration {
	return min(max(timeLeft(call)/2, minFirstEventTimeout), maxFirstEventTimeout)
}

// errCancelled is the cause of a context that ends as the entry daemon cancels a call of which
// the engine is told.
var errCancelled = errors.New("the entry daemon has cancelled the call")

// isCancelled reports whether the engine may have been told to stop its work on the call of a
// context. What it answers from then on may be cut short and look whole.
func isCancelled(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errCancelled) }

// cancelledRefusal returns the refusal that ends the exchange of a cancelled call.
func cancelledRefusal() *refusal.Refusal {
	return refusal.Unknown(refusal.CallerGone, "%v", errCancelled)
}

// awaitCancel cancels the call when the entry daemon says so, as the caller is gone or the
// daemon stops, and then tells a model engine to stop its work. If the exchange is lost without
// such a report, the engine's stream keeps running, so that the entry daemon can
// resume it through another home.
func (s *Server) awaitCancel(ctx context.Context, cancel context.CancelCauseFunc, exchange Exchange, address string, call *peerpb.Call) {
	for {
		message, err := exchange.Recv()
		if err != nil {
			return
		}
		if message.GetCancel() != nil {
			if call.GetPath() != targetapi.PathChat {
				cancel(nil)
				return
			}
			cancel(errCancelled) // before the engine knows: it may answer with what it has
			s.targets.Cancel(context.WithoutCancel(ctx), address, call.GetRequestId())
			return
		}
	}
}
