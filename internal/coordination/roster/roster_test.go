package roster_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/state/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func target(id string) *fleet.Target {
	return &fleet.Target{ID: id, Service: "s", Address: "10.0.0.1:80", StartedMS: 1}
}

func ids(r *Roster) []string {
	var list []string
	for _, member := range r.Members() {
		list = append(list, member.Target.ID)
	}
	return list
}

func TestReplaceRemovesMissingTargets(t *testing.T) {
	r := New()
	r.Replace([]*fleet.Target{target("a"), target("b")}, start)
	r.Replace([]*fleet.Target{target("b")}, start)
	must.Eq(t, []string{"b"}, ids(r))
}

func TestMissingTargetsAreKeptDuringGraceAfterStoreReturns(t *testing.T) {
	r := New()
	r.Replace([]*fleet.Target{target("a"), target("b"), target("c")}, start)
	r.RecordStoreReturn(start)
	r.Replace([]*fleet.Target{target("a")}, start)
	r.Remove("a", start)
	must.Eq(t, []string{"a", "b", "c"}, ids(r))
	r.Put(target("b"), start.Add(time.Second))
	must.True(t, r.Expire(start.Add(StoreReturnGrace)))
	must.Eq(t, []string{"b"}, ids(r))
	r.Remove("b", start.Add(StoreReturnGrace))
	must.Eq(t, nil, ids(r))
}

func TestDrainingEntryIsGoneAtOnce(t *testing.T) {
	r := New()
	draining := target("a")
	draining.Draining = true
	r.Put(draining, start)
	r.RecordStoreReturn(start)
	r.Remove("a", start)
	must.Eq(t, nil, ids(r))
}

func TestNewIncarnationResetsFirstSeen(t *testing.T) {
	r := New()
	r.Put(target("a"), start)
	later := start.Add(time.Minute)
	r.Put(target("a"), later)
	must.Eq(t, start, r.Members()[0].FirstSeen)
	restarted := target("a")
	restarted.StartedMS = 2
	r.Put(restarted, later)
	must.Eq(t, later, r.Members()[0].FirstSeen)
}
