package gateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/coldstart"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/state/fleet"
	"hemlockknot/internal/state/routing"
)

// largestFleet is how many daemons a daemon assumes that cannot know yet how many there are: the
// largest number that the daemons are built for.
const largestFleet = 470

// acquaintTime is how long a daemon runs until it knows the others, if none of them has said how many
// there are. A fleet that starts as a whole is known to all within it, see storefollow.
const acquaintTime = 8 * time.Second

// setColdServices records what the configuration says about cold targets. The caller must run on
// the coordinator's goroutine.
func (c *coordinator) setColdServices(services map[string]routing.Service) {
	limits := make(map[string]coldstart.Service, len(services))
	for name, service := range services {
		limits[name] = coldstart.Service{ColdFor: service.ColdFor, PerS: service.ColdPerS}
	}
	c.cold.SetServices(limits)
}

// recordColdTargets records which of the listed targets are cold. The caller must run on the
// coordinator's goroutine.
func (c *coordinator) recordColdTargets(members []roster.Member, now time.Time) {
	if !c.cold.Enabled() {
		return
	}
	targets := make([]*fleet.Target, 0, len(members))
	for _, member := range members {
		targets = append(targets, member.Target)
	}
	turned := c.cold.RecordTargets(targets, now)
	c.coldNow = coldTargets{} // other targets may be listed, too
	if len(turned) > 0 {
		c.onCold(turned)
	}
}

// recordCold records how long a target stays cold by its answer to a request that was sent at a
// time, and reports whether it has turned cold.
func (c *coordinator) recordCold(target *fleet.Target, left time.Duration, sentAt time.Time) (turned bool) {
	c.do(func() {
		if turned = c.cold.RecordAnswer(target, left, sentAt, time.Now()); turned {
			c.coldNow.computedAt = time.Time{}
		}
	})
	return turned
}

// logCold logs targets that have turned cold, in one line: a whole failure domain may.
func (g *Gateway) logCold(ids []string) {
	g.log.Info("targets are cold", "ids", firstIDs(ids), "count", len(ids), "source", "list")
}

// coldTargets are the cold targets, and what decides which target a session belongs to. The choice
// among thousands of targets asks for each of them.
type coldTargets struct {
	computedAt time.Time
	ids        map[string]bool
	candidates map[string][]sessionCandidate // by service, those that take new work; nil: not computed
}

// sessionCandidate is a target with the hash by which it is ranked for a session.
type sessionCandidate struct {
	id   string
	hash uint64
}

// coldLifetime is how long the set of cold targets is used unless targets turn cold. The tokens of a
// target that is about to be chosen are always asked for.
const coldLifetime = 250 * time.Millisecond

// limitCold keeps the requests that a cold target takes for the sessions that belong to it. Warm targets
// whose slots are taken still get requests: these wait in the targets' queues, and would be refused
// otherwise. The caller must run on the coordinator's goroutine.
func (c *coordinator) limitCold(query *placement.Query, now time.Time) {
	if !c.cold.Any(now) {
		return
	}
	if now.Sub(c.coldNow.computedAt) > coldLifetime {
		c.coldNow.computedAt, c.coldNow.ids = now, c.cold.Cold(now)
	}
	cold, excluded := c.coldNow.ids, query.Excluded
	if query.Session != 0 {
		home := c.sessionTarget(query.Session, query.Service)
		query.Excluded = func(id string) bool { return cold[id] && id != home || excluded(id) }
	}
}

// sessionTarget returns the target of a service that ranks first for a session among those that
// take new work, as placement ranks them. The caller must run on the coordinator's goroutine.
func (c *coordinator) sessionTarget(session uint64, service string) string {
	candidates := c.coldNow.candidates[service]
	if candidates == nil {
		for _, target := range c.placement.Candidates(service) {
			candidates = append(candidates, sessionCandidate{target.ID, xxhash.Sum64String(target.ID)})
		}
		if c.coldNow.candidates == nil {
			c.coldNow.candidates = make(map[string][]sessionCandidate)
		}
		c.coldNow.candidates[service] = candidates
	}
	first, highest := "", uint64(0)
	for _, candidate := range candidates {
		if score := ranking.Mix(session ^ candidate.hash); first == "" || score > highest {
			first, highest = candidate.id, score
		}
	}
	return first
}

// usedUpHome returns the target of the session for which another target was chosen, if it is cold and
// takes no more requests for now; empty if not. The caller must run on the coordinator's goroutine.
func (c *coordinator) usedUpHome(choice placement.Choice, now time.Time) string {
	if choice.Home == nil || choice.Home == choice.Target || c.cold.Wait(choice.Home.ID, now) == 0 {
		return ""
	}
	return choice.Home.ID
}

// coldTargetsUsedUp reports whether a target of the request's service is cold and takes no more
// requests of this daemon for now.
func (c *coordinator) coldTargetsUsedUp(a *targetAttempt) bool {
	usedUp := false
	c.do(func() {
		now := time.Now()
		if !c.cold.Any(now) {
			return
		}
		for _, target := range c.placement.Candidates(a.service) {
			usedUp = usedUp || c.cold.Wait(target.ID, now) > 0
		}
	})
	return usedUp
}

// Position implements [coldstart.Fleet].
func (p *peers) Position(key uint64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := ranking.Mix(key ^ xxhash.Sum64String(p.table.Self().GetName()))
	return 1 - float64(own>>11)/(1<<53)
}

// Assumed implements [coldstart.Fleet]. A daemon that has just started may know a few of many
// others, and one that has heard of none is cut off from them.
func (p *peers) Assumed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, settled := p.table.Count(), time.Since(p.startedAt) >= acquaintTime
	if p.reportedFleetSize > 0 || len(p.seeds) == 0 || settled && known > 1 {
		return max(known, p.reportedFleetSize)
	}
	return max(known, largestFleet)
}
