package directory

import (
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxEntryBytes is the memory limit for an entry with its share of the map.
const maxEntryBytes = 64

var start = time.Unix(1_000_000, 0)

func TestLookup(t *testing.T) {
	d := New()
	d.RecordEngine(1, "e1", "e2", start)
	d.RecordEngine(2, "e1", "e3", start)
	d.RecordEngine(1, "e1", "e3", start.Add(time.Hour))
	d.Delete(2)
	must.Eq(t, 1, d.Len())
	for _, c := range []struct {
		chat  uint64
		now   time.Time
		want  string
		found bool
	}{
		{1, start.Add(time.Hour), "e3", true},
		{1, start.Add(time.Hour + EntryLifetime - time.Second), "e3", true},
		{1, start.Add(time.Hour + EntryLifetime), "", false},
		{2, start, "", false},
	} {
		engine, found := d.Lookup(c.chat, c.now)
		must.Eq(t, c.want, engine)
		must.Eq(t, c.found, found)
	}
}

// TestOldestEntriesGoFirst fails if arbitrary entries are evicted instead of the
// oldest, as that loses recent chats.
func TestOldestEntriesGoFirst(t *testing.T) {
	d := New()
	for chat := range uint64(2 * MaxEntries) {
		d.RecordEngine(chat, "e1", "e2", start)
		must.LessEq(t, MaxEntries, d.Len())
	}
	const kept = MaxEntries - maxBucketEntries
	for chat := uint64(2*MaxEntries - kept); chat < 2*MaxEntries; chat++ {
		_, found := d.Lookup(chat, start)
		must.True(t, found)
	}
}

func TestEntriesPassToAnotherDirectory(t *testing.T) {
	from, to := New(), New()
	from.RecordEngine(1, "e1", "e2", start)
	from.RecordEngine(2, "e3", "e4", start.Add(-EntryLifetime-time.Minute))
	for entry := range from.All(start) {
		to.Put(entry, start)
	}
	must.Eq(t, 1, to.Len())
	for entry := range to.All(start) {
		must.Eq(t, Entry{ChatKey: 1, FirstEngine: "e1", Engine: "e2", Expires: start.Add(EntryLifetime)}, entry)
	}
}

func TestBytesOfAnEntry(t *testing.T) {
	for _, entries := range []int{34_000, MaxEntries} {
		before := heapBytes()
		directory := New()
		for chat := range uint64(entries) {
			directory.RecordEngine(chat*0x9e3779b97f4a7c15, "e1", "e2", start)
		}
		bytesPerEntry := float64(heapBytes()-before) / float64(directory.Len())
		t.Logf("%d entries: %.1f bytes each", entries, bytesPerEntry)
		must.Less(t, maxEntryBytes, bytesPerEntry)
		runtime.KeepAlive(directory)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
