// Package origin tracks at which software version of a service each stream began. It is a
// state machine without I/O or clock.
//
// The load that it answers is a release, or several versions side by side, while targets
// and hosts crash: what two versions write does not fit together, so a stream may go on
// only at the version that began it. Its caller may take it up at any daemon, also after the
// one that served it has crashed.
//
// A daemon keeps the origins of its own streams. While several versions of a service serve,
// it copies each of them to a few other daemons, and when a second version appears it copies
// those of the streams before. The copies are found by the id of the request that brought the
// stream's first event. A stream whose origin is not found does not go on while there may be another
// version: a refusal costs its caller less than events that do not fit.
//
// There is one exception. A daemon that is lost before it has heard of a second version has
// copied nothing, and the origins of its streams are lost with it. But each of them began at the
// only version that served before, the preceding one.
package origin

import "time"

// Lifetime is how long an origin is kept at least: as long as a request may last by default.
// It is kept for twice as long at most.
const Lifetime = 30 * time.Second

// maxOrigins bounds the origins of one Lifetime that are kept. At the target size a daemon
// begins 4,000 streams in that time and keeps copies of three times as many.
const maxOrigins = 100_000

// Origin says at which software version a stream began.
type Origin struct {
	Request uint64 // hash of the id of the request that brought the first event
	Service string
	Version string
}

// Resolution says at which software version a stream may go on.
type Resolution struct {
	Found   bool
	Version string // at which the stream began, if Found or Only
	// Only is set if a single version is known to have served lately: the stream began there,
	// unless other daemons know of further ones.
	Only bool
	// SeveralVersions is set if several versions serve, or did lately. The stream must not
	// go on if its origin is not found.
	SeveralVersions bool
	// Unknown is set if this daemon cannot know whether several versions served lately.
	Unknown bool
}

// Tracker tracks the versions of services and the origins of streams. It is not safe for
// concurrent use.
type Tracker struct {
	rotatedAt time.Time
	recent    map[uint64]Origin // of the last Lifetime at most
	older     map[uint64]Origin // of the Lifetime before
	pending   []Origin          // to be copied to other daemons
	unwritten []Origin          // to be written to the store by this daemon
	copied    recentBatches     // taken from pending lately
	written   recentBatches     // taken from unwritten lately
	services  map[string]*versions
	record    record
	own       declarations
}

// versions are the software versions of a service.
type versions struct {
	serving   map[string]bool
	endedAt   map[string]time.Time // when the last target of a version was removed
	preceding *Preceding           // nil if it is not known
	// knownBeforeRestore is set if this daemon knew all versions that served lately when the store was
	// restored, and has heard of the later ones since.
	knownBeforeRestore bool
}

// Preceding is the version that alone served a service until a second one appeared.
type Preceding struct {
	Version string
	EndedAt time.Time // when this daemon heard of the second version
}

// New returns a tracker of a daemon that starts.
func New(now time.Time) *Tracker {
	return &Tracker{
		rotatedAt: now,
		recent:    make(map[uint64]Origin), older: make(map[uint64]Origin),
		services: make(map[string]*versions),
	}
}

// SetVersions sets the software versions that serve, by service. If a second version of a
// service appears, the origins of its streams are to be copied.
func (t *Tracker) SetVersions(serving map[string]map[string]bool, now time.Time) {
	for service, current := range serving {
		known := t.versionsOf(service)
		hadSeveral := t.SeveralVersions(service, now)
		before := t.recentVersions(service, now)
		known.replace(current, now)
		if !hadSeveral && t.SeveralVersions(service, now) {
			known.endPreceding(before, now)
			t.copyAll(service)
		}
	}
	for service, known := range t.services {
		if serving[service] == nil {
			known.replace(nil, now)
		}
	}
}

// versionsOf returns the versions of a service, which it adds if it is unknown.
func (t *Tracker) versionsOf(service string) *versions {
	known := t.services[service]
	if known == nil {
		known = &versions{endedAt: make(map[string]time.Time)}
		t.services[service] = known
	}
	return known
}

// replace replaces the versions that serve.
func (v *versions) replace(current map[string]bool, now time.Time) {
	for version := range v.serving {
		if !current[version] {
			v.endedAt[version] = now
		}
	}
	v.serving = current
}

