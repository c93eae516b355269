// Package member keeps a daemon's view of the live daemons of the fleet: a
// gossip membership table with a heartbeat failure detector. It is a state machine
// without I/O or clock: the caller passes in the time and exchanges the messages.
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
	// HeartbeatTimeout is how long a member counts as alive without a new heartbeat.
	HeartbeatTimeout = 2 * time.Second
	// maxOutsideHeartbeatTimeout is the upper limit of the timeout for members of other
	// failure domains, which grows with the number of members.
	maxOutsideHeartbeatTimeout = 10 * time.Second
	// PauseThreshold is the gap between two advances of a daemon's own heartbeat above
	// which the daemon assumes that its process was paused.
	PauseThreshold = time.Second
	// confirmationDelay is the least time between a silent member's first new
	// heartbeat and the further one that marks it as alive again. Delayed messages
	// arrive all at once; the heartbeats of a running member do not.
	confirmationDelay = 200 * time.Millisecond
	// DeadMemberRetention is how long a dead member's last incarnation is kept, so that
	// delayed gossip does not bring the member back.
	DeadMemberRetention = 10 * time.Minute
)

// Table is one daemon's view of the fleet. It is not safe for concurrent use.
type Table struct {
	self            *peerpb.Member
	selfEntryID     uint32
	peers           map[string]*peer
	names           []string            // of peers, sorted
	nameByEntryID   map[uint32]string   // by the id of the member's current entry
	missingEntryIDs map[uint32]struct{} // ids in received digests whose entries are unknown
	nextOutside     int                 // round-robin position among the members of other failure domains
	lastHeartbeat   time.Time           // when this daemon last advanced its own heartbeat
	replaced        []replacedMember    // incarnations that have been replaced by later ones
}

// replacedMember is an incarnation of a member that has been replaced by a later one.
type replacedMember struct {
	lastSeen         time.Time
	declaresVersions bool
}

// peer is what the table knows of another daemon.
type peer struct {
	entry     *peerpb.Member // with the heartbeat at which the entry was received
	entryID   uint32
	heartbeat uint64
	addedAt   time.Time // when this incarnation was first heard of
	lastSeen  time.Time // when a heartbeat last proved the member alive
	resumedAt time.Time // first heartbeat after a silence that is not yet confirmed; zero otherwise
	// unreachableAt is when the member last did not answer this daemon.
	unreachableAt time.Time
	graceUntil    time.Time // after a pause of this daemon, the member counts as alive until then
}

// New returns the table of a daemon that knows only itself.
func New(self *peerpb.Member) *Table {
	return &Table{
		self:            self,
		selfEntryID:     entryID(self),
		peers:           make(map[string]*peer),
		nameByEntryID:   make(map[uint32]string),
		missingEntryIDs: make(map[uint32]struct{}),
	}
}

// Self returns the daemon's own entry. Entries are immutable once the table has
// returned them, so that other goroutines may encode them.
func (t *Table) Self() *peerpb.Member { return t.self }

// AdvanceHeartbeat advances the daemon's own heartbeat. A gap of more than
// PauseThreshold since the last advance means that this daemon was paused and could
// not receive heartbeats. The members that were alive before the pause then stay
// alive for another timeout.
func (t *Table) AdvanceHeartbeat(now time.Time) {
	if gap := now.Sub(t.lastHeartbeat); !t.lastHeartbeat.IsZero() && gap > PauseThreshold {
		for _, peer := range t.peers {
			if t.alive(peer, t.lastHeartbeat) {
				peer.graceUntil = now.Add(t.heartbeatTimeout(peer.entry))
			}
		}
	}
	t.lastHeartbeat = now
	t.updateSelf(func(*peerpb.Member) {})
}

// MarkLeaving marks this daemon as being in graceful shutdown.
func (t *Table) MarkLeaving() { t.updateSelf(func(self *peerpb.Member) { self.Leaving = true }) }

// SetPlatformAway records in this daemon's own entry whether the platform's store is
// unavailable from here.
func (t *Table) SetPlatformAway(away bool) {
	t.updateSelf(func(self *peerpb.Member) { self.PlatformAway = away })
}

// SetUnreachedServices records in this daemon's own entry of which services it reaches no
// target: hashes of their names.
func (t *Table) SetUnreachedServices(services []uint32) {
	t.updateSelf(func(self *peerpb.Member) { self.UnreachedServices = services })
}

// updateSelf replaces the daemon's own entry by a changed copy with the next
// heartbeat.
func (t *Table) updateSelf(change func(self *peerpb.Member)) {
	updated := proto.CloneOf(t.self)
	updated.Heartbeat++
	change(updated)
	t.self = updated
	t.selfEntryID = entryID(updated)
}

