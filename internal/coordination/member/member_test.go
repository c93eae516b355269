package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
)

var startTime = time.Unix(1_000_000, 0)

const gossipInterval = 250 * time.Millisecond

func newTable(number, domains int) *Table {
	return New(&peerpb.Member{Name: fmt.Sprint("d", number), FailureDomain: fmt.Sprint(number % domains), Incarnation: 1})
}

// exchangeDigests exchanges digests and missing entries between a and b, as two
// daemons do in one sync.
func exchangeDigests(a, b *Table, now time.Time) {
	digest := a.Digest(now)
	b.MergeDigest(digest, now)
	a.MergeDigest(b.HeartbeatsNewerThan(digest, now), now)
	a.MergeEntries(b.EntriesByID(a.TakeMissingEntryIDs()), now)
	b.MergeEntries(a.EntriesByID(b.TakeMissingEntryIDs()), now)
}

// runGossip simulates rounds in which each table exchanges digests with a random
// other one. It returns the time after the last round.
func runGossip(tables []*Table, random *rand.Rand, now time.Time, rounds int) time.Time {
	for range rounds {
		now = now.Add(gossipInterval)
		for i, table := range tables {
			table.AdvanceHeartbeat(now)
			exchangeDigests(table, tables[(i+1+random.IntN(len(tables)-1))%len(tables)], now)
		}
	}
	return now
}

// A digest or an entry of a dead member that is delivered late must not bring the
// member back on any daemon. Its next incarnation must.
func TestDeadMembersStayDead(t *testing.T) {
	for _, size := range []int{2, 8, 43} {
		random := rand.New(rand.NewPCG(7, uint64(size)))
		var tables []*Table
		for n := range size + 1 {
			tables = append(tables, newTable(n, 1))
		}
		now := runGossip(tables, random, startTime, 20)
		running, stopped := tables[:size], tables[size]
		for _, table := range tables {
			must.Len(t, size+1, table.Live(now))
		}
		delayedDigest := stopped.Digest(now) // delivered after the member is dead
		delayedEntry := []*peerpb.Member{stopped.Self()}
		stoppedAt := now
		for now.Sub(stoppedAt) <= 2*HeartbeatTimeout {
			now = runGossip(running, random, now, 1)
		}
		for range 40 {
			running[0].MergeDigest(delayedDigest, now)
			running[0].MergeEntries(delayedEntry, now)
			now = runGossip(running, random, now, 1)
			for _, table := range running {
				must.False(t, table.Alive(stopped.Self().GetName(), now))
				must.Len(t, size, table.Live(now))
			}
		}
		restarted := New(&peerpb.Member{Name: stopped.Self().GetName(), FailureDomain: "0", Incarnation: 2})
		now = runGossip(append(running, restarted), random, now, 12)
		must.True(t, running[0].Alive(restarted.Self().GetName(), now))
	}
}

// Digests with successive heartbeats of a dead member may be delayed by the
// network and arrive all at once. They must not mark the member as alive.
func TestDelayedMessagesDoNotReviveDeadMember(t *testing.T) {
	a, b := newTable(0, 1), newTable(1, 1)
	tables := []*Table{a, b}
	now := runGossip(tables, rand.New(rand.NewPCG(7, 7)), startTime, 4)
	var delayedDigests [][]Heartbeat
	for range 3 {
		now = now.Add(gossipInterval)
		b.AdvanceHeartbeat(now)
		delayedDigests = append(delayedDigests, b.Digest(now))
	}
	now = now.Add(time.Minute)
	a.AdvanceHeartbeat(now)
	for range 2 * HeartbeatTimeout / gossipInterval {
		now = now.Add(gossipInterval)
		a.AdvanceHeartbeat(now)
	}
	for _, digest := range delayedDigests {
		a.MergeDigest(digest, now)
	}
	must.False(t, a.Alive("d1", now))
	must.Len(t, 1, a.Digest(now))
	for range 2 { // the member does run: it sends heartbeats at intervals
		now = now.Add(gossipInterval)
		b.AdvanceHeartbeat(now)
		a.MergeDigest(b.Digest(now), now)
	}
	must.True(t, a.Alive("d1", now))
}

