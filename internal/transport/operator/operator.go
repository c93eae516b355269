// Package operator serves a daemon's HTTP interface for operators: health, readiness,
// metrics, status, and explanations of routing decisions.
package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/trace"
	"hemlockknot/internal/metrics"
)

// Status is the answer to GET /status.
type Status struct {
	Name        string         `json:"name"`
	Environment string         `json:"environment"`
	Ready       bool           `json:"ready"`
	Generation  uint64         `json:"generation"` // of the document in force; 0: none
	Members     []MemberStatus `json:"members"`
	Engines     []EngineStatus `json:"engines"`
	ChatsKnown  int            `json:"chats_known"` // entries in the daemon's chat directory
}

// MemberStatus is what this daemon knows about a live daemon.
type MemberStatus struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// EngineStatus is what this daemon knows about an engine.
type EngineStatus struct {
	Name      string `json:"name"`
	Service   string `json:"service"`
	Home      string `json:"home"`
	State     uint32 `json:"state"`
	StateName string `json:"state_name"`
	InFlight  int    `json:"in_flight"` // requests
	Capacity  int    `json:"capacity"`  // requests
}

// Daemon holds the parts of a daemon that the operators' interface reads.
type Daemon struct {
	Environment string // the name of the daemon's environment
	Loop        *control.Loop
	Metrics     *metrics.Metrics
	Traces      *trace.Log
	Ready       func() bool // whether the daemon accepts new requests
}

// handler serves the paths that need the daemon's state.
type handler struct{ Daemon }

// NewHandler returns the handler of the operators' interface.
func NewHandler(daemon Daemon) http.Handler {
	h := &handler{daemon}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", h.writeReadiness)
	mux.Handle("GET /metrics", h.Metrics.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.collectStatus())
	})
	mux.HandleFunc("GET /explain", h.explainChat)
	mux.HandleFunc("GET /explain/{request}", h.explainRequest)
	return mux
}

func (h *handler) writeReadiness(w http.ResponseWriter, _ *http.Request) {
	if !h.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// collectStatus returns the daemon's present status.
func (h *handler) collectStatus() Status {
	status := Status{Environment: h.Environment, Ready: h.Ready()}
	h.Loop.Do(func(state *control.State, now time.Time) {
		status.Name = state.Members.Self().GetName()
		status.ChatsKnown = state.Directory.Len()
		for _, member := range state.Members.Live(now) {
			status.Members = append(status.Members, MemberStatus{
				Name:          member.GetName(),
				Address:       member.GetAddress(),
				FailureDomain: member.GetFailureDomain(),
				Leaving:       member.GetLeaving(),
			})
		}
		if state.Snapshot != nil {
			status.Generation = state.Snapshot.Generation
			status.Engines = engineStatuses(state, now)
		}
	})
	return status
}

func engineStatuses(state *control.State, now time.Time) []EngineStatus {
	var engines []EngineStatus
	for i := range state.Snapshot.Document.Engines {
		engine := &state.Snapshot.Document.Engines[i]
		engines = append(engines, EngineStatus{
			Name:      engine.Name,
			Service:   engine.Service,
			Home:      state.HomeOf(engine.Name, nil, now).GetName(),
			State:     uint32(state.Health.State(engine.Name)),
			StateName: state.Health.State(engine.Name).String(),
			InFlight:  state.Admission.InFlight(engine.Name),
			Capacity:  engine.Capacity,
		})
	}
	return engines
}
