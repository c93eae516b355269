package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Bounds that the users set for a part of a prompt that crashes engines.
const (
	// crashesBeforeHold is the number of crashes after which the fleet must know.
	crashesBeforeHold = 5
	// maxRequestsAfterHold is how many requests with the part may still reach engines.
	maxRequestsAfterHold = 3
	// spreadTimeout is how long after that all daemons may take to receive it.
	spreadTimeout = 3 * time.Second
)

// fatalPart is the part on which the engines of these tests crash.
const fatalPart = "dead"

// crashingFleet is daemons before targets of one service that crash on some requests.
type crashingFleet struct {
	t       *testing.T
	daemons []*testFixture
	targets []*standin.Target
	sent    int // requests that crash targets
}

// newCrashingFleet starts daemons and targets of a service, "writers" or "desk", and arms
// each target.
func newCrashingFleet(t *testing.T, daemons, targets int, service string, arm func(*standin.Target)) *crashingFleet {
	f, writers, desks := newFixture(t)
	fleet := &crashingFleet{t: t, daemons: []*testFixture{f}, targets: desks[:]}
	if service == "writers" {
		fleet.targets = writers[:]
	}
	for len(fleet.daemons) < daemons {
		fleet.daemons = append(fleet.daemons, f.startPeer(f.store.Address()))
	}
	for i := len(fleet.targets); i < targets; i++ {
		fleet.targets = append(fleet.targets, f.addTarget(fmt.Sprint(service, "-", i), service, service == "writers"))
	}
	for _, target := range fleet.targets {
		arm(target)
	}
	for _, daemon := range fleet.daemons {
		daemon.eventually(func() bool { return daemon.rosterSize() == targets+2 })
	}
	return fleet
}

// crashes returns the number of targets that have crashed.
func (c *crashingFleet) crashes() int {
	count := 0
	for _, target := range c.targets {
		if target.Crashed() {
			count++
		}
	}
	return count
}

// sendFatal sends a request with the fatal part to one of the daemons in turn and reports whether
// the daemon refused it as one that is held back. No two are alike: the last shared part differs.
func (c *crashingFleet) sendFatal() (heldBack bool) {
	c.sent++
	daemon := c.daemons[c.sent%len(c.daemons)]
	response, err := daemon.client.Do(daemon.newRequest(standin.CallerRequest{
		Method: "POST", Path: "/queries/1", ID: fmt.Sprint("fatal-", c.sent),
		SharedParts: fmt.Sprintf("aa:100,%s:50,s%d:200", fatalPart, c.sent%4),
		Body:        fmt.Sprint("ask ", c.sent),
	}))
	if err != nil {
		return false
	}
	return isHeldBack(response)
}

// isHeldBack reports whether a response refuses a request that is held back, or with a part that
// is, and closes its body. A daemon whose attempts are used up by targets that are gone answers
// with the same status.
func isHeldBack(response *http.Response) bool {
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body) // breaks off with the target
	return response.StatusCode == http.StatusServiceUnavailable && strings.Contains(string(body), "held_back")
}

// sendSound sends a request without the part, but with its other parts, to each daemon and
// expects complete answers.
func (c *crashingFleet) sendSound(id string) {
	c.t.Helper()
	for i, daemon := range c.daemons {
		for session := range 4 {
			status, _, body := daemon.do(standin.CallerRequest{
				Method: "POST", Path: "/queries/1", ID: fmt.Sprint(id, "-", i, "-", session),
				SharedParts: fmt.Sprintf("aa:100,s%d:200", session),
			})
			must.Eq(c.t, http.StatusOK, status)
			must.Eq(c.t, standin.StreamText(), body)
		}
	}
}

// Incident inc1 on matsya-desk: requests with one part of a prompt crashed one engine after
// another. Each daemon sent the next one to the next engine.
func TestPartThatCrashesEnginesIsHeldBack(t *testing.T) {
	checkFatalPart(t, standin.CrashAfterHead)
}

// Guards against a part that is held back too late because engines crash on it before they send
// anything (issue 25; review, case 4).
func TestPartThatCrashesEnginesBeforeTheirAnswerIsHeldBack(t *testing.T) {
	checkFatalPart(t, standin.CrashBeforeHead)
}

// checkFatalPart sends requests with the fatal part until all daemons hold it back, and
// fails the test if they do not.
func checkFatalPart(t *testing.T, point standin.CrashPoint) {
	fleet := newCrashingFleet(t, 3, 60, "writers", func(engine *standin.Target) { engine.CrashOnPart(fatalPart, point) })
	fleet.sendSound("before")
	for fleet.crashes() < crashesBeforeHold && fleet.sent < 5*crashesBeforeHold {
		fleet.sendFatal()
	}
	refusedInARow := 0
	must.Wait(t, wait.InitialSuccess(wait.Timeout(spreadTimeout), wait.Gap(100*time.Millisecond), wait.BoolFunc(func() bool {
		if refusedInARow++; !fleet.sendFatal() {
			refusedInARow = 0
		}
		return refusedInARow == len(fleet.daemons)
	})), must.Sprint("some daemon still sends such requests to engines"))
	before := fleet.crashes()
	for range 20 {
		fleet.sendFatal()
	}
	must.LessEq(t, maxRequestsAfterHold, fleet.crashes()-before)
	fleet.removeCrashed()
	fleet.sendSound("after")
}

// removeCrashed removes the entries of engines that have crashed, which lapse on the platform: a
// request that is sent to one after another of a third of all would be refused for that.
func (c *crashingFleet) removeCrashed() {
	for _, target := range c.targets {
		if target.Crashed() {
			c.daemons[0].store.Delete(platform.KindTargets, target.ID)
		}
	}
	left := len(c.targets) - c.crashes() + 2
	for _, daemon := range c.daemons {
		daemon.within(recoveryTimeout, func() bool { return daemon.rosterSize() == left })
	}
}
