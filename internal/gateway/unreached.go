package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/state/fleet"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/platform"
)

const (
	// verifyProbes is how many targets of a silent service are probed at once.
	verifyProbes = 3
	// maxProbeDelay is how late probes that no target answers may end.
	maxProbeDelay = 20 * time.Millisecond
	// reachProbes is how many targets of a service that is not reached are probed in each
	// probeInterval.
	reachProbes = 2
	// roundsForAll is the number of rounds of probes of which one may go to targets that have
	// asked for fewer requests: they may be the only ones that are up.
	roundsForAll = 8
)

// verifySilentService checks with probes whether this daemon still reaches a service that is
// silent. If the engines read long prompts, a probe is answered; if this daemon itself is
// stalled, the probes end late.
func (g *Gateway) verifySilentService(ctx context.Context, service string) {
	answered, conclusive := g.probeAny(ctx, g.coordinator.sampleTargets(service, verifyProbes), verifyTimeout)
	if answered {
		g.streams.recordServiceActivity(service)
		return
	}
	if conclusive && slices.Contains(g.silentServices(time.Now()), service) && g.coordinator.markUnreached(service) {
		g.handleUnreached(service, "silent")
	}
}

// silentServices returns the services from which nothing comes.
func (g *Gateway) silentServices(now time.Time) []string {
	return cutoff.SilentServices(g.streams.serviceSnapshot(now), now)
}

// recordUnanswered records that an attempt at a target has ended without the beginning of an
// answer, in whatever way: no connection could be opened, or it broke or stayed silent after the
// request, which sent reports. If many fail, targets of its service are probed: if none answers, the
// daemon reaches no target of the service.
func (g *Gateway) recordUnanswered(target *fleet.Target, sent bool) {
	suspected, probed := g.coordinator.recordUnanswered(target, sent)
	if !suspected {
		return
	}
	go func() {
		probedAt := time.Now()
		answered, conclusive := g.probeAny(context.Background(), probed, verifyTimeout)
		if answered {
			g.recordReached(target.Service, probedAt)
			return
		}
		if conclusive && g.coordinator.markUnreached(target.Service) {
			g.handleUnreached(target.Service, "no answers")
		}
	}()
}

// reachesOthers reports whether another target of any service answers a probe, or there is
// none. If not, this daemon is cut off, which says nothing about the target.
func (g *Gateway) reachesOthers(target *fleet.Target) bool {
	startedAt := time.Now()
	others := g.coordinator.sampleOtherTargets(target, verifyProbes)
	if len(others) == 0 || g.reachesAny(context.Background(), others, verifyTimeout) {
		return true
	}
	// Those that were probed may all be down too, while others answer requests.
	time.Sleep(verifyTimeout - time.Since(startedAt))
	return g.streams.answeredSince(startedAt)
}

// handleUnreached closes the idle connections to a service that is not reached. Its silent
// streams and waits are hedged by way of other daemons, which may reach the service, as far as these
// can take them and the retry budget allows. The targets are then probed until one answers. Other
// services are checked at once, as a host that loses one often loses all.
func (g *Gateway) handleUnreached(service, evidence string) {
	for _, target := range g.coordinator.serviceTargets(service) {
		g.pool.CloseIdle(target.Address)
	}
	hedged := expireEarly(g.streams.serviceWaits(service))
	g.metrics.countUnreachedService()
	g.log.Warn("no target of the service is reached, requests are forwarded to other daemons", "service", service, "evidence", evidence, "hedged", hedged)
	g.peers.announceUnreached(g.coordinator.unreachedServices())
	go g.probeUntilReached(service)
	go g.verifyOtherServices()
}

// verifyOtherServices checks whether this daemon reaches the services that it takes to be
// reached.
func (g *Gateway) verifyOtherServices() {
	for _, service := range g.coordinator.reachedServices() {
		go func() {
			targets := g.coordinator.sampleTargets(service, verifyProbes)
			if len(targets) < 2 {
				return
			}
			answered, conclusive := g.probeAny(context.Background(), targets, exchange.DialTimeout)
			if !answered && conclusive && g.coordinator.markUnreached(service) {
				g.handleUnreached(service, "other services are not reached")
			}
		}()
	}
}

