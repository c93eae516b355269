package member

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// maxOutsideHeartbeats is the largest number of members of other failure domains in
// one digest. If there are more members, successive digests rotate through them.
const maxOutsideHeartbeats = 32

// Heartbeat is one member's heartbeat in a digest.
type Heartbeat struct {
	Name    string // empty if the entry id is unknown
	EntryID uint32 // of the member's current entry
	Counter uint64 // increases while the member runs
}

// entryID returns a hash of all fields of an entry except its heartbeat. Digests
// refer to entries by this id, and a receiver requests the entry of an id that it
// does not know. So each entry is sent once, and each heartbeat costs only a few
// bytes. Among 470 entries two share an id in about one of 40,000 fleets.
func entryID(entry *peerpb.Member) uint32 {
	hash := ranking.Hash(
		entry.GetName(), entry.GetAddress(), entry.GetOutsideAddress(),
		entry.GetPlace(), entry.GetFailureDomain(),
		strconv.FormatUint(entry.GetIncarnation(), 10),
		strconv.FormatBool(entry.GetLeaving()),
		strconv.FormatBool(entry.GetPlatformAway()),
		strconv.FormatUint(uint64(entry.GetForwardPort()), 10),
		fmt.Sprint(entry.GetUnreachedServices()),
	)
	return uint32(hash)
}

// Digest returns the heartbeats to send to a peer: this daemon's own, those of its
// failure domain and some of the other members'. It includes only members whose
// heartbeat this daemon has seen increase within the timeout. Otherwise daemons
// could keep a dead member alive by echoing its last heartbeat to each other.
func (t *Table) Digest(now time.Time) []Heartbeat {
	digest := []Heartbeat{{Name: t.self.GetName(), EntryID: t.selfEntryID, Counter: t.self.GetHeartbeat()}}
	var outside []Heartbeat
	for name, peer := range t.peers {
		if now.Sub(peer.lastSeen) > t.heartbeatTimeout(peer.entry) {
			continue
		}
		heartbeat := Heartbeat{Name: name, EntryID: peer.entryID, Counter: peer.heartbeat}
		if peer.entry.GetFailureDomain() == t.self.GetFailureDomain() {
			digest = append(digest, heartbeat)
		} else {
			outside = append(outside, heartbeat)
		}
	}
	return append(digest, t.nextOutsideHeartbeats(outside)...)
}

// nextOutsideHeartbeats returns at most maxOutsideHeartbeats of the heartbeats, in
// round-robin order across calls.
func (t *Table) nextOutsideHeartbeats(heartbeats []Heartbeat) []Heartbeat {
	if len(heartbeats) <= maxOutsideHeartbeats {
		return heartbeats
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return strings.Compare(a.Name, b.Name) })
	selected := make([]Heartbeat, 0, maxOutsideHeartbeats)
	for range maxOutsideHeartbeats {
		selected = append(selected, heartbeats[t.nextOutside%len(heartbeats)])
		t.nextOutside++
	}
	return selected
}

// HeartbeatsNewerThan returns the heartbeats of this daemon's digest that are missing
// from the peer's digest or have a lower counter there.
func (t *Table) HeartbeatsNewerThan(peerDigest []Heartbeat, now time.Time) []Heartbeat {
	knownHeartbeats := make(map[uint32]uint64, len(peerDigest))
	for _, received := range peerDigest {
		knownHeartbeats[received.EntryID] = received.Counter
	}
	return slices.DeleteFunc(t.Digest(now), func(own Heartbeat) bool {
		heartbeat, ok := knownHeartbeats[own.EntryID]
		return ok && heartbeat >= own.Counter
	})
}

// MergeDigest records the heartbeats of a peer's digest and fills in the member
// names. It reports whether entries are missing, that is, whether digests have
// contained ids of unknown entries.
func (t *Table) MergeDigest(digest []Heartbeat, now time.Time) bool {
	for i := range digest {
		received := &digest[i]
		if received.EntryID == t.selfEntryID {
			received.Name = t.self.GetName()
			continue
		}
		name, ok := t.nameByEntryID[received.EntryID]
		if !ok {
			t.missingEntryIDs[received.EntryID] = struct{}{}
			continue
		}
		received.Name = name
		if peer := t.peers[name]; received.Counter > peer.heartbeat {
			t.recordHeartbeat(peer, received.Counter, now)
		}
	}
	return len(t.missingEntryIDs) > 0
}

// TakeMissingEntryIDs returns the ids of the entries to request, and clears their
// set. If an entry is still missing when a later digest refers to it, MergeDigest
// adds its id again.
func (t *Table) TakeMissingEntryIDs() []uint32 {
	ids := make([]uint32, 0, len(t.missingEntryIDs))
	for id := range t.missingEntryIDs {
		ids = append(ids, id)
	}
	clear(t.missingEntryIDs)
	return ids
}

// EntriesByID returns the entries with the given ids. It skips unknown ids.
func (t *Table) EntriesByID(ids []uint32) []*peerpb.Member {
	var entries []*peerpb.Member
	for _, id := range ids {
		if id == t.selfEntryID {
			entries = append(entries, t.self)
		} else if peer := t.peers[t.nameByEntryID[id]]; peer != nil {
			entry := proto.CloneOf(peer.entry)
			entry.Heartbeat = peer.heartbeat
			entries = append(entries, entry)
		}
	}
	return entries
}
