package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tellLifetime is how long daemons tell each other of a crash after something was
	// learnt of it. Several rounds of exchanges reach all daemons within it.
	tellLifetime = 10 * time.Second
	// tellTimes is how often each daemon tells of a crash after something was learnt of it.
	// Each daemon for which it is news does the same.
	tellTimes = 8
	// maxToldParts is how many accused parts are told of each crash: those with strong
	// accusations, then those cleared, the most specific ones first.
	maxToldParts = 12
	// maxToldRequests is how many accused requests are told of each crash: those that other
	// crashes accuse as well, then the rest in turn.
	maxToldRequests = 8
)

// Report is what one daemon tells another of a crash.
type Report struct {
	Engine  uint32        // hash of the engine's incarnation
	Age     time.Duration // time since the crash
	Accused []Accused
	// Suspicious is set if the crash accuses a part strongly, or a request that another
	// crash accuses as well. It is for the daemon itself and not told.
	Suspicious bool
}

// Accused is a feature that a crash accuses.
type Accused struct {
	Feature uint64 // hash of a part's id, or digest of a whole request
	Depth   uint32 // position in the prompt; after all parts for a whole request
	State   State
}

// Reports returns what to tell another daemon, at most count crashes: those of which
// something was learnt lately, and those that accuse what is held back, in turn. If there are
// both, each kind gets half. Of the first kind, those that share an accused feature with
// others come first, then the least told. Crashes without a strong accusation are not told:
// nearly all of them have other causes than a prompt, and reports take the place of loads.
func (t *Tracker) Reports(count int, now time.Time) []Report {
	var accusing, recent []*crash
	for _, c := range t.crashes {
		switch {
		case now.Sub(c.changedAt) <= tellLifetime && c.told < tellTimes && (c.toldBefore || c.accusesStrongly()):
			recent = append(recent, c)
		case t.accusesHeld(c):
			accusing = append(accusing, c)
		}
	}
	accusers := t.accuserCounts()
	slices.SortFunc(recent, func(a, b *crash) int {
		return cmp.Or(compareBool(b.shares(accusers), a.shares(accusers)), cmp.Compare(a.told, b.told), b.changedAt.Compare(a.changedAt), cmp.Compare(a.engine, b.engine))
	})
	slices.SortFunc(accusing, func(a, b *crash) int { return cmp.Compare(a.engine, b.engine) })
	fromAccusing := min(len(accusing), max(count/2, count-len(recent)))
	told := recent[:min(len(recent), count-fromAccusing)]
	for range fromAccusing {
		t.tellStart = (t.tellStart + 1) % len(accusing)
		told = append(told, accusing[t.tellStart])
	}
	reports := make([]Report, len(told))
	for i, c := range told {
		c.told++
		c.toldBefore = true
		reports[i] = c.report(accusers, now)
	}
	return reports
}

// accusesStrongly reports whether the crash has a strong accusation that is not cleared.
func (c *crash) accusesStrongly() bool {
	for _, accused := range c.accused {
		if accused.state == Strong {
			return true
		}
	}
	return false
}

// accuserCounts returns the number of crashes that accuse each feature.
func (t *Tracker) accuserCounts() map[uint64]int {
	accusers := make(map[uint64]int)
	for _, c := range t.crashes {
		for feature := range c.accused {
			if c.weight(feature) > 0 {
				accusers[feature]++
			}
		}
	}
	return accusers
}

// shares reports whether the crash accuses a feature that others accuse as well.
func (c *crash) shares(accusers map[uint64]int) bool {
	for feature := range c.accused {
		if c.weight(feature) > 0 && accusers[feature] > 1 {
			return true
		}
	}
	return false
}

// report returns what to tell of the crash.
func (c *crash) report(accusers map[uint64]int, now time.Time) Report {
	report := Report{Engine: c.engine, Age: now.Sub(c.at)}
	var parts, shared, requests []Accused
	for feature, accused := range c.accused {
		told := Accused{feature, accused.depth, accused.state}
		isShared := accused.state != Cleared && accusers[feature] > 1
		switch {
		case !accused.isRequest():
			parts = append(parts, told)
			report.Suspicious = report.Suspicious || accused.state == Strong
		case isShared:
			shared = append(shared, told)
			report.Suspicious = true
		default:
			requests = append(requests, told)
		}
	}
	slices.SortFunc(parts, func(a, b Accused) int {
		return cmp.Or(cmp.Compare(tellOrder(a.State), tellOrder(b.State)), cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.Feature, b.Feature))
	})
	slices.SortFunc(shared, func(a, b Accused) int {
		return cmp.Or(cmp.Compare(accusers[b.Feature], accusers[a.Feature]), cmp.Compare(a.Feature, b.Feature))
	})
	slices.SortFunc(requests, func(a, b Accused) int { return cmp.Compare(a.Feature, b.Feature) })
	report.Accused = append(parts[:min(len(parts), maxToldParts)], shared[:min(len(shared), maxToldRequests)]...)
	for range min(len(requests), maxToldRequests-min(len(shared), maxToldRequests)) {
		c.requestsTold = (c.requestsTold + 1) % len(requests)
		report.Accused = append(report.Accused, requests[c.requestsTold])
	}
	return report
}

// tellOrder returns the position of a state among those to be told.
func tellOrder(state State) int { return slices.Index([]State{Strong, Cleared, Weak}, state) }

// Merge records what another daemon has told. It returns what is held back from now on
// and what no longer is, and whether other daemons should hear of it at once.
func (t *Tracker) Merge(reports []Report, now time.Time) (newlyHeld []Hold, released []Hold, urgent bool) {
	changed := false
	for _, report := range reports {
		c := t.crashOf(report.Engine, now.Add(-report.Age), now)
		for _, accused := range report.Accused {
			if c.raise(accused.Feature, accusation{min(accused.Depth, requestDepth), min(accused.State, Cleared)}, now) {
				changed = true
				urgent = urgent || len(t.Accusers(accused.Feature)) > 1
			}
		}
	}
	if !changed {
		return nil, nil, false
	}
	released = t.releasedBy(now, func() { newlyHeld = t.updateHeld(now) })
	return newlyHeld, released, urgent
}
