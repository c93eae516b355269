package admission

import (
	"math"
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// LeftoverLife is how long the requests of a daemon that went down count on
// their engines: they fade out evenly, as the engines finish them.
const LeftoverLife = 15 * time.Second

// peerMemory is how long a down daemon's last counts are remembered, so that
// late gossip of them is not taken for news.
const peerMemory = 10 * time.Minute

// peer is what one other daemon has last said of its counts.
type peer struct {
	load  *peerpb.DaemonLoad
	down  bool      // its counts are leftovers now
	since time.Time // when it went down
}

// leftover is the part of an engine's load that came through a daemon that went
// down. The engine may run it still: callers come back for streams through the
// engine's next home.
type leftover struct {
	daemon    string
	count     int // at first, less those that came back to this daemon
	remaining int // after fading
	since     time.Time
}

// MergeLoads takes in what peers say about their in-flight counts.
func (c *Controller) MergeLoads(self string, loads []*peerpb.DaemonLoad, now time.Time) {
	for _, load := range loads {
		known := c.peers[load.GetDaemon()]
		if load.GetDaemon() == self || known != nil && !newer(load, known.load) {
			continue
		}
		if known != nil {
			c.supersede(known, load, now)
		}
		c.peers[load.GetDaemon()] = &peer{load: load}
		c.addCounts(load, 1)
	}
}

func newer(a, b *peerpb.DaemonLoad) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// supersede takes out what a daemon has said before. The requests of a daemon
// that has started anew become leftovers; one that was only out of sight counts
// its own again.
func (c *Controller) supersede(known *peer, load *peerpb.DaemonLoad, now time.Time) {
	restarted := load.GetIncarnation() != known.load.GetIncarnation()
	switch {
	case restarted:
		c.PeerDown(load.GetDaemon(), now)
	case known.down:
		c.dropLeftovers(known.load)
	default:
		c.addCounts(known.load, -1)
	}
}

func (c *Controller) dropLeftovers(load *peerpb.DaemonLoad) {
	for _, count := range load.GetCounts() {
		if target := c.engines[count.GetEngine()]; target != nil {
			target.dropLeftovers(load.GetDaemon())
		}
	}
}

func (c *Controller) addCounts(load *peerpb.DaemonLoad, sign int) {
	for _, count := range load.GetCounts() {
		if target := c.engines[count.GetEngine()]; target != nil {
			target.peers += sign * int(count.GetInFlight())
			target.setTaker(load.GetDaemon(), count, sign)
			target.update()
		}
	}
}

// addPeers takes what live peers have last said into a new engine's counts.
func (c *Controller) addPeers(target *engine) {
	for daemon, known := range c.peers {
		if known.down {
			continue
		}
		for _, count := range known.load.GetCounts() {
			if count.GetEngine() == target.name {
				target.peers += int(count.GetInFlight())
				target.setTaker(daemon, count, 1)
			}
		}
	}
}

// PeerDown turns the counts of a daemon that has gone down into leftovers.
func (c *Controller) PeerDown(daemon string, now time.Time) {
	known := c.peers[daemon]
	if known == nil || known.down {
		return
	}
	c.addCounts(known.load, -1)
	known.down, known.since = true, now
	for _, count := range known.load.GetCounts() {
		if target := c.engines[count.GetEngine()]; target != nil {
			target.leave(daemon, int(count.GetInFlight()), now)
		}
	}
}

// forgetPeers drops the daemons that have been down for peerMemory.
func (c *Controller) forgetPeers(now time.Time) {
	for daemon, known := range c.peers {
		if known.down && now.Sub(known.since) > peerMemory {
			delete(c.peers, daemon)
		}
	}
}

// PeerLoads returns the live peers' counts as last heard, by daemon.
func (c *Controller) PeerLoads() map[string]*peerpb.DaemonLoad {
	loads := make(map[string]*peerpb.DaemonLoad, len(c.peers))
	for name, known := range c.peers {
		if !known.down {
			loads[name] = known.load
		}
	}
	return loads
}

// leave notes a daemon's leftover on the engine. Requests that have come back
// already, before the daemon was known to be down, are not part of it.
func (e *engine) leave(daemon string, count int, now time.Time) {
	left := max(0, count-e.taken.useEarly(count)-e.takenByPeers())
	e.leftovers = append(e.leftovers, &leftover{
		daemon: daemon, count: left, remaining: left, since: now,
	})
	e.decay(now)
	e.update()
}

// takeLeftover moves one request from the leftovers to the own count, which the
// caller raises. If there is none, the daemon that it came through is not yet
// known to be down.
func (e *engine) takeLeftover(now time.Time) {
	e.report.explain()
	e.taken.add(now, len(e.leftovers) == 0)
	if len(e.leftovers) > 0 {
		e.leftovers[0].count--
	}
	e.decay(now)
}

func (e *engine) dropLeftovers(daemon string) {
	e.leftovers = slices.DeleteFunc(e.leftovers, func(each *leftover) bool { return each.daemon == daemon })
	e.sumLeftovers()
	e.update()
}

// decay lets the leftovers fade.
func (e *engine) decay(now time.Time) {
	e.report.expire(now)
	for _, each := range e.leftovers {
		life := max(0, LeftoverLife-now.Sub(each.since))
		faded := math.Ceil(float64(each.count) * life.Seconds() / LeftoverLife.Seconds())
		each.remaining = min(int(faded), e.report.mostSince(each.since))
	}
	e.leftovers = slices.DeleteFunc(e.leftovers, func(each *leftover) bool { return each.remaining <= 0 })
	e.sumLeftovers()
}

func (e *engine) sumLeftovers() {
	e.left = 0
	for _, each := range e.leftovers {
		e.left += each.remaining
	}
	e.left = max(e.left, e.report.unexplained)
}
