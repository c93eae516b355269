package home

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// Limits of calls to targets.
const (
	// An engine may take half of the time that the request's class leaves for a
	// stream's first event, so that another engine can still be tried, within
	// these limits.
	minFirstEvent = time.Second
	maxFirstEvent = 30 * time.Second
	// wholeAnswerLimit is how long a target may take for an answer that is no
	// stream.
	wholeAnswerLimit = 2 * time.Minute
)

// dispatch sends the call to the engine and streams the answer back.
func (s *Server) dispatch(link Link, call *peerpb.Call, address string, generation uint64) error {
	ctx, cancel := context.WithCancel(link.Context())
	defer cancel()
	go s.watchCancel(ctx, cancel, link, address, call)
	answer, refused := s.callTarget(ctx, cancel, call, targetCall(call, address, generation))
	if refused != nil {
		s.noteRefusal(call.GetEngine(), refused)
		return refuse(link, refused)
	}
	s.noteServed(call)
	if answer.Events == nil {
		return relayBody(link, call, answer)
	}
	relay := newRelay(s.targets, link, targetCall(call, address, generation), call.GetEngine(), answer, patience(call))
	return relay.run(ctx)
}

// callTarget makes the call and gives up on a target that does not answer in
// time.
func (s *Server) callTarget(ctx context.Context, cancel context.CancelFunc, call *peerpb.Call, request targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	limit := answerLimit(call)
	var stalled atomic.Bool
	timer := time.AfterFunc(limit, func() {
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
	return nil, refusal.Unknown(refusal.EngineStalled, "engine %s did not answer within %s", call.GetEngine(), limit)
}

// callOrResume makes the call. When the connection for a stream breaks off before
// the answer begins, the stream is resumed from where it was, or started if the
// engine has not started it.
func (s *Server) callOrResume(ctx context.Context, call *peerpb.Call, request targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	answer, refused := s.targets.Call(ctx, request)
	for range maxResumes {
		if refused == nil || refused.DidNotRun() || !call.GetStream() || ctx.Err() != nil {
			return answer, refused
		}
		if request.Resume == nil {
			request.Resume = &peerpb.Resume{Engine: call.GetEngine()}
		}
		var again *refusal.Refusal
		answer, again = s.targets.Call(ctx, request)
		if again != nil && again.DidNotRun() {
			return nil, refused
		}
		refused = again
	}
	return answer, refused
}

// answerLimit returns how long a target may take to begin its answer.
func answerLimit(call *peerpb.Call) time.Duration {
	if call.GetStream() {
		return patience(call)
	}
	return wholeAnswerLimit
}

// patience returns how long an engine may take for a stream's first event.
func patience(call *peerpb.Call) time.Duration {
	left := time.Duration(call.GetDeadlineMs()) * time.Millisecond
	return min(max(left/2, minFirstEvent), maxFirstEvent)
}

// watchCancel cancels a model engine's work when the entry says that the caller is
// gone. When the link is merely lost the engine's stream is left to run, so that
// the entry can resume it through another home.
func (s *Server) watchCancel(ctx context.Context, cancel context.CancelFunc, link Link, address string, call *peerpb.Call) {
	for {
		message, err := link.Recv()
		if err != nil {
			return
		}
		if message.GetCancel() != nil {
			if call.GetPath() == targetapi.PathChat {
				s.targets.Cancel(context.WithoutCancel(ctx), address, call.GetRequestId())
			}
			cancel()
			return
		}
	}
}
