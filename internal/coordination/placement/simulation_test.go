package placement_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/relay"
)

// requestKind describes one kind of request of the simulated load.
type requestKind struct {
	perSecond    float64
	sessions     int
	meanDuration time.Duration // at an engine, after the first token
}

// lightLoad is the load of the smaller of the users' sites on a calm afternoon.
var lightLoad = []requestKind{
	{26.7, 90, 1300 * time.Millisecond},
	{56.5, 192, 1000 * time.Millisecond},
	{45.2, 102, 150 * time.Millisecond},
}

// event is a function to run at a simulated time.
type event struct {
	at  time.Time
	run func(now time.Time)
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation simulates daemons that share engines. A daemon knows of the other
// daemons' requests only by the load reports that come with the engines' answers.
type simulation struct {
	random    *rand.Rand
	events    eventQueue
	daemons   []*Table
	inFlight  map[string]int // requests at each engine
	total     int            // requests at all engines
	overBound []bool         // for each request: whether it reached an engine above the bound
	arrivedAt []time.Time    // for each request, in ascending order
}

func (s *simulation) schedule(now time.Time, delay time.Duration, run func(now time.Time)) {
	heap.Push(&s.events, event{now.Add(delay), run})
}

func (s *simulation) exponentialDelay(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-s.random.Float64()) * float64(mean))
}

// arrivals returns an event function that sends a request of one kind and
// schedules the next one.
func (s *simulation) arrivals(name string, k requestKind, engines int) func(now time.Time) {
	return func(now time.Time) {
		s.schedule(now, s.exponentialDelay(time.Duration(float64(time.Second)/k.perSecond)), s.arrivals(name, k, engines))
		// Sessions are chosen with a skewed distribution, as the users' sessions are.
		number := int(float64(k.sessions) * math.Pow(s.random.Float64(), 1/(1-0.3)))
		s.send(session(fmt.Sprint(name, number)), s.exponentialDelay(k.meanDuration), engines, now)
	}
}

func (s *simulation) send(query Query, duration time.Duration, engines int, now time.Time) {
	const (
		linkDelay       = 2 * time.Millisecond
		firstTokenDelay = 40 * time.Millisecond
	)
	daemon := s.daemons[s.random.IntN(len(s.daemons))]
	id := daemon.Choose(query, now).Target.ID
	daemon.RecordStart(id, query, now)
	s.schedule(now, linkDelay, func(now time.Time) {
		mean := float64(s.total) / float64(engines)
		s.overBound = append(s.overBound, float64(s.inFlight[id]) > 2*mean+3)
		s.arrivedAt = append(s.arrivedAt, now)
		s.inFlight[id]++
		s.total++
	})
	s.schedule(now, firstTokenDelay, func(now time.Time) {
		daemon.RecordReport(id, relay.LoadReport{Running: s.inFlight[id], Slots: 64}, now)
	})
	s.schedule(now, firstTokenDelay+duration, func(time.Time) {
		s.inFlight[id]--
		s.total--
		daemon.RecordEnd(id)
	})
}

// worstOverBoundShare returns the largest share of requests that reached an engine
// above the bound in any five seconds, apart from windows with fewer than 20 such
// requests.
func (s *simulation) worstOverBoundShare() float64 {
	worst := 0.0
	for first := range s.overBound {
		over, count := 0, 0
		for i := first; i < len(s.overBound) && s.arrivedAt[i].Sub(s.arrivedAt[first]) < 5*time.Second; i++ {
			count++
			if s.overBound[i] {
				over++
			}
		}
		if over >= 20 {
			worst = max(worst, float64(over)/float64(count))
		}
	}
	return worst
}

// In any five seconds the users allow 3 in 100 requests, or fewer than 20, to reach
// an engine that holds more than twice the mean number of requests plus 3.
func TestLoadBoundHoldsWithReportedLoadsOnly(t *testing.T) {
	const engines, daemons = 12, 6
	for seed := range uint64(40) {
		s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), inFlight: make(map[string]int)}
		for range daemons {
			table := NewTable("north", start)
			table.SetMembers(members(engines))
			s.daemons = append(s.daemons, table)
		}
		for i, k := range lightLoad {
			s.schedule(start, 0, s.arrivals(fmt.Sprint(seed, "-", i, "-"), k, engines))
		}
		end := start.Add(40 * time.Second)
		for s.events[0].at.Before(end) {
			next := heap.Pop(&s.events).(event)
			next.run(next.at)
		}
		must.LessEq(t, 0.03, s.worstOverBoundShare(), must.Sprintf("seed %d", seed))
	}
}
