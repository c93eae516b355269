// Package attempt decides what becomes of a request after each try: another
// try, a resumption, or the final answer. It is a state machine without I/O or
// clock.
//
// Invariants: a request that may not be repeated is sent once at most, unless a
// target has said that it did not run it; "not run" is said only if no target
// can have run the request.
package attempt

import "time"

// Event is how a try ended.
type Event int

// Events.
const (
	NotSent     Event = iota // no byte has reached a target
	Refused                  // the target says that it did not run the request
	Answered                 // a whole answer, or the beginning of a stream, came
	Failure                  // the target answered with a failure of its own
	Lost                     // sent, and no answer came
	Interrupted              // the stream broke off after it had begun
	NoTarget                 // nothing to try
	OutOfTime                // the caller's or the route's time is over
)

// Verdict is what to do next.
type Verdict int

// Verdicts.
const (
	Retry   Verdict = iota // try another target from the start
	Resume                 // go on after the last event at another target
	Deliver                // pass the answer on
	NotRun                 // say that the request has not run, and when to come back
	Unknown                // say that the request may have run
	Timeout                // say that the time is over; it may have run
	Abort                  // break the answer off: it has begun and cannot be finished
)

// maxUnsent is how many targets in a row may be unreachable before the caller
// is told to come back.
const maxUnsent = 4

// Policy is what the route allows.
type Policy struct {
	Repeatable  bool
	Resumable   bool
	MaxAttempts int // sends to targets
}

// Request is the state of one request.
type Request struct {
	policy  Policy
	sends   int  // tries that reached a target
	unsent  int  // tries that did not
	mayRun  bool // a target may have run it
	flowing bool // part of the answer has reached the caller
}

// New returns the state of a request that has not been tried.
func New(policy Policy) *Request { return &Request{policy: policy} }

// Began notes that the caller has been sent a part of the answer.
func (r *Request) Began() { r.flowing = true }

// Sends returns how many tries reached a target.
func (r *Request) Sends() int { return r.sends }

// Decide returns what follows an event. Left is the time that remains, and
// spend takes a retry from the shared budget if there is one.
func (r *Request) Decide(event Event, left time.Duration, spend func() bool) Verdict {
	switch event {
	case Answered:
		return Deliver
	case NotSent:
		r.unsent++
	case Refused:
		r.sends++
	case Failure, Lost, Interrupted:
		r.sends++
		r.mayRun = true
	case NoTarget, OutOfTime:
		return r.end(event)
	}
	if left <= 0 {
		return r.end(OutOfTime)
	}
	if event == NotSent && r.unsent < maxUnsent {
		return r.again()
	}
	if event != NotSent && r.sendsLeft() && spend() {
		return r.again()
	}
	return r.end(event)
}

// AnotherAfterThis reports whether the request may go to another target if the
// one that it is at now does not answer.
func (r *Request) AnotherAfterThis() bool {
	return r.policy.Repeatable && r.sends+1 < r.policy.MaxAttempts
}

// sendsLeft reports whether the request may be sent to another target.
func (r *Request) sendsLeft() bool {
	if r.sends >= r.policy.MaxAttempts {
		return false
	}
	return !r.mayRun || r.policy.Repeatable
}

func (r *Request) again() Verdict {
	if r.flowing {
		return Resume
	}
	return Retry
}

func (r *Request) end(event Event) Verdict {
	switch {
	case r.flowing:
		return Abort
	case event == Failure:
		return Deliver
	case event == OutOfTime && (r.mayRun || r.sends > 0):
		return Timeout
	case !r.mayRun:
		return NotRun
	}
	return Unknown
}
