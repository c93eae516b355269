// Package targetapi defines the interface between daemons and engines: the headers and
// paths of the engines' HTTP interface, and the types of the calls that a home daemon
// makes. docs/DESIGN.md describes the interface for operators.
package targetapi

import (
	"context"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Headers between daemons and engines.
const (
	// HeaderRequestID is sent to the engine, which must return it with the answer.
	HeaderRequestID = refusal.HeaderRequestID
	// HeaderPriority is the urgency as defined in RFC 9218, from "u=0" (most urgent)
	// to "u=7".
	HeaderPriority = "Priority"
	// HeaderLastEventID is the id of the last event received, if a stream is resumed.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderRefused says that the engine refused the request and did not run it.
	HeaderRefused = "X-Refused"
	// HeaderGeneration is the generation of the document by which the request was
	// routed.
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
	PathStreams = "/v1/streams/" // + request id: GET resumes the stream, DELETE cancels it
	PathLoad    = "/load"
	PathEvents  = "/kv-cache/events" // ?after=SEQUENCE
)

// StreamDone is the data of the last event of a complete stream.
const StreamDone = "[DONE]"

// MaxPriority is the highest priority of a class, which is sent as "u=0".
const MaxPriority = 7

// Call is a request to an engine.
type Call struct {
	Address    string
	RequestID  string
	Method     string
	Path       string
	Headers    []*peerpb.Header
	Body       []byte
	Priority   int32
	Generation uint64         // of the document by which the request was routed
	Repeatable bool           // the call may be sent more than once
	Resume     *peerpb.Resume // where an interrupted stream continues; nil for a new call
}

// Answer is an engine's answer. Exactly one of Events and Body is set.
type Answer struct {
	Status  int
	Headers []*peerpb.Header
	// Events is the event stream of an answer that is a stream.
	Events EventStream
	// Body is the whole body of an answer that is not a stream.
	Body []byte
}

// EventStream is a model engine's stream of events.
type EventStream interface {
	// Next returns the next event. After the StreamDone event, Next returns io.EOF.
	// If the stream ends without that event, Next returns io.ErrUnexpectedEOF.
	Next() (*peerpb.Event, error)
	// Abort makes a blocked call of Next return an error. Any goroutine may call
	// Abort.
	Abort()
	// Close releases the stream. Only the goroutine that calls Next may call Close.
	Close()
}

// Client makes calls to engines.
type Client interface {
	// Call sends a call and returns the answer or a refusal. The refusal says whether
	// the engine may have run the call.
	Call(ctx context.Context, call Call) (*Answer, *refusal.Refusal)
	// Cancel tells a model engine that a stream is no longer needed.
	Cancel(ctx context.Context, address, requestID string)
}

// CacheEventRemoved is the kind of the cache event for an evicted prefix.
const CacheEventRemoved = "removed"

// CacheEvent is a change of a model engine's prefix cache. Events arrive with a delay,
// and a gap in the sequence numbers means that events are missing.
type CacheEvent struct {
	Sequence uint64 `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"` // hash of the prompt up to a message, in hex
}

// LoadReport is the load that a model engine reports.
type LoadReport struct {
	Running  int  `json:"running"`  // requests
	Waiting  int  `json:"waiting"`  // requests
	Draining bool `json:"draining"` // the engine accepts no new requests
	Capacity int  `json:"capacity"` // requests that can run at once
}
