package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
)

var start = time.Unix(1_000_000, 0)

const round = 250 * time.Millisecond

func newTable(n, domains int) *Table {
	return New(&peerpb.Member{Name: fmt.Sprint("d", n), FailureDomain: fmt.Sprint(n % domains), Incarnation: 1})
}

// exchange lets a and b tell each other what they know, as daemons do.
func exchange(a, b *Table, now time.Time) {
	digest := a.Digest(now)
	b.MergeDigest(digest, now)
	a.MergeDigest(b.Newer(digest, now), now)
	a.Merge(b.Entries(a.TakeMissing()), now)
	b.Merge(a.Entries(b.TakeMissing()), now)
}

// gossip runs rounds in which each running table meets another one.
func gossip(tables []*Table, random *rand.Rand, now time.Time, rounds int) time.Time {
	for range rounds {
		now = now.Add(round)
		for i, table := range tables {
			table.Beat(now)
			exchange(table, tables[(i+1+random.IntN(len(tables)-1))%len(tables)], now)
		}
	}
	return now
}

func TestDeadMembersStayDead(t *testing.T) {
	for _, size := range []int{2, 8, 43} {
		random := rand.New(rand.NewPCG(7, uint64(size)))
		var tables []*Table
		for n := range size + 1 {
			tables = append(tables, newTable(n, 1))
		}
		now := gossip(tables, random, start, 20)
		running, dead := tables[:size], tables[size]
		for _, table := range tables {
			must.Len(t, size+1, table.Live(now))
		}
		late := dead.Digest(now) // delivered long after it was sent
		lateEntry := []*peerpb.Member{dead.Self()}
		seen := now
		for now.Sub(seen) <= 2*DownAfter {
			now = gossip(running, random, now, 1)
		}
		for range 40 {
			running[0].MergeDigest(late, now)
			running[0].Merge(lateEntry, now)
			now = gossip(running, random, now, 1)
			for _, table := range running {
				must.False(t, table.Alive(dead.Self().GetName(), now))
				must.Len(t, size, table.Live(now))
			}
		}
		again := New(&peerpb.Member{Name: dead.Self().GetName(), FailureDomain: "0", Incarnation: 2})
		now = gossip(append(running, again), random, now, 12)
		must.True(t, running[0].Alive(again.Self().GetName(), now))
	}
}

func TestHeldUpMessagesReviveNone(t *testing.T) {
	a, b := newTable(0, 1), newTable(1, 1)
	tables := []*Table{a, b}
	now := gossip(tables, rand.New(rand.NewPCG(7, 7)), start, 4)
	var heldUp [][]Beat
	for range 3 {
		now = now.Add(round)
		b.Beat(now)
		heldUp = append(heldUp, b.Digest(now))
	}
	now = now.Add(time.Minute)
	a.Beat(now)
	for range 2 * DownAfter / round {
		now = now.Add(round)
		a.Beat(now)
	}
	for _, digest := range heldUp {
		a.MergeDigest(digest, now)
	}
	must.False(t, a.Alive("d1", now))
	must.Len(t, 1, a.Digest(now))
	for range 2 { // it runs after all
		now = now.Add(round)
		b.Beat(now)
		a.MergeDigest(b.Digest(now), now)
	}
	must.True(t, a.Alive("d1", now))
}

func TestPausedDaemonKeepsItsView(t *testing.T) {
	a, b, c := newTable(0, 1), newTable(1, 1), newTable(2, 1)
	tables := []*Table{a, b, c}
	now := gossip(tables, rand.New(rand.NewPCG(7, 7)), start, 20)
	now = now.Add(time.Minute) // a is paused, and c dies meanwhile
	a.Beat(now)
	must.Len(t, 3, a.Live(now))
	must.Len(t, 1, a.Digest(now), must.Sprint("a paused daemon passes nothing on that it has not heard again"))
	for range 12 {
		now = now.Add(round)
		a.Beat(now)
		b.Beat(now)
		exchange(a, b, now)
	}
	must.True(t, a.Alive("d1", now))
	must.False(t, a.Alive("d2", now))
	must.False(t, b.Alive("d2", now))
}

func TestLeavingSpreadsAndHomesMove(t *testing.T) {
	a, b := newTable(0, 1), newTable(1, 1)
	exchange(a, b, start)
	exchange(a, b, start)
	must.Len(t, 2, a.Live(start))
	b.Leave()
	exchange(a, b, start)
	exchange(a, b, start)
	must.True(t, a.Member("d1").GetLeaving())
	for n := range 10 {
		must.Eq(t, "d0", a.HomeOf(fmt.Sprint(n), "0", nil, start).GetName())
	}
	a.Leave()
	must.Eq(t, "d0", a.HomeOf("e", "0", nil, start).GetName())
	must.Nil(t, a.HomeOf("e", "0", []string{"d0"}, start))
}

func TestDigestsStaySmallAtFullSize(t *testing.T) {
	const daemons, domains = 470, 11
	table := newTable(0, domains)
	for n := range daemons {
		table.Merge([]*peerpb.Member{newTable(n, domains).Self()}, start)
	}
	digest := table.Digest(start)
	must.Len(t, daemons/domains+1+outsideInDigest, digest)
	seen := make(map[string]bool)
	for range daemons/outsideInDigest + 1 {
		for _, beat := range table.Digest(start) {
			seen[beat.Name] = true
		}
	}
	must.MapLen(t, daemons, seen)
}

func TestFirstOfADomainAreTheSameForAll(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	table := New(&peerpb.Member{Name: "c", FailureDomain: "north"})
	must.True(t, table.Among(1, now))
	table.Merge([]*peerpb.Member{
		{Name: "a", FailureDomain: "north", Heartbeat: 1}, {Name: "b", FailureDomain: "north", Heartbeat: 1, Leaving: true},
		{Name: "z", FailureDomain: "north", Heartbeat: 1}, {Name: "0", FailureDomain: "south", Heartbeat: 1},
	}, now)
	must.False(t, table.Among(1, now))
	must.True(t, table.Among(2, now))
	must.True(t, table.Among(1, now.Add(firstSilence)))
	partners := table.Partners(random, now)
	must.Len(t, 2, partners)
	must.Eq(t, "north", partners[0].GetFailureDomain())
	must.Eq(t, "south", partners[1].GetFailureDomain())
	must.Len(t, 3, table.Sample(random, 3, now))
	must.Eq(t, 5, table.Known())
}