// endPreceding records that a second version has appeared beside those that served before.
func (v *versions) endPreceding(before map[string]bool, now time.Time) {
	v.preceding = nil
	if len(before) != 1 {
		return
	}
	for version := range before {
		v.preceding = &Preceding{version, now}
	}
}

// Preceding returns the version at which a stream of a service began whose daemon was lost
// before it had heard of a second version. It reports false if that is not known, or if the
// second version appeared so long ago that no such stream is taken up any more.
func (t *Tracker) Preceding(service string, now time.Time) (preceding Preceding, known bool) {
	versions := t.services[service]
	if versions == nil || versions.preceding == nil || now.Sub(versions.preceding.EndedAt) > 2*Lifetime {
		return Preceding{}, false
	}
	return *versions.preceding, true
}

// copyAll makes the origins of a service's streams pending.
func (t *Tracker) copyAll(service string) {
	for _, kept := range []map[uint64]Origin{t.older, t.recent} {
		for _, o := range kept {
			if o.Service == service {
				t.pending = append(t.pending, o)
			}
		}
	}
}

// SeveralVersions reports whether several versions of a service serve, or may have served
// while the streams began that may still be taken up.
func (t *Tracker) SeveralVersions(service string, now time.Time) bool {
	return len(t.recentVersions(service, now)) > 1 || t.recordUnknown(service, now)
}

// recentVersions returns the versions of a service that serve, or did while the streams
// began that may still be taken up.
func (t *Tracker) recentVersions(service string, now time.Time) map[string]bool {
	recent := make(map[string]bool)
	known := t.services[service]
	if known == nil {
		return recent
	}
	for version := range known.serving {
		recent[version] = true
	}
	for version, endedAt := range known.endedAt {
		if now.Sub(endedAt) <= 2*Lifetime {
			recent[version] = true
		}
	}
	return recent
}

// Record records that a stream of this daemon has begun, or has gone on.
func (t *Tracker) Record(o Origin, now time.Time) {
	t.keep(o)
	if t.SeveralVersions(o.Service, now) {
		t.pending = append(t.pending, o)
	}
}

// Keep keeps copies of another daemon's origins.
func (t *Tracker) Keep(origins []Origin) {
	for _, o := range origins {
		t.keep(o)
	}
}

func (t *Tracker) keep(o Origin) {
	if len(t.recent) < maxOrigins {
		t.recent[o.Request] = o
	}
}

// Find returns the origin of a stream.
func (t *Tracker) Find(request uint64) (o Origin, found bool) {
	if o, found = t.recent[request]; !found {
		o, found = t.older[request]
	}
	return o, found
}

// Resolve returns at which software version a stream may go on, as far as this daemon
// knows. If it does not know the origin, others may; and they may know of a version that it
// does not know yet.
func (t *Tracker) Resolve(request uint64, service string, now time.Time) Resolution {
	if o, found := t.Find(request); found {
		return Resolution{Found: true, Version: o.Version}
	}
	return t.ResolveUnnamed(service, now)
}

// ResolveUnnamed does the same for a stream whose first request the caller does not name, so
// that nobody knows its origin.
func (t *Tracker) ResolveUnnamed(service string, now time.Time) Resolution {
	recent := t.recentVersions(service, now)
	resolution := Resolution{SeveralVersions: len(recent) > 1, Only: len(recent) == 1, Unknown: t.recordUnknown(service, now)}
	if resolution.Only {
		for version := range recent {
			resolution.Version = version
		}
	}
	return resolution
}

// HasPending reports whether there are origins to be copied to other daemons.
func (t *Tracker) HasPending() bool { return len(t.pending) > 0 }

// TakePending returns the origins that are to be copied to other daemons.
func (t *Tracker) TakePending(now time.Time) []Origin {
	pending := t.pending
	t.pending = nil
	t.copied.add(pending, now)
	return pending
}

// Expire drops origins and versions that are too old.
func (t *Tracker) Expire(now time.Time) {
	if now.Sub(t.rotatedAt) >= Lifetime {
		t.older, t.recent, t.rotatedAt = t.recent, make(map[uint64]Origin), now
	}
	for _, known := range t.services {
		for version, endedAt := range known.endedAt {
			if now.Sub(endedAt) > 2*Lifetime {
				delete(known.endedAt, version)
			}
		}
	}
}
