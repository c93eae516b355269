package placement_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// members returns the engines e0, e1 and so on, which were first seen at start.
func members(count int) []roster.Member {
	var list []roster.Member
	for i := range count {
		list = append(list, member(i, start, false))
	}
	return list
}

func member(number int, firstSeen time.Time, draining bool) roster.Member {
	return roster.Member{FirstSeen: firstSeen, Target: &fleet.Target{
		ID: fmt.Sprintf("e%d", number), Service: "writers", Address: fmt.Sprintf("10.0.0.%d:80", number),
		FailureDomain: []string{"north", "south"}[number%2], Slots: 64, Draining: draining,
	}}
}

// session returns the query for a request of the named session.
func session(name string) Query {
	parts := []relay.PromptPart{{ID: "system", Tokens: 512}, {ID: name, Tokens: 10_000}, {ID: name + "-own", Tokens: 100}}
	return Query{Service: "writers", Session: SessionKey(parts), Parts: parts, Excluded: never, Reachable: always}
}

func never(string) bool  { return false }
func always(string) bool { return true }

func TestNewEngineTakesOnlyItsOwnSessions(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(10))
	now := start.Add(time.Minute)
	engines := make(map[string]string)
	for i := range 500 {
		name := fmt.Sprint("s", i)
		engines[name] = table.Choose(session(name), now).Target.ID
	}
	table.SetMembers(append(members(10), member(10, now, false)))
	moved := 0
	for name, engine := range engines {
		choice := table.Choose(session(name), now)
		if choice.Target.ID == engine {
			continue
		}
		moved++
		must.Eq(t, "e10", choice.Target.ID)
		must.Eq(t, engine, choice.FetchFrom.ID, must.Sprint("a moved session must be fetched from its previous engine"))
	}
	must.Between(t, 20, moved, 80) // 1 in 11 of 500 expected; the bounds allow for random variation
}

func TestPromptIsFetchedFromDrainingEngine(t *testing.T) {
	table := NewTable("north", start)
	list := members(6)
	table.SetMembers(list)
	now := start.Add(time.Minute)
	home := table.Choose(session("s"), now).Target
	for i := range list {
		if list[i].Target.ID == home.ID {
			leaving := *list[i].Target
			leaving.Draining = true
			list[i].Target = &leaving
		}
	}
	table.SetMembers(list)
	choice := table.Choose(session("s"), now)
	must.NotEq(t, home.ID, choice.Target.ID)
	must.Eq(t, home.ID, choice.FetchFrom.ID)
}

func TestSecondRequestFetchesNothing(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(6))
	now := start.Add(time.Minute)
	home := table.Choose(session("s"), now).Target.ID
	query := session("s")
	query.Excluded = func(id string) bool { return id == home }
	first := table.Choose(query, now)
	must.Eq(t, home, first.FetchFrom.ID)
	table.RecordStart(first.Target.ID, query, now)
	must.Nil(t, table.Choose(query, now).FetchFrom)
	table.ForgetDispatch(first.Target.ID, query.Session)
	must.NotNil(t, table.Choose(query, now).FetchFrom)
}

// Requests of a hot session spread to other engines once its home is above the
// load bound, and return to the home when the load has ended.
func TestHotSessionIsSpreadAndReturns(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(8))
	now := start.Add(time.Minute)
	query := session("hot")
	home := table.Choose(query, now).Target.ID
	started := make(map[string]int)
	for range 64 {
		id := table.Choose(query, now).Target.ID
		table.RecordStart(id, query, now)
		started[id]++
	}
	must.Greater(t, 1, len(started))
	for id, count := range started {
		// The users' bound: twice the mean load of the 8 engines, plus 3.
		must.LessEq(t, 2*64/8+3, count, must.Sprint(id))
	}
	for id, count := range started {
		for range count {
			table.RecordEnd(id)
		}
	}
	must.Eq(t, home, table.Choose(query, now).Target.ID)
}

// Reports contain the requests of other daemons. A report counts for 2 s.
func TestReportedLoadCountsAndFades(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(8))
	now := start.Add(time.Minute)
	home := table.Choose(session("s"), now).Target.ID
	table.RecordReport(home, relay.LoadReport{Running: 60, Slots: 64}, now)
	must.NotEq(t, home, table.Choose(session("s"), now).Target.ID)
	must.Eq(t, home, table.Choose(session("s"), now.Add(3*time.Second)).Target.ID)
}

