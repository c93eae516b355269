package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Limits set by the users for a planned stop.
const (
	userGrace = 8 * time.Second
	// mayBeCutUntil is how long after the signal a request may be sent that the stop may cut,
	// if its target is still at work in the last sixth of the grace.
	mayBeCutUntil = 3 * time.Second
	// noticeTime is how long the platform may go on sending connections: it checks readiness once a
	// second and acts on two misses.
	noticeTime = 2 * time.Second
	// neverRunTime is how long after a refusal the request must not have run.
	neverRunTime = 500 * time.Millisecond
)

// lateWay is how a late request comes to the daemon.
type lateWay int

const (
	onNewConn     lateWay = iota
	onKeptConn            // has had an answer before the signal
	onUnusedConn          // opened before the signal, nothing was sent on it
	afterPartHead         // a part of the head was sent before the signal
	afterPartBody         // the head and a part of the body were sent before the signal
)

// Last elements of paths, see Target.SetPace.
const (
	quick    = "quick"
	slow     = "slow"     // takes slowTime
	never    = "never"    // not done within the grace
	oneNever = "onenever" // the same at one target of each service, the others are quick
	lateHead = "latehead" // the answer begins after slowTime
)

// longTimeout is the longest of the users' routes.
const longTimeout = 12 * time.Second

// slowTime is how long a slow request takes.
const slowTime = 3 * time.Second

// setPaces makes the targets serve each path at its pace.
func setPaces(targets ...*standin.Target) {
	seen := make(map[bool]bool)
	for _, target := range targets {
		pace := func(element string, duration time.Duration) {
			if target.ServesStreams {
				target.SetPace(element, 0, duration)
				return
			}
			target.SetPace(element, duration, 0)
		}
		pace(slow, slowTime)
		pace(never, standin.Endless)
		target.SetPace(lateHead, slowTime, 0)
		if !seen[target.ServesStreams] {
			pace(oneNever, standin.Endless)
		}
		seen[target.ServesStreams] = true
	}
}

// lateCase is a row of the table: what callers send beside a planned stop.
type lateCase struct {
	name      string
	way       lateWay
	timeout   time.Duration // of the routes
	objective time.Duration // for the first byte and for pauses
	kinds     []string
	elements  []string
	// sessionTokens makes the requests of one moment share a prompt of that length.
	sessionTokens int
	// cutOff makes the daemon to which callers send reach no target.
	cutOff bool
	// stopsOther makes another daemon stop than the one to which callers send.
	stopsOther bool
}

// lateRequest is one request beside a planned stop.
type lateRequest struct {
	call   standin.CallerRequest
	moment time.Duration // after the signal
	end    callerEnd
}

// mayBeCut reports whether the stop may end the request's stream early.
func (r *lateRequest) mayBeCut(c lateCase) bool {
	if r.end.at.Sub(r.end.sentAt) >= c.timeout {
		return true // the time of the request was up
	}
	endless := strings.HasSuffix(r.call.Path, never)
	return endless && r.moment <= mayBeCutUntil
}

// mustBeServed reports whether the request comes while the platform may not have noticed that
// the daemon is not ready, and its target is quick.
func (r *lateRequest) mustBeServed(c lateCase) bool {
	return r.moment < noticeTime && strings.HasSuffix(r.call.Path, quick) && r.end.unsent == "" && !c.stopsOther
}

// signalDelay is the time from the last preparation to the signal.
const signalDelay = time.Second

// moments are when requests come whole, after the signal.
var moments = []time.Duration{
	-500 * time.Millisecond, time.Second, 2400 * time.Millisecond, 2600 * time.Millisecond, 4 * time.Second, 6 * time.Second, 7 * time.Second, 7500 * time.Millisecond,
}

// allKinds are the prefixes of all kinds of requests.
var allKinds = []string{"/reads/", "/bookings/", "/drafts/", "/queries/"}

