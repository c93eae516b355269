package integration

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
)

// startUnevenFleet starts three daemons, four engines of one service with unequal
// capacities, and one plain service, all in one failure domain.
func startUnevenFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.setSmallFleetDocument()
	for i, capacity := range []int{16, 16, 8, 24} {
		definition := environment.Engine{Name: fmt.Sprintf("e%d", i+1), Service: "writer", Place: "place-a", Capacity: capacity}
		f.addEngine(definition, "engine", "--token-time", "10ms")
	}
	f.addEngine(environment.Engine{Name: "l1", Service: "ledger", Place: "place-a", Capacity: 16}, "service")
	generation := f.publish()
	for _, name := range []string{"d1", "d2", "d3"} {
		f.addDaemon(name, daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitConverged(generation)
	return f
}

// loadGenerator runs callers that each send one request after another until
// finish is called. It counts complete responses and keeps failures.
type loadGenerator struct {
	stop      chan struct{}
	wg        sync.WaitGroup
	completed atomic.Int64

	mu       sync.Mutex
	failures []string // one for each request without a complete response
}

// record counts a complete response or keeps the failure of an incomplete one.
func (g *loadGenerator) record(result callResult) {
	if result.complete {
		g.completed.Add(1)
		return
	}
	failure := fmt.Sprintf("status %d, error %v", result.status, result.err)
	if result.refusal != nil {
		failure = result.refusal.Message
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures = append(g.failures, failure)
}

// startLoadGenerator starts count callers. Each sends the request that the
// request function returns for the caller's index and its sequence number, and
// takes the daemons in turn.
func startLoadGenerator(f *fleet, count int, daemons []*process, request func(caller, sequence int) chatRequest) *loadGenerator {
	generator := &loadGenerator{stop: make(chan struct{})}
	for caller := range count {
		generator.wg.Go(func() {
			for sequence := 0; ; sequence++ {
				select {
				case <-generator.stop:
					return
				default:
				}
				entry := daemons[(caller+sequence)%len(daemons)]
				generator.record(request(caller, sequence).send(context.Background(), entry))
			}
		})
	}
	return generator
}

// finish stops the callers after their current requests.
func (g *loadGenerator) finish() {
	close(g.stop)
	g.wg.Wait()
}

// awaitCompleted waits until the callers have received that many more complete
// responses.
func (g *loadGenerator) awaitCompleted(f *fleet, more int64) {
	f.t.Helper()
	want := g.completed.Load() + more
	waitFor(f.t, callerTimeout, fmt.Sprintf("%d more complete responses", more), func() bool { return g.completed.Load() >= want })
}

// loadChange is the start or the end of one request on an engine.
type loadChange struct {
	atMS   int64 // Unix milliseconds
	engine string
	delta  int // 1 at a start, -1 at an end
}

// loadChanges returns the starts and ends in the records of a service's engines,
// in order of time. All requests must have ended.
func (f *fleet) loadChanges(service string) []loadChange {
	f.t.Helper()
	var all []loadChange
	for _, engine := range f.document.Engines {
		if engine.Service != service {
			continue
		}
		for _, record := range engineRecords(f.t, f.targets[engine.Name]) {
			must.Positive(f.t, record.EndMS)
			all = append(all, loadChange{record.StartMS, engine.Name, 1}, loadChange{record.EndMS, engine.Name, -1})
		}
	}
	slices.SortFunc(all, func(a, b loadChange) int {
		if a.atMS != b.atMS {
			return int(a.atMS - b.atMS)
		}
		return a.delta - b.delta
	})
	return all
}

// boundViolations summarizes by how much and for how long engines exceeded the
// load bound during an interval.
type boundViolations struct {
	observed, overBound time.Duration // overBound: with at least one engine above its bound
	maxExcess           int           // requests above the bound, ignoring violations shorter than recordDelay
	currentDuration     time.Duration // of the violation in progress
	currentExcess       int           // largest excess of the violation in progress
}

// recordDelay is how long an admitted request may take to appear in its engine's
// records. A shorter violation may come from this delay and not from admission.
const recordDelay = 100 * time.Millisecond

// addInterval adds an interval during which the load did not change.
func (v *boundViolations) addInterval(duration time.Duration, excess int) {
	v.observed += duration
	if excess <= 0 {
		v.currentDuration, v.currentExcess = 0, 0
		return
	}
	v.overBound += duration
	v.currentDuration += duration
	v.currentExcess = max(v.currentExcess, excess)
	if v.currentDuration >= recordDelay {
		v.maxExcess = max(v.maxExcess, v.currentExcess)
	}
}

// boundViolationsBetween computes the violations of a load bound between two
// times from the engines' records.
func (f *fleet) boundViolationsBetween(service string, bound float64, from, to time.Time) boundViolations {
	f.t.Helper()
	running := make(map[string]int)
	var violations boundViolations
	countedUntil := from.UnixMilli()
	for _, change := range f.loadChanges(service) {
		if change.atMS > countedUntil && countedUntil < to.UnixMilli() {
			until := min(change.atMS, to.UnixMilli())
			violations.addInterval(time.Duration(until-countedUntil)*time.Millisecond, f.excess(service, bound, running))
			countedUntil = until
		}
		running[change.engine] += change.delta
	}
	return violations
}

// excess returns by how many requests the most overloaded engine exceeds its
// limit: the bound times its share of the total load by capacity, rounded up.
// It returns 0 if no engine exceeds its limit.
func (f *fleet) excess(service string, bound float64, running map[string]int) int {
	totalLoad, totalCapacity, excess := 0, 0, 0
	for _, engine := range f.document.Engines {
		if engine.Service == service {
			totalLoad += running[engine.Name]
			totalCapacity += engine.Capacity
		}
	}
	for _, engine := range f.document.Engines {
		if engine.Service == service {
			allowed := math.Ceil(bound * float64(totalLoad) * float64(engine.Capacity) / float64(totalCapacity))
			excess = max(excess, running[engine.Name]-int(allowed))
		}
	}
	return excess
}

// isIdle reports whether no engine of a service has a request in progress.
func (f *fleet) isIdle(service string) bool {
	for _, engine := range f.document.Engines {
		if engine.Service != service {
			continue
		}
		for _, record := range engineRecords(f.t, f.targets[engine.Name]) {
			if record.EndMS == 0 {
				return false
			}
		}
	}
	return true
}

// TestLoadBoundHoldsDuringHomeDaemonFailure kills or freezes the home daemon of the
// most loaded engine under load. The engines must stay within the load bound while
// another daemon takes over as home daemon, and when the failed daemon resumes or a
// new one joins.
func TestLoadBoundHoldsDuringHomeDaemonFailure(t *testing.T) {
	for _, test := range []struct {
		name string
		fail func(home *process)
		// midway runs after half of the responses that follow the failure.
		midway func(f *fleet, home *process)
	}{
		{"killed", (*process).kill, func(*fleet, *process) {}},
		{"frozen and thawed", (*process).freeze, func(_ *fleet, home *process) { home.thaw() }},
		{"killed and replaced", (*process).kill, func(f *fleet, home *process) {
			delete(f.daemons, home.name)
			f.addDaemon("d4", daemonOptions{failureDomain: "domain-a"})
		}},
	} {
		t.Run(test.name, func(t *testing.T) { checkLoadBoundDuringFailure(t, test.fail, test.midway) })
	}
}

// checkLoadBoundDuringFailure lets half of the callers share one chat, so that its
// engine is always at its bound, and makes that engine's home daemon fail under load.
func checkLoadBoundDuringFailure(t *testing.T, fail func(*process), midway func(*fleet, *process)) {
	const (
		callerCount         = 30
		servedBeforeFailure = 120 // complete responses
		servedAfterFailure  = 240
		// Tolerances: a home daemon knows the load at other home daemons as of up
		// to a second ago, so the mean load may have fallen since.
		maxOverBoundShare = 0.02
		maxExcess         = 2
	)
	f := startUnevenFleet(t)
	hotChat := chatRequest{model: "hk-small", chat: "auction", maxTokens: 100, stream: true, key: testKey}
	_, homeName, _ := f.warmChatEngine(hotChat)
	home := f.daemons[homeName]
	var survivors []*process
	for name, daemon := range f.daemons {
		if name != homeName {
			survivors = append(survivors, daemon)
		}
	}
	startedAt := time.Now()
	generator := startLoadGenerator(f, callerCount, survivors, func(caller, sequence int) chatRequest {
		request := hotChat
		request.maxTokens = 50 + (caller*17+sequence*29)%100 // varied, so that requests do not end together
		if caller%2 == 0 {
			request.chat = fmt.Sprintf("chat-%d-%d", caller, sequence%3)
		}
		return request
	})
	generator.awaitCompleted(f, servedBeforeFailure)
	failedAt := time.Now()
	fail(home)
	generator.awaitCompleted(f, servedAfterFailure/2)
	midway(f, home)
	generator.awaitCompleted(f, servedAfterFailure/2)
	endedAt := time.Now()
	generator.finish()
	waitFor(t, convergenceTimeout, "the engines become idle", func() bool { return f.isIdle("writer") })

	before := f.boundViolationsBetween("writer", environment.DefaultLoadBound, startedAt, failedAt)
	after := f.boundViolationsBetween("writer", environment.DefaultLoadBound, failedAt, endedAt)
	t.Logf("bound violations before the failure %+v, after it %+v; %d complete responses", before, after, generator.completed.Load())
	for _, violations := range []boundViolations{before, after} {
		must.LessEq(t, maxOverBoundShare, violations.overBound.Seconds()/violations.observed.Seconds())
		must.LessEq(t, maxExcess, violations.maxExcess)
	}
	must.SliceEmpty(t, generator.failures, must.Sprint(generator.failures))
}
