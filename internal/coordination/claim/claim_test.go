package claim

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/ledger"
)

var testLimits = Limits{StartLimit: time.Minute, Lifetime: time.Hour}

func TestAcquireDecidesByRecordedClaim(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	claimWith := func(state ledger.State, age time.Duration, answer *ledger.Answer) *ledger.Claim {
		return &ledger.Claim{Attempt: "first", Fingerprint: "call", State: state, TakenMS: now.Add(-age).UnixMilli(), Answer: answer}
	}
	answer := &ledger.Answer{Status: 201}
	for _, test := range []struct {
		name    string
		current *ledger.Claim
		acquire Acquire
		want    Verdict
	}{
		{"no claim", nil, Acquire{"second", "call", testLimits}, Granted},
		{"own claim, response lost", claimWith(ledger.StateTaken, 0, nil), Acquire{"first", "call", testLimits}, Granted},
		{"in progress", claimWith(ledger.StateTaken, 0, nil), Acquire{"second", "call", testLimits}, InUse},
		{"in progress, other call", claimWith(ledger.StateTaken, 0, nil), Acquire{"second", "other", testLimits}, Mismatch},
		{"abandoned", claimWith(ledger.StateTaken, 3*time.Minute, nil), Acquire{"second", "call", testLimits}, OutcomeUnknown},
		{"outcome unknown", claimWith(ledger.StateUnknown, 0, nil), Acquire{"second", "call", testLimits}, OutcomeUnknown},
		{"finished", claimWith(ledger.StateFinished, 0, answer), Acquire{"second", "call", testLimits}, Replay},
		{"finished long ago", claimWith(ledger.StateFinished, 50*time.Minute, answer), Acquire{"second", "call", testLimits}, Replay},
		{"finished, other call", claimWith(ledger.StateFinished, 0, answer), Acquire{"second", "other", testLimits}, Mismatch},
		{"finished, answer not stored", claimWith(ledger.StateFinished, 0, nil), Acquire{"second", "call", testLimits}, AnswerNotKept},
	} {
		t.Run(test.name, func(t *testing.T) {
			decision := test.acquire.Decide(test.current, now)
			must.Eq(t, test.want, decision.Verdict)
			must.Eq(t, test.current == nil, decision.Write)
		})
	}
}

// A daemon whose claim has expired must not overwrite or remove the claim that
// another attempt has made since.
func TestResultsTouchOnlyTheOwnClaim(t *testing.T) {
	own := ledger.Claim{Attempt: "own", Fingerprint: "call", State: ledger.StateTaken}
	other := &ledger.Claim{Attempt: "other", State: ledger.StateTaken}
	smallAnswer := &ledger.Answer{Status: 201, Body: []byte("booked")}
	largeAnswer := &ledger.Answer{Status: 201, Body: []byte(strings.Repeat("x", MaxAnswerBytes+1))}
	finishWith := func(answer *ledger.Answer) Finish {
		return Finish{Claim: own, State: ledger.StateFinished, Answer: answer}
	}

	finished := finishWith(smallAnswer).Decide(&own, time.Time{})
	must.Eq(t, ledger.StateFinished, finished.Next.State)
	must.Eq(t, smallAnswer, finished.Next.Answer)
	must.False(t, finishWith(smallAnswer).Decide(finished.Next, time.Time{}).Write)
	must.Nil(t, finishWith(largeAnswer).Decide(&own, time.Time{}).Next.Answer)
	must.Eq(t, ledger.StateFinished, finishWith(smallAnswer).Decide(nil, time.Time{}).Next.State)
	must.False(t, finishWith(smallAnswer).Decide(other, time.Time{}).Write)
	must.Eq(t, ledger.StateUnknown, Finish{Claim: own, State: ledger.StateUnknown}.Decide(&own, time.Time{}).Next.State)

	must.Nil(t, Release{Attempt: "own"}.Decide(&own, time.Time{}).Next)
	must.Eq(t, other, Release{Attempt: "own"}.Decide(other, time.Time{}).Next)
	must.True(t, Release{Attempt: "own"}.Decide(nil, time.Time{}).Write)
}

