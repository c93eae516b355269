package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

func TestRequestReachesItsServiceUnchanged(t *testing.T) {
	f, _, desks := newFleet(t)
	status, header, body := f.do(standin.Call{Method: "POST", Path: "/bookings/x%2Fy?z=1", ID: "b1", Body: "catch", Forged: true})
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "answer to b1", body)
	must.NotEq(t, "", standin.Signature(header))
	must.Eq(t, 1, runsOf("b1", desks[:]...))
	for _, run := range append(desks[0].Runs(), desks[1].Runs()...) {
		must.Eq(t, "/bookings/x%2Fy?z=1", run.URI)
		must.Eq(t, "catch", run.Body)
		must.Eq(t, standin.Workspace, run.Workspace())
		must.SliceEmpty(t, run.Leaked())
	}
}

func TestStreamIsWhole(t *testing.T) {
	f, _, _ := newFleet(t)
	status, _, body := f.do(standin.Call{Method: "POST", Path: "/queries/1", ID: "q1"})
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, standin.Stream(), body)
}

func TestEachCallerGetsItsOwnAnswer(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"surplus answer": standin.Surplus, "foreign answer": standin.Foreign} {
		t.Run(name, func(t *testing.T) {
			f, _, desks := newFleet(t)
			failBoth(desks, fault, fault, fault)
			for _, id := range []string{"r1", "r2", "r3", "r4", "r5", "r6"} {
				status, _, body := f.do(standin.Call{Method: "GET", Path: "/reads/1", ID: id})
				must.Eq(t, http.StatusOK, status)
				must.Eq(t, "answer to "+id, body)
			}
		})
	}
}

func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		call   standin.Call
		faults []standin.Fault
		status int
		runs   int
	}{
		{"a lost booking may have run, and is not sent again", standin.Call{Method: "POST", Path: "/bookings/1"}, []standin.Fault{standin.LoseAnswer}, http.StatusBadGateway, 1},
		{"a refused booking has not run", standin.Call{Method: "POST", Path: "/bookings/1"}, []standin.Fault{standin.Full}, http.StatusServiceUnavailable, 0},
		{"a failed booking is passed on", standin.Call{Method: "POST", Path: "/bookings/1"}, []standin.Fault{standin.FailRun}, http.StatusInternalServerError, 1},
		{"a booking without an answer may have run", standin.Call{Method: "POST", Path: "/bookings/1", Patience: "200"}, []standin.Fault{standin.Hang}, http.StatusGatewayTimeout, 1},
		{"a lost read is sent once more", standin.Call{Method: "GET", Path: "/reads/1"}, []standin.Fault{standin.LoseAnswer}, http.StatusBadGateway, 2},
		{"a failed read is sent once more", standin.Call{Method: "GET", Path: "/reads/1"}, []standin.Fault{standin.FailRun}, http.StatusInternalServerError, 2},
		{"a read without an answer is sent once more", standin.Call{Method: "GET", Path: "/reads/1", Patience: "600"}, []standin.Fault{standin.Hang}, http.StatusGatewayTimeout, 2},
		{"a refused read has not run", standin.Call{Method: "GET", Path: "/reads/1"}, []standin.Fault{standin.Full}, http.StatusServiceUnavailable, 0},
		{"a lost query is not sent again", standin.Call{Method: "POST", Path: "/queries/1"}, []standin.Fault{standin.LoseAnswer}, http.StatusBadGateway, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, writers, desks := newFleet(t)
			failBoth(writers, c.faults...)
			failBoth(desks, c.faults...)
			c.call.ID = "x1"
			status, header, _ := f.do(c.call)
			must.Eq(t, c.status, status)
			must.Eq(t, c.runs, runsOf("x1", append(writers[:], desks[:]...)...))
			must.Eq(t, status == http.StatusServiceUnavailable, header.Get("Retry-After") != "")
		})
	}
}

func TestReadIsServedByTheSecondTarget(t *testing.T) {
	f, _, desks := newFleet(t)
	desks[0].Fail(standin.LoseAnswer, standin.LoseAnswer)
	desks[1].Fail(standin.None)
	for _, id := range []string{"r1", "r2", "r3", "r4"} {
		status, _, body := f.do(standin.Call{Method: "GET", Path: "/reads/1", ID: id})
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, "answer to "+id, body)
	}
}

func TestInterruptedStreamGoesOnAtAnotherTarget(t *testing.T) {
	f, writers, _ := newFleet(t)
	// Only the first of the two that is asked breaks off: the other's fault would
	// break the resumed stream again.
	broken := atHome(f, writers)
	broken.Fail(standin.BreakOff)
	status, header, body := f.do(standin.Call{Method: "POST", Path: "/drafts/1", ID: "d1"})
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, standin.Stream(), body)
	must.Eq(t, broken.ID, standin.Signature(header))
	must.Eq(t, 2, runsOf("d1", writers[:]...))
}

