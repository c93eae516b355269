package placement_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/placement"
)

// told returns what a daemon tells of requests at the first engine and at all engines.
func told(atFirst, atAll int) InProgress {
	return InProgress{
		Targets:  []Count{{Hash: uint32(xxhash.Sum64String(members(1)[0].Target.ID)), Requests: atFirst}},
		Services: []Count{{Hash: uint32(xxhash.Sum64String(members(1)[0].Target.Service)), Requests: atAll}},
	}
}

// Guards against an engine that counts as idle as no answer has told its load yet.
func TestRequestsOfOtherDaemonsCountBeforeAnyAnswer(t *testing.T) {
	const engines = 4
	cases := []struct {
		name       string
		daemons    int
		told       map[string]InProgress
		age        time.Duration // of what was told
		least, max float64       // estimate of the first engine's load
	}{
		{"nothing is told", 4, nil, 0, 0, 0},
		{"all have told", 4, map[string]InProgress{"a": told(3, 4), "b": told(2, 4), "c": told(0, 4)}, 0, 5, 5},
		{"some have told", 8, map[string]InProgress{"a": told(3, 4), "b": told(2, 4), "c": told(0, 4)}, 0, 6, 10},
		{"some have told, none of this engine", 8, map[string]InProgress{"a": told(0, 4), "b": told(0, 4), "c": told(0, 4)}, 0, 0.5, 4},
		{"too long ago", 4, map[string]InProgress{"a": told(3, 4)}, 2 * time.Second, 0, 0},
		{"earlier builds tell nothing", 4, map[string]InProgress{"a": {Targets: told(3, 4).Targets}}, 0, 0, 0},
		{"one daemon", 1, nil, 0, 0, 0},
		{"a large fleet", 1000, nil, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable("north", start)
			table.SetMembers(members(engines))
			table.SetDaemons(c.daemons)
			for daemon, inProgress := range c.told {
				table.MergeInProgress(daemon, inProgress, start)
			}
			load, _ := table.Load(members(1)[0].Target.ID, start.Add(c.age))
			must.Between(t, c.least, load, c.max)
		})
	}
}

// What a daemon tells must be short in a large fleet, where the control traffic is bounded.
func TestOwnRequestsAreToldByTheirNumber(t *testing.T) {
	const engines = 60
	for daemons, want := range map[int]int{1: 0, 8: 32, 72: 14, 128: 8, 129: 0, 470: 0} {
		table := NewTable("north", start)
		table.SetMembers(members(engines))
		table.SetDaemons(daemons)
		for i, member := range members(engines) {
			for range 1 + i%7 {
				table.RecordStart(member.Target.ID, Query{}, start)
			}
		}
		own := table.OwnInProgress()
		must.Len(t, want, own.Targets, must.Sprint(daemons, " daemons"))
		if want == 0 {
			must.Len(t, 0, own.Services)
			continue
		}
		must.Eq(t, 7, own.Targets[0].Requests)
		must.Len(t, 1, own.Services)
	}
}
