package member

import (
	"math/rand/v2"
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// Known returns how many daemons the table remembers, this one included, the
// silent ones too.
func (t *Table) Known() int { return 1 + len(t.peers) }

// Partners returns one other live daemon of the own failure domain and one of
// another, each drawn at random, as far as there are any: the cost of telling
// them stays the same however many daemons there are.
func (t *Table) Partners(random *rand.Rand, now time.Time) []*peerpb.Member {
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
	var partners []*peerpb.Member
	for _, group := range [][]*peerpb.Member{inside, outside} {
		if len(group) > 0 {
			partners = append(partners, group[random.IntN(len(group))])
		}
	}
	return partners
}

// Sample returns this daemon's entry and those of others, drawn at random, and
// count at most.
func (t *Table) Sample(random *rand.Rand, count int, now time.Time) []*peerpb.Member {
	sample := []*peerpb.Member{t.self}
	live := t.Live(now)
	for _, i := range random.Perm(len(live)) {
		if len(sample) == count {
			break
		}
		if live[i].GetName() != t.self.GetName() {
			sample = append(sample, t.current(live[i]))
		}
	}
	return sample
}

// current returns a member's entry with the highest heartbeat that is known.
func (t *Table) current(member *peerpb.Member) *peerpb.Member {
	known := t.peers[member.GetName()]
	if known.heartbeat <= member.GetHeartbeat() {
		return member
	}
	return &peerpb.Member{
		Name: member.GetName(), Address: member.GetAddress(), Place: member.GetPlace(), FailureDomain: member.GetFailureDomain(),
		Incarnation: member.GetIncarnation(), Heartbeat: known.heartbeat, Leaving: member.GetLeaving(),
	}
}

// firstSilence is how long a member may be silent and still counts as one of the
// first of its domain. It is longer than DownAfter, so that views that differ for
// a moment change nothing.
const firstSilence = 3 * DownAfter

// Among reports whether this daemon is one of the first of its failure domain, by
// name, of those that were heard of lately and are not leaving.
func (t *Table) Among(first int, now time.Time) bool {
	ahead := 0
	for name, peer := range t.peers {
		if peer.member.GetFailureDomain() != t.self.GetFailureDomain() || peer.member.GetLeaving() {
			continue
		}
		if name < t.self.GetName() && now.Sub(peer.rose) < firstSilence {
			ahead++
		}
	}
	return ahead < first
}
