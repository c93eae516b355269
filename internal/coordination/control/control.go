// Package control keeps the daemon's control state on one goroutine: membership,
// engine states, admission, the chat directory and the environment document in
// force. Other goroutines read and change the state only through functions that they
// pass to this goroutine.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/coordination/docsync"
	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/directory"
	"hemlockknot/internal/state/environment"
)

// operationQueueLength is the number of operations that can wait for the control
// goroutine before their senders block.
const operationQueueLength = 1024

// Snapshot is the environment document in force, with its version.
type Snapshot struct {
	Generation uint64
	Digest     uint64 // of Text
	Document   *environment.Document
	Text       []byte // YAML, as received
}

// Version returns the version of the document, or the zero version if s is nil.
func (s *Snapshot) Version() docsync.Version {
	if s == nil {
		return docsync.Version{}
	}
	return docsync.Version{Generation: s.Generation, Digest: s.Digest}
}

// State is the daemon's control state. Only functions that run on the control
// goroutine may access it.
type State struct {
	Members   *member.Table
	Health    *health.Table
	Admission *admission.Controller
	Directory *directory.Directory
	Versions  *docsync.Tracker
	Snapshot  *Snapshot // nil until a document is in force

	downWatches       map[string]chan struct{}                       // by member name; closed when the member goes down
	pendingPlacements map[string][]*peerpb.DirectoryEntry            // not yet sent to peers, by address
	candidateCache    candidateCache                                 // of the document in force
	waiters           map[admission.Ticket]chan<- admission.Decision // of the queued requests
}

// Loop runs operations on the control goroutine.
type Loop struct {
	operations chan func()
	stopped    chan struct{}
	state      *State
	snapshot   atomic.Pointer[Snapshot]
}

// New returns the loop of the daemon whose membership entry is self. Run starts the
// loop.
func New(self *peerpb.Member) *Loop {
	state := &State{
		Members:           member.New(self),
		Health:            health.New(),
		Directory:         directory.New(),
		Versions:          new(docsync.Tracker),
		downWatches:       make(map[string]chan struct{}),
		pendingPlacements: make(map[string][]*peerpb.DirectoryEntry),
		waiters:           make(map[admission.Ticket]chan<- admission.Decision),
	}
	state.Admission = admission.New(state.isAvailable)
	return &Loop{
		operations: make(chan func(), operationQueueLength),
		stopped:    make(chan struct{}),
		state:      state,
	}
}

// isAvailable reports whether an engine may get new requests: it accepts them, and the document does
// not evacuate its place.
func (s *State) isAvailable(engine string) bool {
	return s.Health.IsAvailable(engine) && (s.Snapshot == nil || !s.Snapshot.Document.IsEvacuated(engine))
}

// Run executes operations until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	for {
		select {
		case operation := <-l.operations:
			operation()
		case <-ctx.Done():
			return
		}
	}
}

// Do runs a function on the control goroutine and waits for its end. The function
// must not block. Do returns false if the loop has stopped; the function may then
// have run or not.
func (l *Loop) Do(operation func(state *State, now time.Time)) bool {
	done := make(chan struct{})
	wrapped := func() {
		operation(l.state, time.Now())
		close(done)
	}
	select {
	case l.operations <- wrapped:
	case <-l.stopped:
		return false
	}
	select {
	case <-done:
		return true
	case <-l.stopped:
		return false
	}
}

// Snapshot returns the document in force, or nil. Any goroutine may call it.
func (l *Loop) Snapshot() *Snapshot { return l.snapshot.Load() }

// ApplySnapshot puts a document in force if its version is newer than the version in
// force, so that versions never decrease. It reports whether it did so.
func (l *Loop) ApplySnapshot(next *Snapshot) bool {
	var previous *Snapshot
	var edits []*peerpb.DocumentEdit
	if previous = l.Snapshot(); previous != nil {
		edits = docsync.Diff(previous.Text, next.Text)
	}
	applied := false
	l.Do(func(state *State, _ time.Time) {
		if !next.Version().Newer(state.Versions.Active()) {
			return
		}
		state.Versions.SetActive(next.Version(), previous.Version(), edits)
		state.Snapshot = next
		state.Admission.SetDocument(next.Document)
		l.snapshot.Store(next)
		applied = true
	})
	return applied
}

// WatchMemberDown returns a channel that Tick closes when a member has gone down.
func (s *State) WatchMemberDown(member string) <-chan struct{} {
	watch := s.downWatches[member]
	if watch == nil {
		watch = make(chan struct{})
		s.downWatches[member] = watch
	}
	return watch
}

// Tick advances the state to the present time: it advances this daemon's
// heartbeat, detects members that have gone down and decides again on queued
// requests. The daemon's sync loop calls it every admission.TickInterval.
func (s *State) Tick(now time.Time) {
	s.Members.AdvanceHeartbeat(now)
	s.Members.RemoveExpired(now)
	s.Health.Tick(now)
	for name, watch := range s.downWatches {
		if !s.Members.Alive(name, now) {
			close(watch)
			delete(s.downWatches, name)
		}
	}
	for name := range s.Admission.PeerLoads() {
		if !s.Members.Alive(name, now) {
			s.Admission.PeerDown(name, now)
		}
	}
	s.deliverDecisions(s.Admission.Tick(now))
}
