package integration

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/standin/platform"
	"hemlockknot/internal/standin/service"
	"hemlockknot/internal/state/environment"
)

// ledgerFleet is a fleet with one plain service and two daemons: the service's home
// daemon, and an entry daemon in the other failure domain. Fault proxies carry the
// connections to the service and from the entry daemon to the home daemon.
type ledgerFleet struct {
	*fleet
	target      *process
	home        *process
	entry       *process
	targetProxy *faultProxy
	homeProxy   *faultProxy
}

// startLedgerFleet starts a ledgerFleet whose daemons get additional settings, as
// YAML.
func startLedgerFleet(t *testing.T, settings string) *ledgerFleet {
	t.Helper()
	f := &ledgerFleet{fleet: newFleet(t), targetProxy: newFaultProxy(t), homeProxy: newFaultProxy(t)}
	f.setSmallFleetDocument()
	f.target = f.addEngine(environment.Engine{Name: "l1", Service: "ledger", Place: "place-a", Capacity: 64}, "service")
	f.targetProxy.setUpstream(f.target.addresses["address"])
	f.document.Engines[0].Address = f.targetProxy.address()
	generation := f.publish()
	f.home = f.addDaemon("home", daemonOptions{failureDomain: "domain-a", advertiseOutside: f.homeProxy.address(), extraYAML: settings})
	f.homeProxy.setUpstream(f.home.addresses["peers"])
	f.entry = f.addDaemon("entry", daemonOptions{failureDomain: "domain-b", bootstrap: []string{f.homeProxy.address()}, extraYAML: settings})
	f.awaitConverged(generation)
	must.Eq(t, "home", homeDaemonName(t, f.entry, "l1"))
	return f
}

// postBooking sends a call that is not repeatable, with an idempotency key unless
// key is empty.
func postBooking(daemon *process, key, body string) callResult {
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return call(context.Background(), daemon, http.MethodPost, "/ledger/bookings", header, body)
}

// runCount returns how many times the service has run a call with a body.
func (f *ledgerFleet) runCount(body string) int {
	f.t.Helper()
	count := 0
	for _, record := range serviceRecords(f.t, f.target) {
		if record.Body == body {
			count++
		}
	}
	return count
}

// checkMatchesRecords checks a caller's result against the service's records: a call
// ran at most once, exactly once if it was answered, and never if it was refused
// as not run.
func (f *ledgerFleet) checkMatchesRecords(body string, result callResult) {
	f.t.Helper()
	runs := f.runCount(body)
	must.LessEq(f.t, 1, runs, must.Sprintf("call %q ran %d times", body, runs))
	if result.complete {
		must.Eq(f.t, 1, runs, must.Sprintf("call %q was answered", body))
	}
	if result.refusal != nil && result.refusal.Outcome == "not_run" {
		must.Eq(f.t, 0, runs, must.Sprintf("call %q was refused as not run", body))
	}
}

// outcome returns "answered" for a complete response, the outcome that a refusal
// reports, or "no response".
func (r callResult) outcome() string {
	switch {
	case r.complete:
		return "answered"
	case r.refusal != nil:
		return r.refusal.Outcome
	}
	return "no response"
}

// TestBookingRunsOnceWhenHomeDaemonFreezes sends a booking while the service's home
// daemon is frozen. The booking must succeed through another home daemon, and must
// not run again once the frozen daemon has resumed.
func TestBookingRunsOnceWhenHomeDaemonFreezes(t *testing.T) {
	f := startSmallFleet(t)
	home := homeDaemonName(t, f.daemons["d1"], "l1")
	entry := f.otherDaemon(home)
	f.daemons[home].freeze()
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	result := call(context.Background(), entry, http.MethodPost, "/ledger/bookings", header, "one catch")
	must.Eq(t, http.StatusOK, result.status)
	f.daemons[home].thaw()
	f.awaitConverged(1)
	must.Len(t, 1, serviceRecords(t, f.targets["l1"]))
}

