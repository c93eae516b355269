package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Idle timeouts between which the configuration changes.
const (
	longIdle  = 8 * time.Second
	shortIdle = 1500 * time.Millisecond
)

// Use of kept connections.
const (
	keptCallers = 200
	// reliedPart is the part of an idle timeout for which a caller keeps a connection idle at
	// most, and lateCallerPart the part after which it is late by its own fault.
	reliedPart, lateCallerPart = 0.8, 0.9
	// leastServed is the part of the answered requests that a sound target must have served.
	leastServed = 0.9
	// keepFor is how long callers go on.
	keepFor = 9 * time.Second
)

// idleCase is a row of the table: how the configuration changes.
type idleCase struct {
	name        string
	first, then time.Duration // idle timeouts, which alternate
	after       time.Duration // of the first change
	every       time.Duration // between further changes; 0: there are none
	extraRoutes int
}

func TestCallerReliesOnTheIdleTimeoutOfItsLastAnswer(t *testing.T) {
	for _, c := range []idleCase{
		{name: "no change", first: shortIdle, then: shortIdle, after: keepFor},
		{name: "shorter", first: longIdle, then: shortIdle, after: 2 * time.Second},
		{name: "longer", first: shortIdle, then: longIdle, after: 2 * time.Second},
		{name: "shorter, with many routes", first: longIdle, then: shortIdle, after: 2 * time.Second, extraRoutes: 350},
		{name: "alternates each second", first: longIdle, then: shortIdle, after: time.Second, every: time.Second},
		{name: "alternates each 300 ms", first: longIdle, then: shortIdle, after: time.Second, every: 300 * time.Millisecond},
		{name: "many changes of many routes", first: longIdle, then: shortIdle, after: time.Second, every: 150 * time.Millisecond, extraRoutes: 350},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

// idleLimit is the idle timeout that the store has acknowledged last.
type idleLimit struct {
	mu    sync.Mutex
	limit time.Duration
}

func (l *idleLimit) get() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}

func (l *idleLimit) set(limit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// play keeps connections while the configuration changes, and judges the end of each request.
func (c idleCase) play(t *testing.T) {
	f, writers, desks := prepareFixture(t, defaultRetryExtra)
	limit := &idleLimit{limit: c.first}
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.DocumentWithIdleTimeout(2, c.first, c.extraRoutes))
	f.start()
	started := time.Now()
	keepers := make([]*connKeeper, keptCallers)
	var ended sync.WaitGroup
	for i := range keepers {
		keepers[i] = &connKeeper{address: f.daemon.callerListener.Addr().String(), name: fmt.Sprint("keeper-", i), number: i, limit: limit}
		ended.Go(func() { keepers[i].run(started.Add(keepFor)) })
	}
	next := c.then
	for version, at := 3, started.Add(c.after); at.Before(started.Add(keepFor)); version, at = version+1, at.Add(c.every) {
		time.Sleep(time.Until(at))
		f.store.Put(platform.KindDocument, platform.DocumentName, standin.DocumentWithIdleTimeout(version, next, c.extraRoutes))
		limit.set(next)
		next = c.first + c.then - next
		if c.every == 0 {
			break
		}
	}
	ended.Wait()
	faults := make(map[string]int)
	kept, late, served, judged := 0, 0, 0, 0
	for _, keeper := range keepers {
		kept, late, judged = kept+keeper.kept, late+keeper.late, judged+len(keeper.requests)
		for _, request := range keeper.requests {
			runs := countRuns(request.call.ID, append(writers[:], desks[:]...)...)
			if fault := request.end.fault(request.call, runs, false); fault != "" {
				faults[fmt.Sprintf("%s, runs %d", fault, runs)]++
			} else if request.end.status == http.StatusOK {
				served++
			}
		}
	}
	t.Logf("%d requests on kept connections, of which %d callers were late", kept, late)
	must.Positive(t, kept-late)
	for fault, count := range faults {
		judged -= count
		t.Errorf("%d of %d requests on kept connections: %s", count, kept-late, fault)
	}
	must.Greater(t, leastServed*float64(judged), float64(served), must.Sprint("the rest must mostly be served"))
}

// connKeeper is a caller that keeps its connection from one request to the next.
type connKeeper struct {
	address string
	name    string
	number  int
	limit   *idleLimit

	caller   *rawCaller
	kept     int // requests on a kept connection
	late     int // those that came later than the caller may rely on, for want of processor time
	requests []keptRequest
}

// keptRequest is a request whose connection the caller could rely on.
type keptRequest struct {
	call standin.CallerRequest
	end  callerEnd
}

// run sends requests, each after a time in which the connection is idle.
func (k *connKeeper) run(until time.Time) {
	var idle, relied time.Duration
	var idleSince time.Time
	for i := 0; ; i++ {
		onKept := k.caller != nil
		if onKept {
			time.Sleep(min(idle, time.Until(until)))
		}
		if !time.Now().Before(until) {
			break
		}
		call := newCall(allKinds[(k.number+i)%len(allKinds)], quick, fmt.Sprint(k.name, "-", i))
		late := onKept && time.Since(idleSince) > time.Duration(lateCallerPart*float64(relied))
		end := k.send(call)
		if onKept {
			k.kept++
		}
		if late {
			k.late++
		} else {
			k.requests = append(k.requests, keptRequest{call, end})
		}
		if end.err != nil || end.closes {
			k.close()
			continue
		}
		relied, idleSince = min(k.limit.get(), namedTime(end.header)), time.Now()
		part := reliedPart * (0.5 + 0.5*float64((k.number+i)%8+1)/8)
		idle = time.Duration(part * float64(relied))
	}
	k.close()
}

// send sends a request on the kept connection, or on a new one if there is none.
func (k *connKeeper) send(call standin.CallerRequest) callerEnd {
	if k.caller == nil {
		var err error
		if k.caller, err = dialRaw(k.address); err != nil {
			return callerEnd{err: err}
		}
	}
	return k.caller.exchange(standin.RequestText(call, http11), time.Now().Add(longTimeout))
}

// close closes the connection.
func (k *connKeeper) close() {
	if k.caller != nil {
		_ = k.caller.conn.Close()
		k.caller = nil
	}
}

// namedTime returns for how long an answer says that its connection may be idle.
func namedTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return time.Hour
}

