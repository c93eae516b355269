package control

import (
	"cmp"
	"slices"
	"time"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// leastLoadedChoices is the number of a chat's highest ranked engines among which
// the least loaded is tried first. It applies to engines that are not expected to
// hold the chat's context.
const leastLoadedChoices = 3

// A plan contains only the plannedEngines highest ranked engines, so that the cost of
// looking up their loads does not grow with the service. If fewer than minAvailable of
// them are available, the plan contains all available engines.
const (
	plannedEngines = 12
	minAvailable   = 6
)

// Plan is the order in which the entry daemon tries engines for a request.
type Plan struct {
	// FirstEngine is the chat's first engine: its home daemon knows which engine holds
	// the chat's context. It is empty for a call that belongs to no chat.
	FirstEngine string
	// Engines are the candidate engines, best first.
	Engines []string
}

// Plan orders the engines of a service for a chat. The chat's first engine is the
// one that ranks highest by the document alone, so that it does not change when
// engines become available or unavailable. It leads the plan even while it is
// unavailable, as its home daemon knows which engine holds the chat's context. All
// other candidates are available. The opening request of a chat has no context yet,
// so its plan begins with the least loaded of the highest ranked engines instead. So
// does the plan for a plain service, which has no first engine.
func (s *State) Plan(serviceName string, chat uint64, opening bool) Plan {
	service := s.Snapshot.Document.Service(serviceName)
	ranked := s.topRanked(serviceName, chat, plannedEngines)
	if s.countAvailable(ranked) < minAvailable {
		ranked = s.topRanked(serviceName, chat, len(s.Snapshot.Document.EnginesOf(serviceName)))
	}
	if service == nil || len(ranked) == 0 {
		return Plan{}
	}
	available := slices.DeleteFunc(slices.Clone(ranked), func(engine string) bool { return !s.isAvailable(engine) })
	if service.Kind == environment.KindPlain {
		return Plan{Engines: s.leastLoadedFirst(available)}
	}
	plan := Plan{FirstEngine: ranked[0]}
	if opening {
		plan.Engines = s.leastLoadedFirst(available)
		return plan
	}
	others := slices.DeleteFunc(available, func(engine string) bool { return engine == plan.FirstEngine })
	plan.Engines = append([]string{plan.FirstEngine}, s.leastLoadedFirst(others)...)
	return plan
}

// topRanked returns at most count engines of a service, in the order of their rank
// for a chat.
func (s *State) topRanked(service string, chat uint64, count int) []string {
	return ranking.Top(chat, s.rankingCandidates(service), count)
}

// candidateCache holds the ranking candidates of a document's services.
type candidateCache struct {
	document  *environment.Document
	byService map[string][]ranking.Candidate
}

// rankingCandidates returns a service's engines as ranking candidates. It computes
// them once for each document.
func (s *State) rankingCandidates(service string) []ranking.Candidate {
	if s.candidateCache.document != s.Snapshot.Document {
		s.candidateCache = candidateCache{s.Snapshot.Document, make(map[string][]ranking.Candidate)}
	}
	candidates, cached := s.candidateCache.byService[service]
	if !cached {
		for _, engine := range s.Snapshot.Document.EnginesOf(service) {
			candidates = append(candidates, ranking.Candidate{Name: engine.Name, Weight: float64(engine.Capacity)})
		}
		s.candidateCache.byService[service] = candidates
	}
	return candidates
}

// countAvailable counts the engines that accept new requests.
func (s *State) countAvailable(engines []string) int {
	count := 0
	for _, engine := range engines {
		if s.isAvailable(engine) {
			count++
		}
	}
	return count
}

// leastLoadedFirst moves the least loaded of the first leastLoadedChoices engines to
// the front and sorts the others by load, so that further attempts go to the engines
// that are most likely to accept them. It reuses the slice.
func (s *State) leastLoadedFirst(engines []string) []string {
	if len(engines) == 0 {
		return engines
	}
	loads := make(map[string]float64, len(engines))
	for _, engine := range engines {
		loads[engine] = s.relativeLoad(engine)
	}
	byLoad := func(a, b string) int { return cmp.Compare(loads[a], loads[b]) }
	best := slices.Index(engines, slices.MinFunc(engines[:min(leastLoadedChoices, len(engines))], byLoad))
	leastLoaded := engines[best]
	others := slices.Delete(engines, best, best+1)
	slices.SortStableFunc(others, byLoad)
	return slices.Insert(others, 0, leastLoaded)
}

// relativeLoad returns an engine's in-flight count divided by its capacity.
func (s *State) relativeLoad(engineName string) float64 {
	engine := s.Snapshot.Document.Engine(engineName)
	return float64(s.Admission.InFlight(engineName)) / float64(engine.Capacity)
}

// HomeOf returns the home daemon of an engine, skipping the excluded daemons. It
// returns nil if the engine is unknown or no daemon remains.
func (s *State) HomeOf(engineName string, excluded []string, now time.Time) *peerpb.Member {
	engine := s.Snapshot.Document.Engine(engineName)
	if engine == nil {
		return nil
	}
	return s.HomeOfFormer(engineName, s.Snapshot.Document.FailureDomainOf(engine), excluded, now)
}

// HomeOfFormer is HomeOf for an engine of a failure domain that the document in force may no longer
// have.
func (s *State) HomeOfFormer(engineName, domain string, excluded []string, now time.Time) *peerpb.Member {
	return s.Members.HomeOf(engineName, domain, excluded, now)
}
