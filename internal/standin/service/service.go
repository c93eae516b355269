// Package service is a fake of a plain service, for tests and the demo. It records
// every call that it executes and can inject faults.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/standin/control"
)

// Fault holds the faults to inject. The zero value injects none.
type Fault struct {
	// Refuse is the value of targetapi.HeaderRefused with which calls are refused;
	// empty if they are not.
	Refuse string `json:"refuse"`
	// DelayMS delays the response of a call that has been executed.
	DelayMS int `json:"delay_ms"`
	// DropResponses is the number of calls that are executed but whose responses are
	// dropped.
	DropResponses int `json:"lose_answers"`
	// WrongRequestIDs is the number of calls whose responses carry the id of another request.
	WrongRequestIDs int `json:"wrong_ids"`
}

// Record describes one executed call.
type Record struct {
	RequestID  string `json:"request_id"`
	Key        string `json:"key"` // the caller's Idempotency-Key
	Method     string `json:"method"`
	Path       string `json:"path"`
	Body       string `json:"body"`
	Generation string `json:"generation"`
	UnixMS     int64  `json:"unix_ms"`
}

// Response is the response body of an executed call.
type Response struct {
	RunNumber int    `json:"run"` // number of calls executed by this server, including this one
	Echo      string `json:"echo"`
}

// Server is the fake service.
type Server struct {
	mu      sync.Mutex
	records []Record
	fault   Fault
}

// New returns a fake service.
func New() *Server { return &Server{records: []Record{}} }

// Handler serves calls, and the endpoints for tests under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /standin/fault", control.FaultHandler(s.setFault))
	mux.HandleFunc("GET /standin/records", s.getRecords)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

func (s *Server) setFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *Server) getRecords(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.records)
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(targetapi.HeaderRequestID)
	s.mu.Lock()
	fault := s.fault
	if fault.Refuse != "" {
		s.mu.Unlock()
		w.Header().Set(targetapi.HeaderRequestID, id)
		w.Header().Set(targetapi.HeaderRefused, fault.Refuse)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.records = append(s.records, Record{
		RequestID:  id,
		Key:        r.Header.Get("Idempotency-Key"),
		Method:     r.Method,
		Path:       r.URL.Path,
		Body:       string(body),
		Generation: r.Header.Get(targetapi.HeaderGeneration),
		UnixMS:     time.Now().UnixMilli(),
	})
	response := Response{RunNumber: len(s.records), Echo: string(body)}
	s.fault.DropResponses = max(0, s.fault.DropResponses-1)
	s.fault.WrongRequestIDs = max(0, s.fault.WrongRequestIDs-1)
	s.mu.Unlock()
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	if fault.DropResponses > 0 {
		panic(http.ErrAbortHandler)
	}
	if fault.WrongRequestIDs > 0 {
		id = "another-request"
	}
	w.Header().Set(targetapi.HeaderRequestID, id)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}
