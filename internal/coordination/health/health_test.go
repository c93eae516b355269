package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/targetapi"
)

var start = time.Unix(1_000_000, 0)

// at runs a step at a second of the test, then lets the time pass.
func at(table *Table, second float64, step func(now time.Time)) {
	now := start.Add(time.Duration(second * float64(time.Second)))
	step(now)
	table.Tick(now)
}

var (
	live     = &targetapi.Load{}
	draining = &targetapi.Load{Draining: true}
)

func TestFindingsOfSourcesAreCombined(t *testing.T) {
	type step struct {
		second float64
		act    func(table *Table, now time.Time)
		want   State
	}
	probe := func(report *targetapi.Load) func(*Table, time.Time) {
		return func(table *Table, now time.Time) { table.NoteProbe("e", report, true, now) }
	}
	outside := func(table *Table, now time.Time) { table.NoteProbe("e", nil, false, now) }
	refuse := func(table *Table, now time.Time) { table.Note("e", Leaving, SourceRefusal, now) }
	list := func(state State, version uint64) func(*Table, time.Time) {
		return func(table *Table, _ time.Time) { table.NoteListed("e", state, version) }
	}
	pass := func(*Table, time.Time) {}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"a late list does not hide a drain", []step{
			{0, probe(draining), Leaving}, {1, list(Live, 9), Leaving}, {2, probe(live), Live}}},
		{"a lagging report does not hide a refusal", []step{
			{0, refuse, Leaving}, {1, probe(live), Leaving}, {2, probe(live), Leaving}, {3.5, probe(live), Live}, {4, refuse, Leaving}}},
		{"a refusal lapses without probes", []step{
			{0, refuse, Leaving}, {9, pass, Leaving}, {11, pass, Live}}},
		{"a stale list changes nothing", []step{
			{0, list(Leaving, 7), Leaving}, {1, list(Live, 6), Leaving}, {2, probe(live), Leaving}, {3, list(Live, 8), Live}}},
		{"down after two probes and back after one", []step{
			{0, probe(nil), Live}, {1, probe(nil), Down}, {2, probe(live), Live}, {3, probe(nil), Live}, {4, probe(live), Live}}},
		{"probes from outside lapse", []step{
			{0, outside, Live}, {1, outside, Down}, {2, outside, Down}, {6, pass, Live}}},
		{"flapping", []step{
			{0, probe(draining), Leaving}, {1, probe(live), Live}, {2, probe(draining), Leaving}, {3, probe(live), Live}}},
	} {
		table := New()
		for _, step := range test.steps {
			at(table, step.second, func(now time.Time) { step.act(table, now) })
			must.Eq(t, step.want, table.State("e"), must.Sprintf("%s, second %g", test.name, step.second))
		}
	}
}

func TestFindingsSpread(t *testing.T) {
	a, b := New(), New()
	must.False(t, a.TakeChanged())
	at(a, 0, func(now time.Time) { a.NoteProbe("e", draining, true, now) })
	must.True(t, a.TakeChanged())
	must.NotEq(t, a.Digest(), b.Digest())
	late := a.Findings()
	b.Merge(late)
	must.Eq(t, a.Digest(), b.Digest())
	must.False(t, b.Takes("e"))
	must.True(t, b.TakeChanged())
	// b's clock is behind, and still its later finding counts.
	at(b, -5, func(now time.Time) { b.NoteProbe("e", live, true, now) })
	a.Merge(b.Findings())
	a.Merge(late)
	must.True(t, a.Takes("e"))
	a.NoteProbe("e", nil, false, start)
	a.NoteProbe("e", nil, false, start)
	must.Eq(t, a.Digest(), b.Digest(), must.Sprint("probes from outside are not told"))
}
