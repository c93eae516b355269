package entry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// attempt is one try of a request at one home daemon.
type attempt struct {
	path    *route.Route
	home    string
	call    *peerpb.Call
	sink    Sink
	load    *peerpb.DaemonLoad  // the home's counts, if it was busy
	gone    error               // why the caller is gone, if it is
	started func(engine string) // told where the answer has started
	// mayStart is asked before a start is permitted, unless it is nil.
	mayStart func() error
	// asked is set by the home's question, or by its not coming in time.
	asked atomic.Bool
}

// run makes the try and reports whether the answer is complete. The exchange
// outlives the caller's context, so that a cancellation can be told to the home.
func (a *attempt) run(ctx context.Context, opener Opener, home *peerpb.Member, down <-chan struct{}) bool {
	exchangeCtx, abort := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abort(nil)
	callerCtx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	if a.call.GetAskStart() {
		a.path.Held()
	} else {
		a.path.Sent()
	}
	exchange, err := opener.Open(exchangeCtx, home)
	if err != nil {
		a.path.Held()
		a.path.HomeFailed(a.home, fmt.Errorf("open exchange: %w", err))
		return false
	}
	defer func() { _ = exchange.Close() }()
	finished := make(chan struct{})
	defer close(finished)
	go watch(callerCtx, exchange, down, finished, abort)
	if a.call.GetAskStart() {
		defer a.expectQuestion(abort).Stop()
	}
	if err := exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Call{Call: a.call}}); err != nil {
		a.path.HomeFailed(a.home, fmt.Errorf("send call: %w", err))
		return false
	}
	return a.receive(callerCtx, exchangeCtx, exchange, giveUp)
}

// minQuestionWait is the least time that the entry waits for the home's question.
// It waits half of the time that is left, so that another home can be asked.
const minQuestionWait = time.Second

// errNoQuestion says that the home has not asked for permission in time.
var errNoQuestion = errors.New("the home daemon did not ask for permission in time")

// expectQuestion ends a try whose home neither asks for the permission that it
// needs nor refuses, as when its link is cut in one direction. Nothing has run.
func (a *attempt) expectQuestion(abort context.CancelCauseFunc) *time.Timer {
	left := time.Duration(a.call.GetDeadlineMs()) * time.Millisecond
	wait := max(left/2, minQuestionWait)
	return time.AfterFunc(wait, func() {
		if a.asked.CompareAndSwap(false, true) {
			abort(errNoQuestion)
		}
	})
}

// receive passes the home's messages on until the final one. Once the caller is
// gone it waits only for the home to confirm the cancellation.
func (a *attempt) receive(callerCtx, exchangeCtx context.Context, exchange Exchange, giveUp context.CancelCauseFunc) bool {
	for {
		message, err := exchange.Recv()
		if err != nil {
			if cause := context.Cause(exchangeCtx); cause != nil {
				err = cause
			}
			a.lost(fmt.Errorf("receive answer: %w", err))
			return false
		}
		final, err := a.handle(callerCtx, exchange, message)
		if err != nil {
			a.gone = err
			giveUp(err)
		}
		if final {
			return message.GetEnd() != nil
		}
	}
}

// lost notes that the exchange broke off.
func (a *attempt) lost(err error) {
	if a.gone != nil {
		a.path.Refused(a.home, refusal.Unknown(refusal.CallerGone, "pass answer to caller: %v", a.gone))
		return
	}
	a.path.HomeFailed(a.home, err)
}

// handle takes one message of the home; final says that it was the last. An
// error means that the caller is gone.
func (a *attempt) handle(ctx context.Context, exchange Exchange, message *peerpb.ForwardDown) (final bool, err error) {
	if a.gone != nil {
		return a.drain(message), nil
	}
	switch body := message.GetBody().(type) {
	case *peerpb.ForwardDown_Refusal:
		a.load = body.Refusal.GetLoad()
		a.path.Refused(a.home, refusal.FromMessage(body.Refusal))
		return true, nil
	case *peerpb.ForwardDown_AskStart:
		return false, a.permit(ctx, exchange)
	case *peerpb.ForwardDown_Started:
		a.path.Started()
		a.sink.Started(body.Started.GetEngine())
		a.started(body.Started.GetEngine())
	case *peerpb.ForwardDown_Head:
		return false, a.sink.Head(int(body.Head.GetStatus()), body.Head.GetHeaders())
	case *peerpb.ForwardDown_Data:
		return false, a.pass(body.Data)
	case *peerpb.ForwardDown_End:
		a.path.Served(a.home)
		return true, nil
	}
	return false, nil
}

// drain drops a message that nobody waits for, and reports whether it was the
// last.
func (a *attempt) drain(message *peerpb.ForwardDown) bool {
	if message.GetRefusal() == nil && message.GetEnd() == nil {
		return false
	}
	a.lost(a.gone)
	return true
}

// permit lets the home dispatch the call, unless the caller is gone. From here
// on the call may run.
func (a *attempt) permit(ctx context.Context, exchange Exchange) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !a.asked.CompareAndSwap(false, true) {
		return nil // too late: the try is being ended
	}
	granted := a.mayStart == nil || a.mayStart() == nil
	if granted {
		a.path.Sent()
	}
	permission := &peerpb.StartPermission{Granted: granted}
	// A failed send shows at the next receive.
	_ = exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Permission{Permission: permission}})
	return nil
}

// pass hands events and body bytes to the caller, each event once.
func (a *attempt) pass(data *peerpb.Data) error {
	for _, event := range data.GetEvents() {
		if event.GetOffset() <= a.path.Offset() {
			continue
		}
		if err := a.sink.Event(event); err != nil {
			return err
		}
		a.path.Progress(event.GetOffset())
	}
	if len(data.GetBody()) > 0 {
		return a.sink.Body(data.GetBody())
	}
	return nil
}
