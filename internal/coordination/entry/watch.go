package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
)

// lostAnswerWait is how long the entry daemon awaits an answer that nothing can replace, after its
// home has gone down. A daemon that was paused, or whose heartbeats were late, is heard of again
// within seconds, and the exchange goes on meanwhile. One that has ended resets its connections.
const lostAnswerWait = 5 * time.Second

// errHomeDown means that the membership table lists the home as down.
var errHomeDown = errors.New("the home daemon is down")

// homeWatch reports whether the home is alive, and returns a channel that is closed when it goes
// down.
type homeWatch func() (alive bool, down <-chan struct{})

// recordMessage records that a message of the home has come, or that the exchange begins.
func (a *attempt) recordMessage() {
	now := time.Now()
	a.lastMessage.Store(&now)
}

// watchExchange aborts the exchange when the home is lost. When the caller is gone, it asks the
// home to cancel the call, and aborts the exchange if the home does not confirm this in time. It
// returns when finished is closed.
func (a *attempt) watchExchange(callerCtx context.Context, exchange Exchange, watchHome homeWatch, finished <-chan struct{}, abortExchange context.CancelCauseFunc) {
	for {
		_, down := watchHome()
		select {
		case <-finished:
			return
		case <-callerCtx.Done():
			a.cancelCall(exchange, finished, abortExchange)
			return
		case <-down:
		}
		if alive, _ := watchHome(); alive {
			continue
		}
		if !a.awaitDownHome(callerCtx, watchHome, finished) {
			abortExchange(errHomeDown)
			return
		}
	}
}

// awaitDownHome waits while the exchange with a home that counts as down may still bring the answer.
// It reports whether to go on watching: the home is alive again, or there is nothing to wait for.
//
// That a home counts as down says that its heartbeats do not come. It does not say so of its
// answers: while messages come, the home works. While none comes, a call that may be made again
// goes on by way of another home; for any other, this exchange is all there is.
func (a *attempt) awaitDownHome(callerCtx context.Context, watchHome homeWatch, finished <-chan struct{}) bool {
	patience, downAt := member.HeartbeatTimeout, time.Time{}
	if a.call.GetAskStart() {
		if a.startDecided.CompareAndSwap(false, true) {
			return false // it has not run, and may not start any more
		}
		patience, downAt = lostAnswerWait, time.Now()
	}
	for {
		silentSince := *a.lastMessage.Load()
		if silentSince.Before(downAt) {
			silentSince = downAt
		}
		timer := time.NewTimer(time.Until(silentSince.Add(patience)))
		select {
		case <-finished:
		case <-callerCtx.Done():
		case <-timer.C:
			if alive, _ := watchHome(); alive {
				return true
			}
			if time.Since(*a.lastMessage.Load()) >= patience {
				return false
			}
			continue
		}
		timer.Stop()
		return true
	}
}

// cancelCall asks the home to cancel the call, and aborts the exchange if the home does not confirm
// this in time.
func (a *attempt) cancelCall(exchange Exchange, finished <-chan struct{}, abortExchange context.CancelCauseFunc) {
	_ = exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Cancel{Cancel: &peerpb.Cancel{}}})
	timer := time.NewTimer(cancelConfirmTimeout)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
		abortExchange(fmt.Errorf("home did not confirm the cancellation within %s", cancelConfirmTimeout))
	}
}
