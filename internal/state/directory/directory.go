// Package directory remembers which engine holds a chat's context when that is
// not the chat's first engine, so that a returning chat finds it warm. Losing
// an entry costs cache reuse only.
package directory

import (
	"iter"
	"math"
	"time"
)

// Limits of a directory.
const (
	// MaxEntries bounds the memory of one daemon's directory.
	MaxEntries = 200_000
	// EntryLifetime is how long a chat is remembered after its last request.
	EntryLifetime = 4 * time.Hour

	// generations is how many parts the entries are kept in by age. The oldest
	// part is dropped as a whole when the newest is full, so that no entry
	// needs a place in a list of ages.
	generations   = 8
	perGeneration = MaxEntries / generations
	maxNames      = math.MaxUint16
)

// Entry is where a chat was served last.
type Entry struct {
	Chat    uint64
	First   string // the chat's first engine, whose home keeps the entry
	Engine  string // the engine that served it
	Expires time.Time
}

// packed is an entry as it is kept. Engines are numbered, and times are seconds
// since the directory's start, so that an entry takes eight bytes beside its
// key.
type packed struct {
	first   uint16
	engine  uint16
	expires uint32
}

// Directory maps chat keys to engines. It is not safe for concurrent use: the
// control loop owns it.
type Directory struct {
	parts   [generations]map[uint64]packed // newest first
	names   []string
	numbers map[string]uint16
	start   time.Time // of the first entry
}

// New returns an empty directory.
func New() *Directory {
	directory := new(Directory)
	directory.clear()
	return directory
}

func (d *Directory) clear() {
	for i := range d.parts {
		d.parts[i] = make(map[uint64]packed)
	}
	d.names = nil
	d.numbers = make(map[string]uint16)
}

// Remember notes that a chat, whose first engine is the one given, was served by
// an engine.
func (d *Directory) Remember(chat uint64, first, engine string, now time.Time) {
	d.Put(Entry{Chat: chat, First: first, Engine: engine, Expires: now.Add(EntryLifetime)}, now)
}

// Put takes in an entry with its own expiry, as a peer hands it over.
func (d *Directory) Put(entry Entry, now time.Time) {
	d.Forget(entry.Chat)
	if len(d.names)+2 > maxNames {
		d.clear()
	}
	if len(d.parts[0]) >= perGeneration {
		d.rotate()
	}
	if d.start.IsZero() {
		d.start = now
	}
	d.parts[0][entry.Chat] = packed{
		first:   d.number(entry.First),
		engine:  d.number(entry.Engine),
		expires: uint32(max(0, entry.Expires.Sub(d.start)/time.Second)),
	}
}

// rotate drops the oldest part and begins a new one.
func (d *Directory) rotate() {
	oldest := d.parts[generations-1]
	copy(d.parts[1:], d.parts[:generations-1])
	clear(oldest)
	d.parts[0] = oldest
}

// number returns the number of an engine's name.
func (d *Directory) number(name string) uint16 {
	number, known := d.numbers[name]
	if !known {
		number = uint16(len(d.names))
		d.names = append(d.names, name)
		d.numbers[name] = number
	}
	return number
}

// Lookup returns the engine that served the chat last.
func (d *Directory) Lookup(chat uint64, now time.Time) (string, bool) {
	for _, part := range d.parts {
		kept, known := part[chat]
		if !known {
			continue
		}
		if d.expired(kept, now) {
			delete(part, chat)
			return "", false
		}
		return d.names[kept.engine], true
	}
	return "", false
}

func (d *Directory) expired(kept packed, now time.Time) bool {
	return now.Sub(d.start) >= time.Duration(kept.expires)*time.Second
}

// Forget removes a chat.
func (d *Directory) Forget(chat uint64) {
	for _, part := range d.parts {
		delete(part, chat)
	}
}

// Len returns the number of entries.
func (d *Directory) Len() int {
	count := 0
	for _, part := range d.parts {
		count += len(part)
	}
	return count
}

// All yields the entries that have not expired, oldest first, so that a
// directory that takes them in keeps their order of age. The entries must not be
// changed meanwhile.
func (d *Directory) All(now time.Time) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for i := generations - 1; i >= 0; i-- {
			for chat, kept := range d.parts[i] {
				if d.expired(kept, now) {
					continue
				}
				if !yield(d.unpack(chat, kept)) {
					return
				}
			}
		}
	}
}

func (d *Directory) unpack(chat uint64, kept packed) Entry {
	return Entry{
		Chat:    chat,
		First:   d.names[kept.first],
		Engine:  d.names[kept.engine],
		Expires: d.start.Add(time.Duration(kept.expires) * time.Second),
	}
}
