package origin

import (
	"maps"
	"slices"
	"time"
)

// record is what the platform's store holds, as far as a daemon knows: the software versions
// of each service that serve or did lately. It outlives a loss of all daemons, after
// which the list of targets alone says nothing of a version that has left.
type record struct {
	loaded bool
	// complete is set if a service without a record has never served, as the whole system
	// has just started for the first time.
	complete bool
	loadedAt time.Time
	services map[string]map[string]bool
}

// LoadRecord sets the versions that the store holds, by service, as read at the start of a
// daemon or after the store was restored. FirstStart says that the system has just started
// for the first time. A recorded version that does not serve may have left just now.
func (t *Tracker) LoadRecord(versionsByService map[string][]string, firstStart bool, now time.Time) {
	if !t.record.loaded {
		t.record.loadedAt, t.record.complete = now, firstStart
	}
	t.record.loaded = true
	t.record.services = make(map[string]map[string]bool)
	for service, recorded := range versionsByService {
		t.SetRecorded(service, recorded)
		known := t.versionsOf(service)
		for _, version := range recorded {
			if _, ended := known.endedAt[version]; !known.serving[version] && !ended {
				known.endedAt[version] = now
			}
		}
	}
}

// SetRecorded records that the store holds these versions of a service.
func (t *Tracker) SetRecorded(service string, recorded []string) {
	t.record.services[service] = make(map[string]bool)
	for _, version := range recorded {
		t.record.services[service][version] = true
	}
}

// Unrecorded returns the services whose record in the store must be replaced, with the
// versions that it must hold. It returns none before the record has been loaded.
func (t *Tracker) Unrecorded(now time.Time) map[string][]string {
	unrecorded := make(map[string][]string)
	if !t.record.loaded {
		return unrecorded
	}
	for service := range t.services {
		versions := t.recentVersions(service, now)
		if len(versions) > 0 && !maps.Equal(versions, t.record.services[service]) {
			unrecorded[service] = slices.Sorted(maps.Keys(versions))
		}
	}
	return unrecorded
}

// recordUnknown reports whether versions may have served lately of which this daemon cannot
// know: it has not read the record, or the record of the service was lost.
func (t *Tracker) recordUnknown(service string, now time.Time) bool {
	if !t.record.loaded {
		return true
	}
	_, recorded := t.record.services[service]
	return !recorded && !t.record.complete && now.Sub(t.record.loadedAt) <= 2*Lifetime
}

// RecordLater keeps origins that this daemon is to write to the store.
func (t *Tracker) RecordLater(origins []Origin) {
	t.unwritten = append(t.unwritten, origins...)
	if excess := len(t.unwritten) - maxUnwritten; excess > 0 {
		t.unwritten = slices.Delete(t.unwritten, 0, excess)
	}
}

// maxUnwritten bounds the origins that wait for the store: those of 15 s at the target size,
// where a daemon writes 1,000 a second. Later ones matter more.
const maxUnwritten = 15_000

// TakeUnwritten returns the origins that this daemon is to write to the store.
func (t *Tracker) TakeUnwritten() []Origin {
	unwritten := t.unwritten
	t.unwritten = nil
	return unwritten
}
