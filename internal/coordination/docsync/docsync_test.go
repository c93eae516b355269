package docsync

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

func TestVersionNeverFalls(t *testing.T) {
	tracker := new(Tracker)
	now := time.Unix(1000, 0)
	active := Version{Generation: 5, Digest: 50}
	tracker.SetActive(active, Version{}, nil)
	for _, test := range []struct {
		name    string
		offered Version
		want    bool
	}{
		{"stale read", Version{4, 99}, false},
		{"active version", active, false},
		{"recreated object", Version{1, 99}, false},
		{"same generation, lower digest", Version{5, 49}, false},
		{"same generation, higher digest", Version{5, 51}, true},
		{"next", Version{6, 1}, true},
	} {
		must.Eq(t, test.want, tracker.Acceptable(test.offered), must.Sprint(test.name))
	}
	must.True(t, tracker.StartFetch(Version{6, 1}, now))
	must.False(t, tracker.StartFetch(Version{6, 1}, now.Add(MinFetchInterval/2)))
	must.True(t, tracker.StartFetch(Version{6, 1}, now.Add(MinFetchInterval)))
	tracker.Reject(Version{6, 1})
	must.False(t, tracker.StartFetch(Version{6, 1}, now.Add(time.Hour)))
	must.True(t, tracker.StartFetch(Version{7, 1}, now.Add(time.Hour)))
}

// largeDocument returns a document near the maximum size, with 4,800 engines and
// 9,100 workspaces.
func largeDocument() string {
	var text strings.Builder
	text.WriteString("name: production\nplaces:\n- name: p\n  failure_domain: d\nservices:\n- name: s\n  kind: model\nengines:\n")
	for n := range 4800 {
		fmt.Fprintf(&text, "- name: engine-%d\n  service: s\n  place: p\n  address: 10.0.0.1:8000\n  capacity: 16\n", n)
	}
	text.WriteString("workspaces:\n")
	for n := range 9100 {
		fmt.Fprintf(&text, "- name: workspace-%d\n  share: 2\n", n)
	}
	return text.String()
}

func TestStepsRebuildTheDocument(t *testing.T) {
	original := []byte(largeDocument())
	replacements := []struct{ from, to string }{
		{"engine-17\n", "engine-17b\n"},
		{"- name: workspace-9\n", "- name: new\n- name: workspace-9\n"},
		{"- name: engine-300\n  service: s\n  place: p\n  address: 10.0.0.1:8000\n  capacity: 16\n", ""},
		{"name: production\n", "name: trial\n"},
	}
	tracker := new(Tracker)
	text, version := original, VersionOf(1, original)
	tracker.SetActive(version, Version{}, nil)
	for n, replacement := range replacements {
		next := []byte(strings.Replace(string(text), replacement.from, replacement.to, 1))
		must.False(t, bytes.Equal(text, next))
		nextVersion := VersionOf(uint64(n)+2, next)
		tracker.SetActive(nextVersion, version, Diff(text, next))
		text, version = next, nextVersion
	}
	reply := tracker.BuildReply(VersionOf(1, original), text)
	must.Len(t, len(replacements), reply.GetSteps())
	rebuilt, err := ApplySteps(original, reply.GetSteps())
	must.NoError(t, err)
	must.Eq(t, string(text), string(rebuilt))
	const maxBytesPerChange = 32 << 10 // 10 KB/s over the 3.2 s between changes
	size := proto.Size(reply)
	t.Logf("%d bytes per change of a document of %d bytes", size/len(replacements), len(text))
	must.Less(t, maxBytesPerChange, size/len(replacements))

	must.Eq(t, text, tracker.BuildReply(Version{}, text).GetDocument())
	must.Eq(t, text, tracker.BuildReply(Version{1, 7}, text).GetDocument())
	_, err = ApplySteps(text, reply.GetSteps())
	must.ErrorIs(t, err, ErrDocumentMismatch)
	_, err = ApplySteps(nil, []*peerpb.DocumentStep{{Edits: []*peerpb.DocumentEdit{{CopyFrom: 9, CopyLength: 1}}}})
	must.ErrorIs(t, err, ErrDocumentMismatch)
}

func FuzzDiff(f *testing.F) {
	f.Add([]byte("a:\n- b\n- c\n"), []byte("a:\n- c\n- b"))
	f.Fuzz(func(t *testing.T, from, to []byte) {
		result, err := applyEdits(from, Diff(from, to))
		must.NoError(t, err)
		must.Eq(t, string(to), string(result))
	})
}

func TestFewDaemonsWatch(t *testing.T) {
	countWatchers := func(members []*peerpb.Member) int {
		count := 0
		for _, member := range members {
			if ShouldWatchPlatform(member, members) {
				count++
			}
		}
		return count
	}
	var members []*peerpb.Member
	for n := range 20 {
		members = append(members, &peerpb.Member{Name: fmt.Sprint("d", n), FailureDomain: fmt.Sprint(n % 2)})
		must.Eq(t, min(n+1, 2*WatchersPerDomain), countWatchers(members))
	}
	for _, member := range members {
		member.PlatformAway = true
	}
	must.Eq(t, 2*WatchersPerDomain, countWatchers(members))
	members[4].PlatformAway = false
	must.True(t, ShouldWatchPlatform(members[4], members))
}

func BenchmarkParseLargeDocument(b *testing.B) {
	text := []byte(largeDocument())
	for b.Loop() {
		_, err := environment.Parse(text)
		must.NoError(b, err)
	}
}

func BenchmarkDiffLargeDocument(b *testing.B) {
	text := []byte(largeDocument())
	next := bytes.Replace(text, []byte("engine-17\n"), []byte("engine-17b\n"), 1)
	for b.Loop() {
		Diff(text, next)
	}
}
