package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

// completeRequests fills an engine and ends all its requests after a duration, which
// becomes the engine's mean duration.
func (h *harness) completeRequests(engine string, duration time.Duration) {
	running := h.fill(engine, "w")
	h.advance(duration)
	for _, ticket := range running {
		h.release(ticket)
	}
}

func TestQueueServesInOrder(t *testing.T) {
	type queuedRequest struct {
		workspace string
		priority  int32
	}
	for _, test := range []struct {
		name  string
		queue []queuedRequest
		want  []int // indexes into queue, in the order in which the requests start
	}{
		{"older requests first", []queuedRequest{{"a", 0}, {"a", 0}, {"a", 0}}, []int{0, 1, 2}},
		{"higher priority first", []queuedRequest{{"a", 0}, {"a", 5}, {"a", 1}}, []int{1, 2, 0}},
		{"workspace below its share before the workspace that fills the engine", []queuedRequest{{"a", 0}, {"a", 0}, {"b", 0}}, []int{2, 0, 1}},
		{"priority does not override shares", []queuedRequest{{"a", 9}, {"b", 0}, {"b", 0}}, []int{1, 2, 0}},
		{"higher priority first among workspaces below their shares", []queuedRequest{{"b", 0}, {"c", 3}, {"a", 9}}, []int{1, 0, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testDocument("workspaces: [{name: a}, {name: b, share: 2}, {name: c}]\n", 6))
			running := h.fill("e1", "a")
			var tickets []Ticket
			for _, request := range test.queue {
				decision := h.admit(Request{Engine: "e1", Workspace: request.workspace, Priority: request.priority})
				must.Eq(t, Queued, decision.Outcome)
				tickets = append(tickets, decision.Ticket)
			}
			for i, position := range test.want {
				h.release(running[i])
				must.MapLen(t, i+1, h.finalDecisions)
				must.MapContainsKey(t, h.finalDecisions, tickets[position])
				must.Eq(t, Admitted, h.finalDecisions[tickets[position]].Outcome)
			}
		})
	}
}

func TestFullQueueEvictsFromBusiestWorkspace(t *testing.T) {
	h := newHarness(t, testDocument("", 4))
	h.fill("e1", "a")
	var surge []Ticket
	for range 3 {
		surge = append(surge, h.admit(Request{Engine: "e1", Workspace: "a"}).Ticket)
	}
	must.Eq(t, refusal.EngineBusy, h.admit(Request{Engine: "e1", Workspace: "a"}).Refusal.Reason)
	must.Eq(t, Queued, h.admit(Request{Engine: "e1", Workspace: "b"}).Outcome)
	must.Eq(t, refusal.EngineBusy, h.finalDecisions[surge[2]].Refusal.Reason)
	must.Positive(t, h.finalDecisions[surge[2]].Refusal.RetryAfter)
}

func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, testDocument("", 4))
	h.completeRequests("e1", 8*time.Second)
	h.fill("e1", "w")
	decision := h.admit(Request{Engine: "e1", Deadline: h.now.Add(time.Second)})
	must.Eq(t, Refused, decision.Outcome)
	must.Eq(t, refusal.DeadlineUnmet, decision.Refusal.Reason)
	must.True(t, decision.Refusal.DidNotRun())
	must.Eq(t, 2*time.Second, decision.Refusal.RetryAfter)
	must.Eq(t, Queued, h.admit(Request{Engine: "e1", Deadline: h.now.Add(3 * time.Second)}).Outcome)
}

func TestWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, testDocument("", 4))
	h.completeRequests("e1", 8*time.Second)
	h.fill("e1", "w")
	decision := h.admit(Request{Engine: "e1", Deadline: h.now.Add(5 * time.Second)})
	must.Eq(t, Queued, decision.Outcome)
	for range 12 {
		h.advance(TickInterval)
	}
	must.MapNotContainsKey(t, h.finalDecisions, decision.Ticket)
	h.advance(TickInterval)
	must.Eq(t, refusal.DeadlineUnmet, h.finalDecisions[decision.Ticket].Refusal.Reason)
}

func TestLastResortRequestQueuesAtLoadBound(t *testing.T) {
	h := newHarness(t, testDocument("", 16, 16))
	h.fill("e1", "w")
	decision := h.admit(Request{Engine: "e1", LastResort: true})
	must.Eq(t, Queued, decision.Outcome)
	h.admit(Request{Engine: "e2"})
	h.advance(TickInterval)
	must.Eq(t, Admitted, h.finalDecisions[decision.Ticket].Outcome)
}

func TestQueueOfAnEngineThatLeavesIsRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(*harness)
		want  refusal.Reason
	}{
		{"engine drains", func(h *harness) { h.unavailable["e1"] = true }, refusal.EngineLeaving},
		{"engine is removed from the document", func(h *harness) { h.setDocument(testDocument("")) }, refusal.EngineUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testDocument("", 2))
			running := h.fill("e1", "w")
			decision := h.admit(Request{Engine: "e1"})
			must.Eq(t, Queued, decision.Outcome)
			test.leave(h)
			h.advance(0)
			must.Eq(t, test.want, h.finalDecisions[decision.Ticket].Refusal.Reason)
			for _, ticket := range running {
				h.release(ticket)
			}
			must.Eq(t, 0, h.controller.InFlight("e1"))
		})
	}
}

