// Package trace keeps the results of recent requests and of their attempts, so that
// operators can find out why a request was sent to an engine or was refused. The
// number of records is bounded.
package trace

import (
	"sync"
	"time"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/refusal"
)

// Numbers of records that a log keeps. Requests that were refused or needed more
// than one attempt are kept apart, so that ordinary requests do not evict them.
const (
	ordinaryRecords         = 2048
	refusedOrRetriedRecords = 2048
)

// Record holds the results of one request and of its attempts at the entry daemon.
type Record struct {
	ID         string                `json:"id"`
	At         time.Time             `json:"at"` // when it ended
	Duration   time.Duration         `json:"duration_ns"`
	Workspace  string                `json:"workspace"`
	Class      string                `json:"class,omitempty"`
	Service    string                `json:"service"`
	ChatKey    uint64                `json:"chat_key,string"`
	Generation uint64                `json:"generation"` // of the environment document in force when the request arrived
	Attempts   []route.AttemptResult `json:"tries"`
	Reason     refusal.Reason        `json:"reason,omitempty"`  // empty if the request was served
	Outcome    string                `json:"outcome,omitempty"` // of a refusal: not_run or unknown; empty if the request was served
	Detail     string                `json:"detail,omitempty"`
}

// refusedOrRetried reports whether the request was refused or needed more than one
// attempt.
func (r *Record) refusedOrRetried() bool { return r.Reason != "" || len(r.Attempts) > 1 }

// Log keeps the records of the latest requests. It is safe for concurrent use.
type Log struct {
	mu               sync.Mutex
	ordinary         ring
	refusedOrRetried ring
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		ordinary:         ring{records: make([]*Record, ordinaryRecords)},
		refusedOrRetried: ring{records: make([]*Record, refusedOrRetriedRecords)},
	}
}

// Add adds the record of a request. The caller must not change it afterwards.
func (l *Log) Add(record *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record.refusedOrRetried() {
		l.refusedOrRetried.add(record)
		return
	}
	l.ordinary.add(record)
}

// Find returns the record of the request with this id, or nil if the log has none.
func (l *Log) Find(id string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.refusedOrRetried.find(id); found != nil {
		return found
	}
	return l.ordinary.find(id)
}

// ring is a ring buffer that overwrites its oldest record when it is full.
type ring struct {
	records   []*Record
	nextIndex int
}

func (r *ring) add(record *Record) {
	r.records[r.nextIndex] = record
	r.nextIndex = (r.nextIndex + 1) % len(r.records)
}

func (r *ring) find(id string) *Record {
	for _, record := range r.records {
		if record != nil && record.ID == id {
			return record
		}
	}
	return nil
}
