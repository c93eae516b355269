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

// Timeouts of ledger operations, and retry intervals of refusals.
const (
	acquireTimeout = 2 * time.Second  // for claiming a key, before the call is refused
	recordTimeout  = 10 * time.Minute // for recording the result of a call or releasing its key
	// recordWait is the longest time that an answer or a refusal is held back until
	// the result is recorded. After that the caller receives it, and the ledger goes
	// on trying for recordTimeout, as the platform's store may be unavailable.
	recordWait = time.Second

	retryAfterPlatformAway = 2 * time.Second
	retryAfterInUse        = time.Second
	retryAfterLedgerFull   = time.Minute
)

// Ledger applies operations to the stored claims.
type Ledger interface {
	Submit(operation ledger.Operation) <-chan error
}

// Manager claims idempotency keys and records the results of their calls.
type Manager struct {
	ledger Ledger
	limits Limits
}

// NewManager returns a manager that stores its claims in a ledger.
func NewManager(claimLedger Ledger, limits Limits) *Manager {
	return &Manager{ledger: claimLedger, limits: limits}
}

// Key identifies a call with an idempotency key.
type Key struct {
	ID          string // of the key's claim
	Fingerprint string // of the call
}

// Handle is a key that this daemon has claimed for one call.
type Handle struct {
	manager      *Manager
	key          Key
	attempt      string
	requestedAt  time.Time // when the claim was requested, before it was written
	claim        ledger.Claim
	startAllowed atomic.Bool
}

// Acquire claims a key before its call is dispatched. It returns the claimed key, the
// stored answer of a call that has run, or a refusal.
func (m *Manager) Acquire(key Key) (*Handle, *ledger.Answer, *refusal.Refusal) {
	handle := &Handle{manager: m, key: key, attempt: rand.Text(), requestedAt: time.Now()}
	acquire := Acquire{Attempt: handle.attempt, Fingerprint: key.Fingerprint, Limits: m.limits}
	var verdict Verdict
	var current ledger.Claim
	done := m.submit(key.ID, acquireTimeout, func(stored *ledger.Claim, now time.Time) Decision {
		decision := acquire.Decide(stored, now)
		verdict = decision.Verdict
		if decision.Write {
			current = *decision.Next
		} else {
			current = *stored
		}
		return decision
	})
	if err := <-done; err != nil {
		return nil, nil, handle.acquireRefusal(err)
	}
	if verdict == Granted {
		handle.claim = current
		return handle, nil, nil
	}
	if verdict == Replay {
		return nil, current.Answer, nil
	}
	return nil, nil, refusalFor(verdict)
}

// submit starts a ledger operation that applies a decision to a claim.
func (m *Manager) submit(id string, timeout time.Duration, decide func(*ledger.Claim, time.Time) Decision) <-chan error {
	return m.ledger.Submit(ledger.Operation{
		ClaimID:  id,
		Deadline: time.Now().Add(timeout),
		Change: func(current *ledger.Claim, now time.Time) (*ledger.Claim, bool) {
			decision := decide(current, now)
			return decision.Next, decision.Write
		},
	})
}

// acquireRefusal returns the refusal of a call whose key could not be claimed. If
// the claim may have been written, acquireRefusal releases the key; the ledger
// removes the claim when the platform's store is available again.
func (h *Handle) acquireRefusal(err error) *refusal.Refusal {
	switch {
	case errors.Is(err, ledger.ErrShardFull):
		return refusal.NotRun(refusal.KeyStoreFull, retryAfterLedgerFull, "claim key: %v", err)
	case errors.Is(err, ledger.ErrOutcomeUnknown):
		return h.releaseKey(refusal.NotRun(refusal.PlatformAway, retryAfterPlatformAway, "claim key: %v", err))
	}
	return refusal.NotRun(refusal.PlatformAway, retryAfterPlatformAway, "claim key: %v", err)
}

// refusalFor returns the refusal of a duplicate request. If its outcome is unknown,
// that is the outcome of the first call with the key; the duplicate itself did not
// run.
func refusalFor(verdict Verdict) *refusal.Refusal {
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

// AllowStart allows the call to start, unless the claim is older than the start
// limit. The age is measured with the monotonic clock from before the claim was
// written.
func (h *Handle) AllowStart() error {
	if age := time.Since(h.requestedAt); age > h.manager.limits.StartLimit {
		return fmt.Errorf("claim is %s old, the start limit is %s", age, h.manager.limits.StartLimit)
	}
	h.startAllowed.Store(true)
	return nil
}

// Finish records that the call has been answered. It stores the answer unless it
// is nil or too large.
func (h *Handle) Finish(answer *ledger.Answer) {
	h.recordResult(Finish{Claim: h.claim, State: ledger.StateFinished, Answer: answer})
}

// Fail records that the call ended without an answer, and returns the refusal for
// the caller. It releases the key if the call certainly did not run.
func (h *Handle) Fail(refused *refusal.Refusal) *refusal.Refusal {
	if refused.DidNotRun() || !h.startAllowed.Load() {
		return h.releaseKey(refused)
	}
	h.recordResult(Finish{Claim: h.claim, State: ledger.StateUnknown})
	return refused
}

// recordResult records the result of the call, and waits for at most recordWait.
func (h *Handle) recordResult(finish Finish) {
	awaitOperation(h.manager.submit(h.key.ID, recordTimeout, finish.Decide))
}

// releaseKey removes the claim and returns the refusal for the caller. Until the
// removal is confirmed, a duplicate request may find the key in use; the returned
// refusal then has an unknown outcome, so that it does not invite a simple retry.
func (h *Handle) releaseKey(refused *refusal.Refusal) *refusal.Refusal {
	release := Release{Attempt: h.attempt}
	if awaitOperation(h.manager.submit(h.key.ID, recordTimeout, release.Decide)) {
		return refused
	}
	unreleased := refusal.Unknown(refused.Reason, "%s; its key is not yet released", refused.Detail)
	unreleased.RetryAfter = max(refused.RetryAfter, retryAfterPlatformAway)
	return unreleased
}

// awaitOperation waits for an operation for at most recordWait. It reports whether
// the operation has succeeded.
func awaitOperation(done <-chan error) bool {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case err := <-done:
		return err == nil
	case <-timer.C:
		return false
	}
}
