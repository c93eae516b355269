// Package control runs the daemon's control state on one goroutine: membership,
// engine states, admission, the chat directory and the document in force.
// Traffic goroutines ask it through Do; nothing else touches the state.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/coordination/spread"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/directory"
	"hemlockknot/internal/state/environment"
)

// queueLength is how many operations wait for the control goroutine before
// their senders block.
const queueLength = 1024

// Snapshot is the document in force.
type Snapshot struct {
	Generation uint64
	Digest     uint64 // of the text
	Document   *environment.Document
	Text       []byte
}

// Version returns the version of the document, or the zero version for none.
func (s *Snapshot) Version() spread.Version {
	if s == nil {
		return spread.Version{}
	}
	return spread.Version{Generation: s.Generation, Digest: s.Digest}
}

// State is what the control goroutine owns. Only functions passed to Do may
// touch it.
type State struct {
	Members   *member.Table
	Health    *health.Table
	Admission *admission.Controller
	Directory *directory.Directory
	Versions  *spread.Tracker
	Snapshot  *Snapshot // nil until a document is in force

	watches    map[string]chan struct{}            // by member, closed when it goes down
	placements map[string][]*peerpb.DirectoryEntry // for peers, by address
	candidates candidates                          // of the document in force
	waiters    map[admission.Ticket]chan<- admission.Decision
}

// Loop runs the control goroutine.
type Loop struct {
	operations chan func()
	stopped    chan struct{}
	state      *State
	snapshot   atomic.Pointer[Snapshot]
}

// New returns a loop for the daemon that self describes. Run starts it.
func New(self *peerpb.Member) *Loop {
	engines := health.New()
	return &Loop{
		operations: make(chan func(), queueLength),
		stopped:    make(chan struct{}),
		state: &State{
			Members:    member.New(self),
			Health:     engines,
			Admission:  admission.New(engines.Takes),
			Directory:  directory.New(),
			Versions:   new(spread.Tracker),
			watches:    make(map[string]chan struct{}),
			placements: make(map[string][]*peerpb.DirectoryEntry),
			waiters:    make(map[admission.Ticket]chan<- admission.Decision),
		},
	}
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

// Do runs a function on the control goroutine and waits for it. The function
// must not block. Do reports false, without having run it, if the loop has
// stopped.
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

// Apply puts a document in force if its version is newer than the present one;
// versions never fall. It reports whether it did.
func (l *Loop) Apply(next *Snapshot) bool {
	var before *Snapshot
	var edits []*peerpb.DocumentEdit
	if before = l.Snapshot(); before != nil {
		edits = spread.Diff(before.Text, next.Text)
	}
	applied := false
	l.Do(func(state *State, _ time.Time) {
		if !next.Version().Newer(state.Versions.InForce()) {
			return
		}
		state.Versions.Accept(next.Version(), before.Version(), edits)
		state.Snapshot = next
		state.Admission.SetDocument(next.Document)
		l.snapshot.Store(next)
		applied = true
	})
	return applied
}

// WatchDown returns a channel that is closed when a member goes down.
func (s *State) WatchDown(member string) <-chan struct{} {
	watch := s.watches[member]
	if watch == nil {
		watch = make(chan struct{})
		s.watches[member] = watch
	}
	return watch
}

// Tick notices the members that have gone down and lets queued requests go on.
// The driver calls it every admission.TickInterval.
func (s *State) Tick(now time.Time) {
	s.Members.Beat(now)
	s.Members.Expire(now)
	s.Health.Tick(now)
	for name, watch := range s.watches {
		if !s.Members.Alive(name, now) {
			close(watch)
			delete(s.watches, name)
		}
	}
	for name := range s.Admission.PeerLoads() {
		if !s.Members.Alive(name, now) {
			s.Admission.PeerDown(name, now)
		}
	}
	s.deliver(s.Admission.Tick(now))
}
