package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/state/fleet"
	"hemlockknot/internal/transport/exchange"
)

// Times of the search for a failure domain's silence and return.
const (
	flowInterval  = 40 * time.Millisecond
	firstProbe    = 100 * time.Millisecond
	probeInterval = 250 * time.Millisecond
	// doubtTimeout is how long a target of a silent domain may take to answer to a
	// new connection: a round trip between the users' domains takes 3 ms.
	doubtTimeout = 60 * time.Millisecond
	// doubtDials is how many targets of a silent domain are tried at once.
	doubtDials = 2
)

// watchFlows looks for failure domains that have fallen silent, until the
// context ends.
func (g *Gateway) watchFlows(ctx context.Context) {
	ticker := time.NewTicker(flowInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			var doubts sync.WaitGroup
			for _, domain := range g.silentDomains(now) {
				doubts.Go(func() { g.doubt(domain) })
			}
			doubts.Wait()
		}
	}
}

func (g *Gateway) silentDomains(now time.Time) []string {
	return cutoff.Silent(g.flows.seen(), g.settings.FailureDomain, now)
}

// doubt tries a domain that has fallen silent by connections: engines that read
// long prompts are silent too, and answer to those. If none does, and nothing has
// come meanwhile, the domain counts as cut off.
func (g *Gateway) doubt(domain string) {
	targets := g.control.domainTargets(domain)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	var answered atomic.Bool
	var dials sync.WaitGroup
	for _, target := range targets[:min(doubtDials, len(targets))] {
		dials.Go(func() {
			if reachable(target, doubtTimeout) {
				answered.Store(true)
			}
		})
	}
	dials.Wait()
	if answered.Load() {
		g.flows.alive(domain)
		return
	}
	if !slices.Contains(g.silentDomains(time.Now()), domain) {
		return
	}
	if g.control.cutDomain(domain) {
		g.cutOff(domain, "silent")
	}
}

// cutOff ends the wait for a failure domain's streams that may go on elsewhere: by
// this daemon as far as the budget lasts, else by their callers. It tries to reach
// the domain until it answers.
func (g *Gateway) cutOff(domain, evidence string) {
	targets := g.control.domainTargets(domain)
	for _, target := range targets {
		g.pool.Drop(target.Address)
	}
	moved := g.flows.giveUp(domain)
	g.metrics.domainCut()
	g.log.Warn("failure domain is cut off", "domain", domain, "evidence", evidence, "targets", len(targets), "streams_moved", moved)
	go g.probe(domain)
}

// probe opens connections to targets of a failure domain until one answers.
func (g *Gateway) probe(domain string) {
	began := time.Now()
	for pause := firstProbe; ; pause = probeInterval {
		select {
		case <-g.control.done:
			return
		case <-time.After(pause):
		}
		targets := g.control.domainTargets(domain)
		if len(targets) == 0 || reachable(targets[rand.IntN(len(targets))], exchange.DialTimeout) {
			g.control.reachedDomain(domain)
			g.log.Warn("failure domain is reached again", "domain", domain, "after_ms", time.Since(began).Milliseconds())
			return
		}
	}
}

// reachable reports whether a target answers to a new connection, be it by
// refusing it.
func reachable(target *fleet.Target, within time.Duration) bool {
	conn, err := net.DialTimeout("tcp", target.Address, within)
	if err != nil {
		var timeout net.Error
		return !errors.As(err, &timeout) || !timeout.Timeout()
	}
	_ = conn.Close()
	return true
}
