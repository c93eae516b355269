package origin_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/origin"
)

// newLoaded returns the tracker of a daemon of a system that starts for the first time.
func newLoaded(now time.Time) *Tracker {
	tracker := New(now)
	tracker.LoadRecord(nil, true, now)
	return tracker
}

// What a daemon that starts must know before it takes a version for the only one.
func TestOneVersionIsKnownOnlyWithTheRecord(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const loadDelay = time.Second
	cases := []struct {
		name       string
		serving    []string
		loads      bool
		record     map[string][]string
		firstStart bool
		several    bool // after the load
		later      bool // when all that may have left is forgotten
	}{
		{"record not read", []string{"v1"}, false, nil, false, true, true},
		{"same version", []string{"v1"}, true, map[string][]string{"s": {"v1"}}, false, false, false},
		{"another version has left", []string{"v2"}, true, map[string][]string{"s": {"v1"}}, false, true, false},
		{"one of two versions has left", []string{"v2"}, true, map[string][]string{"s": {"v1", "v2"}}, false, true, false},
		{"two versions serve", []string{"v1", "v2"}, true, map[string][]string{"s": {"v1", "v2"}}, false, true, true},
		{"the system's first start", []string{"v1"}, true, nil, true, false, false},
		{"the record was lost", []string{"v1"}, true, nil, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			serving := make(map[string]bool)
			for _, version := range c.serving {
				serving[version] = true
			}
			tracker := New(start)
			tracker.SetVersions(map[string]map[string]bool{"s": serving}, start)
			must.True(t, tracker.SeveralVersions("s", start), must.Sprint("before the record is read"))
			if c.loads {
				tracker.LoadRecord(c.record, c.firstStart, start.Add(loadDelay))
			}
			must.Eq(t, c.several, tracker.SeveralVersions("s", start.Add(2*loadDelay)))
			must.Eq(t, c.later, tracker.SeveralVersions("s", start.Add(2*loadDelay+2*Lifetime)))
		})
	}
}

func TestRecordFollowsTheVersions(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	serving := func(versions ...string) map[string]map[string]bool {
		current := make(map[string]bool)
		for _, version := range versions {
			current[version] = true
		}
		return map[string]map[string]bool{"s": current}
	}
	tracker := New(start)
	tracker.SetVersions(serving("v1"), start)
	must.MapEmpty(t, tracker.Unrecorded(start), must.Sprint("nothing is written before the record has been read"))
	tracker.LoadRecord(nil, true, start)
	must.Eq(t, map[string][]string{"s": {"v1"}}, tracker.Unrecorded(start))
	tracker.SetRecorded("s", []string{"v1"})
	must.MapEmpty(t, tracker.Unrecorded(start))
	tracker.SetVersions(serving("v1", "v2"), start)
	must.Eq(t, map[string][]string{"s": {"v1", "v2"}}, tracker.Unrecorded(start))
	tracker.SetRecorded("s", []string{"v1", "v2"})
	tracker.SetVersions(serving("v2"), start)
	must.MapEmpty(t, tracker.Unrecorded(start.Add(2*Lifetime)), must.Sprint("a stream of v1 may still be taken up"))
	must.Eq(t, map[string][]string{"s": {"v2"}}, tracker.Unrecorded(start.Add(2*Lifetime+time.Second)))
	// A store that was restored from a copy may hold an older record.
	tracker.LoadRecord(map[string][]string{"s": {"v0"}}, false, start)
	must.Eq(t, map[string][]string{"s": {"v0", "v1", "v2"}}, tracker.Unrecorded(start))
}
