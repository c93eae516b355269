package gateway

import (
	"sync"
	"time"

	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/state/fleet"
)

// flows are the streams that have begun, by failure domain.
type flows struct {
	mu      sync.Mutex
	domains map[string]*domainFlow
}

type domainFlow struct {
	streams   map[*flow]struct{}
	lastEvent time.Time
}

// flow is one stream that has begun.
type flow struct {
	domain *domainFlow
	target *fleet.Target
	giveUp func() // ends the wait for the next event
	// replaceable says that another target may go on with it.
	replaceable bool
}

func newFlows() *flows { return &flows{domains: make(map[string]*domainFlow)} }

// begin notes a stream that has begun.
func (f *flows) begin(target *fleet.Target, giveUp func(), replaceable bool) *flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.domains[target.FailureDomain]
	if known == nil {
		known = &domainFlow{streams: make(map[*flow]struct{})}
		f.domains[target.FailureDomain] = known
	}
	begun := &flow{domain: known, target: target, giveUp: giveUp, replaceable: replaceable}
	known.streams[begun] = struct{}{}
	known.lastEvent = time.Now()
	return begun
}

// event notes that a stream's next event has come.
func (f *flows) event(of *flow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	of.domain.lastEvent = time.Now()
}

// alive notes that a domain has answered otherwise.
func (f *flows) alive(domain string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if known := f.domains[domain]; known != nil {
		known.lastEvent = time.Now()
	}
}

// end notes that a stream has ended.
func (f *flows) end(of *flow) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(of.domain.streams, of)
}

// seen returns what cutoff decides by.
func (f *flows) seen() []cutoff.Flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	var seen []cutoff.Flow
	for name, domain := range f.domains {
		targets := make(map[*fleet.Target]struct{})
		for stream := range domain.streams {
			targets[stream.target] = struct{}{}
		}
		seen = append(seen, cutoff.Flow{Domain: name, Targets: len(targets), LastEvent: domain.lastEvent})
	}
	return seen
}

// giveUp ends the wait for a domain's streams that may go on elsewhere. It returns
// their number.
func (f *flows) giveUp(domain string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.domains[domain]
	if known == nil {
		return 0
	}
	moved := 0
	for stream := range known.streams {
		if stream.replaceable {
			stream.giveUp()
			moved++
		}
	}
	return moved
}
