package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// burstLoad describes callers that begin at once on an idle service and then each send one request
// after another.
type burstLoad struct {
	callers  int
	shortest time.Duration // of a request; the longest takes three times as long
	exchange time.Duration // interval at which each home tells each other one its counts
	latency  time.Duration // mean time that a call takes to its home
	patience time.Duration // time within which a request must start
}

// burst routes the requests of a burstLoad as entry daemons do.
type burst struct {
	*simulation
	burstLoad
	events   []burstEvent
	queued   []map[Ticket]*burstRequest // by home
	refusals []string
	longest  time.Duration // wait of a request until its start
}

type burstEvent struct {
	at     time.Time
	happen func()
}

type burstRequest struct {
	*route.Route
	deadline  time.Time
	busyLoads []*peerpb.DaemonLoad // of the homes that refused the request
}

func (b *burst) after(delay time.Duration, happen func()) {
	b.events = append(b.events, burstEvent{b.now.Add(delay), happen})
}

// begin sends a new request. Half of the callers prefer the same engine.
func (b *burst) begin(caller int) {
	engines := []string{"e1", "e2", "e3", "e4", "e1", "e2", "e3", "e4"}
	first := 1
	if caller%2 == 0 {
		first = b.random.IntN(4)
	}
	b.attempt(&burstRequest{Route: route.New(route.Request{Repeatable: true}, engines[first:first+4]), deadline: b.now.Add(b.patience)}, caller)
}

func (b *burst) attempt(r *burstRequest, caller int) {
	next, refused := r.Next()
	if refused != nil {
		b.refusals = append(b.refusals, refused.Detail)
		return
	}
	home := b.findEngine(next.Engine).home
	loads := r.busyLoads
	b.after(time.Duration(b.random.ExpFloat64()*float64(b.latency)), func() {
		b.controllers[home].MergeLoads(fmt.Sprint(home), loads, b.now)
		decision, others := b.controllers[home].Admit(Request{
			Engine: next.Engine, Service: "writer", Workspace: "w", Deadline: r.deadline, LastResort: next.LastResort, LeavesQueue: next.LeavesQueue,
		}, b.now)
		b.decide(home, append(others, decision), r, caller)
	})
}

// decide applies a home's decisions. The request is the one that has just arrived.
func (b *burst) decide(home int, decisions []Decision, arrived *burstRequest, caller int) {
	for _, decision := range decisions {
		r := b.queued[home][decision.Ticket]
		delete(b.queued[home], decision.Ticket)
		if r == nil {
			r = arrived
		}
		switch decision.Outcome {
		case Queued:
			b.queued[home][decision.Ticket] = r
		case Refused:
			r.RecordRefusal(fmt.Sprint(home), refusal.FromProto(decision.Refusal.ToProto()))
			r.busyLoads = append(r.busyLoads, b.controllers[home].OwnLoad(fmt.Sprint(home), 1))
			b.attempt(r, caller)
		case Admitted:
			b.longest = max(b.longest, b.now.Sub(r.deadline.Add(-b.patience)))
			duration := b.shortest + time.Duration(b.random.Int64N(int64(2*b.shortest)))
			b.after(duration, func() {
				b.decide(home, b.controllers[home].Release(decision.Ticket, b.now), nil, caller)
				b.begin(b.random.IntN(b.callers))
			})
		}
	}
}

func (b *burst) run(duration time.Duration) {
	const step = 5 * time.Millisecond
	for caller := range b.callers {
		b.begin(caller)
	}
	for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
		b.now = b.now.Add(step)
		events := b.events
		b.events = nil
		for _, event := range events {
			if event.at.After(b.now) {
				b.events = append(b.events, event)
				continue
			}
			event.happen()
		}
		for from, controller := range b.controllers {
			if elapsed%TickInterval == 0 {
				b.decide(from, controller.Tick(b.now), nil, 0)
			}
			if elapsed%b.exchange == 0 {
				for to := range b.controllers {
					b.sendLoads(from, to)
					b.decide(to, b.controllers[to].ProcessQueues(b.now), nil, 0)
				}
			}
		}
	}
}

// Callers that begin at once on an idle service, while the counts of other homes are on their
// way, collect as last resorts in the queue of one engine. None may be refused while other
// engines have room.
func TestBurstIsNotRefusedWhileEnginesHaveRoom(t *testing.T) {
	var loads []burstLoad
	for _, callers := range []int{12, 30, 45} {
		for _, shortest := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
			for _, exchange := range []time.Duration{TickInterval, time.Second, loadPropagationDelay} {
				for _, latency := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond} {
					for _, patience := range []time.Duration{5 * time.Second, 10 * time.Second} {
						loads = append(loads, burstLoad{callers, shortest, exchange, latency, patience})
					}
				}
			}
		}
	}
	for _, load := range loads {
		t.Run(fmt.Sprintf("%+v", load), func(t *testing.T) {
			for seed := range uint64(3) {
				b := &burst{simulation: newSimulation(t, seed, 3, 1, []int{16, 16, 8, 24}), burstLoad: load}
				for home := range b.controllers {
					b.queued = append(b.queued, make(map[Ticket]*burstRequest))
					b.controllers[home].Tick(b.now)
				}
				b.run(15 * time.Second)
				must.SliceEmpty(t, b.refusals, must.Sprintf("seed %d, longest wait %s: %v", seed, b.longest, b.refusals))
			}
		})
	}
}
