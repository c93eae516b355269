// Package member keeps a daemon's view of the live daemons of the fleet. It is
// a state machine without I/O or clock: the caller passes the time in and
// spreads the messages.
package member

import (
	"iter"
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
	// maxOutsideDownAfter is the same for members of other failure domains when
	// there are many.
	maxOutsideDownAfter = 10 * time.Second
	// PauseAfter is the gap between beats from which a daemon takes itself to
	// have been paused.
	PauseAfter = time.Second
	// confirmAfter is how long after a silent member's first new heartbeat another
	// one must rise before it counts as alive again. Messages that were held up
	// come all at once; a running member's heartbeats do not.
	confirmAfter = 200 * time.Millisecond
	// ForgetAfter is how long a dead member's last incarnation is remembered, so
	// that late gossip does not bring it back.
	ForgetAfter = 10 * time.Minute
)

// Table is the view of one daemon. It is not safe for concurrent use.
type Table struct {
	self    *peerpb.Member
	selfID  uint32
	peers   map[string]*peer
	names   map[uint32]string   // of members by the id of their present entry
	missing map[uint32]struct{} // ids heard of whose entries are not known
	turn    int                 // of the members of other domains in digests
	tick    time.Time           // the last one
}

type peer struct {
	member    *peerpb.Member // its heartbeat is that of when the entry came
	id        uint32
	heartbeat uint64
	rose      time.Time // when the heartbeat last rose
	returned  time.Time // when it first rose after a silence; zero otherwise
	grace     time.Time // counts as alive until then in any case
}

// New returns the table of a daemon that knows only itself.
func New(self *peerpb.Member) *Table {
	return &Table{
		self:    self,
		selfID:  entryID(self),
		peers:   make(map[string]*peer),
		names:   make(map[uint32]string),
		missing: make(map[uint32]struct{}),
	}
}

// Self returns the daemon's own entry. Entries are never changed once they can
// be seen outside the table, so that other goroutines may encode them.
func (t *Table) Self() *peerpb.Member { return t.self }

// Beat raises the daemon's own heartbeat. A gap since the last beat means that
// this daemon was paused: the silence was its own, so it gives the members that
// were alive before the pause time to be heard again.
func (t *Table) Beat(now time.Time) {
	if gap := now.Sub(t.tick); !t.tick.IsZero() && gap > PauseAfter {
		for _, peer := range t.peers {
			if t.alive(peer, t.tick) {
				peer.grace = now.Add(t.downAfter(peer.member))
			}
		}
	}
	t.tick = now
	t.renew(func(*peerpb.Member) {})
}

// Leave marks the daemon as being in graceful shutdown.
func (t *Table) Leave() { t.renew(func(self *peerpb.Member) { self.Leaving = true }) }

// SetPlatformAway notes whether the daemon's last call of the platform failed.
func (t *Table) SetPlatformAway(away bool) {
	t.renew(func(self *peerpb.Member) { self.PlatformAway = away })
}

func (t *Table) renew(change func(self *peerpb.Member)) {
	next := proto.CloneOf(t.self)
	next.Heartbeat++
	change(next)
	t.self = next
	t.selfID = entryID(next)
}

// Merge takes in members' entries. Only an entry with a higher incarnation, or a
// higher heartbeat of the same incarnation, counts as news.
func (t *Table) Merge(members []*peerpb.Member, now time.Time) {
	for _, member := range members {
		if member.GetName() == t.self.GetName() {
			continue
		}
		known := t.peers[member.GetName()]
		switch {
		case known == nil || known.member.GetIncarnation() < member.GetIncarnation():
			t.set(member, now)
		case known.olderThan(member):
			t.replace(known, member, now)
		}
		delete(t.missing, entryID(member))
	}
}

func (t *Table) set(member *peerpb.Member, now time.Time) {
	if known := t.peers[member.GetName()]; known != nil {
		delete(t.names, known.id)
	}
	id := entryID(member)
	t.names[id] = member.GetName()
	t.peers[member.GetName()] = &peer{member: member, id: id, heartbeat: member.GetHeartbeat(), rose: now}
}

