package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// attempt forwards a request once, to one home daemon, and passes the answer on.
type attempt struct {
	routing   *route.Route
	homeName  string
	call      *peerpb.Call
	sink      Sink
	homeLoad  *peerpb.DaemonLoad  // the home's in-flight counts, if it refused the call as busy
	callerErr error               // why the answer cannot reach the caller any more, or nil
	onStarted func(engine string) // called with the engine whose answer goes to the caller
	// onSilent is called when the home says that the engine is silent. Nil: it does not matter.
	onSilent func()
	// claim reports whether an answer, or one that is an error, goes to the caller and not that of
	// another attempt. Nil: there is no other attempt.
	claim func(isError bool) bool
	// What is passed on once the answer is claimed: that an engine is about to answer is no answer yet.
	claimed       bool
	startedEngine string
	head          *peerpb.Head
	errorBody     []byte
	// mayStart is called before the home is permitted to start the call. An error
	// denies the start; a nil function permits it.
	mayStart func() error
	// startDecided is set when the home asks for permission to start the call, or
	// when the wait for this request times out, whichever comes first.
	startDecided atomic.Bool
	startTimer   *time.Timer // ends the wait for that request; nil if the home need not ask
	// lastMessage is when the last message of the home came, or when the exchange began.
	lastMessage atomic.Pointer[time.Time]
}

// run makes the attempt and reports whether the answer is complete. The context
// of the exchange outlives the caller's, so that the entry daemon can still ask the
// home to cancel the call.
func (a *attempt) run(ctx context.Context, opener Opener, home *peerpb.Member, watchHome homeWatch) bool {
	exchangeCtx, abortExchange := context.WithCancelCause(context.WithoutCancel(ctx))
	defer abortExchange(nil)
	callerCtx, cancelCaller := context.WithCancelCause(ctx)
	defer cancelCaller(nil)
	if a.call.GetAskStart() {
		a.routing.MarkNotRun()
	} else {
		a.routing.MarkMayHaveRun()
	}
	exchange, err := opener.Open(exchangeCtx, home)
	if err != nil {
		a.routing.MarkNotRun()
		a.routing.RecordHomeFailure(a.homeName, fmt.Errorf("open exchange: %w", err))
		return false
	}
	defer func() { _ = exchange.Close() }()
	finished := make(chan struct{})
	defer close(finished)
	a.recordMessage()
	go a.watchExchange(callerCtx, exchange, watchHome, finished, abortExchange)
	if a.call.GetAskStart() {
		a.startTimer = a.expectStartRequest(abortExchange)
		defer a.startTimer.Stop()
	}
	if err := exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Call{Call: a.call}}); err != nil {
		a.routing.RecordHomeFailure(a.homeName, fmt.Errorf("send call: %w", err))
		return false
	}
	return a.receiveAnswer(callerCtx, exchangeCtx, exchange, cancelCaller)
}

// minStartRequestWait is the minimum time to wait for the home to ask for
// permission to start the call. The entry daemon waits for half of the time left
// until the deadline, so that another home can still be tried. If the home says that the
// call is queued, the entry daemon waits until this time after the deadline, at which the
// home refuses the call: at another home the call would be the last in the queue.
const minStartRequestWait = time.Second

// errNoStartRequest means that the home did not ask for permission in time.
var errNoStartRequest = errors.New("the home daemon did not ask for permission in time")

// expectStartRequest starts a timer that ends the attempt if the home neither asks
// for permission to start the call nor refuses it, as happens when the network
// fails in one direction. The call has not run, as it lacks the permission.
func (a *attempt) expectStartRequest(abortExchange context.CancelCauseFunc) *time.Timer {
	wait := max(a.timeLeft()/2, minStartRequestWait)
	return time.AfterFunc(wait, func() {
		if a.startDecided.CompareAndSwap(false, true) {
			abortExchange(errNoStartRequest)
		}
	})
}

// timeLeft returns how long the home had to start the call when the attempt began.
func (a *attempt) timeLeft() time.Duration {
	return time.Duration(a.call.GetDeadlineMs()) * time.Millisecond
}

// receiveAnswer handles the home's messages up to the final one, and reports
// whether the answer is complete. Once the caller is gone, it only waits for the
// home to confirm the cancellation.
func (a *attempt) receiveAnswer(callerCtx, exchangeCtx context.Context, exchange Exchange, cancelCaller context.CancelCauseFunc) bool {
	for {
		message, err := exchange.Recv()
		if err != nil {
			if cause := context.Cause(exchangeCtx); cause != nil {
				err = cause
			}
			a.recordExchangeError(fmt.Errorf("receive answer: %w", err))
			return false
		}
		a.recordMessage()
		final, err := a.handleMessage(callerCtx, exchange, message)
		if err != nil {
			a.callerErr = err
			cancelCaller(err)
		}
		if final {
			return message.GetEnd() != nil && a.callerErr == nil
		}
	}
}

// recordExchangeError records that the exchange ended without a complete answer. If
// the caller is not gone, the home counts as failed.
func (a *attempt) recordExchangeError(err error) {
	if errors.Is(a.callerErr, errSuperseded) {
		a.routing.RecordRefusal(a.homeName, refusal.Unknown(refusal.Superseded, "%v", a.callerErr))
		return
	}
	if a.callerErr != nil {
		a.routing.RecordRefusal(a.homeName, refusal.Unknown(refusal.CallerGone, "pass answer to caller: %v", a.callerErr))
		return
	}
	a.routing.RecordHomeFailure(a.homeName, err)
}

