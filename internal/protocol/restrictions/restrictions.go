// Package restrictions defines what a gateway tells operators of the requests that it
// holds back at the moment.
package restrictions

// Path is the path at the gateway's metrics address.
const Path = "/restrictions"

// Restrictions are what one gateway holds back at the moment.
type Restrictions struct {
	Host    string          `json:"host"`
	Parts   []HeldPart      `json:"held_parts"`
	Targets []LimitedTarget `json:"limited_targets"`
}

// HeldPart is a part of prompts, or a whole request, that is held back because engines
// crash on it. Times are in milliseconds.
type HeldPart struct {
	Part         string   `json:"part"`          // as in the gateway's log; the digest of a whole request
	WholeRequest bool     `json:"whole_request"` // not a part
	Crashes      int      `json:"crashes"`
	Engines      []string `json:"engines"`       // that have crashed; hashes of incarnations that are gone
	TrialInMs    int64    `json:"trial_in_ms"`   // until the next trial is due
	TrialIsHere  bool     `json:"trial_is_here"` // this daemon makes the trial
}

// LimitedTarget is a target that names how many requests it takes.
type LimitedTarget struct {
	Target string  `json:"target"`
	PerS   float64 `json:"per_s"`       // by all daemons together
	WaitMs int64   `json:"wait_ms"`     // until this daemon may send it the next request
	AgeMs  int64   `json:"said_ms_ago"` // since the target said so
}
