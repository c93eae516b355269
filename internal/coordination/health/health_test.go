package health

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/targetapi"
)

var startTime = time.Unix(1_000_000, 0)

// stepAt runs a step at a time in seconds after startTime, followed by a tick.
func stepAt(table *Table, second float64, step func(now time.Time)) {
	now := startTime.Add(time.Duration(second * float64(time.Second)))
	step(now)
	table.Tick(now)
}

var (
	liveReport     = &targetapi.LoadReport{}
	drainingReport = &targetapi.LoadReport{Draining: true}
)

func TestFindingsOfSourcesAreCombined(t *testing.T) {
	type step struct {
		second float64
		act    func(table *Table, now time.Time)
		want   State
	}
	probe := func(report *targetapi.LoadReport) func(*Table, time.Time) {
		return func(table *Table, now time.Time) { table.RecordProbe("e", report, true, now) }
	}
	failOutsideProbe := func(table *Table, now time.Time) { table.RecordProbe("e", nil, false, now) }
	refuse := func(table *Table, now time.Time) { table.RecordFinding("e", Leaving, SourceRefusal, now) }
	list := func(state State, version uint64) func(*Table, time.Time) {
		return func(table *Table, _ time.Time) { table.RecordPlatformState("e", state, version) }
	}
	wait := func(*Table, time.Time) {}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"a stale list does not hide a draining engine", []step{
			{0, probe(drainingReport), Leaving}, {1, list(Live, 9), Leaving}, {2, probe(liveReport), Live}}},
		{"a probe with an old report does not end a refusal", []step{
			{0, refuse, Leaving}, {1, probe(liveReport), Leaving}, {2, probe(liveReport), Leaving}, {3.5, probe(liveReport), Live}, {4, refuse, Leaving}}},
		{"a refusal expires without probes", []step{
			{0, refuse, Leaving}, {9, wait, Leaving}, {11, wait, Live}}},
		{"a list with an older version is ignored", []step{
			{0, list(Leaving, 7), Leaving}, {1, list(Live, 6), Leaving}, {2, probe(liveReport), Leaving}, {3, list(Live, 8), Live}}},
		{"down after two failed probes, live after one success", []step{
			{0, probe(nil), Live}, {1, probe(nil), Down}, {2, probe(liveReport), Live}, {3, probe(nil), Live}, {4, probe(liveReport), Live}}},
		{"probes from another failure domain expire", []step{
			{0, failOutsideProbe, Live}, {1, failOutsideProbe, Down}, {2, failOutsideProbe, Down}, {6, wait, Live}}},
		{"alternating reports", []step{
			{0, probe(drainingReport), Leaving}, {1, probe(liveReport), Live}, {2, probe(drainingReport), Leaving}, {3, probe(liveReport), Live}}},
	} {
		table := New()
		for _, step := range test.steps {
			stepAt(table, step.second, func(now time.Time) { step.act(table, now) })
			must.Eq(t, step.want, table.State("e"), must.Sprintf("%s, second %g", test.name, step.second))
		}
	}
}

// A peer must replace an earlier finding by a later one, even if it receives the
// earlier one again or the daemons' clocks differ.
func TestFindingsSpread(t *testing.T) {
	a, b := New(), New()
	must.False(t, a.ChangedSinceLastCall())
	stepAt(a, 0, func(now time.Time) { a.RecordProbe("e", drainingReport, true, now) })
	must.True(t, a.ChangedSinceLastCall())
	must.NotEq(t, a.Digest(), b.Digest())
	delayed := a.Findings()
	b.MergeFindings(delayed)
	must.Eq(t, a.Digest(), b.Digest())
	must.False(t, b.IsAvailable("e"))
	must.True(t, b.ChangedSinceLastCall())
	// The clock of b is behind, but its finding still replaces the earlier one of a.
	stepAt(b, -5, func(now time.Time) { b.RecordProbe("e", liveReport, true, now) })
	a.MergeFindings(b.Findings())
	a.MergeFindings(delayed)
	must.True(t, a.IsAvailable("e"))
	a.RecordProbe("e", nil, false, startTime)
	a.RecordProbe("e", nil, false, startTime)
	must.Eq(t, a.Digest(), b.Digest(), must.Sprint("findings of probes from another failure domain must not be sent to peers"))
}
