package measure

import (
	"math/rand/v2"
	"sync"

	"hemlockknot/internal/coordination/ranking"
)

// Routing policies. All but policyHemlockknot are baselines without daemons.
const (
	policyHemlockknot  = "hemlockknot"   // the daemons choose the engine
	policyRendezvous   = "rendezvous"    // the live engine that ranks first for the chat by rendezvous hashing
	policyLeastLoaded  = "least-loaded"  // the engine with the lowest utilization
	policyBestPossible = "best-possible" // the chat's last engine while it is live, else rendezvous
)

// baselines are the policies that the daemons are compared with.
var baselines = []string{policyRendezvous, policyLeastLoaded, policyBestPossible}

// addressPicker chooses the address that a request is sent to.
type addressPicker interface {
	// pick returns the address for a request of the chat. The caller must call done
	// once the request has ended.
	pick(chat string) (address string, done func())
	// setLive records whether an engine accepts requests.
	setLive(engine int, live bool)
}

// newPicker returns the picker that implements a policy on the fleet. The seed is for
// policyHemlockknot, whose picker chooses daemons at random.
func newPicker(policy string, f *fleet, seed uint64) addressPicker {
	if policy == policyHemlockknot {
		return &daemonPicker{fleet: f, random: rand.New(rand.NewPCG(seed, 0))}
	}
	picker := &enginePicker{policy: policy, fleet: f, lastEngine: make(map[string]int)}
	for range f.engines {
		picker.live = append(picker.live, true)
		picker.inFlight = append(picker.inFlight, 0)
	}
	return picker
}

// daemonPicker sends each request to a random daemon.
type daemonPicker struct {
	mu     sync.Mutex
	random *rand.Rand
	fleet  *fleet
}

func (p *daemonPicker) pick(string) (string, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	daemon := p.fleet.daemons[p.random.IntN(len(p.fleet.daemons))]
	return daemon.addresses["callers"], func() {}
}

func (p *daemonPicker) setLive(int, bool) {}

// enginePicker implements the baseline policies. It chooses engines directly, with
// immediate knowledge of which engines are live and how many requests each serves.
type enginePicker struct {
	policy string
	fleet  *fleet

	mu         sync.Mutex
	live       []bool         // by engine index
	inFlight   []int          // by engine index
	lastEngine map[string]int // chat to engine index
}

func (p *enginePicker) setLive(engine int, live bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.live[engine] = live
}

func (p *enginePicker) pick(chat string) (string, func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	engine := p.chooseEngine(chat)
	p.lastEngine[chat] = engine
	p.inFlight[engine]++
	return p.fleet.engines[engine].config.Address, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.inFlight[engine]--
	}
}

func (p *enginePicker) chooseEngine(chat string) int {
	switch lastEngine, known := p.lastEngine[chat]; {
	case p.policy == policyLeastLoaded:
		return p.leastLoaded()
	case p.policy == policyBestPossible && known && p.live[lastEngine]:
		return lastEngine
	}
	return p.rendezvousChoice(chat)
}

// leastLoaded returns the live engine with the lowest utilization, or -1 if no engine
// is live.
func (p *enginePicker) leastLoaded() int {
	best := -1
	for i, live := range p.live {
		if live && (best < 0 || p.utilization(i) < p.utilization(best)) {
			best = i
		}
	}
	return best
}

// utilization returns an engine's in-flight requests per capacity.
func (p *enginePicker) utilization(engine int) float64 {
	return float64(p.inFlight[engine]) / float64(p.fleet.engines[engine].config.Capacity)
}

// rendezvousChoice returns the live engine that ranks first for the chat by weighted
// rendezvous hashing.
func (p *enginePicker) rendezvousChoice(chat string) int {
	var candidates []ranking.Candidate
	indexByName := make(map[string]int)
	for i, live := range p.live {
		if live {
			config := p.fleet.engines[i].config
			indexByName[config.Name] = i
			candidates = append(candidates, ranking.Candidate{Name: config.Name, Weight: float64(config.Capacity)})
		}
	}
	return indexByName[ranking.Order(ranking.Hash("chat", chat), candidates)[0]]
}
