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

// refusalReason returns the reason of the refusal, or "" if there is none.
func (r callResult) refusalReason() refusal.Reason {
	if r.refusal == nil {
		return ""
	}
	return r.refusal.Code
}

// repeatUntilResolved repeats a call with an idempotency key at a daemon until it
// gets a complete response or a refusal that reports the outcome as unknown.
func (f *ledgerFleet) repeatUntilResolved(daemon *process, key, body string) callResult {
	f.t.Helper()
	var result callResult
	waitFor(f.t, convergenceTimeout, "the call with key "+key+" is complete or its outcome unknown", func() bool {
		result = postBooking(daemon, key, body)
		return result.complete || result.refusalReason() == refusal.KeyOutcomeUnknown
	})
	return result
}

// TestRepeatedKeyGetsRecordedResponse checks that a repeat with the same key and
// body gets the first response without a second run, and that the same key with
// another body is refused.
func TestRepeatedKeyGetsRecordedResponse(t *testing.T) {
	f := startLedgerFleet(t, "")
	first := postBooking(f.entry, "k1", "one catch")
	must.Eq(t, http.StatusOK, first.status)
	for _, daemon := range []*process{f.entry, f.home, f.entry} {
		repeated := postBooking(daemon, "k1", "one catch")
		must.Eq(t, first.status, repeated.status)
		must.Eq(t, first.text, repeated.text)
		must.Eq(t, "true", repeated.header.Get(caller.HeaderReplayed))
		must.NotEq(t, first.header.Get(refusal.HeaderRequestID), repeated.header.Get(refusal.HeaderRequestID))
	}
	mismatched := postBooking(f.home, "k1", "another catch")
	must.Eq(t, http.StatusUnprocessableEntity, mismatched.status)
	must.Eq(t, refusal.KeyMismatch, mismatched.refusalReason())
	must.Eq(t, "", postBooking(f.home, "k2", "another catch").header.Get(caller.HeaderReplayed))
	must.Len(t, 2, serviceRecords(t, f.target))
}

// TestRepeatedKeyIsRefusedWhileFirstRequestRuns repeats a call while its first request
// runs at the service. The repeat must be refused, and a later one must get the
// response of the first request.
func TestRepeatedKeyIsRefusedWhileFirstRequestRuns(t *testing.T) {
	f := startLedgerFleet(t, "")
	setFault(t, f.target, service.Fault{DelayMS: 1000})
	done := make(chan callResult, 1)
	go func() { done <- postBooking(f.entry, "k1", "one catch") }()
	waitFor(t, convergenceTimeout, "the service runs the call", func() bool { return f.runCount("one catch") > 0 })
	repeated := postBooking(f.home, "k1", "one catch")
	must.Eq(t, http.StatusConflict, repeated.status)
	must.Eq(t, refusal.KeyInUse, repeated.refusalReason())
	must.Eq(t, "1", repeated.header.Get("Retry-After"))
	first := <-done
	must.True(t, first.complete)
	must.Eq(t, first.text, postBooking(f.home, "k1", "one catch").text)
	must.Eq(t, 1, f.runCount("one catch"))
}

// TestCallCompletesAfterCallerDisconnects disconnects callers whose calls run at the
// service, one with an idempotency key and one without. The calls must not be
// cancelled, and a repeat with the key gets the response.
func TestCallCompletesAfterCallerDisconnects(t *testing.T) {
	f := startLedgerFleet(t, "")
	setFault(t, f.target, service.Fault{DelayMS: 500})
	for _, key := range []string{"k1", ""} {
		body := "catch of a caller who hangs up, key " + key
		ctx, disconnect := context.WithCancel(context.Background())
		header := http.Header{"Authorization": {"Bearer " + testKey}}
		if key != "" {
			header.Set("Idempotency-Key", key)
		}
		go call(ctx, f.entry, http.MethodPost, "/ledger/bookings", header, body)
		waitFor(t, convergenceTimeout, "the service runs the call", func() bool { return f.runCount(body) > 0 })
		disconnect()
	}
	result := f.repeatUntilResolved(f.home, "k1", "catch of a caller who hangs up, key k1")
	must.True(t, result.complete)
	// The service has run the two calls and nothing else: neither a repeat nor a
	// cancellation reached it.
	must.Len(t, 2, serviceRecords(t, f.target))
}

