package keepalive_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/keepalive"
)

const seconds = time.Second

// change is a timeout that comes into force.
type change struct {
	at, timeout time.Duration
}

func TestConnectionIsKeptForTheLongestTimeoutOnWhichItsCallerMayRely(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for name, c := range map[string]struct {
		changes      []change
		answered     time.Duration
		keptAtLeast  time.Duration
		droppedAfter time.Duration // by when an unused connection is given up
	}{
		"unchanged":                                  {nil, 10 * seconds, 8 * seconds, 10 * seconds},
		"shortened while idle":                       {[]change{{11 * seconds, seconds}}, 10 * seconds, 8 * seconds, 10 * seconds},
		"shortened just before the answer":           {[]change{{9 * seconds, seconds}}, 10 * seconds, 8 * seconds, 10 * seconds},
		"shortened long before the answer":           {[]change{{5 * seconds, seconds}}, 10 * seconds, seconds, 3 * seconds},
		"lengthened while idle":                      {[]change{{11 * seconds, 20 * seconds}}, 10 * seconds, 20 * seconds, 22 * seconds},
		"lengthened and shortened again while idle":  {[]change{{5 * seconds, seconds}, {11 * seconds, 20 * seconds}, {12 * seconds, seconds}}, 10 * seconds, 20 * seconds, 22 * seconds},
		"lengthened and shortened before the answer": {[]change{{2 * seconds, 20 * seconds}, {3 * seconds, seconds}}, 10 * seconds, seconds, 3 * seconds},
	} {
		t.Run(name, func(t *testing.T) {
			timeouts := New(8 * seconds)
			for _, change := range c.changes {
				timeouts.Set(change.timeout, start.Add(change.at))
			}
			kept := timeouts.KeepUntil(start.Add(c.answered)).Sub(start.Add(c.answered))
			must.GreaterEq(t, c.keptAtLeast, kept)
			must.LessEq(t, c.droppedAfter, kept)
		})
	}
}

// A caller may rely on any timeout that was in force from 2 s before its answer on. However
// often the timeout changes, few entries are kept.
func TestAnyOrderOfTimeouts(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		timeouts := New(15 * seconds)
		changes := []change{{0, 15 * seconds}}
		at := time.Duration(0)
		for range 200 {
			at += time.Duration(random.Int64N(int64(700 * time.Millisecond)))
			timeout := time.Duration(1+random.IntN(15)) * seconds
			timeouts.Set(timeout, start.Add(at))
			changes = append(changes, change{at, timeout})
			must.Eq(t, timeout, timeouts.Current())
			answered := at - time.Duration(random.Int64N(int64(15*seconds)))
			longest := time.Duration(0)
			for i, change := range changes {
				inForceAfter := i == len(changes)-1 || changes[i+1].at > answered-2*seconds
				if inForceAfter && answered+change.timeout >= at { // else the connection may be gone by now
					longest = max(longest, change.timeout)
				}
			}
			if longest > 0 {
				must.GreaterEq(t, longest, timeouts.KeepUntil(start.Add(answered)).Sub(start.Add(answered)), must.Sprint("seed ", seed))
			}
		}
	}
}
