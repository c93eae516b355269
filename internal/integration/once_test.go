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

// ledgerFleet is a plain service behind a fault proxy, its home daemon behind
// another one, and a daemon of the other failure domain as the entry.
type ledgerFleet struct {
	*fleet
	target   *process
	home     *process
	entry    *process
	toTarget *faultProxy
	toHome   *faultProxy
}

func startLedgerFleet(t *testing.T, settings string) *ledgerFleet {
	t.Helper()
	f := &ledgerFleet{fleet: newFleet(t), toTarget: newFaultProxy(t), toHome: newFaultProxy(t)}
	f.describeSmallFleet()
	f.target = f.addEngine(environment.Engine{Name: "l1", Service: "ledger", Place: "place-a", Capacity: 64}, "service")
	f.toTarget.forward(f.target.listening["address"])
	f.document.Engines[0].Address = f.toTarget.address()
	generation := f.publish()
	f.home = f.addDaemon("home", daemonOptions{failureDomain: "domain-a", outside: f.toHome.address(), extra: settings})
	f.toHome.forward(f.home.listening["peers"])
	f.entry = f.addDaemon("entry", daemonOptions{failureDomain: "domain-b", bootstrap: []string{f.toHome.address()}, extra: settings})
	f.awaitSettled(generation)
	must.Eq(t, "home", homeOf(t, f.entry, "l1"))
	return f
}

// book makes a call that must not be repeated, with a key or without.
func book(daemon *process, key, body string) answer {
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	return call(context.Background(), daemon, http.MethodPost, "/ledger/bookings", header, body)
}

// runs counts the service's runs of a body.
func (f *ledgerFleet) runs(body string) int {
	f.t.Helper()
	count := 0
	for _, record := range serviceRecords(f.t, f.target) {
		if record.Body == body {
			count++
		}
	}
	return count
}

// judge compares what a caller was told with the service's own records.
func (f *ledgerFleet) judge(body string, told answer) {
	f.t.Helper()
	runs := f.runs(body)
	must.LessEq(f.t, 1, runs, must.Sprintf("%s ran %d times", body, runs))
	if told.complete {
		must.Eq(f.t, 1, runs, must.Sprintf("%s was answered", body))
	}
	if told.refusal != nil && told.refusal.Outcome == "not_run" {
		must.Eq(f.t, 0, runs, must.Sprintf("%s was refused as not run", body))
	}
}

// outcome says in a word what a caller was told.
func (a answer) outcome() string {
	switch {
	case a.complete:
		return "answered"
	case a.refusal != nil:
		return a.refusal.Outcome
	}
	return "nothing"
}

func TestBookingRunsOnceWhenItsHomeFreezes(t *testing.T) {
	f := startSmallFleet(t)
	home := homeOf(t, f.daemons["d1"], "l1")
	entry := f.otherDaemon(home)
	f.daemons[home].freeze()
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	booked := call(context.Background(), entry, http.MethodPost, "/ledger/bookings", header, "one catch")
	must.Eq(t, http.StatusOK, booked.status)
	f.daemons[home].thaw()
	f.awaitSettled(1)
	must.Len(t, 1, serviceRecords(t, f.engines["l1"]))
}

