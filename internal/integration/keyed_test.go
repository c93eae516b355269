package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/standin/platform"
	"hemlockknot/internal/standin/service"
	platformapi "hemlockknot/internal/state/platform"
	"hemlockknot/internal/transport/caller"
)

// code returns the reason of a refusal, or nothing.
func (a answer) code() refusal.Reason {
	if a.refusal == nil {
		return ""
	}
	return a.refusal.Code
}

// repeatUntilSettled repeats a keyed call at both daemons until it is answered
// or its outcome is known to be unknown.
func (f *ledgerFleet) repeatUntilSettled(daemon *process, key, body string) answer {
	f.t.Helper()
	var told answer
	waitFor(f.t, settleLimit, "key "+key+" is settled", func() bool {
		told = book(daemon, key, body)
		return told.complete || told.code() == refusal.KeyOutcomeUnknown
	})
	return told
}

func TestRepeatGetsTheRecordedAnswer(t *testing.T) {
	f := startLedgerFleet(t, "")
	first := book(f.entry, "k1", "one catch")
	must.Eq(t, http.StatusOK, first.status)
	for _, daemon := range []*process{f.entry, f.home, f.entry} {
		again := book(daemon, "k1", "one catch")
		must.Eq(t, first.status, again.status)
		must.Eq(t, first.text, again.text)
		must.Eq(t, "true", again.header.Get(caller.HeaderReplayed))
		must.NotEq(t, first.header.Get(refusal.HeaderRequestID), again.header.Get(refusal.HeaderRequestID))
	}
	other := book(f.home, "k1", "another catch")
	must.Eq(t, http.StatusUnprocessableEntity, other.status)
	must.Eq(t, refusal.KeyMismatch, other.code())
	must.Eq(t, "", book(f.home, "k2", "another catch").header.Get(caller.HeaderReplayed))
	must.Len(t, 2, serviceRecords(t, f.target))
}

func TestRepeatWhileTheFirstRuns(t *testing.T) {
	f := startLedgerFleet(t, "")
	setFault(t, f.target, service.Fault{DelayMS: 1000})
	done := make(chan answer, 1)
	go func() { done <- book(f.entry, "k1", "one catch") }()
	waitFor(t, settleLimit, "the call runs", func() bool { return f.runs("one catch") > 0 })
	again := book(f.home, "k1", "one catch")
	must.Eq(t, http.StatusConflict, again.status)
	must.Eq(t, refusal.KeyInUse, again.code())
	must.Eq(t, "1", again.header.Get("Retry-After"))
	first := <-done
	must.True(t, first.complete)
	must.Eq(t, first.text, book(f.home, "k1", "one catch").text)
	must.Eq(t, 1, f.runs("one catch"))
}

func TestKeyedCallOutlivesItsCaller(t *testing.T) {
	f := startLedgerFleet(t, "")
	setFault(t, f.target, service.Fault{DelayMS: 500})
	for _, key := range []string{"k1", ""} {
		body := "catch of a caller who hangs up, key " + key
		ctx, hangUp := context.WithCancel(context.Background())
		header := http.Header{"Authorization": {"Bearer " + testKey}}
		if key != "" {
			header.Set("Idempotency-Key", key)
		}
		go call(ctx, f.entry, http.MethodPost, "/ledger/bookings", header, body)
		waitFor(t, settleLimit, "the call runs", func() bool { return f.runs(body) > 0 })
		hangUp()
	}
	told := f.repeatUntilSettled(f.home, "k1", "catch of a caller who hangs up, key k1")
	must.True(t, told.complete)
	// Nothing but the two calls reaches the service, and no cancellation.
	must.Len(t, 2, serviceRecords(t, f.target))
}

