package attempt_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/attempt"
)

var (
	once       = Policy{MaxAttempts: 1}
	onceOfTwo  = Policy{MaxAttempts: 2}
	repeatable = Policy{Repeatable: true, MaxAttempts: 2}
	resumable  = Policy{Repeatable: true, Resumable: true, MaxAttempts: 2}
)

// step is an event, the time left and the verdict that must follow.
type step struct {
	event   Event
	left    time.Duration
	verdict Verdict
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		policy Policy
		broke  bool // the retry budget is empty
		begins bool // the answer begins before the first event
		steps  []step
	}{
		{name: "answered", policy: once, steps: []step{{Answered, time.Second, Deliver}}},
		{name: "sent once and lost", policy: once, steps: []step{{Lost, time.Second, Unknown}}},
		{name: "lost at the deadline may have run", policy: once, steps: []step{{Lost, -1, Timeout}}},
		{name: "not repeatable is not sent again though attempts are left", policy: onceOfTwo, steps: []step{{Lost, time.Second, Unknown}}},
		{name: "refused by the target goes to the next", policy: onceOfTwo, steps: []step{{Refused, time.Second, Retry}, {Answered, time.Second, Deliver}}},
		{name: "refused by the only target allowed", policy: once, steps: []step{{Refused, time.Second, NotRun}}},
		{name: "refused twice", policy: onceOfTwo, steps: []step{{Refused, time.Second, Retry}, {Refused, time.Second, NotRun}}},
		{name: "refused after it was lost may have run", policy: repeatable, steps: []step{{Lost, time.Second, Retry}, {Refused, time.Second, Unknown}}},
		{name: "unreachable targets do not count as attempts", policy: once, steps: []step{{NotSent, time.Second, Retry}, {NotSent, time.Second, Retry}, {Lost, time.Second, Unknown}}},
		{name: "unreachable for too often", policy: once, steps: []step{
			{NotSent, time.Second, Retry}, {NotSent, time.Second, Retry}, {NotSent, time.Second, Retry}, {NotSent, time.Second, NotRun},
		}},
		{name: "unreachable at the deadline", policy: once, steps: []step{{NotSent, 0, NotRun}}},
		{name: "no target", policy: once, steps: []step{{NoTarget, time.Second, NotRun}}},
		{name: "no target after it was lost", policy: repeatable, steps: []step{{Lost, time.Second, Retry}, {NoTarget, time.Second, Unknown}}},
		{name: "a target's own failure is passed on", policy: once, steps: []step{{Failure, time.Second, Deliver}}},
		{name: "a failure is tried again if that is allowed", policy: repeatable, steps: []step{{Failure, time.Second, Retry}, {Failure, time.Second, Deliver}}},
		{name: "no budget", policy: repeatable, broke: true, steps: []step{{Lost, time.Second, Unknown}}},
		{name: "an interrupted stream goes on", policy: resumable, begins: true, steps: []step{{Interrupted, time.Second, Resume}, {Answered, time.Second, Deliver}}},
		{name: "an interrupted stream may break off only once", policy: resumable, begins: true, steps: []step{{Interrupted, time.Second, Resume}, {Interrupted, time.Second, Abort}}},
		{name: "a stream that may not go on", policy: once, begins: true, steps: []step{{Interrupted, time.Second, Abort}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := New(c.policy)
			if c.begins {
				request.Began()
			}
			for i, s := range c.steps {
				must.Eq(t, s.verdict, request.Decide(s.event, s.left, func() bool { return !c.broke }), must.Sprintf("step %d", i))
			}
		})
	}
}
