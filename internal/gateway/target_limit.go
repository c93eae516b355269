package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/brittle"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/coordination/ratelimit"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/fleet"
)

const (
	// limitsPerExchange is how many limits of targets are sent in an exchange.
	limitsPerExchange = 4
	// endsPerExchange is how many targets that have ended their limits are sent in an
	// exchange, and endsBesideCrashes how many if crashes of engines are sent as well. Many
	// targets may end their limits at the same time: until a daemon has received that, it
	// leaves such a target alone, and others get more than their part.
	endsPerExchange   = 16
	endsBesideCrashes = 1
	// brittlePerExchange is how many services with brittle targets are sent in an exchange, and
	// soundPerExchange how many whose targets were brittle and are sound. Each takes the
	// place of the load of a target and of holdersPerService holders of prompts.
	brittlePerExchange = 2
	soundPerExchange   = 1
	holdersPerService  = 2
	// ranksLifetime is how long the list of known daemons is used for shares of limits.
	ranksLifetime = time.Second
	// limitedLifetime is how long the list of targets with a limit is used. The tokens of a
	// target that is about to be chosen are always asked for.
	limitedLifetime = 250 * time.Millisecond
	// perMilli is the factor between a limit and its encoding.
	perMilli = 1000
)

// limitWait returns how long this daemon must not send a request to a target because of the
// limit that the target names, or because the target is brittle. The caller must run on the coordinator's goroutine.
func (c *coordinator) limitWait(id string, now time.Time) time.Duration {
	wait := time.Duration(0)
	if c.limits.Any() {
		wait = c.limits.Wait(c.incarnation(id), now)
	}
	if c.brittle.Any() {
		requests, slots := c.placement.Load(id, now)
		wait = max(wait, c.brittle.Wait(c.brittleTarget(id), brittle.Load{Requests: requests, Slots: slots, HeardAt: c.heardAt(id)}, now))
	}
	return wait
}

// incarnation returns the hash of a target's incarnation, 0 for an unknown target. The
// caller must run on the coordinator's goroutine.
func (c *coordinator) incarnation(id string) uint32 { return c.brittleTarget(id).Incarnation }

// recordLimit records the limit that a target names in an answer, 0 if it names none, and
// reports whether that is a change.
func (c *coordinator) recordLimit(target *fleet.Target, limit float64) (changed bool) {
	c.do(func() { changed = c.limits.RecordAnswer(target.IncarnationHash(), limit, time.Now()) })
	return changed
}

// limitUse says whether a target names a limit, and whether this daemon uses it.
type limitUse int

const (
	unlimited limitUse = iota
	usedWithinLimit
	leftToOthers
)

// limitedTargets are the targets that name a limit, as of a time. The choice among
// thousands of targets asks for each of them.
type limitedTargets struct {
	computedAt time.Time
	uses       map[string]map[string]limitUse // by service and id
}

// limitedTargets returns the targets of a service that name a limit, as of limitedLifetime
// ago at most. The caller must run on the coordinator's goroutine.
func (c *coordinator) limitedTargets(service string, now time.Time) map[string]limitUse {
	if !c.limits.Any() {
		return nil
	}
	if now.Sub(c.limited.computedAt) > limitedLifetime {
		c.limited = limitedTargets{computedAt: now, uses: make(map[string]map[string]limitUse)}
		for _, member := range c.roster.Members() {
			c.addLimited(member.Target)
		}
	}
	return c.limited.uses[service]
}

// addLimited adds a target to the list of targets with a limit if it names one.
func (c *coordinator) addLimited(target *fleet.Target) {
	incarnation := c.incarnation(target.ID)
	if !c.limits.Limited(incarnation) {
		return
	}
	if c.limited.uses[target.Service] == nil {
		c.limited.uses[target.Service] = make(map[string]limitUse)
	}
	use := leftToOthers
	if c.limits.Uses(incarnation) {
		use = usedWithinLimit
	}
	c.limited.uses[target.Service][target.ID] = use
}