func TestStreamThatMayNotGoOnDoesNotLookComplete(t *testing.T) {
	f, writers, _ := newFleet(t)
	failBoth(writers, standin.BreakOff)
	response, err := f.client.Do(f.request(standin.Call{Method: "POST", Path: "/queries/1", ID: "q1"}))
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	must.Error(t, err)
	must.Eq(t, standin.Event(1)+standin.Event(2), string(body))
	must.Eq(t, 1, runsOf("q1", writers[:]...))
}

// atHome returns the target that the test's session goes to.
func atHome(f *testFleet, writers [2]*standin.Target) *standin.Target {
	f.t.Helper()
	status, header, _ := f.do(standin.Call{Method: "POST", Path: "/drafts/1", ID: "home"})
	must.Eq(f.t, http.StatusOK, status)
	if standin.Signature(header) == writers[0].ID {
		return writers[0]
	}
	return writers[1]
}

func TestReturningSessionGoesToItsEngine(t *testing.T) {
	f, writers, _ := newFleet(t)
	home := atHome(f, writers)
	for _, id := range []string{"d1", "d2", "d3", "d4"} {
		f.do(standin.Call{Method: "POST", Path: "/drafts/1", ID: id})
		must.Eq(t, 1, runsOf(id, home))
	}
}

func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	f, writers, _ := newFleet(t)
	for _, writer := range writers {
		t.Cleanup(writer.Hold())
	}
	ctx, leave := context.WithCancel(t.Context())
	response, err := f.client.Do(f.request(standin.Call{Method: "POST", Path: "/queries/1", ID: "q1"}).WithContext(ctx))
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	leave()
	f.eventually(func() bool {
		for _, writer := range writers {
			for _, run := range writer.Runs() {
				select {
				case <-run.Left:
					return true
				default:
				}
			}
		}
		return false
	})
}

func TestCrashedTargetIsPassedOver(t *testing.T) {
	f, writers, _ := newFleet(t)
	home := atHome(f, writers)
	home.Crash()
	for _, id := range []string{"q1", "q2", "q3"} {
		status, _, body := f.do(standin.Call{Method: "POST", Path: "/queries/1", ID: id})
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, standin.Stream(), body)
	}
}

func TestBadRequests(t *testing.T) {
	f, _, _ := newFleet(t)
	cases := []struct {
		name   string
		call   standin.Call
		status int
	}{
		{"no route", standin.Call{Method: "GET", Path: "/nowhere/1", ID: "x"}, http.StatusNotFound},
		{"unknown key", standin.Call{Method: "GET", Path: "/reads/1", ID: "x", Key: "other"}, http.StatusUnauthorized},
		{"no id", standin.Call{Method: "GET", Path: "/reads/1"}, http.StatusBadRequest},
		{"bad deadline", standin.Call{Method: "GET", Path: "/reads/1", ID: "x", Patience: "soon"}, http.StatusBadRequest},
		{"body too large", standin.Call{Method: "POST", Path: "/bookings/1", ID: "x", Body: strings.Repeat("x", 1025)}, http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, _, _ := f.do(c.call)
			must.Eq(t, c.status, status)
		})
	}
	t.Run("smuggled request", func(t *testing.T) {
		line := f.raw(standin.Smuggled())
		must.StrContains(t, line, "400")
	})
}

// Belief about a failure domain is one for all its targets: requests must not find
// each of them dead again.
func TestCutOffDomainIsTriedByConnectionsAlone(t *testing.T) {
	f, writers, _ := newFleet(t)
	for _, writer := range writers {
		f.store.Put(platform.KindTargets, writer.ID, writer.Entry("writers", "south", "ready"))
	}
	f.addTarget("writer-c", "writers", true)
	f.eventually(func() bool {
		north := f.daemon.control.domainTargets("north") // the desks and the new one
		return len(f.daemon.control.domainTargets("south")) == 2 && len(north) == 3
	})
	for _, writer := range writers {
		for _, target := range f.daemon.control.domainTargets("south") {
			if target.ID == writer.ID {
				f.daemon.control.unreachable(target)
			}
		}
	}
	for _, id := range []string{"q1", "q2", "q3", "q4"} {
		status, _, _ := f.do(standin.Call{Method: "POST", Path: "/queries/" + id, ID: id})
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, 0, runsOf(id, writers[:]...))
	}
	// The targets answer to connections, so the domain is believed again.
	f.daemon.cutOff("south", "test")
	f.eventually(func() bool {
		cut := true
		f.daemon.control.do(func() { cut = f.daemon.control.domains.IsCut("south") })
		return !cut
	})
}
