package origin

import (
	"maps"
	"slices"
	"time"
)

// Declaration says at which software versions a daemon may have begun streams. It is kept in the
// platform's store, and written before the daemon uses what it adds: a daemon that is cut off
// looks like one that is lost, but goes on beginning streams whose origins do not get out.
//
// Invariant: while several versions of a service serve, a daemon begins streams at the preceding
// one, and at those that the store holds in its declaration.
type Declaration struct {
	Incarnation uint64 `json:"incarnation"`
	// Services are the versions at which this incarnation may begin streams, by service. One
	// without an entry has a single version, as far as the daemon knows.
	Services map[string][]string `json:"services,omitempty"`
	// Earlier are the versions that earlier incarnations had declared, whose streams may still be
	// taken up.
	Earlier map[string][]string `json:"earlier,omitempty"`
}

// covers reports whether d names all versions that another declaration names.
func (d Declaration) covers(other Declaration) bool {
	return coversAll(d.Services, other.Services) && coversAll(d.Earlier, other.Earlier)
}

func coversAll(declared, versionsByService map[string][]string) bool {
	for service, versions := range versionsByService {
		if !containsAll(declared[service], versions) {
			return false
		}
	}
	return true
}

func containsAll(declared, versions []string) bool {
	return !slices.ContainsFunc(versions, func(version string) bool { return !slices.Contains(declared, version) })
}

// declarations is what a tracker knows of its own daemon's declaration.
type declarations struct {
	incarnation  uint64
	loaded       bool
	stored       Declaration // that the store is certain to hold
	failed       bool        // the last attempt to write a declaration has failed
	earlier      map[string][]string
	earlierUntil time.Time
}

// SetIncarnation sets the incarnation of this daemon.
func (t *Tracker) SetIncarnation(incarnation uint64) { t.own.incarnation = incarnation }

// LoadDeclaration sets what the store holds of this daemon's declaration, as read at its start or
// after the store was restored.
func (t *Tracker) LoadDeclaration(stored Declaration, now time.Time) {
	if stored.Incarnation == t.own.incarnation {
		t.own.stored = intersection(t.own.stored, stored)
	} else {
		t.own.stored = Declaration{}
		if !t.own.loaded {
			t.own.earlier, t.own.earlierUntil = make(map[string][]string), now.Add(2*Lifetime)
			for service := range keysOf(stored.Services, stored.Earlier) {
				t.own.earlier[service] = union(stored.Services[service], stored.Earlier[service])
			}
		}
	}
	t.own.loaded, t.own.failed = true, false
}

// Staleness says how a declaration in the store differs from what it should hold.
type Staleness int

// Kinds of staleness.
const (
	UpToDate  Staleness = iota
	Excessive           // it names versions that are not needed any more
	Lacking             // it lacks versions at which the daemon is to begin streams
	Blocking            // the same, and there is a service of which no streams may begin
)

// Declarable returns what this daemon's declaration in the store should hold, and how the present one
// differs from that.
func (t *Tracker) Declarable(now time.Time) (next Declaration, stale Staleness) {
	next = Declaration{Incarnation: t.own.incarnation, Services: make(map[string][]string)}
	if now.Before(t.own.earlierUntil) && len(t.own.earlier) > 0 {
		next.Earlier = t.own.earlier
	}
	for service := range t.services {
		if versions := slices.Sorted(maps.Keys(t.recentVersions(service, now))); len(versions) > 1 {
			next.Services[service] = union(versions, t.own.stored.Services[service])
		}
	}
	switch {
	case t.isBlocked(now):
		return next, Blocking
	case !coversAll(t.own.stored.Services, next.Services):
		return next, Lacking
	case !next.covers(t.own.stored):
		return next, Excessive
	}
	return next, UpToDate
}

// isBlocked reports whether there is a service of which this daemon may not begin streams at any
// version.
func (t *Tracker) isBlocked(now time.Time) bool {
	for service := range t.services {
		if versions, restricted := t.Begins(service, now); restricted && len(versions) == 0 {
			return true
		}
	}
	return false
}

// BeginDeclaration must be called before a declaration is written: from then on the store may hold
// the earlier or the new one.
func (t *Tracker) BeginDeclaration(next Declaration) {
	t.own.stored = intersection(t.own.stored, next)
}

// EndDeclaration records that a declaration has been written, or that the attempt has failed.
func (t *Tracker) EndDeclaration(written Declaration, succeeded bool) {
	t.own.failed = !succeeded
	if succeeded {
		t.own.stored = written
	}
}

// DeclarationFailed records that this daemon cannot declare versions at present.
func (t *Tracker) DeclarationFailed() { t.own.failed = true }

// Begins returns the versions of a service at which this daemon may begin streams, and false if
// it may do so at any.
func (t *Tracker) Begins(service string, now time.Time) (versions []string, restricted bool) {
	declared := t.own.stored.Services[service]
	if !t.services[service].hasUndeclared(declared, now) {
		return nil, false
	}
	preceding, known := t.Preceding(service, now)
	precedingServes := known && t.services[service].serving[preceding.Version]
	if !precedingServes && t.own.failed {
		return nil, false // a daemon that is cut off serves what it can
	}
	if precedingServes {
		declared = union(declared, []string{preceding.Version})
	}
	return declared, true
}

// hasUndeclared reports whether several versions serve, or did lately, of which one that serves is not
// declared. It is called for each target that is considered, and allocates nothing.
func (v *versions) hasUndeclared(declared []string, now time.Time) bool {
	if v == nil {
		return false
	}
	recent, undeclared := 0, false
	for version := range v.serving {
		recent++
		undeclared = undeclared || !slices.Contains(declared, version)
	}
	for version, endedAt := range v.endedAt {
		if !v.serving[version] && now.Sub(endedAt) <= 2*Lifetime {
			recent++
		}
	}
	return recent > 1 && undeclared
}

// intersection returns what two declarations of an incarnation both name.
func intersection(a, b Declaration) Declaration {
	both := Declaration{Incarnation: b.Incarnation, Services: make(map[string][]string)}
	for service, versions := range a.Services {
		common := slices.DeleteFunc(slices.Clone(versions), func(version string) bool { return !slices.Contains(b.Services[service], version) })
		if len(common) > 0 {
			both.Services[service] = common
		}
	}
	both.Earlier = a.Earlier
	return both
}

// union returns the versions of both lists, sorted.
func union(a, b []string) []string {
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(a, b))))
}

// keysOf returns the keys of both maps.
func keysOf(a, b map[string][]string) map[string]bool {
	keys := make(map[string]bool)
	for _, m := range []map[string][]string{a, b} {
		for key := range m {
			keys[key] = true
		}
	}
	return keys
}
