// Package claim makes a call with an idempotency key run at most once, whichever
// daemons receive duplicates of its request. A daemon claims the key in the
// platform's store before it dispatches the call. The decisions are pure functions
// of the stored claim, an event and the time; they are applied through the ledger.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"

	"hemlockknot/internal/state/ledger"
)

// Verdict is the result of claiming an idempotency key for a request.
type Verdict int

// The verdicts.
const (
	Granted        Verdict = iota // the request has the key and may run
	InUse                         // the first request with the key is in progress
	OutcomeUnknown                // the first request may have run
	Mismatch                      // the key was used for another call
	Replay                        // the first request's answer is stored and can be replayed
	AnswerNotKept                 // the first request has run; its answer was too large to store
)

// MaxAnswerBytes is the largest size of an answer's headers and body that are stored
// with a claim.
const MaxAnswerBytes = 2 << 10

// Decision says how to change a stored claim. If Write is false, the claim stays
// unchanged; otherwise Next replaces it, or a nil Next removes it.
type Decision struct {
	Verdict Verdict
	Next    *ledger.Claim
	Write   bool
}

// Limits holds the maximum ages of claims.
type Limits struct {
	// StartLimit is the greatest age of a claim at which its call may start.
	StartLimit time.Duration
	// Lifetime is how long a claim is stored. It is much longer than StartLimit,
	// so that no call starts after its claim has expired.
	Lifetime time.Duration
}

// abandonedAfterStartLimits is the age, in multiples of the start limit, above
// which a claim without a result counts as abandoned by a daemon that is gone.
const abandonedAfterStartLimits = 2

// Acquire claims a key for one attempt to run a call.
type Acquire struct {
	Attempt     string // unique id of the attempt
	Fingerprint string // of the call
	Limits      Limits
}

// Decide grants a key that has no claim, or whose claim is this attempt's own. The
// latter happens if an earlier write succeeded but its response was lost.
func (a Acquire) Decide(current *ledger.Claim, now time.Time) Decision {
	switch {
	case current == nil:
		return Decision{Verdict: Granted, Write: true, Next: &ledger.Claim{
			Attempt:     a.Attempt,
			Fingerprint: a.Fingerprint,
			State:       ledger.StateTaken,
			TakenMS:     now.UnixMilli(),
			ExpiresMS:   now.Add(a.Limits.Lifetime).UnixMilli(),
		}}
	case current.Attempt == a.Attempt:
		return Decision{Verdict: Granted}
	case current.Fingerprint != a.Fingerprint:
		return Decision{Verdict: Mismatch}
	}
	return Decision{Verdict: a.decideDuplicate(current, now)}
}

// decideDuplicate returns the verdict on a duplicate of the call that has the key.
func (a Acquire) decideDuplicate(current *ledger.Claim, now time.Time) Verdict {
	age := now.Sub(time.UnixMilli(current.TakenMS))
	switch {
	case current.State == ledger.StateFinished && current.Answer != nil:
		return Replay
	case current.State == ledger.StateFinished:
		return AnswerNotKept
	case current.State == ledger.StateUnknown || age > abandonedAfterStartLimits*a.Limits.StartLimit:
		return OutcomeUnknown
	}
	return InUse
}

// Finish records the result of a call that was started.
type Finish struct {
	Claim  ledger.Claim   // as written when the key was claimed
	State  ledger.State   // ledger.StateFinished or ledger.StateUnknown
	Answer *ledger.Answer // nil: there is none, or it is not to be stored
}

// Decide records the answer, or that the outcome is unknown. It does not change the
// claim of another attempt or a finished claim.
func (f Finish) Decide(current *ledger.Claim, _ time.Time) Decision {
	if current != nil && (current.Attempt != f.Claim.Attempt || current.State == ledger.StateFinished) {
		return Decision{}
	}
	updated := f.Claim
	updated.State = f.State
	updated.Answer = storableAnswer(f.Answer)
	return Decision{Next: &updated, Write: true}
}

// storableAnswer returns the answer if it is small enough to be stored, or nil.
func storableAnswer(answer *ledger.Answer) *ledger.Answer {
	if answer == nil {
		return nil
	}
	size := len(answer.Body)
	for _, header := range answer.Headers {
		size += len(header.Name) + len(header.Value)
	}
	if size > MaxAnswerBytes {
		return nil
	}
	return answer
}

// Release removes the claim of a call that certainly did not run.
type Release struct {
	Attempt string
}

// Decide removes the attempt's own claim. It requests a write even if there is no
// such claim: that write changes the version of the stored object, so that an
// earlier write of the claim can no longer take effect.
func (r Release) Decide(current *ledger.Claim, _ time.Time) Decision {
	if current != nil && current.Attempt != r.Attempt {
		return Decision{Next: current, Write: true}
	}
	return Decision{Write: true}
}

// ID returns the id of an idempotency key's claim. The scope of a key is a
// workspace and a service.
func ID(workspace, service, key string) string {
	return digest([]byte(workspace), []byte(service), []byte(key))
}

// Fingerprint returns a digest that identifies a call by its content.
func Fingerprint(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

// digest returns the first 16 bytes of the parts' SHA-256 digest in hex.
func digest(parts ...[]byte) string {
	const digestBytes = 16
	hasher := sha256.New()
	for _, part := range parts {
		writeLengthPrefixed(hasher, part)
	}
	return hex.EncodeToString(hasher.Sum(nil)[:digestBytes])
}

// writeLengthPrefixed writes a part after its length, so that different splits of
// the same bytes into parts have different digests.
func writeLengthPrefixed(hasher hash.Hash, part []byte) {
	_, _ = hasher.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
	_, _ = hasher.Write(part)
}
