// Package directory records which engine has a chat's context in its cache if
// that is not the chat's first engine, which is the one ranked first for it.
// Later requests of the chat are sent to the recorded engine to reuse the cache.
// A lost entry costs cache reuse only.
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
	// EntryLifetime is the time from a chat's last request to the expiry of its
	// entry.
	EntryLifetime = 4 * time.Hour

	// bucketCount is the number of buckets that group entries by age. When the
	// newest bucket is full, the oldest one is dropped as a whole, so that
	// eviction needs no list of entries in order of age.
	bucketCount      = 8
	maxBucketEntries = MaxEntries / bucketCount
	// maxEngineNames is the maximum number of engine names that a packed entry can
	// refer to. When it is reached, the directory is emptied.
	maxEngineNames = math.MaxUint16
)

// Entry names the engine that served a chat last.
type Entry struct {
	ChatKey     uint64
	FirstEngine string // the engine ranked first for the chat; its home daemon stores the entry
	Engine      string // the engine that served it
	Expires     time.Time
}

// packedEntry is the stored form of an entry. It refers to engines by their
// index in Directory.engineNames, and its expiry is in seconds after
// Directory.epoch, so that it takes eight bytes in addition to its key.
type packedEntry struct {
	firstIndex    uint16
	engineIndex   uint16
	expiresAfterS uint32
}

// Directory maps chat keys to engines. It is not safe for concurrent use; only
// the control loop calls it.
type Directory struct {
	buckets       [bucketCount]map[uint64]packedEntry // newest first
	engineNames   []string
	engineIndexes map[string]uint16
	epoch         time.Time // when the first entry was added
}

// New returns an empty directory.
func New() *Directory {
	directory := new(Directory)
	directory.reset()
	return directory
}

func (d *Directory) reset() {
	for i := range d.buckets {
		d.buckets[i] = make(map[uint64]packedEntry)
	}
	d.engineNames = nil
	d.engineIndexes = make(map[string]uint16)
}

// RecordEngine records that engine has served a chat whose first engine is
// firstEngine. The entry expires EntryLifetime after now.
func (d *Directory) RecordEngine(chatKey uint64, firstEngine, engine string, now time.Time) {
	d.Put(Entry{ChatKey: chatKey, FirstEngine: firstEngine, Engine: engine, Expires: now.Add(EntryLifetime)}, now)
}

// Put stores an entry with the expiry it has, for example one received from a
// peer, and replaces the chat's previous entry.
func (d *Directory) Put(entry Entry, now time.Time) {
	d.Delete(entry.ChatKey)
	if len(d.engineNames)+2 > maxEngineNames { // an entry adds two names at most
		d.reset()
	}
	if len(d.buckets[0]) >= maxBucketEntries {
		d.rotateBuckets()
	}
	if d.epoch.IsZero() {
		d.epoch = now
	}
	d.buckets[0][entry.ChatKey] = packedEntry{
		firstIndex:    d.engineIndex(entry.FirstEngine),
		engineIndex:   d.engineIndex(entry.Engine),
		expiresAfterS: uint32(max(0, entry.Expires.Sub(d.epoch)/time.Second)),
	}
}

// rotateBuckets drops the entries of the oldest bucket and reuses it as the
// newest.
func (d *Directory) rotateBuckets() {
	oldest := d.buckets[bucketCount-1]
	copy(d.buckets[1:], d.buckets[:bucketCount-1])
	clear(oldest)
	d.buckets[0] = oldest
}

// engineIndex returns the index of an engine's name in engineNames and adds the
// name if it is new.
func (d *Directory) engineIndex(name string) uint16 {
	index, ok := d.engineIndexes[name]
	if !ok {
		index = uint16(len(d.engineNames))
		d.engineNames = append(d.engineNames, name)
		d.engineIndexes[name] = index
	}
	return index
}

// Lookup returns the engine that served the chat last. It returns false, and
// removes the entry, if the entry has expired.
func (d *Directory) Lookup(chatKey uint64, now time.Time) (string, bool) {
	for _, bucket := range d.buckets {
		packed, ok := bucket[chatKey]
		if !ok {
			continue
		}
		if d.isExpired(packed, now) {
			delete(bucket, chatKey)
			return "", false
		}
		return d.engineNames[packed.engineIndex], true
	}
	return "", false
}

func (d *Directory) isExpired(packed packedEntry, now time.Time) bool {
	return now.Sub(d.epoch) >= time.Duration(packed.expiresAfterS)*time.Second
}

// Delete removes the entry of a chat.
func (d *Directory) Delete(chatKey uint64) {
	for _, bucket := range d.buckets {
		delete(bucket, chatKey)
	}
}

// Len returns the number of entries, with those that have expired but were not
// removed.
func (d *Directory) Len() int {
	count := 0
	for _, bucket := range d.buckets {
		count += len(bucket)
	}
	return count
}

// All yields the entries that have not expired, bucket by bucket from the oldest
// to the newest, so that a directory that stores them in this order evicts them
// in the same order. The directory must not be changed during the iteration.
func (d *Directory) All(now time.Time) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for i := bucketCount - 1; i >= 0; i-- {
			for chatKey, packed := range d.buckets[i] {
				if d.isExpired(packed, now) {
					continue
				}
				if !yield(d.unpack(chatKey, packed)) {
					return
				}
			}
		}
	}
}

func (d *Directory) unpack(chatKey uint64, packed packedEntry) Entry {
	return Entry{
		ChatKey:     chatKey,
		FirstEngine: d.engineNames[packed.firstIndex],
		Engine:      d.engineNames[packed.engineIndex],
		Expires:     d.epoch.Add(time.Duration(packed.expiresAfterS) * time.Second),
	}
}
