package placement

import (
	"math"
	"time"
)

// Parameters of the choice by expected time.
const (
	// ownWork is added to the requests at a target before they are multiplied by its
	// slowness: the request itself takes the target's time too, also at an idle one.
	ownWork = 1.0
	// knownAge is the age until which a reported load is known, rather than a hint.
	knownAge = 500 * time.Millisecond
	// drawnCount is how many targets are compared if the loads of most are not known.
	drawnCount = 2
	// similarSlowness is the slowness up to which targets are drawn in proportion to their speed.
	similarSlowness = 1.75
	// A session's preferred engine is passed over for another one if the first event is expected
	// there in less than soonerFactor of the time, and by minGain sooner: each move has a prompt
	// read or fetched once more.
	soonerFactor = 0.6
	minGain      = 50 * time.Millisecond
	// fetchShare is the time that fetching a token from another engine takes, as a part of
	// reading it.
	fetchShare = 0.5
)

// learnSpeeds begins to estimate the speeds of a service's targets, unless it has begun.
func (t *Table) learnSpeeds(service string) {
	if t.speeds.Active(service) {
		return
	}
	for _, c := range t.services[service] {
		c.speed = t.speeds.Add(c.target.ID, service, c.target.Slots)
	}
}

// chooseSoonest chooses the target at which a request without a session is expected to be served
// soonest: the one with the lowest product of requests ahead and slowness. It compares all targets only
// if it knows the loads of most; else it compares a few that are drawn by their speed. All daemons
// would otherwise send their requests to the few targets that seem best to all of them. It chooses a
// target above the load bound only if chooseLeastLoaded would.
func (t *Table) chooseSoonest(candidates []*candidate, query Query, now time.Time) Choice {
	s := soonest{table: t, query: query, elapsed: now.Sub(t.createdAt), at: t.speeds.Elapsed(now)}
	service := t.serviceLoad(query.Service, s.elapsed)
	t.estimates = t.estimates[:0]
	totalLoad, count, known := 0.0, 0, 0
	for _, c := range candidates {
		estimate := c.load.estimate(s.elapsed, service)
		t.estimates = append(t.estimates, estimate)
		if c.target.Draining {
			continue
		}
		totalLoad += estimate
		count++
		if c.loadKnown(s.elapsed) {
			known++
		}
	}
	s.limit = service.boundFactor()*totalLoad/float64(max(1, count)) + loadBoundSlack
	if 2*known >= count || query.Draw == 0 {
		for i, c := range candidates {
			s.consider(c, t.estimates[i])
		}
	} else {
		s.considerDrawn(candidates)
	}
	if s.best == nil {
		return t.chooseLeastLoaded(candidates, query, now)
	}
	return newChoice(s.best, nil, totalLoad, count, s.elapsed, service)
}

// loadKnown reports whether the target's last report is recent enough for its load to be known.
func (c *candidate) loadKnown(elapsed time.Duration) bool {
	return c.load.reported && elapsed-c.load.reportedAt < knownAge
}

// soonest is a choice of chooseSoonest.
type soonest struct {
	table       *Table
	query       Query
	elapsed, at time.Duration // since the creation of the table and of the tracker
	limit       float64
	best        *candidate
	bestCost    float64
}

// mayChoose reports whether a target may be chosen.
func (s *soonest) mayChoose(c *candidate, estimate float64) bool {
	return !c.target.Draining && estimate < s.limit && !s.query.Excluded(c.target.ID) && (s.query.Limited == nil || !c.full(estimate))
}

// consider takes a target that may be chosen if it is better than the best one.
func (s *soonest) consider(c *candidate, estimate float64) {
	cost := estimate + ownWork + tieSpread*drawFor(s.query.Draw, c)
	if c.target.FailureDomain != s.table.localDomain {
		cost += remoteDomainPenalty
	}
	cost *= c.speed.Slowness(estimate, s.at)
	if (s.best == nil || cost < s.bestCost) && s.mayChoose(c, estimate) {
		s.best, s.bestCost = c, cost
	}
}

