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
)

const (
	// silentServiceDials is how many targets of a silent service are dialed at once.
	silentServiceDials = 3
	// reachProbes is how many targets of a service that is not reached are dialed in each
	// probeInterval.
	reachProbes = 2
)

// verifySilentService checks with new connections whether this daemon still reaches a service
// all of whose streams are silent. If this daemon itself was stalled, or the engines read
// long prompts, a connection is accepted.
func (g *Gateway) verifySilentService(ctx context.Context, service string) {
	if g.reachesAny(ctx, g.coordinator.sampleTargets(service, silentServiceDials), verifyTimeout) {
		g.streams.recordServiceActivity(service)
		return
	}
	if slices.Contains(g.silentServices(time.Now()), service) && g.coordinator.markUnreached(service) {
		g.handleUnreached(service, "silent")
	}
}

// silentServices returns the services all of whose streams are silent.
func (g *Gateway) silentServices(now time.Time) []string {
	return cutoff.SilentServices(g.streams.serviceSnapshot(), now)
}

// recordFailedConnection records that no connection to a target could be opened. If many
// targets of its service fail, other targets of it are dialed: if none accepts a connection,
// the daemon reaches no target of the service.
func (g *Gateway) recordFailedConnection(target *fleet.Target) {
	suspected, others := g.coordinator.recordFailedConnection(target)
	if !suspected {
		return
	}
	go func() {
		if g.reachesAny(context.Background(), others, verifyTimeout) {
			g.coordinator.recordReached(target.Service)
			return
		}
		if g.coordinator.markUnreached(target.Service) {
			g.handleUnreached(target.Service, "connections fail")
		}
	}()
}

// reachesOthers reports whether another target of any service accepts a connection, or there
// is none. If not, this daemon is cut off, which says nothing about the target.
func (g *Gateway) reachesOthers(target *fleet.Target) bool {
	others := g.coordinator.sampleOtherTargets(target, silentServiceDials)
	return len(others) == 0 || g.reachesAny(context.Background(), others, verifyTimeout)
}

// handleUnreached closes the idle connections to a service that is not reached and cancels
// its streams that may go on elsewhere: other daemons may reach the service. The targets are
// then probed until one accepts a connection. Other services are checked at once, as a
// host that loses one often loses all.
func (g *Gateway) handleUnreached(service, evidence string) {
	for _, target := range g.coordinator.serviceTargets(service) {
		g.pool.CloseIdle(target.Address)
	}
	cancelled := g.streams.cancelService(service)
	g.metrics.countUnreachedService()
	g.log.Warn("no target of the service is reached, requests are forwarded to other daemons", "service", service, "evidence", evidence, "streams_moved", cancelled)
	g.peers.announceUnreached(g.coordinator.unreachedServices())
	go g.probeUntilReached(service)
	go g.verifyOtherServices()
}

// verifyOtherServices checks whether this daemon reaches the services that it takes to be
// reached.
func (g *Gateway) verifyOtherServices() {
	for _, service := range g.coordinator.reachedServices() {
		go func() {
			targets := g.coordinator.sampleTargets(service, silentServiceDials)
			if len(targets) > 1 && !g.reachesAny(context.Background(), targets, exchange.DialTimeout) && g.coordinator.markUnreached(service) {
				g.handleUnreached(service, "other services are not reached")
			}
		}()
	}
}

// probeUntilReached dials targets of a service until one accepts a connection or the service
// has no targets left. Then it ends the ejections of all its targets, whose cause was here.
func (g *Gateway) probeUntilReached(service string) {
	started := time.Now()
	for delay := firstProbeDelay; ; delay = probeInterval {
		select {
		case <-g.coordinator.done:
			return
		case <-time.After(delay):
		}
		targets := g.coordinator.sampleTargets(service, reachProbes)
		if len(targets) > 0 && !g.reachesAny(context.Background(), targets, exchange.DialTimeout) {
			continue
		}
		g.coordinator.markReached(service)
		g.peers.announceUnreached(g.coordinator.unreachedServices())
		g.log.Warn("targets of the service are reached again", "service", service, "after_ms", time.Since(started).Milliseconds())
		return
	}
}

// reachesAny reports whether any of the targets accepts a connection within the timeout.
func (g *Gateway) reachesAny(ctx context.Context, targets []*fleet.Target, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var accepted atomic.Bool
	var dials sync.WaitGroup
	for _, target := range targets {
		dials.Go(func() {
			g.metrics.countDial()
			conn, err := g.pool.Dial(ctx, target.Address)
			if err == nil {
				accepted.Store(true)
				_ = conn.Close()
			}
		})
	}
	dials.Wait()
	return accepted.Load()
}

// recordFailedConnection records that no connection to a target could be opened. It reports
// whether its service is suspected not to be reached, and returns some targets of it whose
// connections have not failed.
func (c *coordinator) recordFailedConnection(target *fleet.Target) (suspected bool, others []*fleet.Target) {
	c.do(func() {
		candidates := c.placement.Candidates(target.Service)
		suspected = c.reach.RecordFailure(target.Service, target.ID, len(candidates), time.Now())
		others = slices.DeleteFunc(candidates, func(other *fleet.Target) bool { return c.reach.Failed(other.Service, other.ID) })
	})
	return suspected, sample(others, silentServiceDials)
}

// recordReached records that a target has answered.
func (c *coordinator) recordReached(service string) {
	c.do(func() { c.reach.RecordAnswer(service) })
}

// markUnreached records that no target of a service is reached, and reports whether this is
// new.
func (c *coordinator) markUnreached(service string) bool {
	isNew := false
	c.do(func() { isNew = c.reach.MarkUnreached(service) })
	return isNew
}

// markReached records that a service is reached again, and ends the ejections of its targets
// that are not in a failure domain that is still cut off.
func (c *coordinator) markReached(service string) {
	c.do(func() {
		c.reach.MarkReached(service)
		for _, target := range c.placement.Candidates(service) {
			if !c.domains.IsCutOff(target.FailureDomain) {
				c.outlier.Release(target.ID)
			}
		}
	})
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
	c.do(func() { targets = c.placement.Candidates(service) })
	return sample(targets, count)
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
	})
	return sample(others, count)
}

// sample returns random ones of the targets, at most count. It changes their order.
func sample(targets []*fleet.Target, count int) []*fleet.Target {
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets[:min(count, len(targets))]
}
