package origin

import (
	"maps"
	"slices"
	"time"
)

// SpreadTime is how long after this daemon another one may hear of a new version: as long as
// changes of the list of targets take to reach all daemons.
const SpreadTime = 4 * time.Second

// Recorded is what the platform's store holds of a service.
type Recorded struct {
	Versions []string // that serve, or did lately
	// Preceding is the version that alone served until SpreadTime ago or later, so that
	// daemons may not have heard of the others. Nil if there is none, or if it is not known.
	Preceding *string
	// VersionsEra is the era of the store in which its writer knew Versions to be complete. If the
	// store is in a later era, it may have lost a version that was recorded. Nil if it is not known.
	VersionsEra *int64
	// DeclarationsEra is the era of the store in which its writer knew that no declaration which
	// still matters was lost with a restore. Nil if it is not known.
	DeclarationsEra *int64
}

// equals reports whether two records hold the same.
func (r Recorded) equals(other Recorded) bool {
	return slices.Equal(r.Versions, other.Versions) && samePointee(r.Preceding, other.Preceding) &&
		samePointee(r.VersionsEra, other.VersionsEra) && samePointee(r.DeclarationsEra, other.DeclarationsEra)
}

// samePointee reports whether both are nil, or point to equal values.
func samePointee[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// record is what the platform's store holds, as far as a daemon knows: the software versions
// of each service that serve or did lately. It outlives a loss of all daemons, after
// which the list of targets alone says nothing of a version that has left.
type record struct {
	loaded bool
	// complete is set if a service without a record has never served, as the whole system
	// has just started for the first time.
	complete bool
	loadedAt time.Time
	services map[string]Recorded
	restore  restore
}

// LoadRecord sets what the store holds in an era, by service, as read at the start of a
// daemon or after the store was restored. FirstStart says that the system has just started
// for the first time. A recorded version that does not serve and was not recorded before may have
// left just now.
func (t *Tracker) LoadRecord(recordedByService map[string]Recorded, era int64, firstStart bool, now time.Time) {
	isFirst := !t.record.loaded
	switch {
	case isFirst:
		t.record.loadedAt, t.record.complete = now, firstStart
		t.record.restore = restore{era: era, seenAt: now, sinceStart: true}
	case era < t.record.restore.era:
		return // was on its way when the store was restored
	case era > t.record.restore.era:
		t.beginEra(era, now)
	}
	t.record.loaded = true
	before := t.record.services
	t.record.services = make(map[string]Recorded)
	for service, recorded := range recordedByService {
		t.SetRecorded(service, recorded)
		known := t.versionsOf(service)
		if isFirst {
			known.restorePreceding(recorded, now)
		}
		for _, version := range recorded.Versions {
			if _, ended := known.endedAt[version]; !known.serving[version] && !ended && !slices.Contains(before[service].Versions, version) {
				known.endedAt[version] = now
			}
		}
	}
}

// restorePreceding records which version alone served before this daemon started, if there are
// others by now.
func (v *versions) restorePreceding(recorded Recorded, now time.Time) {
	if recorded.Preceding != nil {
		v.preceding = &Preceding{*recorded.Preceding, now}
		return
	}
	for version := range v.serving {
		if len(recorded.Versions) == 1 && version != recorded.Versions[0] {
			v.preceding = &Preceding{recorded.Versions[0], now}
		}
	}
}

// SetRecorded records what the store holds of a service.
func (t *Tracker) SetRecorded(service string, recorded Recorded) {
	recorded.Versions = slices.Sorted(slices.Values(recorded.Versions))
	t.record.services[service] = recorded
}

// Unrecorded returns the services whose record in the store must be replaced, with what it
// must hold. It returns none before the record has been loaded.
func (t *Tracker) Unrecorded(now time.Time) map[string]Recorded {
	unrecorded := make(map[string]Recorded)
	if !t.record.loaded {
		return unrecorded
	}
	for service := range t.services {
		current := Recorded{Versions: slices.Sorted(maps.Keys(t.recentVersions(service, now)))}
		if preceding, known := t.Preceding(service, now); known && now.Sub(preceding.EndedAt) <= SpreadTime {
			current.Preceding = &preceding.Version
		}
		t.stampEras(&current, service, now)
		if len(current.Versions) > 0 && !current.equals(t.record.services[service]) {
			unrecorded[service] = current
		}
	}
	return unrecorded
}

// recordUnknown reports whether versions may have served lately of which this daemon cannot
// know: it has not read the record, or the record of the service was lost, or is of before a restore
// of the store and this daemon has started since.
func (t *Tracker) recordUnknown(service string, now time.Time) bool {
	if !t.record.loaded {
		return true
	}
	_, recorded := t.record.services[service]
	if !recorded && !t.record.complete && now.Sub(t.record.loadedAt) <= 2*Lifetime {
		return true
	}
	known := t.services[service]
	knownBefore := known != nil && known.knownBeforeRestore
	return !knownBefore && !t.RecordNamesAll(service, now)
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
func (t *Tracker) TakeUnwritten(now time.Time) []Origin {
	unwritten := t.unwritten
	t.unwritten = nil
	t.written.add(unwritten, now)
	return unwritten
}
