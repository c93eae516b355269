// Package verdict names the reasons for which a target does not get a request now. All that
// choose a target (first attempts, retries, resumptions, hedges, requests by way of another daemon)
// judge it by the same reasons, so that a new rule is added at one place.
package verdict

// Reason is why a target does not get a request now.
type Reason int

// Reasons, in the order in which they are checked: the first that holds is the verdict.
const (
	Allowed      Reason = iota
	OtherVersion        // the request's stream began at another software version
	Tried               // the request has been sent there, or an attempt there has failed
	Evacuated           // the operator wants nothing sent to the target's failure domain
	NotReached          // this daemon does not reach the target
	Refusing            // the target has asked for no requests for a time
	AtLimit             // the target takes no more requests of this daemon for now: it names a limit, or is brittle
	Cold                // the target is cold, and takes no more requests of this daemon for now
	Full                // the target is known to have no room, and would reject the request
	LeftToOthers        // the target names a limit that other daemons use
	Ejected             // requests to the target have failed lately
)

var names = [...]string{
	Allowed:      "allowed",
	OtherVersion: "other_version",
	Tried:        "tried",
	Evacuated:    "evacuated",
	NotReached:   "not_reached",
	Refusing:     "refusing",
	AtLimit:      "at_limit",
	Cold:         "cold",
	Full:         "full",
	LeftToOthers: "left_to_others",
	Ejected:      "ejected",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return names[r] }

// LastResort reports whether the target may be chosen if there is no other. Requests may fail at
// a target that is ejected, but they certainly fail without a target; the other reasons are wishes of
// the target or of the operator, or rules.
func (r Reason) LastResort() bool { return r == Allowed || r >= LeftToOthers }
