package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// randomRun drives a controller with random events and checks its invariants after
// each event.
type randomRun struct {
	*harness
	random          *rand.Rand
	runningOn       map[Ticket]string // engine name
	queued          map[Ticket]Request
	runningByEngine map[string]int
	peerSequence    uint64
}

const (
	engineCount    = 4
	maxQueueLength = 3 // queue_length in testDocument
	// serviceCapacity is the capacity of all engines. What a service has room for may wait
	// at one engine.
	serviceCapacity = 16 + 8 + 16 + 4
)

func newRandomRun(t *testing.T, seed uint64) *randomRun {
	text := testDocument("workspaces: [{name: a, share: 2}, {name: b}, {name: c, max_in_flight: 12}]\n", 16, 8, 16, 4)
	return &randomRun{
		harness:         newHarness(t, text),
		random:          rand.New(rand.NewPCG(seed, 0)),
		runningOn:       make(map[Ticket]string),
		queued:          make(map[Ticket]Request),
		runningByEngine: make(map[string]int),
	}
}

func (r *randomRun) randomEngine() string { return fmt.Sprintf("e%d", 1+r.random.IntN(engineCount)) }

func (r *randomRun) step() {
	r.now = r.now.Add(time.Duration(r.random.IntN(50)) * time.Millisecond)
	switch r.random.IntN(20) {
	case 0:
		name := r.randomEngine()
		r.unavailable[name] = !r.unavailable[name]
	case 1:
		r.peerSequence++
		r.mergePeerCounts("d2", 1+r.peerSequence/100, r.peerSequence, r.random.Uint32N(8), r.random.Uint32N(4), r.random.Uint32N(8))
	case 2:
		r.controller.PeerDown("d2", r.now)
	case 3:
		r.controller.SetEngineReport(r.randomEngine(), r.random.IntN(20), r.now)
	case 4, 5, 6:
		r.advance(0)
	case 7, 8, 9, 10, 11:
		r.releaseOne()
	default:
		r.admitRandom()
	}
	r.applyFinalDecisions()
	r.checkInvariants()
}

func (r *randomRun) admitRandom() {
	request := Request{
		Engine:      r.randomEngine(),
		Workspace:   []string{"a", "b", "c"}[r.random.IntN(3)],
		Priority:    r.random.Int32N(3),
		Deadline:    r.now.Add(time.Duration(r.random.IntN(4000)) * time.Millisecond),
		LastResort:  r.random.IntN(2) == 0,
		LeavesQueue: r.lastID%2 == 0,
		Resumed:     r.random.IntN(30) == 0,
	}
	decision := r.admit(request)
	switch decision.Outcome {
	case Admitted:
		if !request.Resumed {
			r.checkBound(request.Engine)
		}
		r.recordStarted(decision.Ticket, request.Engine)
	case Queued:
		r.queued[decision.Ticket] = request
	case Refused:
		must.True(r.t, decision.Refusal.DidNotRun())
	}
}

func (r *randomRun) recordStarted(ticket Ticket, engine string) {
	r.runningOn[ticket] = engine
	r.runningByEngine[engine]++
}

// releaseOne releases a running request twice, or a queued request once if none
// runs.
func (r *randomRun) releaseOne() {
	for _, ticket := range slices.Sorted(maps.Keys(r.runningOn)) {
		engine := r.runningOn[ticket]
		r.release(ticket)
		r.release(ticket)
		delete(r.runningOn, ticket)
		r.runningByEngine[engine]--
		return
	}
	for _, ticket := range slices.Sorted(maps.Keys(r.queued)) {
		r.release(ticket)
		delete(r.queued, ticket)
		return
	}
}

// checkBound checks that an engine which has just admitted a request does not
// exceed the load bound times the mean load, rounded up.
func (r *randomRun) checkBound(engineName string) {
	const bound = 1.25
	target := r.controller.engines[engineName]
	meanLoad := float64(target.service.load) / target.service.effectiveCapacity
	maxLoad := min(math.Ceil(bound*meanLoad*target.effectiveCapacity()), float64(target.capacity))
	must.LessEq(r.t, int(maxLoad), target.estimatedLoad(), must.Sprintf("load of %s after an admission", engineName))
	must.False(r.t, r.unavailable[engineName])
}

// applyFinalDecisions processes the final decisions on queued requests.
func (r *randomRun) applyFinalDecisions() {
	for ticket, decision := range r.finalDecisions {
		request, ok := r.queued[ticket]
		must.True(r.t, ok, must.Sprint("final decision on a request that is not queued"))
		delete(r.queued, ticket)
		if decision.Outcome == Admitted {
			r.recordStarted(ticket, request.Engine)
			r.checkPriorityOrder(request)
		}
	}
	clear(r.finalDecisions)
}

// checkPriorityOrder checks that a started request leaves no request of its
// workspace with a higher priority in the engine's queue. It skips requests that
// were decided in the same batch.
func (r *randomRun) checkPriorityOrder(started Request) {
	for ticket, waiting := range r.queued {
		if r.finalDecisions[ticket].Ticket == 0 && waiting.Engine == started.Engine && waiting.Workspace == started.Workspace {
			must.LessEq(r.t, started.Priority, waiting.Priority)
		}
	}
}

func (r *randomRun) checkInvariants() {
	queuedByEngine := make(map[string]int)
	for ticket, request := range r.queued {
		queuedByEngine[request.Engine]++
		must.True(r.t, r.now.Before(request.Deadline.Add(TickInterval)), must.Sprintf("ticket %d is still queued after its deadline", ticket))
	}
	for name, target := range r.controller.engines {
		must.Eq(r.t, r.runningByEngine[name], target.ownInFlight)
		must.GreaterEq(r.t, 0, target.peerInFlight)
		must.GreaterEq(r.t, 0, target.unaccounted)
		must.LessEq(r.t, maxQueueLength+serviceCapacity, queuedByEngine[name])
		must.Eq(r.t, queuedByEngine[name], len(target.queue))
	}
	r.checkSums()
}

// checkSums compares the service's incrementally updated sums with recomputed ones.
func (r *randomRun) checkSums() {
	load, capacity := 0, 0.0
	svc := r.controller.services["writer"]
	for _, target := range svc.engines {
		if target.accepting {
			load += target.liveLoad()
			capacity += target.effectiveCapacity()
		}
	}
	must.Eq(r.t, load, svc.load)
	must.InDelta(r.t, capacity, svc.effectiveCapacity, 1e-6)
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	const steps = 5000
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			r := newRandomRun(t, seed)
			for range steps {
				r.step()
			}
			r.now = r.now.Add(time.Minute)
			r.advance(0)
			r.applyFinalDecisions()
			must.MapEmpty(t, r.queued)
		})
	}
}
