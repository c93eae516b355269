package claim

import (
	"crypto/rand"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/ledger"
)

// Times of the keeper's own.
const (
	takeLimit   = 2 * time.Second  // for a claim, before the call is refused
	finishLimit = 10 * time.Minute // for recording what became of a call
	// finishWait is how long an answer waits for its record. After that the
	// caller gets it, and the record is made when the platform is back.
	finishWait = time.Second

	retryAfterAway  = 2 * time.Second
	retryAfterInUse = time.Second
	retryAfterFull  = time.Minute
)

// Ledger keeps claims.
type Ledger interface {
	Submit(operation ledger.Operation) <-chan error
}

// Keeper takes claims and records what becomes of their calls.
type Keeper struct {
	ledger Ledger
	times  Times
}

// NewKeeper returns a keeper.
func NewKeeper(claims Ledger, times Times) *Keeper {
	return &Keeper{ledger: claims, times: times}
}

// Key names a call with an idempotency key.
type Key struct {
	ID          string
	Fingerprint string
}

// Held is a claim of this daemon's.
type Held struct {
	keeper    *Keeper
	key       Key
	attempt   string
	asked     time.Time // before the claim was sent
	claim     ledger.Claim
	permitted atomic.Bool
}

// Take claims a key before its call is dispatched. It returns the claim, or the
// recorded answer of a call that has run, or a refusal.
func (k *Keeper) Take(key Key) (*Held, *ledger.Answer, *refusal.Refusal) {
	held := &Held{keeper: k, key: key, attempt: rand.Text(), asked: time.Now()}
	take := Take{Attempt: held.attempt, Fingerprint: key.Fingerprint, Times: k.times}
	var verdict Verdict
	var present ledger.Claim
	done := k.submit(key.ID, takeLimit, func(claim *ledger.Claim, now time.Time) Decision {
		decision := take.Decide(claim, now)
		verdict = decision.Verdict
		if decision.Write {
			present = *decision.Next
		} else {
			present = *claim
		}
		return decision
	})
	if err := <-done; err != nil {
		return nil, nil, held.notTaken(err)
	}
	if verdict == Granted {
		held.claim = present
		return held, nil, nil
	}
	if verdict == Replay {
		return nil, present.Answer, nil
	}
	return nil, nil, refuse(verdict)
}

func (k *Keeper) submit(id string, limit time.Duration, decide func(*ledger.Claim, time.Time) Decision) <-chan error {
	return k.ledger.Submit(ledger.Operation{
		ID:       id,
		Deadline: time.Now().Add(limit),
		Change: func(present *ledger.Claim, now time.Time) (*ledger.Claim, bool) {
			decision := decide(present, now)
			return decision.Next, decision.Write
		},
	})
}

// notTaken returns the refusal of a call whose claim could not be made. A claim
// that may be there is released as soon as the platform is back.
func (h *Held) notTaken(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, ledger.ErrFull):
		return refusal.NotRun(refusal.KeyStoreFull, retryAfterFull, "claim key: %v", err)
	case errors.Is(err, ledger.ErrUncertain):
		return h.release(refusal.NotRun(refusal.PlatformAway, retryAfterAway, "claim key: %v", err))
	}
	return refusal.NotRun(refusal.PlatformAway, retryAfterAway, "claim key: %v", err)
}

// refuse returns the refusal of a repeat. What is unknown is the outcome of the
// call that the key stands for; the repeat itself did not run.
func refuse(verdict Verdict) *refusal.Refusal {
	switch verdict {
	case InUse:
		refused := refusal.Unknown(refusal.KeyInUse, "claim key: a request with this key is being served")
		refused.RetryAfter = retryAfterInUse
		return refused
	case Mismatch:
		return refusal.NotRun(refusal.KeyMismatch, 0, "claim key: it was used for another call")
	case AnswerNotKept:
		return refusal.Unknown(refusal.KeyAnswerNotKept, "claim key: its request has run once; the answer was too large to be kept")
	}
	return refusal.Unknown(refusal.KeyOutcomeUnknown, "claim key: its request may have run, and did not run again")
}

// MayStart allows the call to start, unless the claim has become too old. The
// age counts from before the claim was sent, on a clock that never jumps.
func (h *Held) MayStart() error {
	if age := time.Since(h.asked); age > h.keeper.times.StartLimit {
		return fmt.Errorf("the claim is %s old", age)
	}
	h.permitted.Store(true)
	return nil
}

// Finish records that the call has been answered, and the answer itself unless
// it is nil.
func (h *Held) Finish(answer *ledger.Answer) {
	h.record(Finish{Taken: h.claim, State: ledger.Finished, Answer: answer})
}

// Fail records that the call brought no answer, and returns the refusal that
// the caller gets.
func (h *Held) Fail(refused *refusal.Refusal) *refusal.Refusal {
	if refused.DidNotRun() || !h.permitted.Load() {
		return h.release(refused)
	}
	h.record(Finish{Taken: h.claim, State: ledger.Unknown})
	return refused
}

func (h *Held) record(finish Finish) {
	wait(h.keeper.submit(h.key.ID, finishLimit, finish.Decide))
}

// release gives the key back. While that is not certain, a repeat may find the
// key in use, so the refusal does not say that the call can simply be repeated.
func (h *Held) release(refused *refusal.Refusal) *refusal.Refusal {
	release := Release{Attempt: h.attempt}
	if wait(h.keeper.submit(h.key.ID, finishLimit, release.Decide)) {
		return refused
	}
	kept := refusal.Unknown(refused.Reason, "%s; its key is not yet released", refused.Detail)
	kept.RetryAfter = max(refused.RetryAfter, retryAfterAway)
	return kept
}

// wait waits for an operation, and reports whether it has been carried out.
func wait(done <-chan error) bool {
	timer := time.NewTimer(finishWait)
	defer timer.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-timer.C:
		return false
	}
}