// probeUntilReached probes targets of a service until one answers, or the service is reached
// otherwise or has no targets left. Before each round it hedges the silent streams and waits for
// which there was no retry or no daemon before.
func (g *Gateway) probeUntilReached(service string) {
	delay := firstProbeDelay
	for round := 1; ; round++ {
		select {
		case <-g.coordinator.done:
			return
		case <-time.After(delay):
		}
		delay = probeInterval
		_ = expireEarly(g.streams.serviceWaits(service))
		targets := g.coordinator.sampleTargets(service, reachProbes)
		if round%roundsForAll == 0 {
			targets = sample(g.coordinator.candidates(service), 1)
		}
		probedAt := time.Now()
		if len(targets) == 0 || g.reachesAny(context.Background(), targets, exchange.DialTimeout) {
			g.recordReached(service, probedAt)
		}
		if !g.coordinator.unreached(service) {
			return
		}
	}
}

// recordReached records that a target of a service has answered a request that was sent at a
// time. If the service is reached again, it tells the other daemons.
func (g *Gateway) recordReached(service string, sentAt time.Time) {
	if g.coordinator.recordReached(service, sentAt) {
		g.peers.announceUnreached(g.coordinator.unreachedServices())
		g.log.Warn("targets of the service are reached again", "service", service)
	}
}

// reachesAny reports whether any of the targets answers a probe within the timeout.
func (g *Gateway) reachesAny(ctx context.Context, targets []*fleet.Target, timeout time.Duration) bool {
	answered, _ := g.probeAny(ctx, targets, timeout)
	return answered
}

// probeAny probes targets and reports whether any of them answers within the timeout. An open
// connection alone proves nothing: what lies between may accept it. That none answers is
// conclusive unless this daemon itself was stalled.
func (g *Gateway) probeAny(ctx context.Context, targets []*fleet.Target, timeout time.Duration) (answered, conclusive bool) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var anyAnswered atomic.Bool
	var dials sync.WaitGroup
	for _, target := range targets {
		dials.Go(func() {
			if g.answersProbe(ctx, target) {
				anyAnswered.Store(true)
			}
		})
	}
	dials.Wait()
	return anyAnswered.Load(), endedInTime(startedAt, timeout)
}

// endedInTime reports whether probes have ended when they were due. If not, this daemon itself
// was stalled, and answers may have come that were not read.
func endedInTime(startedAt time.Time, timeout time.Duration) bool {
	return time.Since(startedAt) <= timeout+maxProbeDelay
}