// MergeEntries records received entries. It ignores an entry unless the member is
// unknown, the incarnation is higher than the known one, or the heartbeat is
// higher in the same incarnation.
func (t *Table) MergeEntries(entries []*peerpb.Member, now time.Time) {
	for _, entry := range entries {
		if entry.GetName() == t.self.GetName() {
			continue
		}
		peer := t.peers[entry.GetName()]
		switch {
		case peer == nil || peer.entry.GetIncarnation() < entry.GetIncarnation():
			t.addEntry(entry, now)
		case peer.isOlderThan(entry):
			t.updateEntry(peer, entry, now)
		}
		delete(t.missingEntryIDs, entryID(entry))
	}
}

// addEntry records the first entry of a member or of a new incarnation.
func (t *Table) addEntry(entry *peerpb.Member, now time.Time) {
	if replaced := t.peers[entry.GetName()]; replaced != nil {
		delete(t.nameByEntryID, replaced.entryID)
		t.replaced = append(t.replaced, replacedMember{replaced.lastSeen, replaced.entry.GetDeclaresVersions()})
	} else {
		i, _ := slices.BinarySearch(t.names, entry.GetName())
		t.names = slices.Insert(t.names, i, entry.GetName())
	}
	id := entryID(entry)
	t.nameByEntryID[id] = entry.GetName()
	t.peers[entry.GetName()] = &peer{entry: entry, entryID: id, heartbeat: entry.GetHeartbeat(), addedAt: now, lastSeen: now}
}

// updateEntry records a newer entry of the same incarnation.
func (t *Table) updateEntry(peer *peer, entry *peerpb.Member, now time.Time) {
	delete(t.nameByEntryID, peer.entryID)
	peer.entry = entry
	peer.entryID = entryID(entry)
	t.nameByEntryID[peer.entryID] = entry.GetName()
	t.recordHeartbeat(peer, entry.GetHeartbeat(), now)
}

// recordHeartbeat records a higher heartbeat. If the member was silent for longer
// than its timeout, only a heartbeat that arrives confirmationDelay or more after
// the first new one marks it as alive again.
func (t *Table) recordHeartbeat(peer *peer, heartbeat uint64, now time.Time) {
	peer.heartbeat = heartbeat
	timeout := t.heartbeatTimeout(peer.entry)
	if now.Sub(peer.lastSeen) > timeout {
		if now.Sub(peer.resumedAt) > timeout {
			peer.resumedAt = now
		}
		if now.Sub(peer.resumedAt) < confirmationDelay {
			return
		}
	}
	peer.lastSeen = now
	peer.resumedAt = time.Time{}
}

// isOlderThan reports whether the entry has a higher heartbeat of the known
// incarnation.
func (p *peer) isOlderThan(entry *peerpb.Member) bool {
	return p.entry.GetIncarnation() == entry.GetIncarnation() && p.heartbeat < entry.GetHeartbeat()
}

// RemoveExpired removes the members that have been dead for so long that delayed gossip
// about them is no longer expected.
func (t *Table) RemoveExpired(now time.Time) {
	for name, peer := range t.peers {
		if now.Sub(peer.lastSeen) > DeadMemberRetention {
			delete(t.peers, name)
			delete(t.nameByEntryID, peer.entryID)
		}
	}
	t.names = slices.DeleteFunc(t.names, func(name string) bool { return t.peers[name] == nil })
	t.replaced = slices.DeleteFunc(t.replaced, func(r replacedMember) bool { return now.Sub(r.lastSeen) > DeadMemberRetention })
}

// MayHaveLost reports whether a daemon may have been lost that was last heard of between two
// times: an earlier incarnation of a present one, one that was leaving, or one that has been
// silent since silentSince.
func (t *Table) MayHaveLost(from, until, silentSince time.Time) bool {
	within := func(seenAt time.Time) bool { return !seenAt.Before(from) && !seenAt.After(until) }
	for _, peer := range t.peers {
		if within(peer.lastSeen) && (peer.entry.GetLeaving() || !peer.lastSeen.After(silentSince)) {
			return true
		}
	}
	return slices.ContainsFunc(t.replaced, func(r replacedMember) bool { return within(r.lastSeen) })
}

// Undeclared reports whether a daemon that has been heard of since a time may have begun streams
// at versions that it has not declared: one that does not declare any, or that started after
// startedUntil, when it may not have been able to. Those for whose address excluded returns true
// do not count.
func (t *Table) Undeclared(since, startedUntil time.Time, excluded func(address string) bool) bool {
	for _, peer := range t.peers {
		certain := peer.entry.GetDeclaresVersions() && !peer.addedAt.After(startedUntil)
		if !certain && !peer.lastSeen.Before(since) && !excluded(peer.entry.GetAddress()) {
			return true
		}
	}
	return slices.ContainsFunc(t.replaced, func(r replacedMember) bool { return !r.declaresVersions && !r.lastSeen.Before(since) })
}

