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

// world drives a controller with random events and checks what must always
// hold.
type world struct {
	*bench
	random  *rand.Rand
	running map[Ticket]string // engine, by ticket
	queued  map[Ticket]Request
	own     map[string]int
	news    uint64
}

const (
	worldEngines = 4
	worldQueue   = 3 // of describe
)

func newWorld(t *testing.T, seed uint64) *world {
	text := describe("workspaces: [{name: a, share: 2}, {name: b}, {name: c, max_in_flight: 12}]\n", 16, 8, 16, 4)
	return &world{
		bench:   newBench(t, text),
		random:  rand.New(rand.NewPCG(seed, 0)),
		running: make(map[Ticket]string),
		queued:  make(map[Ticket]Request),
		own:     make(map[string]int),
	}
}

func (w *world) engine() string { return fmt.Sprintf("e%d", 1+w.random.IntN(worldEngines)) }

func (w *world) step() {
	w.now = w.now.Add(time.Duration(w.random.IntN(50)) * time.Millisecond)
	switch w.random.IntN(20) {
	case 0:
		name := w.engine()
		w.away[name] = !w.away[name]
	case 1:
		w.news++
		w.peerSays("d2", 1+w.news/100, w.news, w.random.Uint32N(8), w.random.Uint32N(4), w.random.Uint32N(8))
	case 2:
		w.control.PeerDown("d2", w.now)
	case 3:
		w.control.SetReport(w.engine(), w.random.IntN(20), w.now)
	case 4, 5, 6:
		w.pass(0)
	case 7, 8, 9, 10, 11:
		w.releaseOne()
	default:
		w.arrive()
	}
	w.settle()
	w.check()
}

func (w *world) arrive() {
	request := Request{
		Engine:     w.engine(),
		Workspace:  []string{"a", "b", "c"}[w.random.IntN(3)],
		Priority:   w.random.Int32N(3),
		Deadline:   w.now.Add(time.Duration(w.random.IntN(4000)) * time.Millisecond),
		LastResort: w.random.IntN(2) == 0,
		Resumed:    w.random.IntN(30) == 0,
	}
	decision := w.admit(request)
	switch decision.Outcome {
	case Admitted:
		if !request.Resumed {
			w.checkBound(request.Engine)
		}
		w.started(decision.Ticket, request.Engine)
	case Queued:
		w.queued[decision.Ticket] = request
	case Refused:
		must.True(w.t, decision.Refusal.DidNotRun())
	}
}

func (w *world) started(ticket Ticket, engine string) {
	w.running[ticket] = engine
	w.own[engine]++
}

// releaseOne releases a running or a queued request, at times twice.
func (w *world) releaseOne() {
	for _, ticket := range slices.Sorted(maps.Keys(w.running)) {
		engine := w.running[ticket]
		w.release(ticket)
		w.release(ticket)
		delete(w.running, ticket)
		w.own[engine]--
		return
	}
	for _, ticket := range slices.Sorted(maps.Keys(w.queued)) {
		w.release(ticket)
		delete(w.queued, ticket)
		return
	}
}

// checkBound checks an engine that has just taken a request against the promise:
// the load bound times the mean, rounded up.
func (w *world) checkBound(name string) {
	const bound = 1.25
	target := w.control.engines[name]
	mean := float64(target.service.load) / target.service.weight
	most := min(math.Ceil(bound*mean*target.weight()), float64(target.capacity))
	must.LessEq(w.t, int(most), target.carried(), must.Sprintf("requests on %s", name))
	must.False(w.t, w.away[name])
}

// settle takes in the final decisions on queued requests. A request that has
// started leaves none of its workspace behind that is more urgent.
func (w *world) settle() {
	for ticket, decision := range w.final {
		request, known := w.queued[ticket]
		must.True(w.t, known, must.Sprint("decided twice, or after its release"))
		delete(w.queued, ticket)
		if decision.Outcome == Admitted {
			w.started(ticket, request.Engine)
			w.checkOrder(request)
		}
	}
	clear(w.final)
}

func (w *world) checkOrder(started Request) {
	for ticket, left := range w.queued {
		if w.final[ticket].Ticket == 0 && left.Engine == started.Engine && left.Workspace == started.Workspace {
			must.LessEq(w.t, started.Priority, left.Priority)
		}
	}
}

func (w *world) check() {
	waiting := make(map[string]int)
	for ticket, request := range w.queued {
		waiting[request.Engine]++
		must.True(w.t, w.now.Before(request.Deadline.Add(TickInterval)), must.Sprintf("ticket %d waits past its deadline", ticket))
	}
	for name, target := range w.control.engines {
		must.Eq(w.t, w.own[name], target.own)
		must.GreaterEq(w.t, 0, target.peers)
		must.GreaterEq(w.t, 0, target.left)
		must.LessEq(w.t, worldQueue+target.capacity, waiting[name])
		must.Eq(w.t, waiting[name], len(target.queue))
	}
	w.checkSums()
}

// checkSums compares the incremental sums with a count from scratch.
func (w *world) checkSums() {
	load, weight := 0, 0.0
	known := w.control.services["writer"]
	for _, target := range known.engines {
		if target.taking {
			load += target.counted()
			weight += target.weight()
		}
	}
	must.Eq(w.t, load, known.load)
	must.InDelta(w.t, weight, known.weight, 1e-6)
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	const steps = 5000
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			w := newWorld(t, seed)
			for range steps {
				w.step()
			}
			w.now = w.now.Add(time.Minute)
			w.pass(0)
			w.settle()
			must.MapEmpty(t, w.queued)
		})
	}
}
