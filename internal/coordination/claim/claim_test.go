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

var testTimes = Times{StartLimit: time.Minute, Lifetime: time.Hour}

func TestTakeDecidesByWhatIsRecorded(t *testing.T) {
	now := time.UnixMilli(1_000_000_000)
	record := func(state ledger.State, age time.Duration, answer *ledger.Answer) *ledger.Claim {
		return &ledger.Claim{Attempt: "first", Fingerprint: "call", State: state, TakenMS: now.Add(-age).UnixMilli(), Answer: answer}
	}
	answer := &ledger.Answer{Status: 201}
	for _, test := range []struct {
		name    string
		present *ledger.Claim
		take    Take
		verdict Verdict
	}{
		{"free", nil, Take{"second", "call", testTimes}, Granted},
		{"own write, answer lost", record(ledger.Taken, 0, nil), Take{"first", "call", testTimes}, Granted},
		{"running", record(ledger.Taken, 0, nil), Take{"second", "call", testTimes}, InUse},
		{"running, other call", record(ledger.Taken, 0, nil), Take{"second", "other", testTimes}, Mismatch},
		{"left behind", record(ledger.Taken, 3*time.Minute, nil), Take{"second", "call", testTimes}, OutcomeUnknown},
		{"unknown", record(ledger.Unknown, 0, nil), Take{"second", "call", testTimes}, OutcomeUnknown},
		{"finished", record(ledger.Finished, 0, answer), Take{"second", "call", testTimes}, Replay},
		{"finished long ago", record(ledger.Finished, 50*time.Minute, answer), Take{"second", "call", testTimes}, Replay},
		{"finished, other call", record(ledger.Finished, 0, answer), Take{"second", "other", testTimes}, Mismatch},
		{"finished, answer not kept", record(ledger.Finished, 0, nil), Take{"second", "call", testTimes}, AnswerNotKept},
	} {
		t.Run(test.name, func(t *testing.T) {
			decision := test.take.Decide(test.present, now)
			must.Eq(t, test.verdict, decision.Verdict)
			must.Eq(t, test.present == nil, decision.Write)
		})
	}
}

func TestResultsTouchOnlyTheOwnClaim(t *testing.T) {
	own := ledger.Claim{Attempt: "own", Fingerprint: "call", State: ledger.Taken}
	other := &ledger.Claim{Attempt: "other", State: ledger.Taken}
	small := &ledger.Answer{Status: 201, Body: []byte("booked")}
	large := &ledger.Answer{Status: 201, Body: []byte(strings.Repeat("x", AnswerBytes+1))}
	finish := func(answer *ledger.Answer) Finish { return Finish{Taken: own, State: ledger.Finished, Answer: answer} }

	finished := finish(small).Decide(&own, time.Time{})
	must.Eq(t, ledger.Finished, finished.Next.State)
	must.Eq(t, small, finished.Next.Answer)
	must.False(t, finish(small).Decide(finished.Next, time.Time{}).Write)
	must.Nil(t, finish(large).Decide(&own, time.Time{}).Next.Answer)
	must.Eq(t, ledger.Finished, finish(small).Decide(nil, time.Time{}).Next.State)
	must.False(t, finish(small).Decide(other, time.Time{}).Write)
	must.Eq(t, ledger.Unknown, Finish{Taken: own, State: ledger.Unknown}.Decide(&own, time.Time{}).Next.State)

	must.Nil(t, Release{Attempt: "own"}.Decide(&own, time.Time{}).Next)
	must.Eq(t, other, Release{Attempt: "own"}.Decide(other, time.Time{}).Next)
	must.True(t, Release{Attempt: "own"}.Decide(nil, time.Time{}).Write)
}

func TestDigestsKeepPartsApart(t *testing.T) {
	must.NotEq(t, ID("ab", "c", "k"), ID("a", "bc", "k"))
	must.NotEq(t, Fingerprint("POST", "/a", []byte("b")), Fingerprint("POST", "/ab", nil))
}

// fakeLedger holds one claim; err fails the next operations.
type fakeLedger struct {
	claim *ledger.Claim
	err   []error
}

func (f *fakeLedger) Submit(operation ledger.Operation) <-chan error {
	done := make(chan error, 1)
	if len(f.err) > 0 && f.err[0] != nil {
		done <- f.err[0]
		f.err = f.err[1:]
		return done
	}
	f.err = f.err[min(1, len(f.err)):]
	if next, write := operation.Change(f.claim, time.Now()); write {
		f.claim = next
	}
	done <- nil
	return done
}

func TestOldClaimDoesNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := NewKeeper(new(fakeLedger), testTimes)
		held, _, refused := keeper.Take(Key{ID: "k", Fingerprint: "call"})
		must.Nil(t, refused)
		must.NoError(t, held.MayStart())
		time.Sleep(testTimes.StartLimit + time.Second)
		must.Error(t, held.MayStart())
	})
}

func TestFailureReleasesOnlyWhatDidNotRun(t *testing.T) {
	unknown := refusal.Unknown(refusal.HomeLost, "lost")
	notRun := refusal.NotRun(refusal.EngineBusy, time.Second, "busy")
	for _, test := range []struct {
		name      string
		permitted bool
		refused   *refusal.Refusal
		errs      []error // of the take and of the release
		state     ledger.State
		notRun    bool
	}{
		{"refused by the target", true, notRun, nil, "", true},
		{"outcome unknown", true, unknown, nil, ledger.Unknown, false},
		{"never permitted", false, unknown, nil, "", false},
		{"not released", true, notRun, []error{nil, errors.New("away")}, ledger.Taken, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			fake := &fakeLedger{err: test.errs}
			held, _, refused := NewKeeper(fake, testTimes).Take(Key{ID: "k", Fingerprint: "call"})
			must.Nil(t, refused)
			if test.permitted {
				must.NoError(t, held.MayStart())
			}
			told := held.Fail(test.refused)
			must.Eq(t, test.notRun, told.DidNotRun())
			if test.state == "" {
				must.Nil(t, fake.claim)
				return
			}
			must.Eq(t, test.state, fake.claim.State)
		})
	}
}

func TestUncertainClaimIsReleasedOrNotCalledNotRun(t *testing.T) {
	for _, test := range []struct {
		err    []error
		reason refusal.Reason
		notRun bool
	}{
		{[]error{ledger.ErrAway}, refusal.PlatformAway, true},
		{[]error{ledger.ErrUncertain}, refusal.PlatformAway, true}, // released
		{[]error{ledger.ErrUncertain, ledger.ErrUncertain}, refusal.PlatformAway, false},
		{[]error{ledger.ErrFull}, refusal.KeyStoreFull, true},
	} {
		_, _, refused := NewKeeper(&fakeLedger{err: test.err}, testTimes).Take(Key{ID: "k"})
		must.Eq(t, test.reason, refused.Reason)
		must.Eq(t, test.notRun, refused.DidNotRun())
		must.Positive(t, refused.RetryAfter)
	}
}
