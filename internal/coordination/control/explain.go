package control

import (
	"time"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/state/environment"
)

// Candidate is an engine that could serve a chat, as this daemon sees it.
type Candidate struct {
	Engine   string `json:"engine"`
	Place    string `json:"place"`
	Home     string `json:"home"`
	State    string `json:"state"`
	InFlight int    `json:"in_flight"`
	Capacity int    `json:"capacity"`
	Warm     bool   `json:"warm"` // known to hold the chat's context
}

// ChatKey returns the ranking key of a chat from the name that its callers give it.
func ChatKey(workspace, service, chat string) uint64 {
	return ranking.Hash("chat", workspace, service, chat)
}

// Explain returns the engines of a service in the order in which the entry daemon
// would now try them for a chat. The engines that it would not try follow.
func (s *State) Explain(service string, chat uint64, now time.Time) []Candidate {
	candidates := []Candidate{}
	if s.Snapshot == nil {
		return candidates
	}
	warmEngine, _ := s.Directory.Lookup(chat, now)
	listed := make(map[string]bool)
	for _, name := range s.Plan(service, chat, false).Engines {
		candidate := s.candidateFor(s.Snapshot.Document.Engine(name), now)
		candidate.Warm = name == warmEngine
		candidates = append(candidates, candidate)
		listed[name] = true
	}
	for _, engine := range s.Snapshot.Document.EnginesOf(service) {
		if !listed[engine.Name] {
			candidates = append(candidates, s.candidateFor(engine, now))
		}
	}
	return candidates
}

// candidateFor returns what this daemon knows of an engine.
func (s *State) candidateFor(engine *environment.Engine, now time.Time) Candidate {
	return Candidate{
		Engine:   engine.Name,
		Place:    engine.Place,
		Home:     s.HomeOf(engine.Name, nil, now).GetName(),
		State:    s.Health.State(engine.Name).String(),
		InFlight: s.Admission.InFlight(engine.Name),
		Capacity: engine.Capacity,
	}
}
