// Package placement chooses the target of a request. It is a state machine
// without I/O or clock.
//
// Requests whose prompts have the same shared parts form a session. By rendezvous
// hashing over these parts, every daemon sends a session to the same engine, where
// its prompt is cached, without exchanging messages, and a new or lost engine moves
// only its own sessions. If a session is hot or the hash spreads sessions unevenly,
// requests skip an engine above the load bound and go to the session's next engine,
// which fetches the cached prompt from the engine that holds it. A request without
// a session goes to the least loaded target.
//
// Where targets report how long work takes, both choices weigh the load of a target by its
// slowness (soonest.go).
package placement

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/coordination/speed"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

// Parameters of the choice.
const (
	// An engine is skipped if its load is not below loadBoundFactor x the service's
	// mean + loadBoundSlack, in requests. The users' bound is 2 x the mean + 3; the
	// headroom is there because load reports arrive late.
	loadBoundFactor = 1.7
	loadBoundSlack  = 3.0
	// uninformedBoundFactor takes the place of loadBoundFactor if the requests of informedLeast of the
	// daemons or fewer are known. Between that and all, the factor rises linearly.
	uninformedBoundFactor = 1.0
	informedLeast         = 0.8
	// remoteDomainPenalty is added to the load of targets in other failure domains,
	// in requests, when a target is chosen for a request without a session.
	remoteDomainPenalty = 2.0
	// tieSpread is the range, in requests, of the random part that is added to the load
	// of a target. It decides only among targets of the same load: those of which
	// nothing is known, as in a large fleet, where each daemon rarely receives the load of a
	// target.
	// Without it all daemons of a failure domain would choose the same one of them.
	tieSpread = 0.01
	// warmUpTime is how long after an engine's start the cached prompts of its
	// sessions may still be at the engines that served these sessions before.
	warmUpTime = time.Minute
	// maxStartSkew is the largest difference of the start times of engines that
	// count as started together.
	maxStartSkew = 2 * time.Second
	// preferredCount is how many of a session's highest-ranked engines are compared
	// with the load bound before the least loaded engine is chosen.
	preferredCount = 4
	// maxDispatches bounds the recorded dispatches. When they are discarded,
	// engines are told to fetch prompts that they already hold.
	maxDispatches = 50_000
	// maxLastTargets bounds the parts of prompts whose last engines are remembered, and
	// maxRememberedParts those of one prompt: the first ones, which other prompts share. When they are
	// discarded, the beginnings of prompts are read again.
	maxLastTargets     = 50_000
	maxRememberedParts = 64
)

// Table holds the candidates of all services and their loads. It is not safe for
// concurrent use.
type Table struct {
	localDomain string                  // this daemon's failure domain
	services    map[string][]*candidate // by name of the service
	byID        map[string]*candidate
	byHash      map[uint32]*candidate // by the low 32 bits of the hash of the id
	dispatches  map[dispatch]struct{} // sessions that this daemon has sent to engines
	lastTarget  map[uint64]*candidate // by hash of the id of a prompt's part: the engine that this daemon last sent it to
	holders     holders
	createdAt   time.Time
	speeds      *speed.Tracker
	fleet       fleetLoad
	estimates   []float64 // loads of the candidates of a choice by speed
}

// candidate is a target that may be chosen.
type candidate struct {
	target    *fleet.Target
	idHash    uint64
	firstSeen time.Time
	load      load
	speed     *speed.Target // nil until a target of the service has reported its work time
}

// dispatch records that a session's prompt was sent to a target.
type dispatch struct {
	session uint64
	target  *candidate
}

// Choice is the target chosen for a request.
type Choice struct {
	Target *fleet.Target
	// FetchFrom is the engine that probably holds more of the cached prompt than
	// Target; nil if there is none.
	FetchFrom *fleet.Target
	// NewSession reports that this daemon has not sent the request's session to Target.
	NewSession bool
	// Home is the session's highest-ranked reachable engine; nil if there is none or
	// if the request has no session.
	Home     *fleet.Target
	HomeLoad float64 // estimated requests at Home
	Load     float64 // estimated requests at Target
	MeanLoad float64 // estimated mean number of requests at the service's targets
	Slowness float64 // of Target, 1: as usual; 0: its service reports no work times
}

// Query describes the request for which a target is chosen.
type Query struct {
	Service string
	Session uint64             // key of the session; 0 if the request has none
	Parts   []relay.PromptPart // of the prompt
	Route   string             // its requests take similar times
	// Draw is a random number of the request, by which daemons with the same knowledge
	// choose differently among targets without a session; 0 disables this.
	Draw uint64
	// Excluded reports whether a target must not be chosen.
	Excluded func(id string) bool
	// Limited reports whether a target takes only a few requests; nil if none of the
	// service does. Such a target has no part in the mean load, since the others must bear
	// its requests. If they cannot, because their slots are taken, none is chosen: waiting
	// there, requests would only be answered after their callers have left.
	Limited func(id string) bool
	// Reachable reports whether other engines may fetch a prompt from a target.
	Reachable func(id string) bool
}