func TestPlainRequestsStayInTheirDomainUntilItIsLoaded(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(2)) // e0 in domain north, e1 in domain south
	query := Query{Service: "writers", Excluded: never, Reachable: always}
	now := start.Add(time.Minute)
	var order []string
	for range 6 {
		id := table.Choose(query, now).Target.ID
		order = append(order, id)
		table.RecordStart(id, query, now)
	}
	must.Eq(t, []string{"e0", "e0"}, order[:2])
	must.SliceContains(t, order, "e1")
}

func TestNothingToChoose(t *testing.T) {
	table := NewTable("north", start)
	must.Nil(t, table.Choose(session("s"), start).Target)
	table.SetMembers(members(2))
	query := session("s")
	query.Excluded = always
	must.Nil(t, table.Choose(query, start).Target)
}

func BenchmarkChoose436(b *testing.B) {
	table := NewTable("north", start)
	table.SetMembers(members(436))
	query := session("s")
	now := start.Add(time.Minute)
	for i := range 436 {
		table.RecordReport(fmt.Sprint("e", i), relay.LoadReport{Running: 20 + i%7, Slots: 64}, now)
	}
	for b.Loop() {
		table.Choose(query, now)
	}
}

// Most engines name a limit that is used up. The others may not take everything: requests
// that wait there for a slot are answered after their callers have left.
func TestFullEnginesAreNotChosenWhileOthersAreLimited(t *testing.T) {
	const slots = 64
	table := NewTable("north", start)
	table.SetMembers(members(10))
	isFree := func(id string) bool { return id == "e0" }
	query := session("a")
	query.Excluded = func(id string) bool { return !isFree(id) }
	query.Limited = func(id string) bool { return !isFree(id) }
	for range slots {
		choice := table.Choose(query, start)
		must.NotNil(t, choice.Target)
		must.Eq(t, "e0", choice.Target.ID)
		table.RecordStart("e0", query, start)
	}
	must.Nil(t, table.Choose(query, start).Target)
	plain := query
	plain.Session, plain.Parts = 0, nil
	must.Nil(t, table.Choose(plain, start).Target)

	query.Limited = nil
	must.NotNil(t, table.Choose(query, start).Target, must.Sprint("without limits the engine itself decides"))
}

// Sessions of engines without a limit stay where they are while others are limited and
// nearly idle: those have no part in the mean load that bounds the others.
func TestSessionsStayWhileOtherEnginesAreLimited(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(10))
	query := session("a")
	limited := make(map[string]bool)
	home := table.Choose(query, start).Target.ID
	for i := range 10 {
		id := fmt.Sprintf("e%d", i)
		if i%2 == 0 && id != home {
			limited[id] = true
			continue
		}
		for range 20 {
			table.RecordStart(id, Query{}, start)
		}
	}
	query.Limited = func(id string) bool { return limited[id] }
	for range 8 {
		choice := table.Choose(query, start)
		must.Eq(t, home, choice.Target.ID)
		table.RecordStart(home, query, start)
	}
}

// Guards against prompts of many parts, no two alike, that fill the memory of the host: what is remembered of
// parts had no bound, and kept the headers of their requests (review 2, case 7).
func TestPartsOfPromptsDoNotFillTheMemory(t *testing.T) {
	const (
		requests, partsEach = 3000, 1900
		allowed             = 16 << 20
	)
	table := NewTable("north", start)
	table.SetMembers(members(12))
	before := heapInUse()
	for number := range requests {
		var header strings.Builder
		for part := range partsEach {
			_, _ = fmt.Fprintf(&header, "%04x%04x", number, part)
		}
		query := session("x")
		query.Parts = nil
		for part := range partsEach {
			query.Parts = append(query.Parts, relay.PromptPart{ID: header.String()[8*part : 8*part+8], Tokens: 1})
		}
		query.Session = SessionKey(query.Parts)
		choice := table.Choose(query, start)
		table.RecordStart(choice.Target.ID, query, start)
		table.RecordEnd(choice.Target.ID)
	}
	must.Less(t, allowed, heapInUse()-before)
	runtime.KeepAlive(table)
}

// heapInUse returns the size of the live heap, in bytes.
func heapInUse() int {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