// TestKeyedBookingUnderFailure sends each key to both daemons at once, and again
// until it is settled, while daemons, links and the platform fail.
func TestKeyedBookingUnderFailure(t *testing.T) {
	const keys = 6
	slow := func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DelayMS: 300}) }
	faultPlatform := func(fault platform.Fault) func(*ledgerFleet) {
		return func(f *ledgerFleet) { setFault(f.t, f.platform, fault) }
	}
	kill := func(f *ledgerFleet, victim *process) {
		victim.kill()
		delete(f.daemons, victim.name)
	}
	pause := func(f *ledgerFleet, victim, other *process) {
		victim.freeze()
		waitFor(f.t, settleLimit, other.name+" finds "+victim.name+" down", func() bool {
			status, err := daemonStatus(other)
			return err == nil && len(status.Members) == 1
		})
		victim.thaw()
	}
	for _, test := range []struct {
		name   string
		before func(*ledgerFleet)
		during func(*ledgerFleet) // once a call runs
		after  func(*ledgerFleet) // once all requests have ended
		all    bool               // no key's outcome may be left unknown
	}{
		{"no failure", func(*ledgerFleet) {}, nil, nil, true},
		{"home killed", slow, func(f *ledgerFleet) { kill(f, f.home) }, nil, false},
		{"entry killed", slow, func(f *ledgerFleet) { kill(f, f.entry) }, nil, false},
		{"home frozen", slow, func(f *ledgerFleet) { pause(f, f.home, f.entry) }, nil, false},
		{"entry frozen", slow, func(f *ledgerFleet) { pause(f, f.entry, f.home) }, nil, false},
		{"both frozen in turn", slow, func(f *ledgerFleet) {
			pause(f, f.home, f.entry)
			f.awaitSettled(1)
			pause(f, f.entry, f.home)
		}, nil, false},
		{"platform's answers lost", faultPlatform(platform.Fault{LoseAnswers: 5}), nil, nil, true},
		{"stale reads", faultPlatform(platform.Fault{StaleReads: true}), nil, faultPlatform(platform.Fault{}), true},
		{"stale reads and lost answers", faultPlatform(platform.Fault{StaleReads: true, LoseAnswers: 5}), nil, faultPlatform(platform.Fault{}), true},
		{"platform lost in mid-call", slow, faultPlatform(platform.Fault{Outage: true}), faultPlatform(platform.Fault{}), false},
		{"platform lost and home killed", slow, func(f *ledgerFleet) {
			setFault(f.t, f.platform, platform.Fault{Outage: true})
			kill(f, f.home)
		}, faultPlatform(platform.Fault{}), false},
		{"platform's answers lost and service's answers lost", func(f *ledgerFleet) {
			setFault(f.t, f.platform, platform.Fault{LoseAnswers: 5})
			setFault(f.t, f.target, service.Fault{LoseAnswers: 3})
		}, nil, nil, false},
		{"service drains", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{Refuse: "busy"}) }, nil,
			func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{}) }, true},
		{"slow platform", faultPlatform(platform.Fault{DelayMS: 200}), nil, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startLedgerFleet(t, "claims:\n  start_limit: 2s\n  lifetime: 1h\n")
			test.before(f)
			var mu sync.Mutex
			told := make(map[string][]answer)
			var group sync.WaitGroup
			for n := range keys {
				body := fmt.Sprintf("catch %d", n)
				for _, daemon := range []*process{f.home, f.entry} {
					group.Go(func() {
						answered := book(daemon, "key of "+body, body)
						mu.Lock()
						defer mu.Unlock()
						told[body] = append(told[body], answered)
					})
				}
			}
			if test.during != nil {
				waitFor(t, settleLimit, "a call runs", func() bool { return len(serviceRecords(t, f.target)) > 0 })
				test.during(f)
			}
			group.Wait()
			if test.after != nil {
				test.after(f)
			}
			f.awaitSettled(1)
			outcomes := make(map[string]int)
			for body, answers := range told {
				for _, daemon := range f.daemons {
					answers = append(answers, f.repeatUntilSettled(daemon, "key of "+body, body))
				}
				outcomes[answers[len(answers)-1].outcome()]++
				f.judgeKey(body, answers)
			}
			t.Logf("%d keys: %v", keys, outcomes)
			if test.all {
				must.Eq(t, keys, outcomes["answered"])
			}
		})
	}
}

// judgeKey checks that a key's call ran at most once and that all its answers
// are the same.
func (f *ledgerFleet) judgeKey(body string, answers []answer) {
	f.t.Helper()
	must.LessEq(f.t, 1, f.runs(body), must.Sprintf("%s ran %d times", body, f.runs(body)))
	notRun := make(map[string]bool)
	text := ""
	for _, told := range answers {
		if told.complete && text == "" {
			text = told.text
		}
		if told.complete {
			must.Eq(f.t, text, told.text)
			must.Eq(f.t, 1, f.runs(body))
		}
		if told.refusal != nil && told.refusal.Outcome == "not_run" {
			notRun[told.refusal.RequestID] = true
		}
	}
	for _, record := range serviceRecords(f.t, f.target) {
		must.False(f.t, notRun[record.RequestID], must.Sprintf("%s ran though refused as not run", record.RequestID))
	}
}

func TestKeyedCallWithoutThePlatform(t *testing.T) {
	f := startLedgerFleet(t, "")
	setFault(t, f.platform, platform.Fault{Outage: true})
	refused := book(f.entry, "k1", "one catch")
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.Eq(t, refusal.PlatformAway, refused.code())
	must.Eq(t, "not_run", refused.outcome())
	must.NotEq(t, "", refused.header.Get("Retry-After"))
	must.True(t, book(f.entry, "", "another catch").complete)
	must.Len(t, 1, serviceRecords(t, f.target))
	setFault(t, f.platform, platform.Fault{})
	must.True(t, book(f.entry, "k1", "one catch").complete)
	must.Eq(t, 1, f.runs("one catch"))
}

// TestPausedHolderDoesNotStart freezes a daemon that has claimed a key and not
// yet let its call start, until the claim has expired and a repeat has run.
func TestPausedHolderDoesNotStart(t *testing.T) {
	const lifetime = 4 * time.Second
	f := startLedgerFleet(t, "claims:\n  start_limit: 400ms\n  lifetime: 4s\n")
	f.toHome.add("hold", "timeout", "downstream", `{"timeout":0}`)
	done := make(chan answer, 1)
	go func() { done <- book(f.entry, "k1", "one catch") }()
	waitFor(t, settleLimit, "the key is claimed", func() bool {
		claims, err := f.platformClient().List(context.Background(), platformapi.KindClaims)
		return err == nil && len(claims.Items) > 0
	})
	f.entry.freeze()
	claimed := time.Now()
	waitFor(t, settleLimit, "the claim has expired and a repeat runs", func() bool {
		return book(f.home, "k1", "one catch").complete
	})
	must.GreaterEq(t, lifetime-time.Second, time.Since(claimed))
	f.toHome.restore()
	f.entry.thaw()
	told := <-done
	must.Eq(t, 1, f.runs("one catch"))
	must.Eq(t, refusal.StartDenied, told.code())
	must.Eq(t, "not_run", told.outcome())
}
