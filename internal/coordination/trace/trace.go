// Package trace remembers what became of recent requests, so that operators can
// ask why a request went where it went. Its memory is bounded.
package trace

import (
	"sync"
	"time"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/refusal"
)

// Sizes of a log. Requests that were refused or needed more than one try are
// kept apart, so that the ordinary ones do not push them out.
const (
	recentEntries  = 2048
	unusualEntries = 2048
)

// Request is what became of one request at its entry daemon.
type Request struct {
	ID         string         `json:"id"`
	At         time.Time      `json:"at"` // when it ended
	Duration   time.Duration  `json:"duration_ns"`
	Workspace  string         `json:"workspace"`
	Class      string         `json:"class,omitempty"`
	Service    string         `json:"service"`
	ChatKey    uint64         `json:"chat_key,string"`
	Generation uint64         `json:"generation"` // of the document that it was routed by
	Tries      []route.Trace  `json:"tries"`
	Reason     refusal.Reason `json:"reason,omitempty"`  // empty: served
	Outcome    string         `json:"outcome,omitempty"` // of a refusal: not_run or unknown
	Detail     string         `json:"detail,omitempty"`
}

func (r *Request) unusual() bool { return r.Reason != "" || len(r.Tries) > 1 }

// Log holds the latest requests. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	recent  ring
	unusual ring
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		recent:  ring{entries: make([]*Request, recentEntries)},
		unusual: ring{entries: make([]*Request, unusualEntries)},
	}
}

// Add remembers a request, which the caller must not change any more.
func (l *Log) Add(request *Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if request.unusual() {
		l.unusual.add(request)
		return
	}
	l.recent.add(request)
}

// Find returns a request by its id, or nil if it is not remembered.
func (l *Log) Find(id string) *Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.unusual.find(id); found != nil {
		return found
	}
	return l.recent.find(id)
}

// ring overwrites its oldest entry when it is full.
type ring struct {
	entries []*Request
	next    int
}

func (r *ring) add(request *Request) {
	r.entries[r.next] = request
	r.next = (r.next + 1) % len(r.entries)
}

func (r *ring) find(id string) *Request {
	for _, request := range r.entries {
		if request != nil && request.ID == id {
			return request
		}
	}
	return nil
}
