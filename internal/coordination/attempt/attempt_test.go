package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/attempt"
)

var (
	singleAttempt = Policy{MaxAttempts: 1}
	notRepeatable = Policy{MaxAttempts: 2}
	repeatable    = Policy{Repeatable: true, MaxAttempts: 2}
	resumable     = Policy{Repeatable: true, Resumable: true, MaxAttempts: 2}
)

// step is the result of an attempt, the time until the deadline and the expected
// action.
type step struct {
	outcome   Outcome
	remaining time.Duration
	action    Action
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name          string
		policy        Policy
		budgetEmpty   bool
		answerStarted bool // a part of the answer was sent before the first step
		steps         []step
	}{
		{name: "answered", policy: singleAttempt, steps: []step{{Answered, time.Second, Deliver}}},
		{name: "no answer to the only attempt", policy: singleAttempt, steps: []step{{NoAnswer, time.Second, ReplyUnknown}}},
		{name: "no answer by the deadline", policy: singleAttempt, steps: []step{{NoAnswer, -1, ReplyTimeout}}},
		{name: "not repeatable is not retried although attempts remain", policy: notRepeatable, steps: []step{{NoAnswer, time.Second, ReplyUnknown}}},
		{name: "refused by a target is retried at another", policy: notRepeatable, steps: []step{{Refused, time.Second, Retry}, {Answered, time.Second, Deliver}}},
		{name: "refused at the only attempt", policy: singleAttempt, steps: []step{{Refused, time.Second, ReplyNotRun}}},
		{name: "refused twice", policy: notRepeatable, steps: []step{{Refused, time.Second, Retry}, {Refused, time.Second, ReplyNotRun}}},
		{name: "refused after an attempt without answer may have run", policy: repeatable, steps: []step{{NoAnswer, time.Second, Retry}, {Refused, time.Second, ReplyUnknown}}},
		{name: "unreachable targets do not count as attempts", policy: singleAttempt, steps: []step{{NotSent, time.Second, Retry}, {NotSent, time.Second, Retry}, {NoAnswer, time.Second, ReplyUnknown}}},
		{name: "too many unreachable targets", policy: singleAttempt, steps: []step{
			{NotSent, time.Second, Retry}, {NotSent, time.Second, Retry}, {NotSent, time.Second, Retry}, {NotSent, time.Second, ReplyNotRun},
		}},
		{name: "unreachable at the deadline", policy: singleAttempt, steps: []step{{NotSent, 0, ReplyNotRun}}},
		{name: "no target", policy: singleAttempt, steps: []step{{NoTarget, time.Second, ReplyNotRun}}},
		{name: "no target after an attempt without answer may have run", policy: repeatable, steps: []step{{NoAnswer, time.Second, Retry}, {NoTarget, time.Second, ReplyUnknown}}},
		{name: "a target's error is delivered", policy: singleAttempt, steps: []step{{TargetError, time.Second, Deliver}}},
		{name: "a target's error is retried if repeatable", policy: repeatable, steps: []step{{TargetError, time.Second, Retry}, {TargetError, time.Second, Deliver}}},
		{name: "empty retry budget", policy: repeatable, budgetEmpty: true, steps: []step{{NoAnswer, time.Second, ReplyUnknown}}},
		{name: "an interrupted stream is resumed", policy: resumable, answerStarted: true, steps: []step{{Interrupted, time.Second, Resume}, {Answered, time.Second, Deliver}}},
		{name: "a stream interrupted at its last attempt is aborted", policy: resumable, answerStarted: true, steps: []step{{Interrupted, time.Second, Resume}, {Interrupted, time.Second, Abort}}},
		{name: "an interrupted stream that is not repeatable is aborted", policy: singleAttempt, answerStarted: true, steps: []step{{Interrupted, time.Second, Abort}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := New(c.policy)
			if c.answerStarted {
				request.RecordAnswerStarted()
			}
			for i, s := range c.steps {
				must.Eq(t, s.action, request.Decide(s.outcome, s.remaining, func() bool { return !c.budgetEmpty }), must.Sprintf("step %d", i))
			}
		})
	}
}

// A request that must not go on ends with what is known of it: a caller that is told "not run"
// may send it again.
func TestEnd(t *testing.T) {
	for _, c := range []struct {
		name          string
		before        []Outcome // of earlier attempts, which were retried
		answerStarted bool
		last          Outcome
		action        Action
	}{
		{name: "while it waits for a target", last: NotSent, action: ReplyNotRun},
		{name: "refused by its target", last: Refused, action: ReplyNotRun},
		{name: "held back", last: HeldBack, action: ReplyNotRun},
		{name: "sent", last: NoAnswer, action: ReplyUnknown},
		{name: "sent before, and waits for a target", before: []Outcome{NoAnswer}, last: NotSent, action: ReplyUnknown},
		{name: "sent before, and refused", before: []Outcome{NoAnswer}, last: Refused, action: ReplyUnknown},
		{name: "out of time", last: DeadlineExceeded, action: ReplyNotRun},
		{name: "sent, and out of time", before: []Outcome{NoAnswer}, last: DeadlineExceeded, action: ReplyTimeout},
		{name: "failed at its target", last: TargetError, action: Deliver},
		{name: "answered", last: Answered, action: Deliver},
		{name: "in the middle of its stream", answerStarted: true, last: Interrupted, action: Abort},
		{name: "before its stream goes on", before: []Outcome{Interrupted}, answerStarted: true, last: NotSent, action: Abort},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := New(resumable)
			for _, outcome := range c.before {
				request.Decide(outcome, time.Second, func() bool { return true })
			}
			if c.answerStarted {
				request.RecordAnswerStarted()
			}
			must.Eq(t, c.action, request.End(c.last))
		})
	}
}