// A daemon that has been paused has received no heartbeats meanwhile, so it must
// not declare the other members dead before it has waited for new ones.
func TestPausedDaemonKeepsItsView(t *testing.T) {
	a, b, c := newTable(0, 1), newTable(1, 1), newTable(2, 1)
	tables := []*Table{a, b, c}
	now := runGossip(tables, rand.New(rand.NewPCG(7, 7)), startTime, 20)
	now = now.Add(time.Minute) // a is paused, and c stops meanwhile
	a.AdvanceHeartbeat(now)
	must.Len(t, 3, a.Live(now))
	must.Len(t, 1, a.Digest(now), must.Sprint("a daemon that was paused must not forward heartbeats received before the pause"))
	for range 12 {
		now = now.Add(gossipInterval)
		a.AdvanceHeartbeat(now)
		b.AdvanceHeartbeat(now)
		exchangeDigests(a, b, now)
	}
	must.True(t, a.Alive("d1", now))
	must.False(t, a.Alive("d2", now))
	must.False(t, b.Alive("d2", now))
}

// Peers learn that a daemon is leaving and move its engines' homes to the others.
// If all daemons are leaving, a daemon is itself the home of every engine.
func TestLeavingSpreadsAndHomesMove(t *testing.T) {
	a, b := newTable(0, 1), newTable(1, 1)
	exchangeDigests(a, b, startTime)
	exchangeDigests(a, b, startTime)
	must.Len(t, 2, a.Live(startTime))
	b.MarkLeaving()
	exchangeDigests(a, b, startTime)
	exchangeDigests(a, b, startTime)
	must.True(t, a.Member("d1").GetLeaving())
	for n := range 10 {
		must.Eq(t, "d0", a.HomeOf(fmt.Sprint(n), "0", nil, startTime).GetName())
	}
	a.MarkLeaving()
	must.Eq(t, "d0", a.HomeOf("e", "0", nil, startTime).GetName())
	must.Nil(t, a.HomeOf("e", "0", []string{"d0"}, startTime))
}

// At the full fleet size a digest contains all members of the daemon's own failure
// domain, but only some of the others. Successive digests must name all of them.
func TestDigestsStaySmallAtFullSize(t *testing.T) {
	const daemons, domains = 470, 11
	table := newTable(0, domains)
	for n := range daemons {
		table.MergeEntries([]*peerpb.Member{newTable(n, domains).Self()}, startTime)
	}
	digest := table.Digest(startTime)
	must.Len(t, daemons/domains+1+maxOutsideHeartbeats, digest)
	named := make(map[string]bool)
	for range daemons/maxOutsideHeartbeats + 1 {
		for _, heartbeat := range table.Digest(startTime) {
			named[heartbeat.Name] = true
		}
	}
	must.MapLen(t, daemons, named)
}

// preceding returns both results of Preceding.
func preceding(table *Table, now time.Time) [2]int {
	preceding, domainSize := table.Preceding(now)
	return [2]int{preceding, domainSize}
}

// A daemon that is leaving, has been silent for the rank timeout or is in another failure
// domain must not keep a daemon from being among the first of its domain. Gossip
// must reach both the daemon's own failure domain and the others.
func TestOrderInFailureDomainAndGossipPeers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	table := New(&peerpb.Member{Name: "c", FailureDomain: "north"})
	must.Eq(t, [2]int{0, 1}, preceding(table, now))
	table.MergeEntries([]*peerpb.Member{
		{Name: "a", FailureDomain: "north", Heartbeat: 1}, {Name: "b", FailureDomain: "north", Heartbeat: 1, Leaving: true},
		{Name: "z", FailureDomain: "north", Heartbeat: 1}, {Name: "0", FailureDomain: "south", Heartbeat: 1},
	}, now)
	must.Eq(t, [2]int{1, 3}, preceding(table, now))
	must.Eq(t, [2]int{0, 1}, preceding(table, now.Add(minRankTimeout)))
	peers := table.GossipPeers(random, now)
	must.Len(t, 2, peers)
	must.Eq(t, "north", peers[0].GetFailureDomain())
	must.Eq(t, "south", peers[1].GetFailureDomain())
	must.Len(t, 3, table.SampleEntries(random, 3, now))
	table.RecordUnreachable("0", now)
	for range 20 {
		must.Len(t, 1, table.GossipPeers(random, now), must.Sprint("a member that did not answer must not be asked again at once"))
	}
	must.Len(t, 2, table.GossipPeers(random, now.Add(unreachableTime)))
	must.Eq(t, 5, table.Count())
}

