package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Bounds that the users set for a request that crashes the targets that run it.
const (
	// crashesBeforeVerdict is the number of crashes after which the fleet must know.
	crashesBeforeVerdict = 3
	// maxRunsAfterVerdict is how often such a request may still reach targets once all
	// daemons must know, spreadTimeout after the crash that shows it.
	maxRunsAfterVerdict = 3
)

// fatalRequestFleet is a fleet whose targets crash on one request.
type fatalRequestFleet struct {
	*crashingFleet
	fatal standin.FatalRequest
}

func newFatalRequestFleet(t *testing.T, daemons, targets int, fatal standin.FatalRequest) *fatalRequestFleet {
	service := "desk"
	if strings.HasPrefix(fatal.Path, "/drafts/") || strings.HasPrefix(fatal.Path, "/queries/") {
		service = "writers"
	}
	fleet := newCrashingFleet(t, daemons, targets, service, func(target *standin.Target) { target.CrashOnRequest(fatal) })
	return &fatalRequestFleet{crashingFleet: fleet, fatal: fatal}
}

// removeCrashed removes the entries of crashed targets, as the platform does after a while,
// and waits until all daemons know it.
func (c *fatalRequestFleet) removeCrashed() {
	left := len(c.targets) + 2 - c.crashes() // and those of the other service
	for _, target := range c.targets {
		if target.Crashed() {
			c.daemons[0].store.Delete(platform.KindTargets, target.ID)
		}
	}
	for _, daemon := range c.daemons {
		daemon.within(recoveryTimeout, func() bool { return daemon.rosterSize() == left })
	}
}

// arrivals returns how often the request has reached targets.
func (c *fatalRequestFleet) arrivals() int {
	count := 0
	for _, target := range c.targets {
		for _, run := range target.Executions() {
			if run.Method == c.fatal.Method && run.URI == c.fatal.Path && run.Body == c.fatal.Body {
				count++
			}
		}
	}
	return count
}

// sendFatal sends the request to one of the daemons in turn and reports whether the daemon
// refused it as one that is held back. The prompt of a stream has the parts of all others.
func (c *fatalRequestFleet) sendFatal() (heldBack bool) {
	c.sent++
	daemon := c.daemons[c.sent%len(c.daemons)]
	response, err := daemon.client.Do(daemon.newRequest(standin.CallerRequest{
		Method: c.fatal.Method, Path: c.fatal.Path, Body: c.fatal.Body, ID: fmt.Sprint("fatal-", c.sent),
	}))
	if err != nil {
		return false
	}
	return isHeldBack(response)
}

// sendSound sends requests that resemble the fatal one to each daemon and expects answers:
// with another path, with a query and with another body.
func (c *fatalRequestFleet) sendSound(id string) {
	c.t.Helper()
	for i, daemon := range c.daemons {
		for j, call := range []standin.CallerRequest{
			{Path: c.fatal.Path + "x", Body: c.fatal.Body},
			{Path: c.fatal.Path + "?page=2", Body: c.fatal.Body},
			{Path: c.fatal.Path, Body: c.fatal.Body + "x"},
		} {
			call.Method, call.ID = c.fatal.Method, fmt.Sprint(id, "-", i, "-", j)
			status, _, _ := daemon.do(call)
			must.Eq(c.t, http.StatusOK, status, must.Sprint(call.ID))
		}
	}
}

// Incident inc1 of issue 25: a request crashed each target that ran it and came again at
// any daemon, which sent it to the next target.
func TestRequestThatCrashesTargetsIsHeldBack(t *testing.T) {
	cases := []struct {
		name  string
		fatal standin.FatalRequest
	}{
		{"read, before its answer", standin.FatalRequest{Method: "GET", Path: "/reads/1"}},
		{"read, reset after 300 ms", standin.FatalRequest{Method: "GET", Path: "/reads/1", Delay: 300 * time.Millisecond, Reset: true}},
		{"read, after the headers", standin.FatalRequest{Method: "GET", Path: "/reads/1", Point: standin.CrashAfterHead}},
		{"read, in the body", standin.FatalRequest{Method: "GET", Path: "/reads/1", Point: standin.CrashDuringAnswer}},
		{"booking, before its answer", standin.FatalRequest{Method: "POST", Path: "/bookings/1", Body: "book"}},
		{"booking, after the headers", standin.FatalRequest{Method: "POST", Path: "/bookings/1", Body: "book", Point: standin.CrashAfterHead}},
		{"resumable stream, before its answer", standin.FatalRequest{Method: "POST", Path: "/drafts/1", Body: "draft"}},
		{"resumable stream, after the headers", standin.FatalRequest{Method: "POST", Path: "/drafts/1", Body: "draft", Point: standin.CrashAfterHead}},
		{"resumable stream, after two events", standin.FatalRequest{Method: "POST", Path: "/drafts/1", Body: "draft", Point: standin.CrashDuringAnswer}},
		{"other stream, before its answer", standin.FatalRequest{Method: "POST", Path: "/queries/1", Body: "ask"}},
		{"other stream, after two events", standin.FatalRequest{Method: "POST", Path: "/queries/1", Body: "ask", Point: standin.CrashDuringAnswer}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newFatalRequestFleet(t, 3, 60, c.fatal)
			fleet.sendSound("before")
			for fleet.crashes() < crashesBeforeVerdict && fleet.sent < 5*crashesBeforeVerdict {
				fleet.sendFatal()
			}
			refusedInARow := 0
			must.Wait(t, wait.InitialSuccess(wait.Timeout(spreadTimeout), wait.Gap(100*time.Millisecond), wait.BoolFunc(func() bool {
				if refusedInARow++; !fleet.sendFatal() {
					refusedInARow = 0
				}
				return refusedInARow == len(fleet.daemons)
			})), must.Sprint("some daemon still sends the request to targets"))
			before := fleet.arrivals()
			for range 20 {
				fleet.sendFatal()
			}
			must.LessEq(t, maxRunsAfterVerdict, fleet.arrivals()-before)
			fleet.removeCrashed()
			fleet.sendSound("after")
		})
	}
}
