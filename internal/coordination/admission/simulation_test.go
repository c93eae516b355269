package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// simulation sends chat requests to one service in simulated time. Each daemon is
// the home of some engines and receives the other daemons' counts by gossip.
type simulation struct {
	t             *testing.T
	random        *rand.Rand
	controllers   []*Controller // one per daemon
	engines       []simulatedEngine
	meanGap       float64       // nanoseconds between requests
	meanDuration  time.Duration // of a request
	churnInterval time.Duration // between changes of an engine's availability; 0 disables them
	now           time.Time
	completions   completionHeap

	totalTime      time.Duration
	timeAboveBound time.Duration // time with at least one engine above the load bound
	maxExcess      float64       // highest load above the bound, as a fraction of the engine's capacity
	served         int
	refused        int
}

type simulatedEngine struct {
	name        string
	capacity    int
	home        int // index of the home daemon
	unavailable bool
}

// completion is the scheduled end of a running request.
type completion struct {
	at     time.Time
	daemon int
	ticket Ticket
}

// completionHeap orders completions by time, the earliest first.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// newSimulation returns a simulation in which the mean load is a fraction,
// offeredLoad, of the total capacity.
func newSimulation(t *testing.T, seed uint64, daemons int, offeredLoad float64, capacities []int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 0)), meanDuration: 10 * time.Second, now: epoch}
	text := strings.Replace(testDocument("", capacities...), "queue_length: 3", "queue_length: 8", 1)
	document, err := environment.Parse([]byte(text))
	must.NoError(t, err)
	totalCapacity := 0
	for i, capacity := range capacities {
		totalCapacity += capacity
		s.engines = append(s.engines, simulatedEngine{fmt.Sprintf("e%d", i+1), capacity, i % daemons, false})
	}
	s.meanGap = float64(s.meanDuration) / (offeredLoad * float64(totalCapacity))
	for range daemons {
		controller := New(func(name string) bool { return !s.findEngine(name).unavailable })
		controller.SetDocument(document)
		s.controllers = append(s.controllers, controller)
	}
	return s
}

func (s *simulation) findEngine(name string) *simulatedEngine {
	for i := range s.engines {
		if s.engines[i].name == name {
			return &s.engines[i]
		}
	}
	s.t.Fatalf("no engine %s in the simulation", name)
	return nil
}

func (s *simulation) run(duration time.Duration) {
	stop := s.now.Add(duration)
	nextArrival, nextTick, nextChurn := s.now, s.now, s.now.Add(s.churnInterval)
	for s.now.Before(stop) {
		next := nextTick
		if nextArrival.Before(next) {
			next = nextArrival
		}
		if len(s.completions) > 0 && s.completions[0].at.Before(next) {
			next = s.completions[0].at
		}
		s.recordLoads(next.Sub(s.now))
		s.now = next
		switch {
		case len(s.completions) > 0 && !s.completions[0].at.After(next):
			completed := heap.Pop(&s.completions).(completion)
			s.applyDecisions(completed.daemon, s.controllers[completed.daemon].Release(completed.ticket, s.now))
		case !nextArrival.After(next):
			s.submitRequest()
			nextArrival = nextArrival.Add(time.Duration(s.random.ExpFloat64() * s.meanGap))
		default:
			s.tick()
			nextTick = nextTick.Add(TickInterval)
			if s.churnInterval > 0 && !s.now.Before(nextChurn) {
				nextChurn = nextChurn.Add(s.churnInterval)
				s.toggleEngine()
			}
		}
	}
}

// tick calls Tick for each daemon, which then exchanges counts with at most one
// random peer.
func (s *simulation) tick() {
	for i, controller := range s.controllers {
		s.applyDecisions(i, controller.Tick(s.now))
		if other := s.random.IntN(len(s.controllers)); other != i {
			s.sendLoads(i, other)
			s.sendLoads(other, i)
		}
	}
}

func (s *simulation) sendLoads(from, to int) {
	loads := []*peerpb.DaemonLoad{s.controllers[from].OwnLoad(fmt.Sprint(from), 1)}
	for _, load := range s.controllers[from].PeerLoads() {
		loads = append(loads, load)
	}
	s.controllers[to].MergeLoads(fmt.Sprint(to), loads, s.now)
}

// toggleEngine makes the unavailable engine available again, or makes a random
// engine unavailable if there is none.
func (s *simulation) toggleEngine() {
	for i := range s.engines {
		if s.engines[i].unavailable {
			s.engines[i].unavailable = false
			return
		}
	}
	s.engines[s.random.IntN(len(s.engines))].unavailable = true
}