// handleMessage handles one message of the home. It reports whether the message is
// the final one of the exchange. An error means that the caller is gone.
func (a *attempt) handleMessage(ctx context.Context, exchange Exchange, message *peerpb.ForwardDown) (final bool, err error) {
	if a.callerErr == nil && a.mayBeCutShort(ctx, message) {
		a.callerErr = context.Cause(ctx)
	}
	if a.callerErr != nil {
		return a.discardMessage(message), nil
	}
	switch body := message.GetBody().(type) {
	case nil: // the call is queued
		if a.startTimer != nil && !a.startDecided.Load() {
			a.startTimer.Reset(a.timeLeft() + minStartRequestWait)
		}
	case *peerpb.ForwardDown_Refusal:
		a.homeLoad = body.Refusal.GetLoad()
		a.routing.RecordRefusal(a.homeName, refusal.FromProto(body.Refusal))
		return true, nil
	case *peerpb.ForwardDown_AskStart:
		return false, a.answerStartRequest(ctx, exchange)
	case *peerpb.ForwardDown_Started:
		a.routing.MarkStarted()
		a.startedEngine = body.Started.GetEngine()
	case *peerpb.ForwardDown_Head:
		a.head = body.Head
	case *peerpb.ForwardDown_Silent:
		if a.onSilent != nil && !a.claimed {
			a.onSilent()
		}
	case *peerpb.ForwardDown_Data:
		return false, a.deliverData(body.Data)
	case *peerpb.ForwardDown_End:
		if err := a.deliverError(); err != nil {
			a.callerErr = err
			a.recordExchangeError(err)
			return true, err
		}
		a.routing.RecordSuccess(a.homeName)
		return true, nil
	}
	return false, nil
}

// mayBeCutShort reports whether a message may bring an answer that its engine has cut short,
// told by the home that the call is cancelled: such an answer may look whole. The caller may
// still read it, as the context ends also when this daemon stops.
func (a *attempt) mayBeCutShort(ctx context.Context, message *peerpb.ForwardDown) bool {
	return ctx.Err() != nil && a.call.GetPath() == targetapi.PathChat && message.GetRefusal() == nil
}

// discardMessage drops a message for a caller that is gone, and reports whether it
// is the final one of the exchange.
func (a *attempt) discardMessage(message *peerpb.ForwardDown) bool {
	if message.GetRefusal() == nil && message.GetEnd() == nil {
		return false
	}
	a.recordExchangeError(a.callerErr)
	return true
}

// answerStartRequest tells the home whether it may dispatch the call. It returns an
// error instead if the caller is gone. Once permission is granted, the call may run.
func (a *attempt) answerStartRequest(ctx context.Context, exchange Exchange) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !a.startDecided.CompareAndSwap(false, true) {
		return nil // too late: the wait has timed out, and the attempt is being ended
	}
	granted := a.mayStart == nil || a.mayStart() == nil
	if granted {
		a.routing.MarkMayHaveRun()
	}
	permission := &peerpb.StartPermission{Granted: granted}
	// If the send fails, the next receive returns the error.
	_ = exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Permission{Permission: permission}})
	return nil
}

// errSuperseded means that another attempt beside this one has had an answer first.
var errSuperseded = errors.New("another attempt has had an answer first")

// claimAnswer claims the answer and passes on what precedes its data.
func (a *attempt) claimAnswer(isError bool) error {
	if a.claimed {
		return nil
	}
	if a.claim != nil && !a.claim(isError) {
		return errSuperseded
	}
	a.claimed = true
	if a.startedEngine != "" {
		a.sink.Started(a.startedEngine)
		a.onStarted(a.startedEngine)
	}
	if a.head == nil {
		return nil
	}
	return a.sink.Head(int(a.head.GetStatus()), a.head.GetHeaders())
}

// deliverData passes events and body bytes on to the caller. It skips events that
// the caller has already received, for example through another home.
func (a *attempt) deliverData(data *peerpb.Data) error {
	if len(data.GetEvents()) == 0 && a.isError() {
		a.errorBody = append(a.errorBody, data.GetBody()...)
		return nil
	}
	if err := a.claimAnswer(false); err != nil {
		return err
	}
	for _, event := range data.GetEvents() {
		if event.GetOffset() <= a.routing.Offset() {
			continue
		}
		if err := a.sink.Event(event); err != nil {
			return err
		}
		a.routing.RecordOffset(event.GetOffset())
	}
	if len(data.GetBody()) > 0 {
		return a.sink.Body(data.GetBody())
	}
	return nil
}

// isError reports whether the answer is an error of its engine.
func (a *attempt) isError() bool { return a.head.GetStatus() >= http.StatusBadRequest }

// deliverError passes an answer on that is an error, once it is whole.
func (a *attempt) deliverError() error {
	if err := a.claimAnswer(a.isError()); err != nil || len(a.errorBody) == 0 {
		return err
	}
	return a.sink.Body(a.errorBody)
}
