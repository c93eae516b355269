// Package placement chooses the target of a request. It is a state machine
// without I/O or clock.
//
// It answers two load patterns. Returning chats: rendezvous hashing over the
// shared parts of a prompt sends a session to the same engine from every daemon
// without a message, and moves only a new or lost engine's sessions. A hot
// session or an uneven hash: an engine above the load bound passes requests to
// the session's next engine, which fetches the prompt from the one that has it.
package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

// Parameters of the load bound.
const (
	// boundFactor and boundSlack give the load, as a multiple of the service's
	// mean and requests beside, above which an engine is passed over. The users'
	// bound is 2 x the mean + 3; reports are late, so some headroom is left.
	boundFactor = 1.7
	boundSlack  = 3.0
	// localSlack is how many more requests than the least loaded target one of
	// the own failure domain may hold and still be taken.
	localSlack = 2.0
	// settledAfter is how long an engine must be known until its sessions are
	// taken to be warm there.
	settledAfter = time.Minute
	// startSpread is within what time engines come that start together.
	startSpread = 2 * time.Second
	// preferred is how many of a session's engines are considered in its order.
	preferred = 4
	// memoryLimit bounds the remembered dispatches. Forgetting them costs fetches
	// of what an engine has already.
	memoryLimit = 50_000
)

// Table holds the candidates of all services and their load. It is not safe for
// concurrent use.
type Table struct {
	domain   string // this daemon's failure domain
	services map[string][]*candidate
	byID     map[string]*candidate
	byHash   map[uint32]*candidate   // by the short name of Heard
	warm     map[dispatched]struct{} // sessions sent to engines by this daemon
	last     map[string]*candidate   // engine that this daemon last sent each part to
	started  time.Time
}

type candidate struct {
	target *fleet.Target
	seed   uint64
	seen   time.Time
	load   load
}

type dispatched struct {
	session uint64
	target  *candidate
}

// Choice is where a request goes.
type Choice struct {
	Target *fleet.Target
	// FetchFrom is the engine that is believed to hold more of the prompt; nil if
	// there is none.
	FetchFrom *fleet.Target
	Home      *fleet.Target // the session's first engine; nil without a session
	HomeLoad  float64
	Load      float64 // estimated requests at the target
	Mean      float64 // estimated mean of the service
}

// Query says what is to be placed.
type Query struct {
	Service string
	Session uint64 // 0: the request has no session
	Parts   []relay.Part
	// Excluded reports targets that are not to be chosen.
	Excluded func(id string) bool
	// Reachable reports targets from which an engine may fetch a prompt.
	Reachable func(id string) bool
}

// NewTable returns a table without candidates.
func NewTable(domain string, now time.Time) *Table {
	return &Table{
		domain:   domain,
		services: make(map[string][]*candidate),
		byID:     make(map[string]*candidate),
		warm:     make(map[dispatched]struct{}),
		last:     make(map[string]*candidate),
		started:  now,
	}
}

// Session returns the key of the shared parts of a prompt: all but the last. A
// prompt without shared parts has none.
func Session(parts []relay.Part) uint64 {
	if len(parts) < 2 {
		return 0
	}
	return xxhash.Sum64String(parts[len(parts)-2].ID) | 1
}

// SetMembers replaces the candidates. What is known of those that stay is kept.
func (t *Table) SetMembers(members []roster.Member) {
	services := make(map[string][]*candidate)
	byID := make(map[string]*candidate, len(members))
	byHash := make(map[uint32]*candidate, len(members))
	for _, member := range members {
		known := t.byID[member.Target.ID]
		if known == nil || !known.target.Same(member.Target) {
			known = &candidate{seed: xxhash.Sum64String(member.Target.ID), seen: member.Seen}
		}
		known.target = member.Target
		byID[member.Target.ID] = known
		byHash[uint32(known.seed)] = known
		services[member.Target.Service] = append(services[member.Target.Service], known)
	}
	t.services = services
	t.byID = byID
	t.byHash = byHash
}

// Start notes that a request goes to a target.
func (t *Table) Start(id string, query Query) {
	known := t.byID[id]
	if known == nil {
		return
	}
	known.load.own++
	if query.Session == 0 {
		return
	}
	t.remember(dispatched{query.Session, known})
	for _, part := range query.Parts[:len(query.Parts)-1] {
		t.last[part.ID] = known
	}
}

// End notes that a request has left a target.
func (t *Table) End(id string) {
	if known := t.byID[id]; known != nil && known.load.own > 0 {
		known.load.own--
	}
}

// Report takes in a target's own report. The daemon's own request, for which it
// came, is among those that the target counts.
func (t *Table) Report(id string, report relay.Load, now time.Time) {
	known := t.byID[id]
	if known == nil {
		return
	}
	known.load.learn(report.Running+report.Waiting, now.Sub(t.started))
}

// Choose returns where a request goes; its target is nil if there is none.
func (t *Table) Choose(query Query, now time.Time) Choice {
	candidates := t.services[query.Service]
	if query.Session == 0 {
		return t.leastLoaded(candidates, query, now)
	}
	return t.bySession(candidates, query, now)
}

// leastLoaded prefers the own failure domain among targets of similar load.
func (t *Table) leastLoaded(candidates []*candidate, query Query, now time.Time) Choice {
	at := now.Sub(t.started)
	var best *candidate
	bestCost, sum, count := 0.0, 0.0, 0
	for _, known := range candidates {
		if known.target.Draining {
			continue
		}
		estimate := known.load.estimate(at)
		sum += estimate
		count++
		if query.Excluded(known.target.ID) {
			continue
		}
		cost := estimate
		if known.target.FailureDomain != t.domain {
			cost += localSlack
		}
		if best == nil || cost < bestCost {
			best, bestCost = known, cost
		}
	}
	return choice(best, nil, sum, count, at)
}

