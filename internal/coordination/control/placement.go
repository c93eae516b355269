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
	address := s.otherHome(first, now)
	if address == "" {
		s.Directory.Remember(chat, first, engine, now)
		return
	}
	if len(s.placements[address]) >= maxPlacements {
		return
	}
	entry := directory.Entry{Chat: chat, First: first, Engine: engine, Expires: now.Add(directory.EntryLifetime)}
	s.placements[address] = append(s.placements[address], entryMessage(entry, now))
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

// TakeStrays removes up to limit entries of the directory whose first engine has
// another home by now, and returns them by the home's address. Once this daemon
// is leaving, all entries are strays.
func (s *State) TakeStrays(limit int, now time.Time) map[string][]*peerpb.DirectoryEntry {
	if s.Snapshot == nil {
		return nil
	}
	addresses := make(map[string]string) // by first engine; empty: here
	strays := make(map[string][]*peerpb.DirectoryEntry)
	var taken []uint64
	for entry := range s.Directory.All(now) {
		address, known := addresses[entry.First]
		if !known {
			address = s.otherHome(entry.First, now)
			addresses[entry.First] = address
		}
		if address == "" {
			continue
		}
		strays[address] = append(strays[address], entryMessage(entry, now))
		if taken = append(taken, entry.Chat); len(taken) == limit {
			break
		}
	}
	for _, chat := range taken {
		s.Directory.Forget(chat)
	}
	return strays
}

// otherHome returns the address of an engine's home, or nothing if that is this
// daemon or nobody.
func (s *State) otherHome(engine string, now time.Time) string {
	self := s.Members.Self()
	home := s.HomeOf(engine, nil, now)
	if home == nil || home.GetName() == self.GetName() {
		return ""
	}
	return member.AddressFor(home, self.GetFailureDomain())
}

func entryMessage(entry directory.Entry, now time.Time) *peerpb.DirectoryEntry {
	return &peerpb.DirectoryEntry{
		ChatKey:     entry.Chat,
		FirstEngine: entry.First,
		Engine:      entry.Engine,
		ExpiresInS:  uint32(entry.Expires.Sub(now) / time.Second),
	}
}
