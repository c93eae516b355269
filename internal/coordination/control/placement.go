package control

import (
	"time"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/directory"
)

// maxPendingPlacements is the number of directory entries that can wait to be sent
// to one peer; further ones are dropped.
const maxPendingPlacements = 1024

// WarmEngine returns the engine that holds a chat's context, and renews its
// directory entry. It returns an empty string if no engine other than the chat's
// first one is known to hold the context, or if that engine is unavailable or no
// longer in the document.
func (s *State) WarmEngine(chat uint64, firstEngine string, now time.Time) string {
	engine, known := s.Directory.Lookup(chat, now)
	if !known || engine == firstEngine || !s.isAvailable(engine) {
		return ""
	}
	if s.Snapshot == nil || s.Snapshot.Document.Engine(engine) == nil {
		return ""
	}
	s.Directory.RecordEngine(chat, firstEngine, engine, now)
	return engine
}

// RecordPlacement records that a chat was served by another engine than its first
// one. If the home of the first engine is another daemon, the directory entry is
// queued to be sent there.
func (s *State) RecordPlacement(chat uint64, firstEngine, engine string, now time.Time) {
	address := s.remoteHomeAddress(firstEngine, now)
	if address == "" {
		s.Directory.RecordEngine(chat, firstEngine, engine, now)
		return
	}
	if len(s.pendingPlacements[address]) >= maxPendingPlacements {
		return
	}
	entry := directory.Entry{ChatKey: chat, FirstEngine: firstEngine, Engine: engine, Expires: now.Add(directory.EntryLifetime)}
	s.pendingPlacements[address] = append(s.pendingPlacements[address], encodeEntry(entry, now))
}

// TakePendingPlacements returns the directory entries that wait to be sent, by the peer's
// address, and empties the queues.
func (s *State) TakePendingPlacements() map[string][]*peerpb.DirectoryEntry {
	pending := s.pendingPlacements
	s.pendingPlacements = make(map[string][]*peerpb.DirectoryEntry)
	return pending
}

// PutDirectoryEntry stores a directory entry that a peer has sent.
func (s *State) PutDirectoryEntry(entry *peerpb.DirectoryEntry, now time.Time) {
	s.Directory.Put(directory.Entry{
		ChatKey:     entry.GetChatKey(),
		FirstEngine: entry.GetFirstEngine(),
		Engine:      entry.GetEngine(),
		Expires:     now.Add(time.Duration(entry.GetExpiresInS()) * time.Second),
	}, now)
}

// TakeMovedEntries removes at most limit directory entries whose first engine now has
// another home daemon, and returns them by that daemon's address. If this daemon is
// leaving, it is the home of no engine as long as another daemon can be, so all
// entries have moved.
func (s *State) TakeMovedEntries(limit int, now time.Time) map[string][]*peerpb.DirectoryEntry {
	if s.Snapshot == nil {
		return nil
	}
	addresses := make(map[string]string) // by first engine; empty: this daemon or none
	moved := make(map[string][]*peerpb.DirectoryEntry)
	var movedChats []uint64
	for entry := range s.Directory.All(now) {
		address, known := addresses[entry.FirstEngine]
		if !known {
			address = s.remoteHomeAddress(entry.FirstEngine, now)
			addresses[entry.FirstEngine] = address
		}
		if address == "" {
			continue
		}
		moved[address] = append(moved[address], encodeEntry(entry, now))
		if movedChats = append(movedChats, entry.ChatKey); len(movedChats) == limit {
			break
		}
	}
	for _, chat := range movedChats {
		s.Directory.Delete(chat)
	}
	return moved
}

// remoteHomeAddress returns the address of an engine's home daemon. It returns an
// empty string if the home is this daemon or there is none.
func (s *State) remoteHomeAddress(engine string, now time.Time) string {
	self := s.Members.Self()
	home := s.HomeOf(engine, nil, now)
	if home == nil || home.GetName() == self.GetName() {
		return ""
	}
	return member.AddressFor(home, self.GetFailureDomain())
}

// encodeEntry returns the protocol message for a directory entry.
func encodeEntry(entry directory.Entry, now time.Time) *peerpb.DirectoryEntry {
	return &peerpb.DirectoryEntry{
		ChatKey:     entry.ChatKey,
		FirstEngine: entry.FirstEngine,
		Engine:      entry.Engine,
		ExpiresInS:  uint32(entry.Expires.Sub(now) / time.Second),
	}
}
