package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

// plainService is a service of the users' large site: targets that serve six requests at
// once and queue three more, for 60 ms each, in six failure domains.
const (
	plainTargets   = 10
	plainDomains   = 6
	plainSlots     = 6
	plainQueue     = 3
	plainDuration  = 60 * time.Millisecond
	plainPerSecond = 700 // half as many again as on a quiet day
)

// rejectedShare plays the requests of a minute that reach daemons at random, and returns
// the share that finds its target's queue full. Targets report their load with their
// answers only.
func rejectedShare(daemons int, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &simulation{random: random, inFlight: make(map[string]int)}
	var targets []roster.Member
	for i := range plainTargets {
		targets = append(targets, roster.Member{FirstSeen: start, Target: &fleet.Target{
			ID: fmt.Sprintf("t%d", i), Service: "plain", Address: fmt.Sprintf("10.0.0.%d:80", i), FailureDomain: fmt.Sprint(i % plainDomains), Slots: plainSlots,
		}})
	}
	for i := range daemons {
		table := NewTable(fmt.Sprint(i%plainDomains), start)
		table.SetMembers(targets)
		s.daemons = append(s.daemons, table)
	}
	rejected, all := 0, 0
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		s.schedule(now, s.exponentialDelay(time.Second/plainPerSecond), arrive)
		daemon := s.daemons[random.IntN(daemons)]
		query := Query{Service: "plain", Draw: random.Uint64() | 1, Excluded: never, Reachable: always}
		id := daemon.Choose(query, now).Target.ID
		daemon.RecordStart(id, query, now)
		all++
		if s.inFlight[id] >= plainSlots+plainQueue {
			rejected++
			daemon.RecordEnd(id)
			return
		}
		s.inFlight[id]++
		waiting := max(0, s.inFlight[id]-plainSlots)
		s.schedule(now, plainDuration*time.Duration(1+waiting/plainSlots), func(now time.Time) {
			daemon.RecordReport(id, relay.LoadReport{Running: s.inFlight[id], Slots: plainSlots}, now)
			s.inFlight[id]--
			daemon.RecordEnd(id)
		})
	}
	s.schedule(start, 0, arrive)
	for end := start.Add(time.Minute); s.events[0].at.Before(end); {
		next := heap.Pop(&s.events).(event)
		next.run(next.at)
	}
	return float64(rejected) / float64(all)
}

// In a burst, requests of a plain service come to many daemons, each of which receives the
// load of a target every few seconds. A third of the slots are free. The users allow 3 in
// 100 requests to reach a target that is too full (their rule LIMIT).
func TestPlainRequestsOfALargeFleetAreSpread(t *testing.T) {
	for _, daemons := range []int{9, 72, 295} {
		for seed := range uint64(3) {
			share := rejectedShare(daemons, seed)
			must.Less(t, 0.03, share, must.Sprintf("%d daemons, seed %d", daemons, seed))
		}
	}
}
