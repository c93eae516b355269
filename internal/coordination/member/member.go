// Package member keeps a daemon's view of the live daemons of the fleet. It is
// a state machine without I/O or clock: the caller passes the time in and
// spreads the messages.
package member

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// Timeouts of the failure detector.
const (
	// DownAfter is how long a member lives on without a new heartbeat.
	DownAfter = 2 * time.Second
	// ForgetAfter is how long a dead member's last incarnation is remembered, so
	// that late gossip does not bring it back.
	ForgetAfter = 10 * time.Minute
)

// Table is the view of one daemon. It is not safe for concurrent use.
type Table struct {
	self  *peerpb.Member
	peers map[string]*peer
}

type peer struct {
	member   *peerpb.Member
	lastSeen time.Time // when the heartbeat last rose
}

// New returns the table of a daemon that knows only itself.
func New(self *peerpb.Member) *Table {
	return &Table{self: self, peers: make(map[string]*peer)}
}

// Self returns the daemon's own entry. Entries are never changed once they can
// be seen outside the table, so that other goroutines may encode them.
func (t *Table) Self() *peerpb.Member { return t.self }

// Beat raises the daemon's own heartbeat.
func (t *Table) Beat() { t.renew(t.self.GetLeaving()) }

// Leave marks the daemon as being in graceful shutdown.
func (t *Table) Leave() { t.renew(true) }

func (t *Table) renew(leaving bool) {
	next := proto.CloneOf(t.self)
	next.Heartbeat++
	next.Leaving = leaving
	t.self = next
}

// Merge takes in what a peer says about members. Only an entry with a higher
// incarnation, or a higher heartbeat of the same incarnation, counts as news.
func (t *Table) Merge(members []*peerpb.Member, now time.Time) {
	for _, member := range members {
		if member.GetName() == t.self.GetName() {
			continue
		}
		known := t.peers[member.GetName()]
		if known == nil || newer(member, known.member) {
			t.peers[member.GetName()] = &peer{member: member, lastSeen: now}
		}
	}
}

func newer(a, b *peerpb.Member) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetHeartbeat() > b.GetHeartbeat()
}

// Expire forgets members that have been dead for ForgetAfter.
func (t *Table) Expire(now time.Time) {
	for name, peer := range t.peers {
		if now.Sub(peer.lastSeen) > ForgetAfter {
			delete(t.peers, name)
		}
	}
}

// Alive reports whether a daemon is believed to run.
func (t *Table) Alive(name string, now time.Time) bool {
	if name == t.self.GetName() {
		return true
	}
	peer := t.peers[name]
	return peer != nil && now.Sub(peer.lastSeen) <= DownAfter
}

// Live returns the daemons that are believed to run, this one included, in the
// order of their names.
func (t *Table) Live(now time.Time) []*peerpb.Member {
	live := []*peerpb.Member{t.self}
	for _, peer := range t.peers {
		if now.Sub(peer.lastSeen) <= DownAfter {
			live = append(live, peer.member)
		}
	}
	slices.SortFunc(live, func(a, b *peerpb.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return live
}

// HomesHash returns a hash of the daemons that may be homes. While it stays the
// same, so do the homes of all engines.
func (t *Table) HomesHash(now time.Time) uint64 {
	var names []string
	for _, member := range t.Live(now) {
		if !member.GetLeaving() {
			names = append(names, member.GetName())
		}
	}
	return ranking.Hash(names...)
}

// AddressFor returns the address at which a daemon of a failure domain reaches a
// member.
func AddressFor(member *peerpb.Member, failureDomain string) string {
	if member.GetFailureDomain() != failureDomain && member.GetOutsideAddress() != "" {
		return member.GetOutsideAddress()
	}
	return member.GetAddress()
}

// HomeOf returns the home daemon of an engine: the highest ranked of the live
// daemons that are not leaving, those of the engine's failure domain first.
// The list excluded names daemons to pass over. It returns nil if none is left.
func (t *Table) HomeOf(engine, failureDomain string, excluded []string, now time.Time) *peerpb.Member {
	var inside, outside []ranking.Candidate
	byName := make(map[string]*peerpb.Member)
	for _, member := range t.Live(now) {
		if member.GetLeaving() || slices.Contains(excluded, member.GetName()) {
			continue
		}
		byName[member.GetName()] = member
		candidate := ranking.Candidate{Name: member.GetName(), Weight: 1}
		if member.GetFailureDomain() == failureDomain {
			inside = append(inside, candidate)
		} else {
			outside = append(outside, candidate)
		}
	}
	key := ranking.Hash("home", engine)
	for _, candidates := range [][]ranking.Candidate{inside, outside} {
		if len(candidates) > 0 {
			return byName[ranking.Order(key, candidates)[0]]
		}
	}
	return nil
}