// ranked is a candidate and its rank for a session.
type ranked struct {
	candidate *candidate
	score     uint64
}

// bySession walks a session's engines in the order of their rank and takes the
// first below the load bound; above it on all, the least loaded engine.
func (t *Table) bySession(candidates []*candidate, query Query, now time.Time) Choice {
	var order [preferred]ranked // of those that may be chosen
	var home ranked             // first of all that hold prompts
	var idlest *candidate
	idlestLoad, sum, count := 0.0, 0.0, 0
	at := now.Sub(t.started)
	for _, known := range candidates {
		next := ranked{known, ranking.Mix(query.Session ^ known.seed)}
		if next.ahead(home) && query.Reachable(known.target.ID) {
			home = next
		}
		if known.target.Draining {
			continue
		}
		estimate := known.load.estimate(at)
		sum += estimate
		count++
		idler := idlest == nil || estimate < idlestLoad
		if !idler && !next.ahead(order[preferred-1]) || query.Excluded(known.target.ID) {
			continue
		}
		insert(&order, next)
		if idler {
			idlest, idlestLoad = known, estimate
		}
	}
	if idlest == nil {
		return Choice{}
	}
	chosen := idlest
	limit := boundFactor*sum/float64(count) + boundSlack
	for _, next := range order {
		if next.candidate != nil && next.candidate.load.estimate(at) < limit {
			chosen = next.candidate
			break
		}
	}
	made := choice(chosen, t.source(chosen, home.candidate, query, now), sum, count, at)
	if first := home.candidate; first != nil {
		made.Home, made.HomeLoad = first.target, first.load.estimate(at)
	}
	return made
}

// source returns the engine from which the chosen one should fetch what it lacks
// of the prompt: the engine to which this daemon last sent the session, else the
// session's own engine, else the one that was so before a new one came, else one
// that has the beginning of the prompt.
func (t *Table) source(chosen, home *candidate, query Query, now time.Time) *candidate {
	if _, sent := t.warm[dispatched{query.Session, chosen}]; sent {
		return nil
	}
	shared := query.Parts[:len(query.Parts)-1]
	if last := t.lastWith(shared[len(shared)-1], query); last != nil && last != chosen {
		return last
	}
	if home != nil && home != chosen {
		return home
	}
	if t.young(chosen, now) {
		if before := t.predecessor(chosen, query); before != nil {
			return before
		}
	}
	for i := len(shared) - 2; i >= 0; i-- {
		if last := t.lastWith(shared[i], query); last != nil && last != chosen {
			return last
		}
	}
	return nil
}

// young reports whether an engine's sessions may still lie where they were before
// it came. The time of day may be wrong by seconds; that costs a fetch or a
// reading.
func (t *Table) young(known *candidate, now time.Time) bool {
	if known.target.Born > 0 {
		return now.Sub(time.UnixMilli(known.target.Born)) < settledAfter
	}
	return now.Sub(known.seen) < settledAfter && known.seen.Sub(t.started) > startSpread
}

// predecessor returns the session's first engine of those that were there before
// a new one.
func (t *Table) predecessor(newer *candidate, query Query) *candidate {
	var best ranked
	for _, known := range t.services[query.Service] {
		next := ranked{known, ranking.Mix(query.Session ^ known.seed)}
		if next.ahead(best) && known.before(newer) && query.Reachable(known.target.ID) {
			best = next
		}
	}
	return best.candidate
}

// before reports whether an engine was there before another: engines that start
// together come within startSpread.
func (c *candidate) before(other *candidate) bool {
	if c.target.Born > 0 && other.target.Born > 0 {
		return other.target.Born-c.target.Born > startSpread.Milliseconds()
	}
	return other.seen.Sub(c.seen) > startSpread
}

// lastWith returns the engine that this daemon last sent a part to, if it is
// still there.
func (t *Table) lastWith(part relay.Part, query Query) *candidate {
	last := t.last[part.ID]
	if last == nil || t.byID[last.target.ID] != last || !query.Reachable(last.target.ID) {
		return nil
	}
	return last
}

func choice(chosen, source *candidate, sum float64, count int, at time.Duration) Choice {
	if chosen == nil {
		return Choice{}
	}
	made := Choice{Target: chosen.target, Load: chosen.load.estimate(at), Mean: sum / float64(count)}
	if source != nil {
		made.FetchFrom = source.target
	}
	return made
}

// ahead reports whether a candidate ranks higher than another, which may be none.
func (r ranked) ahead(other ranked) bool {
	return other.candidate == nil || r.score > other.score
}

// insert keeps the highest scores in falling order.
func insert(order *[preferred]ranked, next ranked) {
	for i := range order {
		if order[i].candidate == nil {
			order[i] = next
			return
		}
		if next.score > order[i].score {
			order[i], next = next, order[i]
		}
	}
}

// Unread notes that a target has not read the prompt that was sent to it last.
func (t *Table) Unread(id string, session uint64) {
	if known := t.byID[id]; known != nil {
		delete(t.warm, dispatched{session, known})
	}
}

func (t *Table) remember(key dispatched) {
	if len(t.warm) >= memoryLimit {
		clear(t.warm)
		clear(t.last)
	}
	t.warm[key] = struct{}{}
}
