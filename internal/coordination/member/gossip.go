package member

import (
	"math/rand/v2"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// Count returns the number of daemons in the table, including this one and the
// silent ones.
func (t *Table) Count() int { return 1 + len(t.peers) }

// GossipPeers returns the daemons to gossip with: a random other live daemon of this
// daemon's failure domain and a random one of the other domains, if there are any.
// So the cost of a gossip round does not depend on the size of the fleet.
func (t *Table) GossipPeers(random *rand.Rand, now time.Time) []*peerpb.Member {
	var inside, outside []*peerpb.Member
	for _, member := range t.Live(now) {
		switch {
		case member.GetName() == t.self.GetName():
		case member.GetFailureDomain() == t.self.GetFailureDomain():
			inside = append(inside, member)
		default:
			outside = append(outside, member)
		}
	}
	var selected []*peerpb.Member
	for _, group := range [][]*peerpb.Member{inside, outside} {
		if len(group) > 0 {
			selected = append(selected, group[random.IntN(len(group))])
		}
	}
	return selected
}

// SampleEntries returns this daemon's entry and those of random live members, at most
// count entries in total.
func (t *Table) SampleEntries(random *rand.Rand, count int, now time.Time) []*peerpb.Member {
	entries := []*peerpb.Member{t.self}
	live := t.Live(now)
	for _, i := range random.Perm(len(live)) {
		if len(entries) == count {
			break
		}
		if live[i].GetName() != t.self.GetName() {
			entries = append(entries, t.latestEntry(live[i]))
		}
	}
	return entries
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
	}
}

// rankTimeout is how long a silent member still counts in the name order of its
// failure domain. It is longer than the heartbeat timeout, so that short
// differences between the daemons' views do not change the order.
const rankTimeout = 3 * HeartbeatTimeout

// IsAmongFirst reports whether this daemon is one of the first count daemons of its
// failure domain in the order of names. Daemons that are leaving or have been
// silent for rankTimeout do not count.
func (t *Table) IsAmongFirst(count int, now time.Time) bool {
	preceding := 0
	for name, peer := range t.peers {
		if peer.entry.GetFailureDomain() != t.self.GetFailureDomain() || peer.entry.GetLeaving() {
			continue
		}
		if name < t.self.GetName() && now.Sub(peer.lastSeen) < rankTimeout {
			preceding++
		}
	}
	return preceding < count
}