func TestRequestLateInAPlannedStopIsAnsweredOrRefused(t *testing.T) {
	const long, short = longTimeout, 3 * time.Second
	const objective = 300 * time.Millisecond
	allElements := []string{quick, slow, never}
	for _, c := range []lateCase{
		{name: "new connection", way: onNewConn, timeout: long, objective: long, kinds: allKinds, elements: allElements},
		{name: "kept connection", way: onKeptConn, timeout: long, objective: long, kinds: allKinds, elements: allElements},
		{name: "kept connection, short timeout", way: onKeptConn, timeout: short, objective: short, kinds: allKinds, elements: allElements},
		{name: "unused connection", way: onUnusedConn, timeout: long, objective: long, kinds: allKinds, elements: allElements},
		{name: "rest of the head", way: afterPartHead, timeout: long, objective: long, kinds: allKinds, elements: allElements},
		{name: "rest of the body", way: afterPartBody, timeout: long, objective: long, kinds: allKinds, elements: allElements},
		{name: "waits for a retry, kept connection", way: onKeptConn, timeout: long, objective: objective, kinds: allKinds, elements: []string{oneNever}},
		{name: "waits for a retry, unused connection", way: onUnusedConn, timeout: long, objective: objective, kinds: allKinds, elements: []string{oneNever}},
		{name: "waits for a retry, rest of the body", way: afterPartBody, timeout: long, objective: objective, kinds: allKinds, elements: []string{oneNever}},
		{name: "waits for a prompt, kept connection", way: onKeptConn, timeout: long, objective: long, kinds: allKinds[2:], elements: []string{lateHead, quick}, sessionTokens: 100_000},
		{name: "waits for a prompt, new connection", way: onNewConn, timeout: long, objective: long, kinds: allKinds[2:], elements: []string{lateHead, quick}, sessionTokens: 100_000},
		{name: "waits for a prompt, rest of the body", way: afterPartBody, timeout: long, objective: long, kinds: allKinds[2:], elements: []string{lateHead, quick}, sessionTokens: 100_000},
		{name: "stopping daemon forwards, new connection", way: onNewConn, timeout: long, objective: long, kinds: allKinds, elements: allElements, cutOff: true},
		{name: "stopping daemon forwards, kept connection", way: onKeptConn, timeout: long, objective: long, kinds: allKinds, elements: allElements, cutOff: true},
		{name: "forwarded to the stopping daemon", way: onKeptConn, timeout: long, objective: long, kinds: allKinds, elements: allElements, cutOff: true, stopsOther: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

// play sends all requests of a row beside a planned stop and judges their ends.
func (c lateCase) play(t *testing.T) {
	receiver, stopping, targets := c.start(t)
	requests := c.requests()
	var prepared, ended sync.WaitGroup
	var signalled time.Time
	begin := make(chan struct{})
	prepared.Add(len(requests))
	for _, request := range requests {
		ended.Go(func() {
			late := lateCaller{address: receiver.daemon.callerListener.Addr().String(), way: c.way}
			err := late.prepare(request.call)
			prepared.Done()
			<-begin
			if err != nil {
				request.end = callerEnd{err: fmt.Errorf("before the signal: %w", err)}
				return
			}
			limit := signalled.Add(userGrace)
			if c.stopsOther {
				limit = signalled.Add(request.moment + c.timeout + time.Second)
			}
			request.end = late.complete(signalled.Add(request.moment), limit)
		})
	}
	prepared.Wait()
	signalled = time.Now().Add(signalDelay)
	close(begin)
	time.Sleep(signalDelay)
	stopping.stop()
	err := <-stopping.stopped
	stopTime := time.Since(signalled)
	stopping.stopped <- err
	must.Less(t, userGrace, stopTime, must.Sprint("the daemon must end by itself"))
	ended.Wait()
	time.Sleep(neverRunTime)
	faults, ends := make(map[string]int), make(map[string]int)
	for _, request := range requests {
		ends[fmt.Sprint(request.end.status, request.end.unsent)]++
		runs := countRuns(request.call.ID, targets...)
		fault := request.end.fault(request.call, runs, request.mayBeCut(c))
		if fault == "" && request.end.status != http.StatusOK && request.mustBeServed(c) {
			fault = fmt.Sprint("not served: status ", request.end.status)
		}
		if fault != "" {
			faults[fault]++
			t.Errorf("%s after the signal: %s: %s, runs %d, ended %s after the signal", request.moment, request.call.Path, fault, runs, request.end.at.Sub(signalled).Round(time.Millisecond))
		}
	}
	t.Logf("%d requests, faults: %v, ends: %v", len(requests), faults, ends)
}

// start starts the daemons of a row: the one to which callers send, and the one that stops.
func (c lateCase) start(t *testing.T) (receiver, stopping *testFixture, targets []*standin.Target) {
	daemons, targets := startPaced(t, standin.DocumentWithTimes(2, c.timeout, c.objective), c.cutOff)
	for _, f := range daemons {
		f.daemon.stopGrace.Store(int64(userGrace))
	}
	if c.stopsOther {
		return daemons[0], daemons[1], targets
	}
	return daemons[0], daemons[0], targets
}

// startPaced starts a daemon with version 2 of the configuration before targets that serve
// each path at its pace. If the daemon is to reach no target, there is another one by way of
// which it forwards.
func startPaced(t *testing.T, document map[string]any, cutOff bool) (daemons []*testFixture, targets []*standin.Target) {
	if !cutOff {
		f, writers, desks := prepareFixture(t, defaultRetryExtra)
		f.store.Put(platform.KindDocument, platform.DocumentName, document)
		targets = append(writers[:], desks[:]...)
		setPaces(targets...)
		f.start()
		return []*testFixture{f}, targets
	}
	fleet := newCutOffFleet(t, 2)
	setPaces(fleet.targets...)
	fleet.daemons[0].store.Put(platform.KindDocument, platform.DocumentName, document)
	for _, f := range fleet.daemons {
		f.eventually(func() bool { return f.daemon.config.current().Document.Version == 2 })
	}
	return fleet.daemons, fleet.targets
}

// requests returns the requests of a row.
func (c lateCase) requests() []*lateRequest {
	var requests []*lateRequest
	for i, moment := range moments {
		for _, kind := range c.kinds {
			for _, element := range c.elements {
				call := newCall(kind, element, fmt.Sprint("late-", len(requests)))
				if c.sessionTokens > 0 {
					call.SharedParts, call.PromptTokens = fmt.Sprintf("aa:100,5e%d:%d", i, c.sessionTokens), c.sessionTokens
				}
				requests = append(requests, &lateRequest{call: call, moment: moment})
			}
		}
	}
	return requests
}

// lateCaller sends one request late in a planned stop.
type lateCaller struct {
	address string
	way     lateWay
	caller  *rawCaller // nil: not connected yet
	rest    string     // what is left to send
}

// prepare does what comes before the signal.
func (l *lateCaller) prepare(call standin.CallerRequest) error {
	text := standin.RequestText(call, http11)
	l.rest = text
	if l.way == onNewConn {
		return nil
	}
	var err error
	if l.caller, err = dialRaw(l.address); err != nil {
		return err
	}
	part := 0
	switch l.way {
	case onKeptConn:
		first := newCall("/reads/", quick, "first-"+call.ID)
		end := l.caller.exchange(standin.RequestText(first, http11), time.Now().Add(settleTimeout))
		if fault := end.fault(first, 1, false); fault != "" {
			return errors.New(fault)
		}
	case afterPartHead:
		part = strings.Index(text, "\r\n\r\n") / 2
	case afterPartBody:
		part = len(text) - len(call.Body)/2
	}
	l.rest = text[part:]
	return l.caller.send(text[:part])
}

// complete sends the rest of the request at its moment and reads until the limit.
func (l *lateCaller) complete(moment, limit time.Time) callerEnd {
	time.Sleep(time.Until(moment))
	if l.caller == nil {
		var err error
		if l.caller, err = dialRaw(l.address); errors.Is(err, syscall.ECONNREFUSED) {
			return callerEnd{unsent: "refused", sentAt: moment, at: time.Now()}
		} else if err != nil {
			return callerEnd{err: err, sentAt: moment, at: time.Now()}
		}
	}
	defer func() { _ = l.caller.conn.Close() }()
	answered, closed := l.caller.look()
	switch {
	case closed:
		return callerEnd{unsent: "closed", sentAt: moment, at: time.Now()}
	case answered: // a part of the request, which need not be completed
		end := l.caller.readAnswer(limit)
		end.sentAt = moment
		return end
	}
	return l.caller.exchange(l.rest, limit)
}