// SilentSince returns since when an incarnation of a daemon has been silent, zero if this daemon has
// never heard of the incarnation or a later one.
func (t *Table) SilentSince(name string, incarnation uint64) time.Time {
	peer := t.peers[name]
	switch {
	case peer == nil || peer.entry.GetIncarnation() < incarnation:
		return time.Time{}
	case peer.entry.GetIncarnation() > incarnation:
		return peer.addedAt
	}
	return peer.lastSeen
}

// alive reports whether a member is within its timeout, or within its grace period
// after a pause of this daemon. If this daemon has been paused since it last
// advanced its own heartbeat, the time of that advance replaces now.
func (t *Table) alive(peer *peer, now time.Time) bool {
	if !t.lastHeartbeat.IsZero() && now.Sub(t.lastHeartbeat) > PauseThreshold {
		now = t.lastHeartbeat
	}
	return now.Sub(peer.lastSeen) <= t.heartbeatTimeout(peer.entry) || now.Before(peer.graceUntil)
}

// heartbeatTimeout returns how long a member counts as alive without a new
// heartbeat. It is longer for members of other failure domains, as a digest
// contains only some of them.
func (t *Table) heartbeatTimeout(member *peerpb.Member) time.Duration {
	if member.GetFailureDomain() == t.self.GetFailureDomain() {
		return HeartbeatTimeout
	}
	rounds := 1 + (len(t.peers)-1)/maxOutsideHeartbeats
	return min(HeartbeatTimeout*time.Duration(rounds), maxOutsideHeartbeatTimeout)
}

// Alive reports whether a daemon is considered alive.
func (t *Table) Alive(name string, now time.Time) bool {
	if name == t.self.GetName() {
		return true
	}
	peer := t.peers[name]
	return peer != nil && t.alive(peer, now)
}

// Member returns the entry of another daemon, or nil if the daemon is unknown.
func (t *Table) Member(name string) *peerpb.Member {
	if peer := t.peers[name]; peer != nil {
		return peer.entry
	}
	return nil
}

// memberOrSelf returns the entry of another daemon or of this one, or nil if the
// daemon is unknown.
func (t *Table) memberOrSelf(name string) *peerpb.Member {
	if name == t.self.GetName() {
		return t.self
	}
	return t.Member(name)
}

// KnownPeers returns the names of all other daemons in the table, the silent ones included,
// sorted. The caller must not change them.
func (t *Table) KnownPeers() []string { return t.names }

// Live returns the daemons that are considered alive, including this one, sorted
// by name.
func (t *Table) Live(now time.Time) []*peerpb.Member {
	live := slices.Collect(t.allLive(now))
	slices.SortFunc(live, func(a, b *peerpb.Member) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return live
}

// allLive yields the same entries as Live, in no particular order.
func (t *Table) allLive(now time.Time) iter.Seq[*peerpb.Member] {
	return func(yield func(*peerpb.Member) bool) {
		if !yield(t.self) {
			return
		}
		for _, peer := range t.peers {
			if t.alive(peer, now) && !yield(peer.entry) {
				return
			}
		}
	}
}

// HomeCandidatesHash returns a hash of the names of the daemons that can be home
// daemons: those that are alive and not leaving. While the hash is unchanged, each
// engine keeps its home.
func (t *Table) HomeCandidatesHash(now time.Time) uint64 {
	var names []string
	for _, member := range t.Live(now) {
		if !member.GetLeaving() {
			names = append(names, member.GetName())
		}
	}
	return ranking.Hash(names...)
}

// AddressFor returns the address at which daemons of a failure domain reach a
// member.
func AddressFor(member *peerpb.Member, failureDomain string) string {
	if member.GetFailureDomain() != failureDomain && member.GetOutsideAddress() != "" {
		return member.GetOutsideAddress()
	}
	return member.GetAddress()
}

// HomeOf returns the home daemon of an engine, which admits requests to the engine
// and forwards them: the highest ranked of the live daemons that are not leaving,
// with those of the engine's failure domain preferred. If all daemons are leaving,
// the home is this daemon, so that it serves the requests that it has received
// itself. The daemons in excluded are skipped. HomeOf returns nil if no daemon
// remains.
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
			return t.memberOrSelf(ranking.Top(key, candidates, 1)[0])
		}
	}
	if !slices.Contains(excluded, t.self.GetName()) {
		return t.self
	}
	return nil
}