// A restarted member's earlier incarnation counts as lost, also after its name is alive again.
func TestLossesAreRemembered(t *testing.T) {
	entry := func(name string, incarnation uint64, leaving bool) []*peerpb.Member {
		return []*peerpb.Member{{Name: name, FailureDomain: "0", Incarnation: incarnation, Heartbeat: 1, Leaving: leaving}}
	}
	table := newTable(0, 1)
	at := func(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }
	table.MergeEntries(entry("d1", 1, false), at(0))
	table.MergeEntries(entry("d2", 1, false), at(10))
	table.MergeEntries(entry("d3", 1, true), at(10))
	table.MergeEntries(entry("d1", 2, false), at(20))

	for _, c := range []struct {
		from, until, silentSince int
		want                     bool
	}{
		{0, 0, 0, true},     // d1's first incarnation
		{1, 9, 30, false},   // none was heard of for the last time then
		{5, 15, 9, true},    // d3 was leaving
		{11, 30, 19, false}, // d1 is alive
		{11, 30, 20, true},  // d1 has been silent since
	} {
		must.Eq(t, c.want, table.MayHaveLost(at(c.from), at(c.until), at(c.silentSince)), must.Sprint(c))
	}
	table.RemoveExpired(at(0).Add(DeadMemberRetention + time.Second))
	must.False(t, table.MayHaveLost(at(0), at(0), at(0)))
}

// Guards against a silent daemon whose streams are taken for those of a version that it need not have
// begun them at: one of an earlier build, or one that started when there were several.
func TestUndeclared(t *testing.T) {
	const build, earlierBuild = true, false
	at := func(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }
	none := func(string) bool { return false }
	all := func(string) bool { return true }
	for _, c := range []struct {
		name     string
		entries  []*peerpb.Member // one after the other, 10 s apart
		excluded func(address string) bool
		want     bool
	}{
		{"it declares versions", []*peerpb.Member{declarer("d1", 1, build)}, none, false},
		{"of an earlier build", []*peerpb.Member{declarer("d1", 1, earlierBuild)}, none, true},
		{"of an earlier build, but answers", []*peerpb.Member{declarer("d1", 1, earlierBuild)}, all, false},
		{"started since", []*peerpb.Member{declarer("d1", 1, build), declarer("d2", 1, build)}, none, true},
		{"started since, but answers", []*peerpb.Member{declarer("d1", 1, build), declarer("d2", 1, build)}, all, false},
		{"an earlier build is replaced", []*peerpb.Member{declarer("d1", 1, earlierBuild), declarer("d1", 2, build)}, all, true},
		{"replaced", []*peerpb.Member{declarer("d1", 1, build), declarer("d1", 2, build)}, all, false},
	} {
		table := newTable(0, 1)
		for i, entry := range c.entries {
			table.MergeEntries([]*peerpb.Member{entry}, at(10*i))
		}
		must.Eq(t, c.want, table.Undeclared(at(0), at(5), c.excluded), must.Sprint(c.name))
		must.False(t, table.Undeclared(at(60), at(60), none), must.Sprint(c.name, ", silent before"))
	}
}

func declarer(name string, incarnation uint64, declares bool) *peerpb.Member {
	return &peerpb.Member{Name: name, Address: name, FailureDomain: "0", Incarnation: incarnation, Heartbeat: 1, DeclaresVersions: declares}
}