// replace takes in a new entry of the same incarnation.
func (t *Table) replace(peer *peer, member *peerpb.Member, now time.Time) {
	delete(t.names, peer.id)
	peer.member = member
	peer.id = entryID(member)
	t.names[peer.id] = member.GetName()
	t.raise(peer, member.GetHeartbeat(), now)
}

// raise takes in a higher heartbeat.
func (t *Table) raise(peer *peer, heartbeat uint64, now time.Time) {
	peer.heartbeat = heartbeat
	silentAfter := t.downAfter(peer.member)
	if now.Sub(peer.rose) > silentAfter {
		if now.Sub(peer.returned) > silentAfter {
			peer.returned = now
		}
		if now.Sub(peer.returned) < confirmAfter {
			return
		}
	}
	peer.rose = now
	peer.returned = time.Time{}
}

func (p *peer) olderThan(member *peerpb.Member) bool {
	return p.member.GetIncarnation() == member.GetIncarnation() && p.heartbeat < member.GetHeartbeat()
}

// Expire forgets members that have been dead for ForgetAfter.
func (t *Table) Expire(now time.Time) {
	for name, peer := range t.peers {
		if now.Sub(peer.rose) > ForgetAfter {
			delete(t.peers, name)
			delete(t.names, peer.id)
		}
	}
}

// alive judges by the last beat's time if this daemon has been paused since.
func (t *Table) alive(peer *peer, now time.Time) bool {
	if !t.tick.IsZero() && now.Sub(t.tick) > PauseAfter {
		now = t.tick
	}
	return now.Sub(peer.rose) <= t.downAfter(peer.member) || now.Before(peer.grace)
}

// downAfter returns how long a member lives on without a new heartbeat. Those of
// other failure domains are heard of in turns.
func (t *Table) downAfter(member *peerpb.Member) time.Duration {
	if member.GetFailureDomain() == t.self.GetFailureDomain() {
		return DownAfter
	}
	turns := 1 + (len(t.peers)-1)/outsideInDigest
	return min(DownAfter*time.Duration(turns), maxOutsideDownAfter)
}

// Alive reports whether a daemon is believed to run.
func (t *Table) Alive(name string, now time.Time) bool {
	if name == t.self.GetName() {
		return true
	}
	peer := t.peers[name]
	return peer != nil && t.alive(peer, now)
}

// Member returns a member's entry, or nil.
func (t *Table) Member(name string) *peerpb.Member {
	if peer := t.peers[name]; peer != nil {
		return peer.member
	}
	return nil
}

// known returns a member or this daemon itself.
func (t *Table) known(name string) *peerpb.Member {
	if name == t.self.GetName() {
		return t.self
	}
	return t.Member(name)
}

// Live returns the daemons that are believed to run, this one included, in the
// order of their names.
func (t *Table) Live(now time.Time) []*peerpb.Member {
	live := slices.Collect(t.allLive(now))
	slices.SortFunc(live, func(a, b *peerpb.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return live
}

// allLive yields what Live returns, in no order.
func (t *Table) allLive(now time.Time) iter.Seq[*peerpb.Member] {
	return func(yield func(*peerpb.Member) bool) {
		if !yield(t.self) {
			return
		}
		for _, peer := range t.peers {
			if t.alive(peer, now) && !yield(peer.member) {
				return
			}
		}
	}
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
// If all of them are leaving, this daemon serves what it has accepted itself.
// The list excluded names daemons to pass over. It returns nil if none is left.
func (t *Table) HomeOf(engine, failureDomain string, excluded []string, now time.Time) *peerpb.Member {
	var inside, outside []ranking.Candidate
	for member := range t.allLive(now) {
		if member.GetLeaving() || slices.Contains(excluded, member.GetName()) {
			continue
		}
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
			return t.known(ranking.Top(key, candidates, 1)[0])
		}
	}
	if !slices.Contains(excluded, t.self.GetName()) {
		return t.self
	}
	return nil
}
