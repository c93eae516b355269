package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// Count returns the number of daemons in the table, including this one and the
// silent ones.
func (t *Table) Count() int { return 1 + len(t.peers) }

// unreachableTime is how long a member that did not answer is not gossiped with: each
// attempt to reach a host that is cut off or has no power takes until a timeout.
const unreachableTime = 3 * time.Second

// RecentCount returns the number of daemons that have not been silent for the rank timeout, including
// this one. Unlike the live ones, these hardly change while entries take their way through a large fleet.
func (t *Table) RecentCount(now time.Time) int {
	count := 1
	for _, peer := range t.peers {
		if now.Sub(peer.lastSeen) < t.rankTimeout() {
			count++
		}
	}
	return count
}

// GossipPeers returns the daemons to gossip with: a random other daemon of this daemon's
// failure domain and a random one of the other domains, if there are any. So the cost
// of a gossip round does not depend on the size of the fleet. It leaves out those that
// have been silent for the rank timeout, or did not answer lately.
func (t *Table) GossipPeers(random *rand.Rand, now time.Time) []*peerpb.Member {
	inside, outside := t.recent(now, func(p *peer) bool { return now.Sub(p.unreachableAt) >= unreachableTime })
	var selected []*peerpb.Member
	for _, group := range [][]*peer{inside, outside} {
		if len(group) > 0 {
			selected = append(selected, group[random.IntN(len(group))].entry)
		}
	}
	return selected
}

// RecordUnreachable records that a member has not answered.
func (t *Table) RecordUnreachable(name string, now time.Time) {
	if peer := t.peers[name]; peer != nil {
		peer.unreachableAt = now
	}
}

// firstMembers is how many daemons of a failure domain are sent more often than the
// others: those that decide for the others whether they are among the first.
const firstMembers = 3

// SampleEntries returns this daemon's entry and those of random members that have not
// been silent for the rank timeout, at most count entries in total. Half of the others
// are of this daemon's failure domain, one of them among its first by name: the order of
// names decides who follows the platform's store.
func (t *Table) SampleEntries(random *rand.Rand, count int, now time.Time) []*peerpb.Member {
	inside, outside := t.recent(now, func(*peer) bool { return true })
	sample := sampler{random: random}
	sample.take(inside[:min(firstMembers, len(inside))], 1)
	sample.take(inside, max(count/2, count-1-len(outside)))
	sample.take(outside, count-1)
	entries := []*peerpb.Member{t.self}
	for _, peer := range sample.taken {
		entries = append(entries, t.latestEntry(peer.entry))
	}
	return entries
}

// sampler takes random members, each once.
type sampler struct {
	random *rand.Rand
	taken  []*peer
}

// take takes members of a group until the sample has the given size.
func (s *sampler) take(group []*peer, size int) {
	for _, i := range s.random.Perm(len(group)) {
		if len(s.taken) >= size {
			return
		}
		if !slices.Contains(s.taken, group[i]) {
			s.taken = append(s.taken, group[i])
		}
	}
}

// recent returns the members that have not been silent for the rank timeout and for
// which keep returns true, those of this daemon's failure domain and the others, in the
// order of names.
func (t *Table) recent(now time.Time, keep func(*peer) bool) (inside, outside []*peer) {
	timeout := t.rankTimeout()
	for _, name := range t.names {
		peer := t.peers[name]
		switch {
		case now.Sub(peer.lastSeen) >= timeout || !keep(peer):
		case peer.entry.GetFailureDomain() == t.self.GetFailureDomain():
			inside = append(inside, peer)
		default:
			outside = append(outside, peer)
		}
	}
	return inside, outside
}

// latestEntry returns a member's entry with the highest known heartbeat.
func (t *Table) latestEntry(entry *peerpb.Member) *peerpb.Member {
	peer := t.peers[entry.GetName()]
	if peer.heartbeat <= entry.GetHeartbeat() {
		return entry
	}
	return &peerpb.Member{
		Name: entry.GetName(), Address: entry.GetAddress(), Place: entry.GetPlace(), FailureDomain: entry.GetFailureDomain(),
		Incarnation: entry.GetIncarnation(), Heartbeat: peer.heartbeat, Leaving: entry.GetLeaving(),
		DeclaresVersions: entry.GetDeclaresVersions(),
	}
}

const (
	// minRankTimeout is how long a silent member still counts in the name order of its
	// failure domain. It is longer than the heartbeat timeout, so that short
	// differences between the daemons' views do not change the order.
	minRankTimeout = 3 * HeartbeatTimeout
	// rankTimeoutPerMember is the timeout for each known member in a large fleet. A
	// daemon receives about 9 messages of 4 entries each second, so it receives each of
	// n members every n/36 s on average. The timeout is 3.6 times that; the first
	// members of a failure domain, on which the order depends, are sent more often.
	rankTimeoutPerMember = 100 * time.Millisecond
)

// rankTimeout returns how long a silent member still counts in the name order.
func (t *Table) rankTimeout() time.Duration {
	return max(minRankTimeout, time.Duration(len(t.peers))*rankTimeoutPerMember)
}

// Preceding returns the number of daemons of this daemon's failure domain that come
// before it in the order of names, and the number of all daemons of the domain, this one
// included. Daemons that are leaving or have been silent for rankTimeout do not count.
func (t *Table) Preceding(now time.Time) (preceding, domainSize int) {
	domainSize = 1
	for name, peer := range t.peers {
		if peer.entry.GetFailureDomain() != t.self.GetFailureDomain() || peer.entry.GetLeaving() {
			continue
		}
		if now.Sub(peer.lastSeen) >= t.rankTimeout() {
			continue
		}
		domainSize++
		if name < t.self.GetName() {
			preceding++
		}
	}
	return preceding, domainSize
}
