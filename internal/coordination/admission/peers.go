package admission

import (
	"math"
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// OrphanLifetime is how long the requests of a daemon that went down are counted on
// their engines. Their number falls linearly to zero over this time, as the
// engines finish them.
const OrphanLifetime = 15 * time.Second

// downPeerRetention is how long the last counts of a down daemon are kept, so that
// the same counts are not accepted as an update when they arrive late by gossip.
const downPeerRetention = 10 * time.Minute

// peerState holds the last counts that one other daemon reported.
type peerState struct {
	load      *peerpb.DaemonLoad
	down      bool      // its requests are orphaned
	downSince time.Time // when this daemon learned that the peer is down
}

// orphanGroup counts the requests on an engine that were in flight through one
// daemon when it went down. The engine may still run them, and callers may resume
// their streams through the engine's next home daemon.
type orphanGroup struct {
	daemon    string
	initial   int // count when the daemon went down, less the requests resumed through this daemon
	remaining int // current estimate of those that still run
	downSince time.Time
}

// MergeLoads updates the in-flight counts of peers. It ignores counts of this
// daemon itself and counts that are not newer than the known ones.
func (c *Controller) MergeLoads(self string, loads []*peerpb.DaemonLoad, now time.Time) {
	for _, load := range loads {
		peer := c.peers[load.GetDaemon()]
		if load.GetDaemon() == self || peer != nil && !newerLoad(load, peer.load) {
			continue
		}
		if peer != nil {
			c.removePreviousCounts(peer, load, now)
		}
		c.peers[load.GetDaemon()] = &peerState{load: load}
		c.applyCounts(load, 1)
	}
}

func newerLoad(a, b *peerpb.DaemonLoad) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// removePreviousCounts removes the counts that a peer reported earlier, before new
// counts replace them. If the peer has restarted, its earlier requests become
// orphans. If it was only unreachable, its new counts include the requests that
// were taken for orphans.
func (c *Controller) removePreviousCounts(peer *peerState, load *peerpb.DaemonLoad, now time.Time) {
	restarted := load.GetIncarnation() != peer.load.GetIncarnation()
	switch {
	case restarted:
		c.PeerDown(load.GetDaemon(), now)
	case peer.down:
		c.dropOrphans(peer.load)
	default:
		c.applyCounts(peer.load, -1)
	}
}

func (c *Controller) dropOrphans(load *peerpb.DaemonLoad) {
	for _, count := range load.GetCounts() {
		if target := c.engines[count.GetEngine()]; target != nil {
			target.dropOrphans(load.GetDaemon())
		}
	}
}

// applyCounts adds a peer's counts to the engines if sign is 1, and subtracts them
// if sign is -1.
func (c *Controller) applyCounts(load *peerpb.DaemonLoad, sign int) {
	for _, count := range load.GetCounts() {
		if target := c.engines[count.GetEngine()]; target != nil {
			target.peerInFlight += sign * int(count.GetInFlight())
			target.setPeerTakeover(load.GetDaemon(), count, sign)
			target.updateServiceSums()
		}
	}
}

// addPeerCounts adds the last reported counts of all live peers to a new engine.
func (c *Controller) addPeerCounts(target *engine) {
	for daemon, peer := range c.peers {
		if peer.down {
			continue
		}
		for _, count := range peer.load.GetCounts() {
			if count.GetEngine() == target.name {
				target.peerInFlight += int(count.GetInFlight())
				target.setPeerTakeover(daemon, count, 1)
			}
		}
	}
}

// PeerDown records that a daemon has gone down: its requests in flight become
// orphans.
func (c *Controller) PeerDown(daemon string, now time.Time) {
	peer := c.peers[daemon]
	if peer == nil || peer.down {
		return
	}
	c.applyCounts(peer.load, -1)
	peer.down, peer.downSince = true, now
	for _, count := range peer.load.GetCounts() {
		if target := c.engines[count.GetEngine()]; target != nil {
			target.addOrphans(daemon, int(count.GetInFlight()), now)
		}
	}
}

// forgetDownPeers deletes the peers that have been down for downPeerRetention.
func (c *Controller) forgetDownPeers(now time.Time) {
	for daemon, peer := range c.peers {
		if peer.down && now.Sub(peer.downSince) > downPeerRetention {
			delete(c.peers, daemon)
		}
	}
}

// PeerLoads returns the last reported counts of the live peers, by daemon name.
func (c *Controller) PeerLoads() map[string]*peerpb.DaemonLoad {
	loads := make(map[string]*peerpb.DaemonLoad, len(c.peers))
	for name, peer := range c.peers {
		if !peer.down {
			loads[name] = peer.load
		}
	}
	return loads
}

// addOrphans adds the requests of a daemon that has gone down as orphans. It leaves
// out requests that were taken over before the daemon was known to be down.
func (e *engine) addOrphans(daemon string, count int, now time.Time) {
	orphaned := max(0, count-e.takeovers.consumeBeforeDown(count)-e.takenOverByPeers())
	e.orphanGroups = append(e.orphanGroups, &orphanGroup{
		daemon: daemon, initial: orphaned, remaining: orphaned, downSince: now,
	})
	e.decayOrphans(now)
	e.updateServiceSums()
}

// adoptOrphan removes a resumed request from the orphans; the caller then counts
// the request as its own. If the engine has no orphans, the daemon that admitted
// the request is not yet known to be down.
func (e *engine) adoptOrphan(now time.Time) {
	e.report.recordResumed()
	e.takeovers.add(now, len(e.orphanGroups) == 0)
	if len(e.orphanGroups) > 0 {
		e.orphanGroups[0].initial--
	}
	e.decayOrphans(now)
}

func (e *engine) dropOrphans(daemon string) {
	e.orphanGroups = slices.DeleteFunc(e.orphanGroups, func(group *orphanGroup) bool { return group.daemon == daemon })
	e.updateUnaccounted()
	e.updateServiceSums()
}

// decayOrphans updates how many orphaned requests are assumed to still run: the
// number falls linearly to zero, and the engine's report may show that fewer are
// left.
func (e *engine) decayOrphans(now time.Time) {
	e.report.expire(now)
	for _, group := range e.orphanGroups {
		lifetimeLeft := max(0, OrphanLifetime-now.Sub(group.downSince))
		decayed := math.Ceil(float64(group.initial) * lifetimeLeft.Seconds() / OrphanLifetime.Seconds())
		group.remaining = min(int(decayed), e.report.maxOrphansSince(group.downSince))
	}
	e.orphanGroups = slices.DeleteFunc(e.orphanGroups, func(group *orphanGroup) bool { return group.remaining <= 0 })
	e.updateUnaccounted()
}

func (e *engine) updateUnaccounted() {
	e.unaccounted = 0
	for _, group := range e.orphanGroups {
		e.unaccounted += group.remaining
	}
	e.unaccounted = max(e.unaccounted, e.report.unaccounted)
}
