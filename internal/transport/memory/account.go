// Package memory accounts for what a process holds for clients: heads, bodies, answers and buffers.
package memory

import (
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// headShare is the part of the account that unfinished heads may fill: clients that never finish a
// request must leave room for the bodies and answers of others.
const headShare = 1.0 / 2

// yieldTimeout limits the time that a reservation waits for heads that yield to it.
const yieldTimeout = 100 * time.Millisecond

// Account is the memory that all clients of a process share. Without it they would use up the
// memory of the host, each within its own limit. It is safe for concurrent use.
type Account struct {
	bytes     int64
	headBytes int64
	available *semaphore.Weighted
	heads     *semaphore.Weighted

	mu      sync.Mutex
	yielder []func() (released <-chan struct{})
}

// New returns an account of a number of bytes.
func New(bytes int64) *Account {
	headBytes := int64(float64(bytes) * headShare)
	return &Account{
		bytes: bytes, headBytes: headBytes,
		available: semaphore.NewWeighted(bytes), heads: semaphore.NewWeighted(headBytes),
	}
}

// OnShortage adds a function that is called when the account is used up. The function ends an
// unfinished head and returns a channel that is closed once the head's memory is free and has been
// released, or returns nil if there is none.
func (a *Account) OnShortage(yield func() (released <-chan struct{})) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.yielder = append(a.yielder, yield)
}

// Reserve reserves bytes for a body, an answer or the head of a request that is being answered, and
// reports whether there were enough. Unfinished heads yield to it; it waits for them for a short time.
func (a *Account) Reserve(bytes int64) bool { return a.acquire(a.available, a.bytes, bytes) }

// Release gives back what Reserve has reserved.
func (a *Account) Release(bytes int64) { a.available.Release(bytes) }

// ReserveHead reserves bytes for an unfinished head, and reports whether there were enough. Earlier
// unfinished heads yield to it, as they do to Reserve.
func (a *Account) ReserveHead(bytes int64) bool {
	if !a.acquire(a.heads, a.headBytes, bytes) {
		return false
	}
	if !a.Reserve(bytes) {
		a.heads.Release(bytes)
		return false
	}
	return true
}

// acquire takes bytes from a part of the account that has size bytes in all, and has unfinished heads
// yield until there are enough.
func (a *Account) acquire(part *semaphore.Weighted, size, bytes int64) bool {
	var timeout <-chan time.Time // of all heads that yield
	for !part.TryAcquire(bytes) {
		if bytes > size {
			return false
		}
		released := a.yield()
		if released == nil {
			return false
		}
		if timeout == nil {
			timeout = time.After(yieldTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			return false
		}
	}
	return true
}

// ReleaseHead gives back what ReserveHead has reserved.
func (a *Account) ReleaseHead(bytes int64) {
	a.available.Release(bytes)
	a.heads.Release(bytes)
}

// yield ends an unfinished head and returns a channel that is closed once its memory has been
// released, or nil if there was none.
func (a *Account) yield() (released <-chan struct{}) {
	a.mu.Lock()
	yielder := a.yielder
	a.mu.Unlock()
	for _, yield := range yielder {
		if released := yield(); released != nil {
			return released
		}
	}
	return nil
}