// NewTable returns a table without candidates. Domain is this daemon's failure
// domain.
func NewTable(domain string, now time.Time) *Table {
	return &Table{
		localDomain: domain,
		services:    make(map[string][]*candidate),
		byID:        make(map[string]*candidate),
		dispatches:  make(map[dispatch]struct{}),
		lastTarget:  make(map[uint64]*candidate),
		holders:     holders{bySession: make(map[uint32][]sessionHolder)},
		createdAt:   now,
		speeds:      speed.New(rand.Uint64(), now),
	}
}

// Speeds returns the estimates of the targets' speeds.
func (t *Table) Speeds() *speed.Tracker { return t.speeds }

// SessionKey returns the key of a prompt's session: a hash of the id of the last
// shared part. All parts but the last one count as shared. The key is 0 only if
// the prompt has no shared parts.
func SessionKey(parts []relay.PromptPart) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return xxhash.Sum64String(parts[len(parts)-2].ID) | 1
}

// SetMembers replaces the candidates. Incarnations that remain keep their load. It
// returns the ids that now belong to another incarnation than before.
func (t *Table) SetMembers(members []roster.Member) (restarted []string) {
	services := make(map[string][]*candidate)
	byID := make(map[string]*candidate, len(members))
	byHash := make(map[uint32]*candidate, len(members))
	for _, member := range members {
		c := t.byID[member.Target.ID]
		if c != nil && !c.target.SameIncarnation(member.Target) {
			restarted = append(restarted, member.Target.ID)
			c = nil
		}
		if c == nil {
			c = &candidate{idHash: xxhash.Sum64String(member.Target.ID), firstSeen: member.FirstSeen}
			if t.speeds.Active(member.Target.Service) {
				c.speed = t.speeds.Add(member.Target.ID, member.Target.Service, member.Target.Slots)
			}
		}
		c.target = member.Target
		byID[member.Target.ID] = c
		byHash[uint32(c.idHash)] = c
		services[member.Target.Service] = append(services[member.Target.Service], c)
	}
	t.services = services
	t.byID = byID
	t.byHash = byHash
	t.speeds.Retain(func(id string) bool { return byID[id] != nil })
	return restarted
}

// Candidates returns the targets of a service that take new requests.
func (t *Table) Candidates(service string) []*fleet.Target {
	var targets []*fleet.Target
	for _, c := range t.services[service] {
		if !c.target.Draining {
			targets = append(targets, c.target)
		}
	}
	return targets
}

// full reports whether an estimated number of requests takes all slots of the target.
func (c *candidate) full(estimate float64) bool {
	return c.target.Slots > 0 && estimate >= float64(c.target.Slots)
}

// Load returns the estimated number of requests that a target holds, and its slots, 0 if the
// target is unknown.
func (t *Table) Load(id string, now time.Time) (requests float64, slots int) {
	c := t.byID[id]
	if c == nil {
		return 0, 0
	}
	elapsed := now.Sub(t.createdAt)
	return c.load.estimate(elapsed, t.serviceLoad(c.target.Service, elapsed)), c.target.Slots
}

// RecordStart records that a request is sent to a target.
func (t *Table) RecordStart(id string, query Query, now time.Time) {
	c := t.byID[id]
	if c == nil {
		return
	}
	c.load.ownRequests++
	if query.Session == 0 {
		return
	}
	t.recordDispatch(dispatch{query.Session, c})
	t.holders.record(uint32(query.Session), c, now.Sub(t.createdAt), sharedTokens(query.Parts))
	for _, part := range query.Parts[:min(len(query.Parts)-1, maxRememberedParts)] {
		if len(t.lastTarget) >= maxLastTargets {
			clear(t.lastTarget)
		}
		t.lastTarget[xxhash.Sum64String(part.ID)] = c // not the id, which keeps the request's header in memory
	}
}

// RecordEnd records that a request at a target has ended.
func (t *Table) RecordEnd(id string) {
	if c := t.byID[id]; c != nil && c.load.ownRequests > 0 {
		c.load.ownRequests--
	}
}

// RecordReport records a target's load report. The report comes with the answer to
// one of this daemon's requests, which is still included in the reported count.
func (t *Table) RecordReport(id string, report relay.LoadReport, now time.Time) {
	c := t.byID[id]
	if c == nil {
		return
	}
	c.load.recordReport(report.Running+report.Waiting, now.Sub(t.createdAt))
	if report.WorkTimePercent > 0 {
		t.learnSpeeds(c.target.Service)
		c.speed.RecordWorkTime(report.WorkTimePercent, report.Running, now)
	}
}

