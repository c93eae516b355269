// Package relay defines the messages between a caller, a daemon and a target. They do
// not depend on the header names of a platform.
package relay

import "time"

// PromptPart is a section of a prompt. Requests may share sections.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is the content of a caller's request headers.
type Call struct {
	ID              string
	WorkspaceKey    string        // API key of a workspace; empty if the headers have none
	Timeout         time.Duration // how long the caller waits for the answer; 0 if unknown
	Parts           []PromptPart  // in the order of the prompt; the last one is specific to the request
	PromptTokens    int           // tokens of the whole prompt
	MaxAnswerTokens int           // the largest number of tokens of the answer
	LastEventID     int64         // the stream continues after this event; 0: from the start
	Resumes         string        // id of the request that brought the stream's first event; empty if this one may bring it
}

// Dispatch holds what a daemon adds to a call when it sends the call to a target.
type Dispatch struct {
	Target      string // id of the target that must serve the call
	Workspace   string // empty for anonymous calls
	Timeout     time.Duration
	Priority    int
	LastEventID int64  // 0: from the start
	FetchFrom   string // address of an engine that has cached more of the prompt; empty: none
}

// LoadReport is the load that a target reports about itself.
type LoadReport struct {
	Running int
	Waiting int
	Slots   int
	// WorkTimePercent is how long work takes at the target at this moment, in percent of its
	// usual time; 0 if the target does not report it. It changes many times a second.
	WorkTimePercent float64
}

// Answer is the content of the headers of a target's answer.
type Answer struct {
	RequestID   string
	Target      string         // id of the target, empty if the headers have none
	NotRun      bool           // the target did not run the request
	Signed      bool           // the headers have the target's signature
	Load        *LoadReport    // nil if not reported
	IdleTimeout time.Duration  // how long the target keeps an idle connection; 0 if unknown
	Leaving     bool           // the target shuts down and must get no new requests
	RateLimit   float64        // requests per second that the target takes from all daemons together; 0: no limit
	Brittle     bool           // the target falls over if it has to reject more than Rejections requests in a second
	Rejections  float64        // per second, of requests for which it has no room; 0 unless Brittle
	ColdLeft    *time.Duration // how long the target stays cold; nil if not said
	RetryAfter  time.Duration  // with a refusal: how long the target wants no requests from this daemon; 0 if not said
}
