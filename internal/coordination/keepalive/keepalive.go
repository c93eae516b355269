// Package keepalive decides how long a caller's idle connection is kept. It is a state machine
// without I/O or clock.
//
// A caller reuses a connection for as long as the idle timeout allowed that held at the last
// answer, by what it then knew. A timeout that is shortened meanwhile, or that was still unknown
// here, must not close the connection under the caller's next request.
package keepalive

import (
	"slices"
	"time"
)

const (
	// slack is added to the timeout: a request may be on its way, and this process may be
	// delayed.
	slack = time.Second
	// viewLag is by how much the caller's knowledge of the configuration and this daemon's may
	// differ. A configuration is in force everywhere within 2 s.
	viewLag = 2 * time.Second
)

// Timeouts are the idle timeouts that are, or were lately, in force. They are not safe for
// concurrent use.
type Timeouts struct {
	// entries are ordered by time. Each is shorter than the one before it: a longer timeout
	// hides the shorter ones before it from all later questions.
	entries []entry
}

type entry struct {
	timeout time.Duration
	until   time.Time // when the timeout was replaced; zero if it is in force
}

// New returns timeouts of which one is in force.
func New(timeout time.Duration) *Timeouts { return &Timeouts{entries: []entry{{timeout: timeout}}} }

// Set records that a timeout is in force from now on.
func (t *Timeouts) Set(timeout time.Duration, now time.Time) {
	if timeout == t.Current() {
		return
	}
	t.entries[len(t.entries)-1].until = now
	// No connection relies any more on a timeout that was replaced so long ago.
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool {
		return e.timeout <= timeout || now.Sub(e.until) > e.timeout+slack+viewLag
	})
	t.entries = append(t.entries, entry{timeout: timeout})
}

// Current returns the timeout that is in force.
func (t *Timeouts) Current() time.Duration { return t.entries[len(t.entries)-1].timeout }

// KeepUntil returns until when a connection must be kept at least whose last answer was sent at
// a time.
func (t *Timeouts) KeepUntil(answeredAt time.Time) time.Time {
	since := answeredAt.Add(-viewLag)
	for _, e := range t.entries {
		if e.until.IsZero() || e.until.After(since) {
			return answeredAt.Add(e.timeout + slack)
		}
	}
	return answeredAt // not reached: the last entry is in force
}