// TestKeyedBookingUnderFailure sends each idempotency key to both daemons at the
// same time while daemons, the platform or the service fail, then repeats it until
// its call is complete or its outcome unknown. No call may run twice.
func TestKeyedBookingUnderFailure(t *testing.T) {
	const keys = 6
	slowService := func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{DelayMS: 300}) }
	setPlatformFault := func(fault platform.Fault) func(*ledgerFleet) {
		return func(f *ledgerFleet) { setFault(f.t, f.platform, fault) }
	}
	kill := func(f *ledgerFleet, victim *process) {
		victim.kill()
		delete(f.daemons, victim.name)
	}
	freezeUntilDown := func(f *ledgerFleet, victim, observer *process) {
		victim.freeze()
		waitFor(f.t, convergenceTimeout, observer.name+" considers "+victim.name+" down", func() bool {
			status, err := daemonStatus(observer)
			return err == nil && len(status.Members) == 1
		})
		victim.thaw()
	}
	for _, test := range []struct {
		name          string
		before        func(*ledgerFleet)
		during        func(*ledgerFleet) // runs once the service has run a call; nil: nothing
		after         func(*ledgerFleet) // runs once all requests have ended; nil: nothing
		mustAnswerAll bool               // every key must end with a complete response
	}{
		{"no failure", func(*ledgerFleet) {}, nil, nil, true},
		{"home killed", slowService, func(f *ledgerFleet) { kill(f, f.home) }, nil, false},
		{"entry killed", slowService, func(f *ledgerFleet) { kill(f, f.entry) }, nil, false},
		{"home frozen", slowService, func(f *ledgerFleet) { freezeUntilDown(f, f.home, f.entry) }, nil, false},
		{"entry frozen", slowService, func(f *ledgerFleet) { freezeUntilDown(f, f.entry, f.home) }, nil, false},
		{"both frozen in turn", slowService, func(f *ledgerFleet) {
			freezeUntilDown(f, f.home, f.entry)
			f.awaitConverged(1)
			freezeUntilDown(f, f.entry, f.home)
		}, nil, false},
		{"platform responses lost", setPlatformFault(platform.Fault{DropResponses: 5}), nil, nil, true},
		{"stale reads", setPlatformFault(platform.Fault{StaleReads: true}), nil, setPlatformFault(platform.Fault{}), true},
		{"stale reads and platform responses lost", setPlatformFault(platform.Fault{StaleReads: true, DropResponses: 5}), nil, setPlatformFault(platform.Fault{}), true},
		{"platform unreachable during call", slowService, setPlatformFault(platform.Fault{Outage: true}), setPlatformFault(platform.Fault{}), false},
		{"platform unreachable and home killed", slowService, func(f *ledgerFleet) {
			setFault(f.t, f.platform, platform.Fault{Outage: true})
			kill(f, f.home)
		}, setPlatformFault(platform.Fault{}), false},
		{"platform and service responses lost", func(f *ledgerFleet) {
			setFault(f.t, f.platform, platform.Fault{DropResponses: 5})
			setFault(f.t, f.target, service.Fault{DropResponses: 3})
		}, nil, nil, false},
		{"service busy", func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{Refuse: "busy"}) }, nil,
			func(f *ledgerFleet) { setFault(f.t, f.target, service.Fault{}) }, true},
		{"slow platform", setPlatformFault(platform.Fault{DelayMS: 200}), nil, nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startLedgerFleet(t, "claims:\n  start_limit: 2s\n  lifetime: 1h\n")
			test.before(f)
			var mu sync.Mutex
			resultsByBody := make(map[string][]callResult)
			var wg sync.WaitGroup
			for n := range keys {
				body := fmt.Sprintf("catch %d", n)
				for _, daemon := range []*process{f.home, f.entry} {
					wg.Go(func() {
						result := postBooking(daemon, "key of "+body, body)
						mu.Lock()
						defer mu.Unlock()
						resultsByBody[body] = append(resultsByBody[body], result)
					})
				}
			}
			if test.during != nil {
				waitFor(t, convergenceTimeout, "the service runs a call", func() bool { return len(serviceRecords(t, f.target)) > 0 })
				test.during(f)
			}
			wg.Wait()
			if test.after != nil {
				test.after(f)
			}
			f.awaitConverged(1)
			outcomes := make(map[string]int)
			for body, results := range resultsByBody {
				for _, daemon := range f.daemons {
					results = append(results, f.repeatUntilResolved(daemon, "key of "+body, body))
				}
				outcomes[results[len(results)-1].outcome()]++
				f.checkKeyRanAtMostOnce(body, results)
			}
			t.Logf("%d keys: %v", keys, outcomes)
			if test.mustAnswerAll {
				must.Eq(t, keys, outcomes["answered"])
			}
		})
	}
}