// atLimit reports whether a target of the service takes no further request of this daemon
// for now because of its limit.
func (c *coordinator) atLimit(service string) bool {
	atLimit := false
	c.do(func() {
		now := time.Now()
		for _, target := range c.placement.Candidates(service) {
			atLimit = atLimit || c.limitWait(target.ID, now) > 0
		}
	})
	return atLimit
}

// limitReports returns the changes of limits to send another daemon.
func (c *coordinator) limitReports(limits, ends int) []ratelimit.Report {
	var reports []ratelimit.Report
	c.do(func() { reports = c.limits.Reports(limits, ends, time.Now()) })
	return reports
}

// mergeLimits records the limits that another daemon has sent and reports whether any
// has changed.
func (c *coordinator) mergeLimits(reports []ratelimit.Report) (changed bool) {
	if len(reports) > 0 {
		c.do(func() { changed = c.limits.Merge(reports, time.Now()) })
	}
	return changed
}

// mergeLimits merges the limits of targets in a peer's state.
func (p *peers) mergeLimits(remote *peerpb.MeshState) {
	reports := decodeLimits(remote)
	if p.gateway.coordinator.mergeLimits(reports) {
		p.gateway.log.Info("targets have changed their rate limits", "reported", len(reports), "source", "peer")
	}
}

// Rank implements [ratelimit.Fleet]. Silent daemons count: in a large fleet each daemon
// takes others for silent at times, and if each divided a limit among those that it has
// just received heartbeats of, the sum of all shares would exceed the limit.
func (p *peers) Rank(key uint64) (above, known int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.knownRanksAt) > ranksLifetime {
		p.knownRanksAt, p.knownRanks = now, p.knownRanks[:0]
		for _, name := range p.table.KnownPeers() {
			p.knownRanks = append(p.knownRanks, xxhash.Sum64String(name))
		}
	}
	own := ranking.Mix(key ^ xxhash.Sum64String(p.table.Self().GetName()))
	for _, name := range p.knownRanks {
		if ranking.Mix(key^name) > own {
			above++
		}
	}
	return above, 1 + len(p.knownRanks)
}

// encodeLimits adds changes of limits to the state that is sent to a peer. Ends share the
// largest age: a target that has named a limit again meanwhile keeps it.
func encodeLimits(state *peerpb.MeshState, reports []ratelimit.Report) {
	for _, report := range reports {
		age := uint32(report.Age.Milliseconds())
		if report.Limit == 0 {
			state.UnlimitedTargets = append(state.UnlimitedTargets, report.Incarnation)
			state.UnlimitedAgeMs = max(state.UnlimitedAgeMs, age)
			continue
		}
		state.LimitedTargets = append(state.LimitedTargets, report.Incarnation)
		state.RateLimitsMilli = append(state.RateLimitsMilli, uint32(report.Limit*perMilli))
		state.RateLimitAgesMs = append(state.RateLimitAgesMs, age)
	}
}

// decodeLimits returns the changes of limits in a peer's state.
func decodeLimits(remote *peerpb.MeshState) []ratelimit.Report {
	var reports []ratelimit.Report
	for i := range min(len(remote.GetLimitedTargets()), len(remote.GetRateLimitsMilli()), len(remote.GetRateLimitAgesMs())) {
		reports = append(reports, ratelimit.Report{
			Incarnation: remote.GetLimitedTargets()[i],
			Limit:       float64(remote.GetRateLimitsMilli()[i]) / perMilli,
			Age:         time.Duration(remote.GetRateLimitAgesMs()[i]) * time.Millisecond,
		})
	}
	for _, incarnation := range remote.GetUnlimitedTargets() {
		reports = append(reports, ratelimit.Report{Incarnation: incarnation, Age: time.Duration(remote.GetUnlimitedAgeMs()) * time.Millisecond})
	}
	return reports
}
