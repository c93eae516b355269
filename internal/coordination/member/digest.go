package member

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// outsideInDigest is how many members of other failure domains a digest names;
// more than that take turns.
const outsideInDigest = 32

// Beat is one member's heartbeat in a digest.
type Beat struct {
	Name      string // empty if the id is unknown
	ID        uint32
	Heartbeat uint64
}

// entryID is a short name for all of an entry but its heartbeat. Digests name
// entries by it, and whoever does not know an id asks for its entry, so that an
// entry is sent once and its heartbeats cost a few bytes each. Two of 470 entries
// share an id once in some 40,000 fleets.
func entryID(member *peerpb.Member) uint32 {
	hash := ranking.Hash(
		member.GetName(), member.GetAddress(), member.GetOutsideAddress(),
		member.GetPlace(), member.GetFailureDomain(),
		strconv.FormatUint(member.GetIncarnation(), 10),
		strconv.FormatBool(member.GetLeaving()),
		strconv.FormatBool(member.GetPlatformAway()),
	)
	return uint32(hash)
}

// Digest returns the heartbeats to send to a peer: this daemon's, those of its
// failure domain and some of the others. Only heartbeats that this daemon has
// itself seen rise lately are passed on, so that no echo keeps a dead member
// alive.
func (t *Table) Digest(now time.Time) []Beat {
	digest := []Beat{{Name: t.self.GetName(), ID: t.selfID, Heartbeat: t.self.GetHeartbeat()}}
	var outside []Beat
	for name, peer := range t.peers {
		if now.Sub(peer.rose) > t.downAfter(peer.member) {
			continue
		}
		beat := Beat{Name: name, ID: peer.id, Heartbeat: peer.heartbeat}
		if peer.member.GetFailureDomain() == t.self.GetFailureDomain() {
			digest = append(digest, beat)
		} else {
			outside = append(outside, beat)
		}
	}
	return append(digest, t.inTurn(outside)...)
}

// inTurn returns the next few of the beats.
func (t *Table) inTurn(beats []Beat) []Beat {
	if len(beats) <= outsideInDigest {
		return beats
	}
	slices.SortFunc(beats, func(a, b Beat) int { return strings.Compare(a.Name, b.Name) })
	chosen := make([]Beat, 0, outsideInDigest)
	for range outsideInDigest {
		chosen = append(chosen, beats[t.turn%len(beats)])
		t.turn++
	}
	return chosen
}

// Newer returns the part of the digest that a peer lacks that has sent its own.
func (t *Table) Newer(theirs []Beat, now time.Time) []Beat {
	known := make(map[uint32]uint64, len(theirs))
	for _, beat := range theirs {
		known[beat.ID] = beat.Heartbeat
	}
	return slices.DeleteFunc(t.Digest(now), func(beat Beat) bool {
		heartbeat, ok := known[beat.ID]
		return ok && heartbeat >= beat.Heartbeat
	})
}

// MergeDigest takes in a peer's digest and fills in the names of the beats. It
// reports whether entries are missing.
func (t *Table) MergeDigest(digest []Beat, now time.Time) bool {
	for i := range digest {
		beat := &digest[i]
		if beat.ID == t.selfID {
			beat.Name = t.self.GetName()
			continue
		}
		name, ok := t.names[beat.ID]
		if !ok {
			t.missing[beat.ID] = struct{}{}
			continue
		}
		beat.Name = name
		if peer := t.peers[name]; beat.Heartbeat > peer.heartbeat {
			t.raise(peer, beat.Heartbeat, now)
		}
	}
	return len(t.missing) > 0
}

// TakeMissing returns the ids whose entries to ask for, and forgets them; those
// that are still missed will be heard of again.
func (t *Table) TakeMissing() []uint32 {
	ids := make([]uint32, 0, len(t.missing))
	for id := range t.missing {
		ids = append(ids, id)
	}
	clear(t.missing)
	return ids
}

// Entries returns the entries of the wanted ids that are known.
func (t *Table) Entries(ids []uint32) []*peerpb.Member {
	var entries []*peerpb.Member
	for _, id := range ids {
		if id == t.selfID {
			entries = append(entries, t.self)
		} else if peer := t.peers[t.names[id]]; peer != nil {
			entry := proto.CloneOf(peer.member)
			entry.Heartbeat = peer.heartbeat
			entries = append(entries, entry)
		}
	}
	return entries
}