// checkKeyRanAtMostOnce checks that a key's call ran at most once, that all its
// complete responses are equal, and that no request that was refused as not run
// is among the service's records.
func (f *ledgerFleet) checkKeyRanAtMostOnce(body string, results []callResult) {
	f.t.Helper()
	must.LessEq(f.t, 1, f.runCount(body), must.Sprintf("call %q ran %d times", body, f.runCount(body)))
	notRun := make(map[string]bool)
	text := ""
	for _, result := range results {
		if result.complete && text == "" {
			text = result.text
		}
		if result.complete {
			must.Eq(f.t, text, result.text)
			must.Eq(f.t, 1, f.runCount(body))
		}
		if result.refusal != nil && result.refusal.Outcome == "not_run" {
			notRun[result.refusal.RequestID] = true
		}
	}
	for _, record := range serviceRecords(f.t, f.target) {
		must.False(f.t, notRun[record.RequestID], must.Sprintf("request %s ran although it was refused as not run", record.RequestID))
	}
}

// TestKeyedCallIsRefusedWhilePlatformIsUnreachable checks that a call with an
// idempotency key is refused and does not run while the platform is unreachable,
// since its key cannot be claimed. Calls without a key must still run.
func TestKeyedCallIsRefusedWhilePlatformIsUnreachable(t *testing.T) {
	f := startLedgerFleet(t, "")
	setFault(t, f.platform, platform.Fault{Outage: true})
	refused := postBooking(f.entry, "k1", "one catch")
	must.Eq(t, http.StatusServiceUnavailable, refused.status)
	must.Eq(t, refusal.PlatformAway, refused.refusalReason())
	must.Eq(t, "not_run", refused.outcome())
	must.NotEq(t, "", refused.header.Get("Retry-After"))
	must.True(t, postBooking(f.entry, "", "another catch").complete)
	must.Len(t, 1, serviceRecords(t, f.target))
	setFault(t, f.platform, platform.Fault{})
	must.True(t, postBooking(f.entry, "k1", "one catch").complete)
	must.Eq(t, 1, f.runCount("one catch"))
}

// TestExpiredClaimHolderDoesNotStartCall freezes the entry daemon after it has
// claimed a key and before it has permitted the call to start. Once the claim has
// expired and a repeat at another daemon has run, the resumed daemon must deny
// the start.
func TestExpiredClaimHolderDoesNotStartCall(t *testing.T) {
	const lifetime = 4 * time.Second
	f := startLedgerFleet(t, "claims:\n  start_limit: 400ms\n  lifetime: 4s\n")
	f.homeProxy.addToxic("hold", "timeout", "downstream", `{"timeout":0}`)
	done := make(chan callResult, 1)
	go func() { done <- postBooking(f.entry, "k1", "one catch") }()
	waitFor(t, convergenceTimeout, "the key is claimed", func() bool {
		claims, err := f.platformClient().List(context.Background(), platformapi.KindClaims)
		return err == nil && len(claims.Items) > 0
	})
	f.entry.freeze()
	frozenAt := time.Now()
	waitFor(t, convergenceTimeout, "the claim expires and a repeat runs", func() bool {
		return postBooking(f.home, "k1", "one catch").complete
	})
	must.GreaterEq(t, lifetime-time.Second, time.Since(frozenAt))
	f.homeProxy.clearFaults()
	f.entry.thaw()
	result := <-done
	must.Eq(t, 1, f.runCount("one catch"))
	must.Eq(t, refusal.StartDenied, result.refusalReason())
	must.Eq(t, "not_run", result.outcome())
}
