package control

import (
	"time"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/directory"
)

// maxPlacements bounds the entries that wait for one peer.
const maxPlacements = 1024

// WarmEngine returns the engine in use that holds a chat's context, if it is
// known not to be the chat's first engine, and remembers it for longer.
func (s *State) WarmEngine(chat uint64, first string, now time.Time) string {
	warm, known := s.Directory.Lookup(chat, now)
	if !known || warm == first || !s.Health.Takes(warm) {
		return ""
	}
	if s.Snapshot == nil || s.Snapshot.Document.Engine(warm) == nil {
		return ""
	}
	s.Directory.Remember(chat, first, warm, now)
	return warm
}

// NotePlacement says that a chat was served by another engine than its first
// one. The home of the first engine is told with the next placements.
func (s *State) NotePlacement(chat uint64, first, engine string, now time.Time) {
	home := s.HomeOf(first, nil, now)
	if home == nil {
		return
	}
	self := s.Members.Self()
	if home.GetName() == self.GetName() {
		s.Directory.Remember(chat, first, engine, now)
		return
	}
	address := member.AddressFor(home, self.GetFailureDomain())
	if len(s.placements[address]) >= maxPlacements {
		return
	}
	s.placements[address] = append(s.placements[address], &peerpb.DirectoryEntry{
		ChatKey:     chat,
		FirstEngine: first,
		Engine:      engine,
		ExpiresInS:  uint32(directory.EntryLifetime / time.Second),
	})
}

// TakePlacements returns the entries that wait for peers, by address, and
// begins anew.
func (s *State) TakePlacements() map[string][]*peerpb.DirectoryEntry {
	waiting := s.placements
	s.placements = make(map[string][]*peerpb.DirectoryEntry)
	return waiting
}

// TakeEntry takes in a directory entry of a peer.
func (s *State) TakeEntry(entry *peerpb.DirectoryEntry, now time.Time) {
	s.Directory.Put(directory.Entry{
		Chat:    entry.GetChatKey(),
		First:   entry.GetFirstEngine(),
		Engine:  entry.GetEngine(),
		Expires: now.Add(time.Duration(entry.GetExpiresInS()) * time.Second),
	}, now)
}