// Choose chooses the target of a request. The Target of the result is nil if no
// target can be chosen.
func (t *Table) Choose(query Query, now time.Time) Choice {
	candidates := t.services[query.Service]
	if query.Session == 0 && t.speeds.Active(query.Service) {
		return t.chooseSoonest(candidates, query, now)
	}
	if query.Session == 0 {
		return t.chooseLeastLoaded(candidates, query, now)
	}
	return t.chooseBySession(candidates, query, now)
}

// chooseLeastLoaded chooses the least loaded target, and prefers this daemon's
// failure domain among targets of similar load. It chooses at random among those of the
// same load.
func (t *Table) chooseLeastLoaded(candidates []*candidate, query Query, now time.Time) Choice {
	elapsed := now.Sub(t.createdAt)
	service := t.serviceLoad(query.Service, elapsed)
	var best *candidate
	bestCost, totalLoad, count := 0.0, 0.0, 0
	for _, c := range candidates {
		if c.target.Draining {
			continue
		}
		estimate := c.load.estimate(elapsed, service)
		totalLoad += estimate
		count++
		if query.Excluded(c.target.ID) || query.Limited != nil && c.full(estimate) {
			continue
		}
		cost := estimate + tieSpread*drawFor(query.Draw, c)
		if c.target.FailureDomain != t.localDomain {
			cost += remoteDomainPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return newChoice(best, nil, totalLoad, count, elapsed, service)
}

// drawFor returns the part of a request's draw that belongs to a candidate: a number in
// [0, 1), the same for each choice of the request.
func drawFor(draw uint64, c *candidate) float64 {
	if draw == 0 {
		return 0
	}
	return float64(ranking.Mix(draw^c.idHash)>>11) / (1 << 53)
}

// ranked is a candidate with its rendezvous score for a session.
type ranked struct {
	candidate *candidate
	score     uint64
}

// chooseBySession chooses the highest-ranked of the session's preferred engines
// that is below the load bound, or the least loaded engine if none is.
func (t *Table) chooseBySession(candidates []*candidate, query Query, now time.Time) Choice {
	var preferred [preferredCount]ranked // highest-ranked eligible candidates
	var home ranked                      // highest-ranked reachable candidate, eligible or not
	var leastLoaded *candidate
	lowestLoad, totalLoad, count := 0.0, 0.0, 0
	elapsed := now.Sub(t.createdAt)
	service := t.serviceLoad(query.Service, elapsed)
	for _, c := range candidates {
		entry := ranked{c, ranking.Mix(query.Session ^ c.idHash)}
		if entry.ranksAbove(home) && query.Reachable(c.target.ID) {
			home = entry
		}
		if c.target.Draining {
			continue
		}
		estimate := c.load.estimate(elapsed, service)
		if query.Limited == nil || !query.Limited(c.target.ID) {
			totalLoad += estimate
			count++
		}
		if query.Limited != nil && c.full(estimate) {
			continue
		}
		lessLoaded := leastLoaded == nil || estimate < lowestLoad
		if !lessLoaded && !entry.ranksAbove(preferred[preferredCount-1]) || query.Excluded(c.target.ID) {
			continue
		}
		insertRanked(&preferred, entry)
		if lessLoaded {
			leastLoaded, lowestLoad = c, estimate
		}
	}
	if leastLoaded == nil {
		return Choice{}
	}
	chosen := leastLoaded
	limit := service.boundFactor()*totalLoad/float64(max(1, count)) + loadBoundSlack
	for i, entry := range preferred {
		if entry.candidate != nil && entry.candidate.load.estimate(elapsed, service) < limit {
			chosen = t.soonestPreferred(preferred[i:], limit, query, now, service)
			break
		}
	}
	choice := newChoice(chosen, t.fetchSource(chosen, home.candidate, query, now), totalLoad, count, elapsed, service)
	_, sent := t.dispatches[dispatch{query.Session, chosen}]
	choice.NewSession = !sent
	if homeCandidate := home.candidate; homeCandidate != nil {
		choice.Home, choice.HomeLoad = homeCandidate.target, homeCandidate.load.estimate(elapsed, service)
	}
	return choice
}

// OverBound reports whether the chosen target's load is at or above the load bound.
func (c Choice) OverBound() bool { return c.Load >= loadBoundFactor*c.MeanLoad+loadBoundSlack }

// fetchSource returns the engine from which the chosen one should fetch the part
// of the cached prompt that it lacks: an engine that is known to hold the session's
// prompt, else the session's home, else the home before the chosen engine
// started, else an engine that holds the beginning of the prompt. It returns nil
// if there is none, or if this daemon has sent the session to the chosen engine.
func (t *Table) fetchSource(chosen, home *candidate, query Query, now time.Time) *candidate {
	if _, sent := t.dispatches[dispatch{query.Session, chosen}]; sent {
		return nil
	}
	if holder := t.holderOf(query, chosen, home, now.Sub(t.createdAt)); holder != nil {
		return holder
	}
	shared := query.Parts[:len(query.Parts)-1]
	if home != nil && home != chosen {
		return home
	}
	if t.warmingUp(chosen, now) {
		if previous := t.previousHome(chosen, query); previous != nil {
			return previous
		}
	}
	for i := min(len(shared)-1, maxRememberedParts) - 1; i >= 0; i-- {
		if last := t.lastTargetFor(shared[i], query); last != nil && last != chosen {
			return last
		}
	}
	return nil
}

// warmingUp reports whether the cached prompts of an engine's sessions may still
// be at the engines that served these sessions before it started. Clock skew of
// some seconds costs an unneeded fetch or a repeated prefill.
func (t *Table) warmingUp(c *candidate, now time.Time) bool {
	if c.target.StartedMS > 0 {
		return now.Sub(time.UnixMilli(c.target.StartedMS)) < warmUpTime
	}
	return now.Sub(c.firstSeen) < warmUpTime && c.firstSeen.Sub(t.createdAt) > maxStartSkew
}

// previousHome returns the session's highest-ranked reachable engine of those that
// started before a newer one, or nil if there is none.
func (t *Table) previousHome(newer *candidate, query Query) *candidate {
	var best ranked
	for _, c := range t.services[query.Service] {
		entry := ranked{c, ranking.Mix(query.Session ^ c.idHash)}
		if entry.ranksAbove(best) && c.startedBefore(newer) && query.Reachable(c.target.ID) {
			best = entry
		}
	}
	return best.candidate
}

// startedBefore reports whether an engine started before another one, by more
// than maxStartSkew.
func (c *candidate) startedBefore(other *candidate) bool {
	if c.target.StartedMS > 0 && other.target.StartedMS > 0 {
		return other.target.StartedMS-c.target.StartedMS > maxStartSkew.Milliseconds()
	}
	return other.firstSeen.Sub(c.firstSeen) > maxStartSkew
}

// lastTargetFor returns the engine to which this daemon last sent a part of a
// prompt, or nil if that engine is gone or not reachable.
func (t *Table) lastTargetFor(part relay.PromptPart, query Query) *candidate {
	last := t.lastTarget[xxhash.Sum64String(part.ID)]
	if last == nil || t.byID[last.target.ID] != last || !query.Reachable(last.target.ID) {
		return nil
	}
	return last
}

// newChoice returns the choice of a candidate that may fetch the prompt from source,
// or the zero value if chosen is nil. TotalLoad is the load of count targets.
func newChoice(chosen, source *candidate, totalLoad float64, count int, elapsed time.Duration, service serviceLoad) Choice {
	if chosen == nil {
		return Choice{}
	}
	choice := Choice{Target: chosen.target, Load: chosen.load.estimate(elapsed, service), MeanLoad: totalLoad / float64(max(1, count))}
	if chosen.speed != nil {
		choice.Slowness = chosen.speed.Slowness(choice.Load, elapsed)
	}
	if source != nil {
		choice.FetchFrom = source.target
	}
	return choice
}

// ranksAbove reports whether a candidate ranks above another one. Every candidate
// ranks above the zero value.
func (r ranked) ranksAbove(other ranked) bool {
	return other.candidate == nil || r.score > other.score
}

// insertRanked inserts an entry into entries, which hold the highest scores in
// descending order. If entries is full, the lowest score is dropped.
func insertRanked(entries *[preferredCount]ranked, entry ranked) {
	for i := range entries {
		if entries[i].candidate == nil {
			entries[i] = entry
			return
		}
		if entry.score > entries[i].score {
			entries[i], entry = entry, entries[i]
		}
	}
}

// ForgetDispatch removes the record that a session was sent to a target. It must be
// called if the target may not have processed the prompt.
func (t *Table) ForgetDispatch(id string, session uint64) {
	if c := t.byID[id]; c != nil {
		delete(t.dispatches, dispatch{session, c})
		t.holders.forget(uint32(session), c)
	}
}

// recordDispatch records a dispatch. It discards all records first if there are
// too many.
func (t *Table) recordDispatch(key dispatch) {
	if len(t.dispatches) >= maxDispatches {
		clear(t.dispatches)
		clear(t.lastTarget)
	}
	t.dispatches[key] = struct{}{}
}
