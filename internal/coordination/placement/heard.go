package placement

import (
	"cmp"
	"slices"
	"time"
)

// Heard is what one target has said of its load, as daemons tell each other. It
// answers a load pattern of large fleets: a session that many daemons send to its
// engine, each of which hears from that engine too seldom to know that it is full.
type Heard struct {
	Target uint32 // short name: a part of the hash of its id
	Load   int    // requests that it held
	Age    time.Duration
}

// Hottest returns the fullest targets that have said so lately, at most count.
func (t *Table) Hottest(count int, now time.Time) []Heard {
	at := now.Sub(t.started)
	var all []Heard
	for hash, known := range t.byHash {
		if known.load.fresh(at) && known.load.others > 0 {
			all = append(all, Heard{Target: hash, Load: known.load.own + known.load.others, Age: at - known.load.reported})
		}
	}
	slices.SortFunc(all, func(a, b Heard) int {
		return cmp.Or(cmp.Compare(b.Load, a.Load), cmp.Compare(a.Target, b.Target))
	})
	return all[:min(count, len(all))]
}

// Hear takes in what another daemon has heard, as far as it is news.
func (t *Table) Hear(heard []Heard, now time.Time) {
	at := now.Sub(t.started)
	for _, each := range heard {
		known := t.byHash[each.Target]
		if known == nil {
			continue
		}
		if said := at - each.Age; !known.load.heard || said > known.load.reported {
			known.load.learn(each.Load, said)
		}
	}
}