// considerDrawn considers drawnCount targets of this daemon's failure domain and as many of the others.
func (s *soonest) considerDrawn(candidates []*candidate) {
	var local, remote draw
	for i, c := range candidates {
		estimate := s.table.estimates[i]
		drawn := &local
		if c.target.FailureDomain != s.table.localDomain {
			drawn = &remote
		}
		key := drawFactor(c.speed.Slowness(estimate, s.at)) * exponential(drawFor(s.query.Draw, c))
		if drawn.takes(key) && s.mayChoose(c, estimate) {
			drawn.insert(i, key)
		}
	}
	for _, drawn := range []*draw{&local, &remote} {
		for _, i := range drawn.indexes[:drawn.count] {
			s.consider(candidates[i], s.table.estimates[i])
		}
	}
}

// draw holds the candidates with the lowest keys.
type draw struct {
	indexes [drawnCount]int
	keys    [drawnCount]float64
	count   int
}

// takes reports whether a key is among the lowest ones.
func (d *draw) takes(key float64) bool { return d.count < drawnCount || key < d.keys[drawnCount-1] }

// insert adds a candidate, in place of that with the highest key if there are too many.
func (d *draw) insert(index int, key float64) {
	d.count = min(d.count+1, drawnCount)
	position := d.count - 1
	for ; position > 0 && key < d.keys[position-1]; position-- {
		d.keys[position], d.indexes[position] = d.keys[position-1], d.indexes[position-1]
	}
	d.keys[position], d.indexes[position] = key, index
}

// drawFactor returns the number by which a target's random number is multiplied. Up to similarSlowness,
// targets are drawn in proportion to their speed, which spreads requests evenly where no load is
// known. Slower ones are drawn hardly ever: their answers would be late.
func drawFactor(slowness float64) float64 {
	if slowness <= similarSlowness {
		return slowness
	}
	excess := slowness / similarSlowness
	return slowness * excess * excess * excess * excess
}

// exponential returns the exponentially distributed number that belongs to a number in [0, 1). The
// target with the lowest product of its slowness and its number is chosen with a probability in
// proportion to its speed.
func exponential(uniform float64) float64 { return -math.Log(1 - uniform) }

// soonestPreferred returns the first of a session's preferred engines, or the one of the others below
// the load bound that is expected to bring the first event soonest, if that is clearly sooner.
func (t *Table) soonestPreferred(preferred []ranked, limit float64, query Query, now time.Time, service serviceLoad) *candidate {
	first := preferred[0].candidate
	if !t.speeds.Active(query.Service) {
		return first
	}
	atFirst := t.firstEventTime(first, query, now, service)
	best, shortest := first, min(time.Duration(soonerFactor*float64(atFirst)), atFirst-minGain)
	for _, entry := range preferred[1:] {
		c := entry.candidate
		// An engine of unknown load would seem idle, to all daemons at once.
		if c == nil || !c.loadKnown(now.Sub(t.createdAt)) || c.load.estimate(now.Sub(t.createdAt), service) >= limit {
			continue
		}
		if expected := t.firstEventTime(c, query, now, service); expected < shortest {
			best, shortest = c, expected
		}
	}
	return best
}

// firstEventTime returns how long an engine is expected to take until the first event of a session's
// request.
func (t *Table) firstEventTime(c *candidate, query Query, now time.Time, service serviceLoad) time.Duration {
	shared := float64(sharedTokens(query.Parts))
	held, elsewhere := t.holdsPrompt(c, query)
	switch {
	case held:
		shared = 0
	case elsewhere:
		shared *= fetchShare
	}
	tokens := query.Parts[len(query.Parts)-1].Tokens + int(shared)
	return c.speed.FirstEventTime(query.Route, tokens, c.load.estimate(now.Sub(t.createdAt), service)+1, t.speeds.Elapsed(now))
}

// holdsPrompt reports whether an engine is known to hold a session's prompt, and whether another one is.
func (t *Table) holdsPrompt(c *candidate, query Query) (held, elsewhere bool) {
	for _, known := range t.holders.bySession[uint32(query.Session)] {
		held = held || known.candidate == c
		elsewhere = elsewhere || known.candidate != c && query.Reachable(known.candidate.target.ID)
	}
	return held, elsewhere
}
