package gateway

import (
	"context"
	"sync"
	"time"

	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/state/fleet"
)

// flowInterval is how often silence is looked for.
const flowInterval = 40 * time.Millisecond

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
	// giveUp ends the wait for the next event; nil if no other target may go on.
	giveUp func()
}

func newFlows() *flows { return &flows{domains: make(map[string]*domainFlow)} }

// begin notes a stream that has begun.
func (f *flows) begin(target *fleet.Target, giveUp func()) *flow {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.domains[target.FailureDomain]
	if known == nil {
		known = &domainFlow{streams: make(map[*flow]struct{})}
		f.domains[target.FailureDomain] = known
	}
	begun := &flow{domain: known, target: target, giveUp: giveUp}
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

// giveUp ends the wait for a domain's streams that may go on elsewhere, by the
// services that still have retries. It returns their number.
func (f *flows) giveUp(domain string, retryLeft map[string]bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	moved := 0
	for stream := range f.domains[domain].streams {
		if stream.giveUp != nil && retryLeft[stream.target.Service] {
			stream.giveUp()
			moved++
		}
	}
	return moved
}

// watchFlows looks for failure domains that were cut off, until the context
// ends.
func (g *Gateway) watchFlows(ctx context.Context) {
	ticker := time.NewTicker(flowInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, domain := range cutoff.Silent(g.flows.seen(), g.settings.FailureDomain, now) {
				g.cutOff(domain)
			}
		}
	}
}

// cutOff leaves a failure domain's targets alone, and moves the streams that may
// go on elsewhere.
func (g *Gateway) cutOff(domain string) {
	targets := g.control.ejectDomain(domain)
	if len(targets) == 0 {
		return // known already
	}
	retryLeft := make(map[string]bool)
	for _, target := range targets {
		g.pool.Drop(target.Address)
		retryLeft[target.Service] = g.control.retryLeft(target.Service)
	}
	moved := g.flows.giveUp(domain, retryLeft)
	g.metrics.domainCut()
	g.log.Warn("failure domain is silent, its targets are left alone", "domain", domain, "targets", len(targets), "streams_moved", moved)
}
