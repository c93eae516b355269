package control

import (
	"cmp"
	"slices"
	"time"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// choices is how many of a chat's first ranked engines compete for a request
// that finds no context: the least loaded of them takes it.
const choices = 3

// A plan is made of the first ranked engines, so that its cost does not grow
// with their load reports. Where too few of these are in use, all are ranked.
const (
	planned  = 12
	minInUse = 6
)

// Plan is where the entry daemon tries a request.
type Plan struct {
	// First is the chat's first engine, whose home daemon knows where the chat
	// is; empty for a call that belongs to no chat.
	First string
	// Engines are the candidates, best first.
	Engines []string
}

// Plan orders the engines of a service for a chat. The first engine comes first,
// in use or not, as its home knows where the chat's context is. It depends on
// the document alone, so that it stays the same while engines come and go. All
// other candidates are in use. A request that finds no context, such as an
// opening one, goes to the least loaded of the first ranked.
func (s *State) Plan(service string, chat uint64, opening bool) Plan {
	described := s.Snapshot.Document.Service(service)
	order := s.ranked(service, chat, planned)
	if s.inUse(order) < minInUse {
		order = s.ranked(service, chat, len(s.Snapshot.Document.EnginesOf(service)))
	}
	if described == nil || len(order) == 0 {
		return Plan{}
	}
	inUse := slices.DeleteFunc(slices.Clone(order), func(engine string) bool { return !s.Health.Takes(engine) })
	if described.Kind == environment.KindPlain {
		return Plan{Engines: s.leastLoadedFirst(inUse)}
	}
	plan := Plan{First: order[0]}
	if opening {
		plan.Engines = s.leastLoadedFirst(inUse)
		return plan
	}
	others := slices.DeleteFunc(inUse, func(engine string) bool { return engine == plan.First })
	plan.Engines = append([]string{plan.First}, s.leastLoadedFirst(others)...)
	return plan
}

// ranked returns the first engines of a service, count at most, in the order of
// their rank for a chat.
func (s *State) ranked(service string, chat uint64, count int) []string {
	return ranking.Top(chat, s.candidatesOf(service), count)
}

// candidates are the engines of a document's services, prepared for ranking.
type candidates struct {
	document  *environment.Document
	byService map[string][]ranking.Candidate
}

// candidatesOf returns a service's engines for ranking. They are prepared once
// for each document.
func (s *State) candidatesOf(service string) []ranking.Candidate {
	if s.candidates.document != s.Snapshot.Document {
		s.candidates = candidates{s.Snapshot.Document, make(map[string][]ranking.Candidate)}
	}
	prepared, known := s.candidates.byService[service]
	if !known {
		for _, engine := range s.Snapshot.Document.EnginesOf(service) {
			prepared = append(prepared, ranking.Candidate{Name: engine.Name, Weight: float64(engine.Capacity)})
		}
		s.candidates.byService[service] = prepared
	}
	return prepared
}

// inUse counts the engines that take new work.
func (s *State) inUse(engines []string) int {
	count := 0
	for _, engine := range engines {
		if s.Health.Takes(engine) {
			count++
		}
	}
	return count
}

// leastLoadedFirst moves the least loaded of the first choices to the front and
// puts the others in the order of their load, so that a further try goes where
// it is most likely to be taken.
func (s *State) leastLoadedFirst(order []string) []string {
	if len(order) == 0 {
		return order
	}
	loads := make(map[string]float64, len(order))
	for _, engine := range order {
		loads[engine] = s.relativeLoad(engine)
	}
	byLoad := func(a, b string) int { return cmp.Compare(loads[a], loads[b]) }
	best := slices.Index(order, slices.MinFunc(order[:min(choices, len(order))], byLoad))
	engine := order[best]
	others := slices.Delete(order, best, best+1)
	slices.SortStableFunc(others, byLoad)
	return slices.Insert(others, 0, engine)
}

// relativeLoad is what an engine carries by its capacity.
func (s *State) relativeLoad(engineName string) float64 {
	engine := s.Snapshot.Document.Engine(engineName)
	return float64(s.Admission.InFlight(engineName)) / float64(engine.Capacity)
}

// HomeOf returns the home daemon of an engine, passing over excluded daemons.
func (s *State) HomeOf(engineName string, excluded []string, now time.Time) *peerpb.Member {
	engine := s.Snapshot.Document.Engine(engineName)
	if engine == nil {
		return nil
	}
	domain := s.Snapshot.Document.FailureDomainOf(engine)
	return s.Members.HomeOf(engineName, domain, excluded, now)
}
