// Package relay holds the messages of the path from a caller through a daemon to
// a target, free of any platform's spelling.
package relay

import "time"

// Part is a section of a prompt that other requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Call is what a caller's headers say of its request.
type Call struct {
	ID           string
	Key          string        // of a workspace; empty if none came
	Patience     time.Duration // how long the caller waits; 0 if not said
	Parts        []Part        // in the prompt's order, the last one its own
	PromptTokens int           // of the whole prompt
	AnswerTokens int           // at most
	LastEventID  int64         // the stream goes on after this event; 0: from the start
}

// Dispatch is what a daemon adds to a call that it sends to a target.
type Dispatch struct {
	Target      string // id of the target that is meant
	Workspace   string // empty for anonymous calls
	Patience    time.Duration
	Priority    int
	LastEventID int64  // 0: from the start
	FetchFrom   string // address of an engine that holds more of the prompt; empty: none
}

// Load is a target's own report of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Answer is what a target's headers say of its answer.
type Answer struct {
	RequestID string
	Target    string        // id of the target, if it says so
	NotRun    bool          // the target did not run the request
	Signed    bool          // the answer bears the target's signature
	Load      *Load         // nil if not told
	IdleLimit time.Duration // how long the target keeps an idle connection; 0 if not said
}
