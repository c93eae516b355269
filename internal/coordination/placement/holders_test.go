package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/roster"
)

// sendAll passes all holders that a table wants to send on to others.
func sendAll(from *Table, now time.Time, to ...*Table) {
	for _, table := range to {
		table.MergeHolders(from.TakeUnsent(100, now), now)
	}
}

// withoutHome returns the query of a session for a daemon that cannot use the session's
// first engine.
func withoutHome(query Query, home string) Query {
	query.Excluded = func(id string) bool { return id == home }
	query.Reachable = func(id string) bool { return id != home }
	return query
}

// A session's engine is lost, one daemon sends the session to another engine, and the
// lost one comes back empty. The next request reaches another daemon: it must have the
// prompt fetched from the engine that holds it now.
func TestDaemonsTellEachOtherWhichEngineHoldsAPrompt(t *testing.T) {
	first, second := NewTable("north", start), NewTable("north", start)
	now := start.Add(time.Minute)
	query := session("s")
	for _, table := range []*Table{first, second} {
		table.SetMembers(members(6))
	}
	home := first.Choose(query, now).Target.ID
	moved := first.Choose(withoutHome(query, home), now)
	must.NotEq(t, home, moved.Target.ID)
	first.RecordStart(moved.Target.ID, query, now)
	now = now.Add(time.Second)
	sendAll(first, now, second)
	back := second.Choose(query, now)
	must.Eq(t, home, back.Target.ID)
	must.Eq(t, moved.Target.ID, back.FetchFrom.ID)

	first.ForgetDispatch(moved.Target.ID, query.Session) // the attempt failed
	must.SliceEmpty(t, first.TakeUnsent(100, now))
}

// The engine that holds a prompt must still be the same incarnation and reachable. The
// session's own engine is preferred, and an engine that may still be reading the prompt
// is the last choice.
func TestChoiceAmongHolders(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(8))
	now := start.Add(time.Minute)
	query := session("s")
	var order []string // the session's engines, in the order of preference
	excluded := make(map[string]bool)
	query.Excluded = func(id string) bool { return excluded[id] }
	for range 4 {
		id := table.Choose(query, now).Target.ID
		order = append(order, id)
		excluded[id] = true
	}
	clear(excluded)
	excluded[order[0]] = true
	table.RecordStart(order[2], query, now)
	table.RecordStart(order[3], query, now.Add(time.Second))
	now = now.Add(time.Second + 10*time.Millisecond)
	must.Eq(t, order[2], table.Choose(query, now).FetchFrom.ID, must.Sprint("the later one still reads the prompt"))
	now = now.Add(time.Second)
	must.Eq(t, order[3], table.Choose(query, now).FetchFrom.ID)
	query.Reachable = func(id string) bool { return id != order[3] }
	must.Eq(t, order[2], table.Choose(query, now).FetchFrom.ID)
	query.Reachable = always
	table.RecordStart(order[0], query, now)
	must.Eq(t, order[0], table.Choose(query, now.Add(time.Second)).FetchFrom.ID, must.Sprint("the session's home"))

	var restarted []roster.Member
	for _, m := range members(8) {
		target := *m.Target
		target.StartedMS = 7
		restarted = append(restarted, roster.Member{Target: &target, FirstSeen: now})
	}
	must.SliceLen(t, 8, table.SetMembers(restarted))
	must.Eq(t, order[0], table.Choose(query, now).FetchFrom.ID, must.Sprint("only the guess is left: nothing is known of the new incarnations"))
}

// Daemons report the largest prompts first, each a few times and not for long, so that
// the messages stay small. Small prompts are not worth it.
func TestTellingIsBounded(t *testing.T) {
	table := NewTable("north", start)
	table.SetMembers(members(6))
	now := start.Add(time.Minute)
	for i := range 1000 {
		query := session(fmt.Sprint("s", i))
		query.Parts[1].Tokens = 100 * i
		table.RecordStart("e1", query, now)
	}
	sent := table.TakeUnsent(8, now)
	must.Len(t, 8, sent)
	for _, holder := range sent {
		must.GreaterEq(t, 99_000, holder.Tokens)
	}
	times := 1
	for ; ; times++ {
		must.Less(t, 20, times)
		if again := table.TakeUnsent(8, now); again[0].SessionHash != sent[0].SessionHash {
			break
		}
	}
	must.Eq(t, 4, times)
	must.SliceEmpty(t, table.TakeUnsent(8, now.Add(11*time.Second)))

	small := NewTable("north", start)
	small.SetMembers(members(6))
	query := session("small")
	query.Parts[0].Tokens, query.Parts[1].Tokens = 10, 100
	small.RecordStart("e1", query, now)
	must.SliceEmpty(t, small.TakeUnsent(8, now))
}

// Each daemon sends to random others, as exchanges do. Nearly all must receive a holder
// within a few rounds, also in a large fleet.
func TestHoldersReachTheFleet(t *testing.T) {
	for _, daemons := range []int{9, 71, 295} {
		random := rand.New(rand.NewPCG(7, uint64(daemons)))
		tables := make([]*Table, daemons)
		for i := range tables {
			tables[i] = NewTable("north", start)
			tables[i].SetMembers(members(6))
		}
		now := start.Add(time.Minute)
		query := session("s")
		home := tables[0].Choose(query, now).Target.ID
		moved := tables[0].Choose(withoutHome(query, home), now).Target.ID
		tables[0].RecordStart(moved, query, now)
		for range 10 { // 4 s of exchanges
			now = now.Add(400 * time.Millisecond)
			for i := range tables {
				for range 2 {
					other := tables[random.IntN(daemons)]
					sendAll(tables[i], now, other)
					sendAll(other, now, tables[i])
				}
			}
		}
		informed := 0
		for _, table := range tables {
			if source := table.Choose(query, now).FetchFrom; source != nil && source.ID == moved {
				informed++
			}
		}
		must.GreaterEq(t, 0.95, float64(informed)/float64(daemons))
	}
}
