package control

import (
	"slices"
	"time"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// Candidates returns the engines of a service that take new work, best first
// for a chat. An engine that is known to hold the chat's context comes first.
func (s *State) Candidates(service string, chat uint64, now time.Time) []string {
	var candidates []ranking.Candidate
	for _, engine := range s.Snapshot.Document.EnginesOf(service) {
		if s.Health.Takes(engine.Name) {
			candidates = append(candidates, ranking.Candidate{
				Name:   engine.Name,
				Weight: float64(engine.Capacity),
			})
		}
	}
	order := ranking.Order(chat, candidates)
	warm, known := s.Directory.Lookup(chat, now)
	if position := slices.Index(order, warm); known && position > 0 {
		order = slices.Insert(slices.Delete(order, position, position+1), 0, warm)
	}
	return order
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
