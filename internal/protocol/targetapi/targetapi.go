// Package targetapi names what the daemons expect of engines: the headers and
// paths of their HTTP interface, and the typed calls that the home daemon
// makes. docs/DESIGN.md describes the interface for operators.
package targetapi

import (
	"context"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Headers between daemons and targets.
const (
	// HeaderRequestID goes to the target and must come back with the answer.
	HeaderRequestID = refusal.HeaderRequestID
	// HeaderPriority is the urgency by RFC 9218, "u=0" (most urgent) to "u=7".
	HeaderPriority = "Priority"
	// HeaderLastEventID names the last event received, when a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRefused marks a target's own refusal; the request did not run.
	HeaderRefused = "X-Refused"
	// HeaderGeneration is the document generation the request was sent under.
	HeaderGeneration = "X-Document-Generation"
)

// Values of HeaderRefused.
const (
	RefusedDraining = "draining"
	RefusedBusy     = "busy"
)

// Paths of a model engine.
const (
	PathChat    = "/v1/chat/completions"
	PathStreams = "/v1/streams/" // GET + request id resumes, DELETE cancels
	PathLoad    = "/load"
	PathEvents  = "/kv-cache/events" // ?after=SEQUENCE
)

// StreamDone is the data of a complete stream's last event.
const StreamDone = "[DONE]"

// MaxUrgency is the largest priority of a class; it is sent as "u=0".
const MaxUrgency = 7

// Call is one request to one target.
type Call struct {
	Address    string
	RequestID  string
	Method     string
	Path       string
	Headers    []*peerpb.Header
	Body       []byte
	Priority   int32
	Generation uint64
	Repeatable bool
	Resume     *peerpb.Resume
}

// Answer is what a target answers. Exactly one of Events and Body is set.
type Answer struct {
	Status  int
	Headers []*peerpb.Header
	// Events yields a stream's events and closes after the last one.
	Events EventStream
	// Body is the whole body of an answer that is no stream.
	Body []byte
}

// EventStream is a model engine's stream of events.
type EventStream interface {
	// Next returns the next event. After the StreamDone event it returns
	// io.EOF; a stream that ends without one gives io.ErrUnexpectedEOF.
	Next() (*peerpb.Event, error)
	// Abort makes a waiting Next return an error. Any goroutine may call it.
	Abort()
	// Close gives up the stream. The goroutine that calls Next calls it.
	Close()
}

// Caller makes calls to targets. A refusal says truthfully whether the call may
// have run.
type Caller interface {
	Call(ctx context.Context, call Call) (*Answer, *refusal.Refusal)
	// Cancel tells a model engine that nobody waits for a stream any more.
	Cancel(ctx context.Context, address, requestID string)
}

// CacheRemoved is the kind of the event that says that a prefix was evicted.
const CacheRemoved = "removed"

// CacheEvent is a change of a model engine's prefix cache. Events come late, and
// a jump of the sequence says that some are missing.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"` // hash of the prompt up to a message, in hex
}

// Load is a model engine's report of its load.
type Load struct {
	Running  int  `json:"running"`
	Waiting  int  `json:"waiting"`
	Draining bool `json:"draining"`
	Capacity int  `json:"capacity"`
}