// TestBookingUnderFailure injects a failure before or after the entry daemon permits
// the home daemon to start a call that is not repeatable. Before the permission the
// entry daemon may retry the call through another home daemon. After it, a call
// without a response must be reported as unknown and must not run again.
func TestBookingUnderFailure(t *testing.T) {
	const slowMS = 1500 // duration of a run, in milliseconds, when a case injects a failure during it
	dropPermissionRequest := func(f *ledgerFleet) { f.homeProxy.addToxic("hold", "timeout", "downstream", `{"timeout":0}`) }
	slowService := func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DelayMS: slowMS}) }
	slowLostResponse := func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DelayMS: slowMS, DropResponses: 1}) }
	for _, test := range []struct {
		name        string
		before      func(*ledgerFleet)
		during      func(*ledgerFleet) // runs once the service runs the call; nil: nothing
		after       func(*ledgerFleet) // runs once the caller has its result; nil: nothing
		wantOutcome string
		wantRuns    int
	}{
		{"home killed before permission", func(f *ledgerFleet) { f.home.kill(); delete(f.daemons, "home") }, nil, nil, "answered", 1},
		{"home frozen before permission", func(f *ledgerFleet) { f.home.freeze() }, nil, func(f *ledgerFleet) { f.home.thaw() }, "answered", 1},
		{"permission request lost", dropPermissionRequest, nil, func(f *ledgerFleet) { f.homeProxy.clearFaults() }, "answered", 1},
		{"home killed after permission", slowService, func(f *ledgerFleet) { f.home.kill(); delete(f.daemons, "home") }, nil, "unknown", 1},
		{"home frozen after permission", slowService, func(f *ledgerFleet) { f.home.freeze() }, func(f *ledgerFleet) { f.home.thaw() }, "unknown", 1},
		{"entry killed after permission", slowService, func(f *ledgerFleet) { f.entry.kill(); delete(f.daemons, "entry") }, nil, "no response", 1},
		{"service response lost", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DropResponses: 1}) }, nil, nil, "unknown", 1},
		{"service response has another request ID", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{WrongRequestIDs: 1}) }, nil, nil, "unknown", 1},
		{"service drains", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{Refuse: "draining"}) }, nil, nil, "not_run", 0},
		{"service unreachable", func(f *ledgerFleet) { f.targetProxy.proxy.Stop() }, nil, nil, "not_run", 0},
		{"connection to the service reset", func(f *ledgerFleet) { f.targetProxy.addToxic("reset", "reset_peer", "upstream", `{"timeout":0}`) }, nil, nil, "unknown", 0},
		{"connection lost while the service runs", slowService, func(f *ledgerFleet) { f.targetProxy.proxy.Stop() }, nil, "unknown", 1},
		{"platform unreachable", func(f *ledgerFleet) { setFault(f.t, f.platform, platform.Fault{Outage: true}) }, nil, nil, "answered", 1},
		{"home frozen and service response lost", slowLostResponse, func(f *ledgerFleet) { f.home.freeze() }, func(f *ledgerFleet) { f.home.thaw() }, "unknown", 1},
		{"home frozen twice", func(f *ledgerFleet) { f.home.freeze() }, nil, func(f *ledgerFleet) {
			f.home.thaw()
			f.home.freeze()
			f.home.thaw()
		}, "answered", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startLedgerFleet(t, "")
			test.before(f)
			done := make(chan callResult, 1)
			go func() { done <- postBooking(f.entry, "", "one catch") }()
			if test.during != nil {
				waitFor(t, convergenceTimeout, "the service runs the call", func() bool { return f.runCount("one catch") > 0 })
				test.during(f)
			}
			result := <-done
			if test.after != nil {
				test.after(f)
			}
			f.awaitConverged(1)
			must.Eq(t, test.wantRuns, f.runCount("one catch"))
			must.Eq(t, test.wantOutcome, result.outcome(), must.Sprintf("refusal %+v, error %v", result.refusal, result.err))
			f.checkMatchesRecords("one catch", result)
		})
	}
}

// TestRefusedBookingNeverRan sends bookings in several rounds. In each round it sends
// some before the home daemon freezes, some while the home daemon is frozen and the
// service unreachable, and some after both have recovered. No booking that was
// refused as not run may have run.
func TestRefusedBookingNeverRan(t *testing.T) {
	const (
		rounds = 3
		batch  = 10
		slowMS = 100
	)
	f := startLedgerFleet(t, "")
	outcomes := make(map[string]int)
	for round := range rounds {
		setFault(t, f.target, service.Fault{DelayMS: slowMS, DropResponses: round})
		bodies := func(phase string) (bodies []string) {
			for n := range batch {
				bodies = append(bodies, fmt.Sprintf("catch %d %s in round %d", n, phase, round))
			}
			return bodies
		}
		running := f.postBookings(bodies("running"))
		waitFor(t, convergenceTimeout, "the service runs a call of this round", func() bool { return len(serviceRecords(t, f.target)) > round*batch*2 })
		f.home.freeze()
		f.targetProxy.proxy.Stop()
		frozen := f.postBookings(bodies("frozen"))
		results := running()
		maps.Copy(results, frozen())
		f.home.thaw()
		must.NoError(t, f.targetProxy.proxy.Start())
		f.awaitConverged(1)
		maps.Copy(results, f.postBookings(bodies("restored"))())
		for body, result := range results {
			f.checkMatchesRecords(body, result)
			outcomes[result.outcome()]++
		}
	}
	t.Logf("outcomes: %v", outcomes)
	must.Positive(t, outcomes["answered"])
	must.Positive(t, outcomes["unknown"])
	must.Positive(t, outcomes["not_run"])
}

// postBookings sends bookings through the entry daemon at the same time. The
// returned function waits for their results and returns them by body.
func (f *ledgerFleet) postBookings(bodies []string) func() map[string]callResult {
	results := make([]callResult, len(bodies))
	var wg sync.WaitGroup
	for n, body := range bodies {
		wg.Go(func() { results[n] = postBooking(f.entry, "", body) })
	}
	return func() map[string]callResult {
		wg.Wait()
		resultsByBody := make(map[string]callResult)
		for n, body := range bodies {
			resultsByBody[body] = results[n]
		}
		return resultsByBody
	}
}