// answersProbe reports whether a target answers, in any way, a request that no target runs.
func (g *Gateway) answersProbe(ctx context.Context, target *fleet.Target) bool {
	g.metrics.countDial()
	conn, err := g.pool.Dial(ctx, target.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if deadline, set := ctx.Deadline(); set {
		_ = conn.SetDeadline(deadline) // fails only on a closed connection, as the write then does
	}
	if _, err := conn.Write(platform.ProbeRequest(target.Address)); err != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return err == nil
}

// recordUnanswered records that an attempt at a target has ended without the beginning of an
// answer. It reports whether the target's service is suspected not to be reached, and returns
// targets to probe: those that have not failed, and as far as these are too few, others. A target
// that breaks off one request may answer the next.
func (c *coordinator) recordUnanswered(target *fleet.Target, sent bool) (suspected bool, probed []*fleet.Target) {
	var failed []*fleet.Target
	c.do(func() {
		candidates := c.placement.Candidates(target.Service)
		record := c.reach.RecordFailure
		if sent {
			record = c.reach.RecordBroken
		}
		suspected = record(target.Service, target.ID, len(candidates), time.Now())
		for _, other := range c.withoutLimits(candidates) {
			if c.reach.Failed(other.Service, other.ID) {
				failed = append(failed, other)
			} else {
				probed = append(probed, other)
			}
		}
	})
	probed = sample(probed, verifyProbes)
	return suspected, append(probed, sample(failed, verifyProbes-len(probed))...)
}

// recordReached records that a target has answered a request that was sent at a time, and
// reports whether its service is reached again. If so, it ends the ejections of the service's
// targets, whose cause was here, but for those in a failure domain that is still cut off.
func (c *coordinator) recordReached(service string, sentAt time.Time) (again bool) {
	c.do(func() {
		wasUnreached := c.reach.Unreached(service)
		c.reach.RecordAnswer(service, sentAt)
		if again = wasUnreached && !c.reach.Unreached(service); !again {
			return
		}
		for _, target := range c.placement.Candidates(service) {
			if !c.domains.IsCutOff(target.FailureDomain) {
				c.outlier.Release(target.ID)
			}
		}
	})
	return again
}

// markUnreached records that no target of a service is reached, and reports whether this is
// new.
func (c *coordinator) markUnreached(service string) bool {
	isNew := false
	c.do(func() { isNew = c.reach.MarkUnreached(service, time.Now()) })
	return isNew
}

// unreached reports whether no target of a service is reached.
func (c *coordinator) unreached(service string) bool {
	unreached := false
	c.do(func() { unreached = c.reach.Unreached(service) })
	return unreached
}

// unreachedServices returns the services of which no target is reached.
func (c *coordinator) unreachedServices() []string {
	var services []string
	c.do(func() { services = c.reach.UnreachedServices() })
	return services
}

// reachedServices returns the services that have targets and are taken to be reached.
func (c *coordinator) reachedServices() []string {
	var services []string
	c.do(func() {
		seen := make(map[string]bool)
		for _, member := range c.roster.Members() {
			service := member.Target.Service
			if !seen[service] && !c.reach.Unreached(service) {
				services = append(services, service)
			}
			seen[service] = true
		}
	})
	return services
}

// serviceTargets returns the targets of a service, those that drain included.
func (c *coordinator) serviceTargets(service string) []*fleet.Target {
	var targets []*fleet.Target
	c.do(func() {
		for _, member := range c.roster.Members() {
			if member.Target.Service == service {
				targets = append(targets, member.Target)
			}
		}
	})
	return targets
}

// sampleTargets returns random targets of a service that take new work, at most count.
func (c *coordinator) sampleTargets(service string, count int) []*fleet.Target {
	var targets []*fleet.Target
	c.do(func() { targets = c.withoutLimits(c.placement.Candidates(service)) })
	return sample(targets, count)
}

// candidates returns the targets of a service that take new work.
func (c *coordinator) candidates(service string) []*fleet.Target {
	var targets []*fleet.Target
	c.do(func() { targets = c.placement.Candidates(service) })
	return targets
}

// sampleOtherTargets returns random targets of all services without one, at most count.
func (c *coordinator) sampleOtherTargets(target *fleet.Target, count int) []*fleet.Target {
	var others []*fleet.Target
	c.do(func() {
		for _, member := range c.roster.Members() {
			if member.Target.ID != target.ID {
				others = append(others, member.Target)
			}
		}
		others = c.withoutLimits(others)
	})
	return sample(others, count)
}

// withoutLimits returns the targets that have not asked for fewer requests, or all if there
// is none. The caller must run on the coordinator's goroutine.
func (c *coordinator) withoutLimits(targets []*fleet.Target) []*fleet.Target {
	now := time.Now()
	unlimited := slices.DeleteFunc(slices.Clone(targets), func(target *fleet.Target) bool {
		return c.limits.Limited(c.incarnation(target.ID)) || c.outlier.Refusing(target.ID, now)
	})
	if len(unlimited) == 0 {
		return targets
	}
	return unlimited
}

// sample returns random ones of the targets, at most count. It changes their order.
func sample(targets []*fleet.Target, count int) []*fleet.Target {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(count, len(targets))]
}
