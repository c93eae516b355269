package placement_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/relay"
)

// Many daemons send one session to its engine; each hears from the engine too
// seldom to know that it is full, unless they tell each other.
func TestEngineThatAnotherDaemonKnowsIsFullIsPassedOver(t *testing.T) {
	now := start.Add(time.Minute)
	told, teller := NewTable("north", start), NewTable("north", start)
	told.SetMembers(members(8))
	teller.SetMembers(members(8))
	home := told.Choose(session("s"), now).Target.ID
	teller.Report(home, relay.Load{Running: 60, Slots: 64}, now)
	hottest := teller.Hottest(1, now)
	must.Len(t, 1, hottest)
	told.Hear(hottest, now)
	must.NotEq(t, home, told.Choose(session("s"), now).Target.ID)
	must.SliceEmpty(t, teller.Hottest(1, now.Add(3*time.Second)), must.Sprint("what is old is not told"))
}

func TestOlderNewsDoesNotReplaceNewer(t *testing.T) {
	now := start.Add(time.Minute)
	table := NewTable("north", start)
	table.SetMembers(members(8))
	home := table.Choose(session("s"), now).Target.ID
	table.Report(home, relay.Load{Running: 60, Slots: 64}, now)
	heard := table.Hottest(1, now)[0]
	heard.Load, heard.Age = 1, 500*time.Millisecond
	table.Hear([]Heard{heard, {Target: 1, Load: 9}}, now) // the second is of no known target
	must.NotEq(t, home, table.Choose(session("s"), now).Target.ID)
}
