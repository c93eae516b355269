package gateway

import (
	"context"
	"math/rand/v2"
	"net"
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
			for _, domain := range cutoff.Silent(g.flows.seen(), g.settings.FailureDomain, now) {
				if g.control.cutDomain(domain) {
					g.cutOff(domain, "silent")
				}
			}
		}
	}
}

// cutOff moves a failure domain's streams that may go on elsewhere, and tries to
// reach it until it answers.
func (g *Gateway) cutOff(domain, evidence string) {
	targets := g.control.domainTargets(domain)
	retryLeft := make(map[string]bool)
	for _, target := range targets {
		g.pool.Drop(target.Address)
		retryLeft[target.Service] = g.control.retryLeft(target.Service)
	}
	moved := g.flows.giveUp(domain, retryLeft)
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
		if len(targets) == 0 || reachable(targets[rand.IntN(len(targets))]) {
			g.control.reachedDomain(domain)
			g.log.Warn("failure domain is reached again", "domain", domain, "after_ms", time.Since(began).Milliseconds())
			return
		}
	}
}

func reachable(target *fleet.Target) bool {
	conn, err := net.DialTimeout("tcp", target.Address, exchange.DialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
