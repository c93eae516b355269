package integration

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/standin/service"
)

// Times of a stop in these tests.
const (
	shortStopDelay   = 500 * time.Millisecond
	shortStopTimeout = 5 * time.Second
)

// endlessTokens make a stream outlast a stop.
const endlessTokens = 1_000_000

// lateCall is a request that is sent to a daemon late in its stop.
type lateCall struct {
	way     string
	request rawRequest
	caller  *rawCaller
	rest    string // what is left to send
}

// prepareLate opens connections in each way that a late request may come, for each kind of
// request.
func prepareLate(t *testing.T, daemon *process) []*lateCall {
	var calls []*lateCall
	for _, way := range []string{"unused connection", "kept connection", "rest of the head", "rest of the head, kept connection", "rest of the body"} {
		for _, request := range rawRequests(fmt.Sprint("late-", strings.Fields(way)[0], len(calls)), 3) {
			caller, text, sent := dialRaw(t, daemon), request.text(), 0
			if strings.HasSuffix(way, "kept connection") {
				must.Eq(t, "", rawRequest{}.fault(caller.exchange(rawRequest{method: http.MethodGet, path: "/v1/models"}.text(), nil)))
			}
			switch {
			case strings.HasPrefix(way, "rest of the head"):
				sent = strings.Index(text, "\r\n\r\n") / 2
			case way == "rest of the body" && request.body == "":
				continue
			case way == "rest of the body":
				sent = len(text) - 1
			}
			_, err := io.WriteString(caller, text[:sent])
			must.NoError(t, err)
			calls = append(calls, &lateCall{way: way, request: request, caller: caller, rest: text[sent:]})
		}
	}
	return calls
}

// startStoppable starts a small fleet whose daemon has short times of a stop.
func startStoppable(t *testing.T) (*fleet, *process) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	daemon := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a",
		extraYAML: fmt.Sprintf("limits:\n  stop_delay: %s\n  stop_timeout: %s\n", shortStopDelay, shortStopTimeout)})
	f.awaitConverged(generation)
	return f, daemon
}

// refusesConnections reports whether a daemon takes no connections of callers any more.
func refusesConnections(daemon *process) bool {
	conn, err := net.Dial("tcp", daemon.addresses["callers"])
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// A request that comes whole on a connection that is open gets its answer or a typed refusal,
// however late in a graceful stop it comes.
func TestRequestLateInAGracefulStopIsAnsweredOrRefused(t *testing.T) {
	for _, test := range []struct {
		name    string
		stalled bool // the daemon is paused while the requests come and its stop delay passes
	}{
		{name: "the listener has just been closed"},
		{name: "the daemon was stalled", stalled: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, daemon := startStoppable(t)
			inProgress := rawRequests("in-progress", endlessTokens)[0]
			var started atomic.Bool
			go dialRaw(t, daemon).exchange(inProgress.text(), func(int) { started.Store(true) })
			waitFor(t, convergenceTimeout, "a stream is in progress", started.Load)
			calls := prepareLate(t, daemon)
			daemon.signal(syscall.SIGTERM)
			waitFor(t, convergenceTimeout, "the daemon stops", func() bool { return daemon.logged("stopping") })
			if test.stalled {
				daemon.freeze()
			} else {
				waitFor(t, convergenceTimeout, "the listener is closed", func() bool { return refusesConnections(daemon) })
			}
			var group sync.WaitGroup
			results := make([]callResult, len(calls))
			unsent := make([]bool, len(calls))
			for i, call := range calls {
				if unsent[i] = call.caller.closedByDaemon(); !unsent[i] {
					group.Go(func() { results[i] = call.caller.exchange(call.rest, nil) })
				}
			}
			if test.stalled {
				<-time.After(shortStopDelay)
				daemon.thaw()
			}
			group.Wait()
			ends := make(map[string]int)
			for i, call := range calls {
				if unsent[i] {
					ends["not sent, closed"]++
					continue
				}
				ends[fmt.Sprint("status ", results[i].status)]++
				fault := call.request.fault(results[i])
				if refused := results[i].refusal; refused != nil && (refused.Code != refusal.Stopping || refused.Outcome != "not_run") {
					fault = fmt.Sprintf("refused: %+v", refused)
				}
				if fault != "" {
					t.Errorf("%s, %s: %s", call.way, call.request.kind, fault)
				}
			}
			t.Log(len(calls), "requests:", ends)
			waitFor(t, shortStopTimeout+time.Second, "the daemon exits", daemon.hasExited)
		})
	}
}

// A request that is in progress at the end of a graceful stop gets a typed refusal, a stream an
// error event.
func TestRequestCutByAGracefulStopIsRefused(t *testing.T) {
	f, daemon := startStoppable(t)
	setFault(t, f.targets["l1"], service.Fault{DelayMS: int(2 * shortStopTimeout / time.Millisecond)})
	requests := rawRequests("cut", endlessTokens)
	results := make([]callResult, len(requests))
	var group sync.WaitGroup
	for i, request := range requests {
		caller := dialRaw(t, daemon)
		group.Go(func() { results[i] = caller.exchange(request.text(), nil) })
	}
	waitFor(t, convergenceTimeout, "all requests run", func() bool {
		running := len(serviceRecords(t, f.targets["l1"]))
		for _, name := range []string{"e1", "e2", "e3"} {
			running += len(engineRecords(t, f.targets[name]))
		}
		return running == len(requests)
	})
	daemon.signal(syscall.SIGTERM)
	group.Wait()
	for i, request := range requests {
		if results[i].err != nil || !results[i].refusedAs(refusal.Stopping) || results[i].refusal.Outcome != "unknown" {
			t.Errorf("%s: no refusal as cut: status %d, error %v, refusal %+v", request.kind, results[i].status, results[i].err, results[i].refusal)
		}
	}
	waitFor(t, shortStopTimeout+time.Second, "the daemon exits", daemon.hasExited)
}

// A daemon cannot tell a caller that has closed its sending half from one that has left. What
// the caller reads is the whole answer, or shows that it is not.
func TestCallerThatClosesItsSendingHalfReadsATrueEnd(t *testing.T) {
	f, daemon := startStoppable(t)
	setFault(t, f.targets["l1"], service.Fault{DelayMS: 300})
	for _, test := range []struct {
		name       string
		afterToken bool // the caller closes it after the first token, or else with the request
	}{
		{name: "with the request"},
		{name: "after the first token", afterToken: true},
	} {
		for _, request := range rawRequests("half-"+fmt.Sprint(test.afterToken), longResponseTokens) {
			if test.afterToken && request.tokens == 0 {
				continue
			}
			t.Run(test.name+", "+request.kind, func(t *testing.T) {
				caller := dialRaw(t, daemon)
				_, err := io.WriteString(caller, request.text())
				must.NoError(t, err)
				closeSending := func(int) { _ = caller.CloseWrite() } // fails if the daemon has closed it
				if !test.afterToken {
					closeSending(0)
				}
				result := caller.read(closeSending)
				must.Eq(t, "", request.fault(result))
			})
		}
	}
}