func TestBackloggedWorkspacesRunTheirShares(t *testing.T) {
	h := newHarness(t, testDocument("workspaces: [{name: surge}, {name: desk, share: 3}]\n", 12))
	var running []Ticket
	var deskRunning, surgeRunning int
	const rounds, warmUp = 400, 100
	for round := range rounds {
		// The workspace surge sends before desk, more requests than the queue
		// holds, and with a higher priority: the priority is the name's length.
		for _, workspace := range []string{"surge", "surge", "surge", "surge", "desk", "desk"} {
			decision := h.admit(Request{Engine: "e1", Workspace: workspace, Priority: int32(len(workspace))})
			if decision.Outcome == Admitted {
				running = append(running, decision.Ticket)
			}
		}
		h.release(running[0])
		running = running[1:]
		for ticket, decision := range h.finalDecisions {
			if decision.Outcome == Admitted {
				running = append(running, ticket)
			}
		}
		clear(h.finalDecisions)
		h.advance(time.Millisecond)
		if round >= warmUp {
			deskRunning += h.controller.engines["e1"].inFlightByWorkspace["desk"]
			surgeRunning += h.controller.engines["e1"].inFlightByWorkspace["surge"]
		}
	}
	must.Between(t, 2.5, float64(deskRunning)/float64(surgeRunning), 3.5)
}

// A trace of TestLoadBoundHoldsDuringHomeDaemonFailure/killed: 30 callers begin at once on an
// idle service of 64 slots. The counts of other homes are on their way, and one of the
// requests that have nowhere else to go is refused, as the queue of its engine is full.
func TestBurstOnAnIdleServiceWaitsForCounts(t *testing.T) {
	h := newHarness(t, testDocument("", 16, 16, 8, 24))
	waiting := 0
	for range 14 {
		decision := h.admit(Request{Engine: "e3", LastResort: true})
		must.NotEq(t, Refused, decision.Outcome, must.Sprint("refused while most slots are free"))
		if decision.Outcome == Queued {
			waiting++
		}
	}
	h.mergePeerCounts("d2", 1, 1, 6, 6, 0, 8)
	h.advance(time.Second)
	started := 0
	for _, decision := range h.finalDecisions {
		must.Eq(t, Admitted, decision.Outcome)
		started++
	}
	must.Positive(t, started)
	must.Less(t, waiting, started, must.Sprint("all start at once, beyond the load bound"))
}

// A busy service keeps no longer queue than it is set to.
func TestQueueOfABusyServiceIsShort(t *testing.T) {
	h := newHarness(t, testDocument("", 4, 4))
	h.mergePeerCounts("d2", 1, 1, 0, 4)
	h.fill("e1", "w")
	for range 3 {
		must.Eq(t, Queued, h.admit(Request{Engine: "e1"}).Outcome)
	}
	must.Eq(t, refusal.EngineBusy, h.admit(Request{Engine: "e1"}).Refusal.Reason)
}

// A last resort waits while other engines have room only as long as its entry daemon, which may
// be of an earlier build, needs it to.
func TestLastResortLeavesTheQueue(t *testing.T) {
	for _, test := range []struct {
		name        string
		leavesQueue bool
		room        bool          // at another engine
		wait        time.Duration // in the queue
		deadline    time.Duration
		want        refusal.Reason // "": it waits on
		wantEngine  string
	}{
		{"just queued", true, true, TickInterval, time.Minute, "", ""},
		{"waited", true, true, lastResortStay, time.Minute, refusal.EngineBusy, "e2"},
		{"waited, no room elsewhere", true, false, lastResortStay, time.Minute, "", ""},
		{"waited long, entry daemon does not send it on", false, true, time.Minute, 2 * time.Minute, "", ""},
		{"cannot start in time", true, true, 0, 4 * time.Second, refusal.EngineBusy, "e2"},
		{"cannot start in time, no room elsewhere", true, false, 0, 4 * time.Second, refusal.DeadlineUnmet, ""},
		{"cannot start in time, entry daemon does not send it on", false, true, 0, 4 * time.Second, refusal.DeadlineUnmet, ""},
		{"deadline has passed", true, true, 0, -time.Second, refusal.DeadlineUnmet, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, testDocument("", 2, 2))
			h.completeRequests("e1", 10*time.Second)
			onE2 := uint32(2)
			if test.room && test.wait == 0 {
				onE2 = 0
			}
			h.mergePeerCounts("d2", 1, 1, 2, onE2)
			decision := h.admit(Request{Engine: "e1", LastResort: true, LeavesQueue: test.leavesQueue, Deadline: h.now.Add(test.deadline)})
			if decision.Outcome == Queued {
				if test.room {
					h.mergePeerCounts("d2", 1, 2, 2, 0)
				}
				h.advance(test.wait)
				var decided bool
				if decision, decided = h.finalDecisions[decision.Ticket]; !decided {
					must.Eq(t, "", test.want)
					return
				}
			}
			must.Eq(t, Refused, decision.Outcome)
			must.Eq(t, test.want, decision.Refusal.Reason)
			must.Eq(t, test.wantEngine, decision.Refusal.BetterEngine)
			must.Eq(t, test.wantEngine != "", decision.Refusal.LeftQueue)
		})
	}
}