// All answers on a connection that stays open name the time for which it may be idle, in whole
// seconds, and it stays open for that time whatever the configuration says later.
func TestAnswerNamesTheTimeForWhichItsConnectionStaysOpen(t *testing.T) {
	const limit = 3500 * time.Millisecond
	calls := map[string]standin.CallerRequest{"unknown route": newCall("/nowhere/", quick, "unknown-route")}
	for _, kind := range allKinds {
		calls[kind] = newCall(kind, quick, "whole-"+strings.Trim(kind, "/"))
	}
	unknownKey := newCall("/reads/", quick, "unknown-key")
	unknownKey.Key = "no-key"
	calls["unknown key"] = unknownKey
	// sendEarly is how long before the end of that time callers send again.
	const sendEarly = 500 * time.Millisecond
	for _, then := range []time.Duration{limit, 200 * time.Millisecond} {
		t.Run(fmt.Sprint("then ", then), func(t *testing.T) {
			t.Parallel()
			f, _, _ := prepareFixture(t, defaultRetryExtra)
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.DocumentWithIdleTimeout(2, limit, 0))
			f.start()
			var answered, ended sync.WaitGroup
			answered.Add(len(calls))
			for name, call := range calls {
				ended.Go(func() {
					caller, err := dialRaw(f.daemon.callerListener.Addr().String())
					if err != nil {
						answered.Done()
						t.Errorf("%s: %s", name, err)
						return
					}
					defer func() { _ = caller.conn.Close() }()
					first := caller.exchange(standin.RequestText(call, http11), time.Now().Add(settleTimeout))
					answered.Done()
					named := namedTime(first.header)
					if first.err != nil || first.closes || named < time.Second || named > limit {
						t.Errorf("%s: status %d, the answer names %q", name, first.status, first.header.Get("Keep-Alive"))
					}
					time.Sleep(time.Until(first.at.Add(min(named, limit) - sendEarly)))
					idle := time.Since(first.at)
					next := caller.exchange(standin.RequestText(newCall("/reads/", quick, "after-"+call.ID), http11), time.Now().Add(settleTimeout))
					if next.status != http.StatusOK || next.err != nil {
						t.Errorf("%s: %s after the answer: status %d, %s", name, idle.Round(time.Millisecond), next.status, endName(next.err))
					}
				})
			}
			answered.Wait()
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.DocumentWithIdleTimeout(3, then, 0))
			ended.Wait()
		})
	}
}
