package measure

import (
	"math/rand/v2"
	"sync"

	"hemlockknot/internal/coordination/ranking"
)

// Names of the policies.
const (
	policyHemlockknot = "hemlockknot"
	policyRendezvous  = "rendezvous"
	policyLeastLoaded = "least-loaded"
	policyBest        = "best-possible"
)

// baselines are the policies that are measured beside the daemons.
var baselines = []string{policyRendezvous, policyLeastLoaded, policyBest}

// picker says where a request goes.
type picker interface {
	// pick returns the address to call, and a function to call afterwards.
	pick(chat string) (address string, done func())
	// setLive says whether an engine takes work.
	setLive(engine int, live bool)
}

// newPicker returns the picker of a policy.
func newPicker(policy string, f *fleet, seed uint64) picker {
	if policy == policyHemlockknot {
		return &balancer{fleet: f, random: rand.New(rand.NewPCG(seed, 0))}
	}
	direct := &directPicker{policy: policy, fleet: f, last: make(map[string]int)}
	for range f.engines {
		direct.live = append(direct.live, true)
		direct.inFlight = append(direct.inFlight, 0)
	}
	return direct
}

// balancer spreads requests over the daemons at random.
type balancer struct {
	mu     sync.Mutex
	random *rand.Rand
	fleet  *fleet
}

func (b *balancer) pick(string) (string, func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	daemon := b.fleet.daemons[b.random.IntN(len(b.fleet.daemons))]
	return daemon.addresses["callers"], func() {}
}

func (b *balancer) setLive(int, bool) {}

// directPicker is a baseline: it calls the engines itself and knows at once
// which ones take work and what they carry.
type directPicker struct {
	policy string
	fleet  *fleet

	mu       sync.Mutex
	live     []bool
	inFlight []int
	last     map[string]int // chat to its last engine
}

func (d *directPicker) setLive(engine int, live bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live[engine] = live
}

func (d *directPicker) pick(chat string) (string, func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	engine := d.choose(chat)
	d.last[chat] = engine
	d.inFlight[engine]++
	return d.fleet.engines[engine].described.Address, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.inFlight[engine]--
	}
}

func (d *directPicker) choose(chat string) int {
	switch last, known := d.last[chat]; {
	case d.policy == policyLeastLoaded:
		return d.leastLoaded()
	case d.policy == policyBest && known && d.live[last]:
		return last
	}
	return d.firstRanked(chat)
}

func (d *directPicker) leastLoaded() int {
	best := -1
	for i, live := range d.live {
		if live && (best < 0 || d.load(i) < d.load(best)) {
			best = i
		}
	}
	return best
}

func (d *directPicker) load(engine int) float64 {
	return float64(d.inFlight[engine]) / float64(d.fleet.engines[engine].described.Capacity)
}

func (d *directPicker) firstRanked(chat string) int {
	var candidates []ranking.Candidate
	byName := make(map[string]int)
	for i, live := range d.live {
		if live {
			described := d.fleet.engines[i].described
			byName[described.Name] = i
			candidates = append(candidates, ranking.Candidate{Name: described.Name, Weight: float64(described.Capacity)})
		}
	}
	return byName[ranking.Order(ranking.Hash("chat", chat), candidates)[0]]
}