func (s *simulation) applyDecisions(daemon int, decisions []Decision) {
	for _, decision := range decisions {
		if decision.Outcome == Admitted {
			s.startRequest(daemon, decision.Ticket)
		} else {
			s.route(decision.Refusal.BetterEngine, 2)
		}
	}
}

func (s *simulation) startRequest(daemon int, ticket Ticket) {
	s.served++
	duration := time.Duration(s.random.ExpFloat64() * float64(s.meanDuration))
	heap.Push(&s.completions, completion{s.now.Add(duration), daemon, ticket})
}

// submitRequest sends a request of a random chat. Some chats send far more requests
// than others.
func (s *simulation) submitRequest() {
	const chats = 2000
	chat := ranking.Hash(fmt.Sprint(int(math.Pow(s.random.Float64(), 2) * chats)))
	var candidates []ranking.Candidate
	for _, engine := range s.engines {
		if !engine.unavailable {
			candidates = append(candidates, ranking.Candidate{Name: engine.name, Weight: float64(engine.capacity)})
		}
	}
	s.route(ranking.Order(chat, candidates)[0], 1)
}

// route tries engines one after another, as the entry daemon does: the refusal of
// each home daemon names the engine to try next.
func (s *simulation) route(next string, attempt int) {
	const attemptLimit = 4
	for ; next != ""; attempt++ {
		home := s.findEngine(next).home
		request := Request{Engine: next, Service: "writer", Deadline: s.now.Add(s.meanDuration), LastResort: attempt == attemptLimit, Warm: attempt == 1}
		decision, others := s.controllers[home].Admit(request, s.now)
		s.applyDecisions(home, others)
		if decision.Outcome != Refused {
			if decision.Outcome == Admitted {
				s.startRequest(home, decision.Ticket)
			}
			return
		}
		next = decision.Refusal.BetterEngine
	}
	s.refused++
}

// recordLoads updates the statistics with the current loads of the engines, which
// were the same for the elapsed time. The mean load is that of all available
// engines, by their full capacity.
func (s *simulation) recordLoads(elapsed time.Duration) {
	load, capacity, highestExcess := 0, 0, 0.0
	for _, engine := range s.engines {
		if !engine.unavailable {
			load += s.controllers[engine.home].engines[engine.name].ownInFlight
			capacity += engine.capacity
		}
	}
	meanLoad := float64(load) / float64(capacity)
	for _, engine := range s.engines {
		inFlight := s.controllers[engine.home].engines[engine.name].ownInFlight
		excess := float64(inFlight) - math.Ceil(environment.DefaultLoadBound*meanLoad*float64(engine.capacity))
		if !engine.unavailable {
			highestExcess = max(highestExcess, excess/float64(engine.capacity))
		}
	}
	s.totalTime += elapsed
	if highestExcess > 0 {
		s.timeAboveBound += elapsed
		s.maxExcess = max(s.maxExcess, highestExcess)
	}
}

// cycle returns count capacities that repeat a pattern.
func cycle(count int, pattern ...int) []int {
	var capacities []int
	for i := range count {
		capacities = append(capacities, pattern[i%len(pattern)])
	}
	return capacities
}

// TestBoundHoldsWhileTheMeanMoves checks that engines exceed the load bound no
// longer and no further than the package comment states while engines join and
// leave, and that few requests are refused while engines have capacity left.
func TestBoundHoldsWhileTheMeanMoves(t *testing.T) {
	const (
		daemons           = 6
		duration          = 10 * time.Minute
		churnInterval     = 40 * time.Second
		maxTimeAboveBound = 0.01
		maxExcess         = 1.0 / 8
		maxRefusedRatio   = 0.005
	)
	for _, test := range []struct {
		name       string
		capacities []int
		offered    float64
	}{
		{"20 engines of 16", cycle(20, 16, 16, 8, 24), 0.7},
		{"12 engines of 40", cycle(12, 40, 40, 20, 60), 0.7},
		{"12 engines of 40, quiet", cycle(12, 40, 40, 20, 60), 0.3},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, seed %d", test.name, seed), func(t *testing.T) {
				s := newSimulation(t, seed, daemons, test.offered, test.capacities)
				s.churnInterval = churnInterval
				s.run(duration)
				aboveBound := s.timeAboveBound.Seconds() / s.totalTime.Seconds()
				t.Logf("above the bound %.3f%% of the time, by %.3f of the capacity at most; %d served, %d refused",
					100*aboveBound, s.maxExcess, s.served, s.refused)
				must.Less(t, maxTimeAboveBound, aboveBound)
				must.LessEq(t, maxExcess, s.maxExcess)
				must.Less(t, maxRefusedRatio, float64(s.refused)/float64(s.served))
			})
		}
	}
}
