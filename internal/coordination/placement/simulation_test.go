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

// kind is a kind of request of the simulated load.
type kind struct {
	perSecond float64
	sessions  int
	lasts     time.Duration // mean time at an engine
}

// calm is the load of the smaller of the users' sites on a calm afternoon.
var calm = []kind{
	{26.7, 90, 1300 * time.Millisecond},
	{56.5, 192, 1000 * time.Millisecond},
	{45.2, 102, 150 * time.Millisecond},
}

// happening is an event of the simulation.
type happening struct {
	at time.Time
	do func(now time.Time)
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation plays daemons that share engines and know of each other only by the
// engines' reports, which come with answers.
type simulation struct {
	random  *rand.Rand
	agenda  agenda
	daemons []*Table
	held    map[string]int // requests that each engine holds
	total   int
	sent    []bool // for each request in turn: did it reach an engine above the bound
	sentAt  []time.Time
}

func (s *simulation) after(now time.Time, delay time.Duration, do func(now time.Time)) {
	heap.Push(&s.agenda, happening{now.Add(delay), do})
}

func (s *simulation) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-s.random.Float64()) * float64(mean))
}

// arrivals sends the requests of one kind.
func (s *simulation) arrivals(name string, k kind, engines int) func(now time.Time) {
	return func(now time.Time) {
		s.after(now, s.exponential(time.Duration(float64(time.Second)/k.perSecond)), s.arrivals(name, k, engines))
		// Sessions are asked for unevenly, as the users' are.
		number := int(float64(k.sessions) * math.Pow(s.random.Float64(), 1/(1-0.3)))
		s.send(session(fmt.Sprint(name, number)), s.exponential(k.lasts), engines, now)
	}
}

func (s *simulation) send(query Query, lasts time.Duration, engines int, now time.Time) {
	const (
		linkDelay  = 2 * time.Millisecond
		firstToken = 40 * time.Millisecond
	)
	daemon := s.daemons[s.random.IntN(len(s.daemons))]
	id := daemon.Choose(query, now).Target.ID
	daemon.Start(id, query)
	s.after(now, linkDelay, func(now time.Time) {
		mean := float64(s.total) / float64(engines)
		s.sent = append(s.sent, float64(s.held[id]) > 2*mean+3)
		s.sentAt = append(s.sentAt, now)
		s.held[id]++
		s.total++
	})
	s.after(now, firstToken, func(now time.Time) {
		daemon.Report(id, relay.Load{Running: s.held[id], Slots: 64}, now)
	})
	s.after(now, firstToken+lasts, func(time.Time) {
		s.held[id]--
		s.total--
		daemon.End(id)
	})
}

// worst returns the largest share of requests above the bound in any five
// seconds.
func (s *simulation) worst() float64 {
	worst := 0.0
	for from := range s.sent {
		over, count := 0, 0
		for i := from; i < len(s.sent) && s.sentAt[i].Sub(s.sentAt[from]) < 5*time.Second; i++ {
			count++
			if s.sent[i] {
				over++
			}
		}
		if over >= 20 {
			worst = max(worst, float64(over)/float64(count))
		}
	}
	return worst
}

// The users allow 3 in 100 requests, and 20, in five seconds to reach an engine
// that holds more than twice the mean and 3.
func TestBoundHoldsAmongDaemonsThatKnowOnlyReports(t *testing.T) {
	const engines, daemons = 12, 6
	for seed := range uint64(40) {
		s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), held: make(map[string]int)}
		for range daemons {
			table := NewTable("north", start)
			table.SetMembers(members(engines))
			s.daemons = append(s.daemons, table)
		}
		for i, k := range calm {
			s.after(start, 0, s.arrivals(fmt.Sprint(seed, "-", i, "-"), k, engines))
		}
		end := start.Add(40 * time.Second)
		for s.agenda[0].at.Before(end) {
			next := heap.Pop(&s.agenda).(happening)
			next.do(next.at)
		}
		must.LessEq(t, 0.03, s.worst(), must.Sprintf("seed %d", seed))
	}
}