func TestBookingUnderFailure(t *testing.T) {
	const slowMS = 1500 // how long a run takes when a test acts in the middle of it
	hold := func(f *ledgerFleet) { f.toHome.add("hold", "timeout", "downstream", `{"timeout":0}`) }
	slow := func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DelayMS: slowMS}) }
	loseSlowly := func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DelayMS: slowMS, LoseAnswers: 1}) }
	for _, test := range []struct {
		name   string
		before func(*ledgerFleet)
		during func(*ledgerFleet) // once the service runs the call; nil: not at all
		after  func(*ledgerFleet)
		told   string
		runs   int
	}{
		{"home killed before permission", func(f *ledgerFleet) { f.home.kill(); delete(f.daemons, "home") }, nil, nil, "answered", 1},
		{"home frozen before permission", func(f *ledgerFleet) { f.home.freeze() }, nil, func(f *ledgerFleet) { f.home.thaw() }, "answered", 1},
		{"home's question held back", hold, nil, func(f *ledgerFleet) { f.toHome.restore() }, "answered", 1},
		{"home killed after permission", slow, func(f *ledgerFleet) { f.home.kill(); delete(f.daemons, "home") }, nil, "unknown", 1},
		{"home frozen after permission", slow, func(f *ledgerFleet) { f.home.freeze() }, func(f *ledgerFleet) { f.home.thaw() }, "unknown", 1},
		{"entry killed after permission", slow, func(f *ledgerFleet) { f.entry.kill(); delete(f.daemons, "entry") }, nil, "nothing", 1},
		{"service loses its answer", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{LoseAnswers: 1}) }, nil, nil, "unknown", 1},
		{"service answers another request", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{WrongIDs: 1}) }, nil, nil, "unknown", 1},
		{"service drains", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{Refuse: "draining"}) }, nil, nil, "not_run", 0},
		{"service cannot be reached", func(f *ledgerFleet) { f.toTarget.proxy.Stop() }, nil, nil, "not_run", 0},
		{"connection to the service reset", func(f *ledgerFleet) { f.toTarget.add("reset", "reset_peer", "upstream", `{"timeout":0}`) }, nil, nil, "unknown", 0},
		{"connection lost while the service runs", slow, func(f *ledgerFleet) { f.toTarget.proxy.Stop() }, nil, "unknown", 1},
		{"platform away", func(f *ledgerFleet) { setFault(f.t, f.platform, platform.Fault{Outage: true}) }, nil, nil, "answered", 1},
		{"home frozen and answer lost", loseSlowly, func(f *ledgerFleet) { f.home.freeze() }, func(f *ledgerFleet) { f.home.thaw() }, "unknown", 1},
		{"home frozen twice", func(f *ledgerFleet) { f.home.freeze() }, nil, func(f *ledgerFleet) {
			f.home.thaw()
			f.home.freeze()
			f.home.thaw()
		}, "answered", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startLedgerFleet(t, "")
			test.before(f)
			done := make(chan answer, 1)
			go func() { done <- book(f.entry, "", "one catch") }()
			if test.during != nil {
				waitFor(t, settleLimit, "the service runs the call", func() bool { return f.runs("one catch") > 0 })
				test.during(f)
			}
			told := <-done
			if test.after != nil {
				test.after(f)
			}
			f.awaitSettled(1)
			must.Eq(t, test.runs, f.runs("one catch"))
			must.Eq(t, test.told, told.outcome(), must.Sprintf("%+v %v", told.refusal, told.err))
			f.judge("one catch", told)
		})
	}
}

// TestRefusedBookingNeverRan sends bookings before the home freezes, while it is
// frozen and the service out of reach, and after both are back, again and again.
func TestRefusedBookingNeverRan(t *testing.T) {
	const (
		rounds = 3
		batch  = 10
		slowMS = 100
	)
	f := startLedgerFleet(t, "")
	outcomes := make(map[string]int)
	for round := range rounds {
		setFault(t, f.target, service.Fault{DelayMS: slowMS, LoseAnswers: round})
		bodies := func(phase string) (bodies []string) {
			for n := range batch {
				bodies = append(bodies, fmt.Sprintf("catch %d %s in round %d", n, phase, round))
			}
			return bodies
		}
		running := f.bookAll(bodies("running"))
		waitFor(t, settleLimit, "a call runs", func() bool { return len(serviceRecords(t, f.target)) > round*batch*2 })
		f.home.freeze()
		f.toTarget.proxy.Stop()
		frozen := f.bookAll(bodies("frozen"))
		told := running()
		maps.Copy(told, frozen())
		f.home.thaw()
		must.NoError(t, f.toTarget.proxy.Start())
		f.awaitSettled(1)
		maps.Copy(told, f.bookAll(bodies("restored"))())
		for body, answered := range told {
			f.judge(body, answered)
			outcomes[answered.outcome()]++
		}
	}
	t.Logf("outcomes: %v", outcomes)
	must.Positive(t, outcomes["answered"])
	must.Positive(t, outcomes["unknown"])
	must.Positive(t, outcomes["not_run"])
}

// bookAll sends bookings at the same time; the result waits for their answers.
func (f *ledgerFleet) bookAll(bodies []string) func() map[string]answer {
	told := make([]answer, len(bodies))
	var group sync.WaitGroup
	for n, body := range bodies {
		group.Go(func() { told[n] = book(f.entry, "", body) })
	}
	return func() map[string]answer {
		group.Wait()
		byBody := make(map[string]answer)
		for n, body := range bodies {
			byBody[body] = told[n]
		}
		return byBody
	}
}
