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

// Parameters for detecting that a failure domain is cut off or reachable again.
const (
	silenceCheckInterval = 40 * time.Millisecond
	firstProbeDelay      = 100 * time.Millisecond
	probeInterval        = 250 * time.Millisecond
	// verifyTimeout is how long a target of a silent domain may take to accept a new
	// connection. A round trip between the users' domains takes 3 ms.
	verifyTimeout = 60 * time.Millisecond
	// verifyDials is how many targets of a silent domain are dialed at once.
	verifyDials = 2
)

// watchSilentStreams looks for failure domains and services whose streams are silent, until
// the context ends.
func (g *Gateway) watchSilentStreams(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			var checks sync.WaitGroup
			for _, domain := range g.silentDomains(now) {
				checks.Go(func() { g.verifySilentDomain(domain) })
			}
			for _, service := range g.silentServices(now) {
				checks.Go(func() { g.verifySilentService(ctx, service) })
			}
			checks.Wait()
		}
	}
}

// silentDomains returns the failure domains other than this daemon's own whose streams
// are silent.
func (g *Gateway) silentDomains(now time.Time) []string {
	return cutoff.SilentDomains(g.streams.snapshot(), g.settings.FailureDomain, now)
}

// verifySilentDomain checks with new connections whether a silent failure domain is
// cut off: engines that read long prompts send no events either, but still accept
// connections. If no dialed target responds in time and the streams are still silent
// afterwards, the domain is treated as cut off.
func (g *Gateway) verifySilentDomain(domain string) {
	targets := g.coordinator.domainTargets(domain)
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	startedAt := time.Now()
	var responded atomic.Bool
	var dials sync.WaitGroup
	for _, target := range targets[:min(verifyDials, len(targets))] {
		dials.Go(func() {
			if g.reachable(target, verifyTimeout) {
				responded.Store(true)
			}
		})
	}
	dials.Wait()
	if responded.Load() {
		g.streams.recordDomainActivity(domain)
		return
	}
	if !endedInTime(startedAt, verifyTimeout) || !slices.Contains(g.silentDomains(time.Now()), domain) {
		return
	}
	if g.coordinator.markDomainCutOff(domain) {
		g.handleCutOff(domain, "silent")
	}
}

// handleCutOff closes the idle connections to a failure domain that is cut off. Its silent
// streams are hedged as far as the retry budget allows; the rest go on waiting. The
// domain is then probed until it is reachable again.
func (g *Gateway) handleCutOff(domain, evidence string) {
	targets := g.coordinator.domainTargets(domain)
	for _, target := range targets {
		g.pool.CloseIdle(target.Address)
	}
	hedged := expireEarly(g.streams.domainWaits(domain))
	g.metrics.countDomainCut()
	g.log.Warn("failure domain is cut off", "domain", domain, "evidence", evidence, "targets", len(targets), "hedged", hedged)
	go g.probeUntilReachable(domain)
}

// probeUntilReachable dials random targets of a failure domain until one responds or
// the domain has no targets left. Before each dial it hedges the silent streams for which there
// was no retry before.
func (g *Gateway) probeUntilReachable(domain string) {
	started := time.Now()
	for delay := firstProbeDelay; ; delay = probeInterval {
		select {
		case <-g.coordinator.done:
			return
		case <-time.After(delay):
		}
		_ = expireEarly(g.streams.domainWaits(domain))
		targets := g.coordinator.domainTargets(domain)
		if len(targets) == 0 || g.reachable(targets[rand.IntN(len(targets))], exchange.DialTimeout) {
			g.coordinator.markDomainReachable(domain)
			g.log.Warn("failure domain is reachable again", "domain", domain, "after_ms", time.Since(started).Milliseconds())
			return
		}
	}
}

// reachable reports whether a target responds to a new connection within the timeout.
// Any error other than a timeout, such as a refused connection, counts as a response.
func (g *Gateway) reachable(target *fleet.Target, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := g.pool.Dial(ctx, target.Address)
	if err != nil {
		var netErr net.Error
		return !errors.As(err, &netErr) || !netErr.Timeout()
	}
	_ = conn.Close()
	return true
}
