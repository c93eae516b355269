// Package directory remembers which engine holds a chat's context when that is
// not the chat's first choice, so that a returning chat finds it warm. Losing
// an entry costs cache reuse only.
package directory

import (
	"time"
)

// Limits of a directory.
const (
	// MaxEntries bounds the memory of one daemon's directory.
	MaxEntries = 200_000
	// EntryLifetime is how long a chat is remembered after its last request.
	EntryLifetime = 4 * time.Hour
)

// Entry is where one chat was served last.
type Entry struct {
	Engine  string
	Expires time.Time
}

// Directory maps chat keys to engines. It is not safe for concurrent use: the
// control loop owns it.
type Directory struct {
	entries map[uint64]Entry
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[uint64]Entry)}
}

// Remember notes that a chat was served by an engine.
func (d *Directory) Remember(chat uint64, engine string, now time.Time) {
	if _, known := d.entries[chat]; !known && len(d.entries) >= MaxEntries {
		d.evictOne()
	}
	d.entries[chat] = Entry{Engine: engine, Expires: now.Add(EntryLifetime)}
}

// Lookup returns the engine that served the chat last.
func (d *Directory) Lookup(chat uint64, now time.Time) (string, bool) {
	entry, ok := d.entries[chat]
	if !ok {
		return "", false
	}
	if now.After(entry.Expires) {
		delete(d.entries, chat)
		return "", false
	}
	return entry.Engine, true
}

// Forget removes a chat.
func (d *Directory) Forget(chat uint64) {
	delete(d.entries, chat)
}

// Len returns the number of entries.
func (d *Directory) Len() int { return len(d.entries) }

// evictOne drops an arbitrary entry.
func (d *Directory) evictOne() {
	for chat := range d.entries {
		delete(d.entries, chat)
		return
	}
}