// Moving a byte from one part to the next must change the digest.
func TestDigestsKeepPartsApart(t *testing.T) {
	must.NotEq(t, ID("ab", "c", "k"), ID("a", "bc", "k"))
	must.NotEq(t, Fingerprint("POST", "/a", []byte("b")), Fingerprint("POST", "/ab", nil))
}

// fakeLedger stores one claim. Its operations return errs in turn and then succeed;
// a nil error lets an operation succeed.
type fakeLedger struct {
	claim *ledger.Claim
	errs  []error
}

func (f *fakeLedger) Submit(operation ledger.Operation) <-chan error {
	done := make(chan error, 1)
	if len(f.errs) > 0 && f.errs[0] != nil {
		done <- f.errs[0]
		f.errs = f.errs[1:]
		return done
	}
	f.errs = f.errs[min(1, len(f.errs)):]
	if next, write := operation.Change(f.claim, time.Now()); write {
		f.claim = next
	}
	done <- nil
	return done
}

// A call must not start on a claim that is older than the start limit: other
// daemons consider old claims without a result abandoned.
func TestOldClaimDoesNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manager := NewManager(new(fakeLedger), testLimits)
		handle, _, refused := manager.Acquire(Key{ID: "k", Fingerprint: "call"})
		must.Nil(t, refused)
		must.NoError(t, handle.AllowStart())
		time.Sleep(testLimits.StartLimit + time.Second)
		must.Error(t, handle.AllowStart())
	})
}

// A key may be released only if its call certainly did not run; otherwise a
// duplicate request would run the call again.
func TestFailureReleasesOnlyWhatDidNotRun(t *testing.T) {
	unknown := refusal.Unknown(refusal.HomeLost, "lost")
	notRun := refusal.NotRun(refusal.EngineBusy, time.Second, "busy")
	for _, test := range []struct {
		name         string
		startAllowed bool
		refused      *refusal.Refusal
		errs         []error // of claiming and of releasing the key
		wantState    ledger.State
		wantNotRun   bool
	}{
		{"refused by the target", true, notRun, nil, "", true},
		{"outcome unknown", true, unknown, nil, ledger.StateUnknown, false},
		{"start not allowed", false, unknown, nil, "", false},
		{"release failed", true, notRun, []error{nil, errors.New("store unavailable")}, ledger.StateTaken, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeLedger{errs: test.errs}
			handle, _, refused := NewManager(fake, testLimits).Acquire(Key{ID: "k", Fingerprint: "call"})
			must.Nil(t, refused)
			if test.startAllowed {
				must.NoError(t, handle.AllowStart())
			}
			returned := handle.Fail(test.refused)
			must.Eq(t, test.wantNotRun, returned.DidNotRun())
			if test.wantState == "" {
				must.Nil(t, fake.claim)
				return
			}
			must.Eq(t, test.wantState, fake.claim.State)
		})
	}
}

// If a claim may have been written, a duplicate request may find the key in use.
// The refusal may say that the call did not run only once the key is released.
func TestUncertainClaimReportsNotRunOnlyAfterRelease(t *testing.T) {
	for _, test := range []struct {
		errs       []error
		wantReason refusal.Reason
		wantNotRun bool
	}{
		{[]error{ledger.ErrUnavailable}, refusal.PlatformAway, true},
		{[]error{ledger.ErrOutcomeUnknown}, refusal.PlatformAway, true}, // the release succeeds
		{[]error{ledger.ErrOutcomeUnknown, ledger.ErrOutcomeUnknown}, refusal.PlatformAway, false},
		{[]error{ledger.ErrShardFull}, refusal.KeyStoreFull, true},
	} {
		_, _, refused := NewManager(&fakeLedger{errs: test.errs}, testLimits).Acquire(Key{ID: "k"})
		must.Eq(t, test.wantReason, refused.Reason)
		must.Eq(t, test.wantNotRun, refused.DidNotRun())
		must.Positive(t, refused.RetryAfter)
	}
}
