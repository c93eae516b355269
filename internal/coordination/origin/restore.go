package origin

import (
	"slices"
	"time"
)

const (
	// EntriesReturnTime is how long after a restore of the store the list of targets may lack one that
	// serves. The users' targets are back within about 2 s.
	EntriesReturnTime = 2500 * time.Millisecond
	// restoreLoss is the age of the oldest origins that are written again after a restore: as long as
	// the store holds them.
	restoreLoss = 16 * time.Second
	// maxRecentBatches bounds the origins of each kind that are kept to be written again.
	maxRecentBatches = maxUnwritten
)

// restore is what a daemon knows of the last restore of the store from a copy. A restore loses what was
// recorded last, so that what the store holds afterwards may be incomplete. An era that a daemon finds
// at its start may have begun just before.
type restore struct {
	era    int64     // of the store, at the last read
	seenAt time.Time // when this daemon first read the store in that era
	// sinceStart is set if this daemon has found the era at its start.
	sinceStart bool
	// listed is set if the targets have been listed in that era, EntriesReturnTime after seenAt or later.
	listed bool
}

// beginEra records that the store was restored while this daemon ran. Origins that were copied or written
// lately may be lost in the store, and are due again.
func (t *Tracker) beginEra(era int64, now time.Time) {
	for service, known := range t.services {
		known.knownBeforeRestore = !t.recordUnknown(service, now)
	}
	t.record.restore = restore{era: era, seenAt: now}
	t.pending = append(t.copied.take(now), t.pending...)
	unwritten := t.unwritten
	t.unwritten = t.written.take(now)
	t.RecordLater(unwritten)
}

// RecordNamesAll reports whether the versions of a service that served lately are those that the store
// holds, together with those of which this daemon has heard. It is not known whether the store has
// lost one until all targets that serve have written their entries again.
//
// A version whose last target has left between the copy and the restore, and that all daemons that knew
// of it did not outlive, leaves no trace and is not noticed.
func (t *Tracker) RecordNamesAll(service string, now time.Time) bool {
	r := t.record.restore
	recorded := t.record.services[service]
	if !t.record.loaded {
		return false
	}
	return t.record.complete && r.sinceStart || r.listed || now.Sub(r.seenAt) > 2*Lifetime ||
		recorded.VersionsEra != nil && *recorded.VersionsEra == r.era
}

// DeclarationsKnown reports whether no declaration of a daemon that may have begun streams which can
// still be taken up was lost with a restore of the store.
func (t *Tracker) DeclarationsKnown(now time.Time) bool {
	r := t.record.restore
	if !t.record.loaded {
		return false
	}
	if t.record.complete && r.sinceStart || now.Sub(r.seenAt) > 2*Lifetime {
		return true
	}
	for _, recorded := range t.record.services {
		if recorded.DeclarationsEra != nil && *recorded.DeclarationsEra == r.era {
			return true
		}
	}
	return false
}

// stampEras sets the eras of what a service's record must hold. What this daemon does not know stays
// as it was recorded.
func (t *Tracker) stampEras(next *Recorded, service string, now time.Time) {
	before := t.record.services[service]
	next.VersionsEra, next.DeclarationsEra = before.VersionsEra, before.DeclarationsEra
	era := t.record.restore.era
	if t.RecordNamesAll(service, now) && !t.recordUnknown(service, now) {
		next.VersionsEra = &era
	}
	if t.DeclarationsKnown(now) {
		next.DeclarationsEra = &era
	}
}

// ListDue returns when the targets are to be listed for SetListed, and false if they need not be.
func (t *Tracker) ListDue(now time.Time) (due time.Time, needed bool) {
	if !t.record.loaded {
		return time.Time{}, false
	}
	for service := range t.services {
		needed = needed || !t.RecordNamesAll(service, now)
	}
	return t.record.restore.seenAt.Add(EntriesReturnTime), needed
}

// SetListed sets the versions in a list of the targets that was read in an era of the store when it was due.
// A list of another era is ignored.
func (t *Tracker) SetListed(versionsByService map[string][]string, era int64, now time.Time) {
	if era != t.record.restore.era {
		return
	}
	t.record.restore.listed = true
	for service, listed := range versionsByService {
		known := t.versionsOf(service)
		before := t.recentVersions(service, now)
		for _, version := range listed {
			if _, ended := known.endedAt[version]; !known.serving[version] && !ended {
				known.endedAt[version] = now // it serves, or has left since
			}
		}
		if len(before) == 1 && len(t.recentVersions(service, now)) > 1 {
			t.copyAll(service)
		}
	}
}

// recentBatches are origins that were taken to be copied or written lately, oldest first.
type recentBatches struct {
	batches []recentBatch
	count   int // origins in all batches
}

type recentBatch struct {
	takenAt time.Time
	origins []Origin
}

// add adds a batch and drops those that are too old or too many.
func (r *recentBatches) add(origins []Origin, now time.Time) {
	if len(origins) > 0 {
		r.batches = append(r.batches, recentBatch{now, slices.Clone(origins)})
		r.count += len(origins)
	}
	for len(r.batches) > 0 && (now.Sub(r.batches[0].takenAt) > restoreLoss || r.count > maxRecentBatches) {
		r.count -= len(r.batches[0].origins)
		r.batches = r.batches[1:]
	}
}

// take empties the batches and returns their origins.
func (r *recentBatches) take(now time.Time) []Origin {
	r.add(nil, now)
	var origins []Origin
	for _, batch := range r.batches {
		origins = append(origins, batch.origins...)
	}
	*r = recentBatches{}
	return origins
}
