// Package operator serves the operators' HTTP interface of a daemon: health,
// readiness, metrics and status.
package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/metrics"
)

// Status is the answer to GET /status.
type Status struct {
	Name       string         `json:"name"`
	Ready      bool           `json:"ready"`
	Generation uint64         `json:"generation"`
	Members    []MemberStatus `json:"members"`
	Engines    []EngineStatus `json:"engines"`
	ChatsKnown int            `json:"chats_known"`
}

// MemberStatus is a daemon as this one sees it.
type MemberStatus struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Leaving       bool   `json:"leaving"`
}

// EngineStatus is an engine as this daemon sees it.
type EngineStatus struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Home     string `json:"home"`
	State    uint32 `json:"state"`
	InFlight int    `json:"in_flight"`
	Capacity int    `json:"capacity"`
}

// Handler serves the operators' interface. The function ready reports whether
// the daemon takes new requests.
func Handler(loop *control.Loop, counters *metrics.Metrics, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.Handle("GET /metrics", counters.Handler())
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status(loop, ready()))
	})
	return mux
}

func status(loop *control.Loop, ready bool) Status {
	status := Status{Ready: ready}
	loop.Do(func(state *control.State, now time.Time) {
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
			status.Engines = engineStatus(state, now)
		}
	})
	return status
}

func engineStatus(state *control.State, now time.Time) []EngineStatus {
	var engines []EngineStatus
	for i := range state.Snapshot.Document.Engines {
		engine := &state.Snapshot.Document.Engines[i]
		engines = append(engines, EngineStatus{
			Name:     engine.Name,
			Service:  engine.Service,
			Home:     state.HomeOf(engine.Name, nil, now).GetName(),
			State:    uint32(state.Health.State(engine.Name)),
			InFlight: state.Admission.InFlight(engine.Name),
			Capacity: engine.Capacity,
		})
	}
	return engines
}
