// Package claim decides what becomes of calls with an idempotency key, so that
// each key's call runs at most once whichever daemons its repeats reach. The
// decisions are pure functions of a claim, an event and the time; the Keeper
// carries them out through the ledger.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"

	"hemlockknot/internal/state/ledger"
)

// Verdict is what a request with an idempotency key is told.
type Verdict int

// The verdicts.
const (
	Granted        Verdict = iota // the key is the request's own: it may run
	InUse                         // the first request with the key runs
	OutcomeUnknown                // the first request may have run
	Mismatch                      // the key belongs to another call
	Replay                        // the first request's answer is recorded
	AnswerNotKept                 // the first request has run; its answer was too large
)

// AnswerBytes is the size of the largest answer that a claim keeps.
const AnswerBytes = 2 << 10

// Decision is what becomes of a claim. With Write false it stays as it is;
// otherwise Next takes its place, or nothing if Next is nil.
type Decision struct {
	Verdict Verdict
	Next    *ledger.Claim
	Write   bool
}

// Times says how long claims live.
type Times struct {
	// StartLimit is how old a claim may be when its call starts.
	StartLimit time.Duration
	// Lifetime is how long a claim is kept. It is much longer than StartLimit,
	// so that no call starts after its claim has expired.
	Lifetime time.Duration
}

// abandonedAfter is the age at which a claim without a result counts as left
// behind by a daemon that is gone, in StartLimits.
const abandonedAfter = 2

// Take asks for a key.
type Take struct {
	Attempt     string
	Fingerprint string
	Times       Times
}

// Decide grants a key that nobody has taken, or that this attempt has taken: a
// write whose answer was lost.
func (t Take) Decide(present *ledger.Claim, now time.Time) Decision {
	switch {
	case present == nil:
		return Decision{Verdict: Granted, Write: true, Next: &ledger.Claim{
			Attempt:     t.Attempt,
			Fingerprint: t.Fingerprint,
			State:       ledger.Taken,
			TakenMS:     now.UnixMilli(),
			ExpiresMS:   now.Add(t.Times.Lifetime).UnixMilli(),
		}}
	case present.Attempt == t.Attempt:
		return Decision{Verdict: Granted}
	case present.Fingerprint != t.Fingerprint:
		return Decision{Verdict: Mismatch}
	}
	return Decision{Verdict: t.repeat(present, now)}
}

// repeat decides what a repeat of a call is told.
func (t Take) repeat(present *ledger.Claim, now time.Time) Verdict {
	age := now.Sub(time.UnixMilli(present.TakenMS))
	switch {
	case present.State == ledger.Finished && present.Answer != nil:
		return Replay
	case present.State == ledger.Finished:
		return AnswerNotKept
	case present.State == ledger.Unknown || age > abandonedAfter*t.Times.StartLimit:
		return OutcomeUnknown
	}
	return InUse
}

// Finish records what became of a call that was started.
type Finish struct {
	Taken  ledger.Claim   // as Take wrote it
	State  ledger.State   // ledger.Finished or ledger.Unknown
	Answer *ledger.Answer // nil: none, or one that is not to be kept
}

// Decide records the answer, or that the outcome is unknown. Another attempt's
// claim is left alone.
func (f Finish) Decide(present *ledger.Claim, _ time.Time) Decision {
	if present != nil && (present.Attempt != f.Taken.Attempt || present.State == ledger.Finished) {
		return Decision{}
	}
	next := f.Taken
	next.State = f.State
	next.Answer = kept(f.Answer)
	return Decision{Next: &next, Write: true}
}

// kept returns the answer if it is small enough to be kept.
func kept(answer *ledger.Answer) *ledger.Answer {
	if answer == nil {
		return nil
	}
	size := len(answer.Body)
	for _, header := range answer.Headers {
		size += len(header.Name) + len(header.Value)
	}
	if size > AnswerBytes {
		return nil
	}
	return answer
}

// Release gives back the key of a call that certainly did not run.
type Release struct {
	Attempt string
}

// Decide removes the attempt's own claim. It writes even if there is none: once
// that write is made, no earlier write of the claim can take effect any more.
func (r Release) Decide(present *ledger.Claim, _ time.Time) Decision {
	if present != nil && present.Attempt != r.Attempt {
		return Decision{Next: present, Write: true}
	}
	return Decision{Write: true}
}

// ID returns the id of an idempotency key's claim. Keys are scoped to a
// workspace and a service.
func ID(workspace, service, key string) string {
	return digest([]byte(workspace), []byte(service), []byte(key))
}

// Fingerprint returns a digest that tells a call from another one.
func Fingerprint(method, path string, body []byte) string {
	return digest([]byte(method), []byte(path), body)
}

// digest returns 16 bytes of a SHA-256 digest in hex.
func digest(parts ...[]byte) string {
	const bytes = 16
	sum := sha256.New()
	for _, part := range parts {
		writeSized(sum, part)
	}
	return hex.EncodeToString(sum.Sum(nil)[:bytes])
}

// writeSized writes a part with its length, so that parts cannot run together.
func writeSized(sum hash.Hash, part []byte) {
	_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
	_, _ = sum.Write(part)
}
