package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/relay"
)

// When many daemons send one session to its engine, each receives the engine's
// reports too rarely to know that it is full, unless they share the reported load.
func TestLoadSharedByAnotherDaemonRedirectsSession(t *testing.T) {
	now := start.Add(time.Minute)
	receiver, sender := NewTable("north", start), NewTable("north", start)
	receiver.SetMembers(members(8))
	sender.SetMembers(members(8))
	home := receiver.Choose(session("s"), now).Target.ID
	sender.RecordReport(home, relay.LoadReport{Running: 60, Slots: 64}, now)
	loads := sender.MostLoaded(1, now)
	must.Len(t, 1, loads)
	receiver.MergeLoads(loads, now)
	must.NotEq(t, home, receiver.Choose(session("s"), now).Target.ID)
	must.SliceEmpty(t, sender.MostLoaded(1, now.Add(3*time.Second)), must.Sprint("stale loads must not be shared"))
}

func TestOlderSharedLoadDoesNotReplaceNewer(t *testing.T) {
	now := start.Add(time.Minute)
	table := NewTable("north", start)
	table.SetMembers(members(8))
	home := table.Choose(session("s"), now).Target.ID
	table.RecordReport(home, relay.LoadReport{Running: 60, Slots: 64}, now)
	older := table.MostLoaded(1, now)[0]
	older.Requests, older.Age = 1, 500*time.Millisecond
	table.MergeLoads([]ReportedLoad{older, {TargetHash: 1, Requests: 9}}, now) // the second target is unknown
	must.NotEq(t, home, table.Choose(session("s"), now).Target.ID)
}
