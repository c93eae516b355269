package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

// train lets an engine finish requests that took a duration each.
func (b *bench) train(engine string, duration time.Duration) {
	running := b.fill(engine, "w")
	b.pass(duration)
	for _, ticket := range running {
		b.release(ticket)
	}
}

func TestQueueServesInOrder(t *testing.T) {
	type queued struct {
		workspace string
		priority  int32
	}
	for _, test := range []struct {
		name  string
		queue []queued
		want  []int // positions in queue, in the order they start
	}{
		{"the earlier first", []queued{{"a", 0}, {"a", 0}, {"a", 0}}, []int{0, 1, 2}},
		{"the urgent first", []queued{{"a", 0}, {"a", 5}, {"a", 1}}, []int{1, 2, 0}},
		{"a workspace below its share before the one that fills the engine", []queued{{"a", 0}, {"a", 0}, {"b", 0}}, []int{2, 0, 1}},
		{"priority pushes no workspace below its share", []queued{{"a", 9}, {"b", 0}, {"b", 0}}, []int{1, 2, 0}},
		{"the urgent first of two below their shares", []queued{{"b", 0}, {"c", 3}, {"a", 9}}, []int{1, 0, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, describe("workspaces: [{name: a}, {name: b, share: 2}, {name: c}]\n", 6))
			running := b.fill("e1", "a")
			var tickets []Ticket
			for _, each := range test.queue {
				decision := b.admit(Request{Engine: "e1", Workspace: each.workspace, Priority: each.priority})
				must.Eq(t, Queued, decision.Outcome)
				tickets = append(tickets, decision.Ticket)
			}
			for i, position := range test.want {
				b.release(running[i])
				must.MapLen(t, i+1, b.final)
				must.MapContainsKey(t, b.final, tickets[position])
				must.Eq(t, Admitted, b.final[tickets[position]].Outcome)
			}
		})
	}
}

func TestFullQueueRefusesTheSurge(t *testing.T) {
	b := newBench(t, describe("", 4))
	b.fill("e1", "a")
	var surge []Ticket
	for range 3 {
		surge = append(surge, b.admit(Request{Engine: "e1", Workspace: "a"}).Ticket)
	}
	must.Eq(t, refusal.EngineBusy, b.admit(Request{Engine: "e1", Workspace: "a"}).Refusal.Reason)
	must.Eq(t, Queued, b.admit(Request{Engine: "e1", Workspace: "b"}).Outcome)
	must.Eq(t, refusal.EngineBusy, b.final[surge[2]].Refusal.Reason)
	must.Positive(t, b.final[surge[2]].Refusal.RetryAfter)
}

func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, describe("", 4))
	b.train("e1", 8*time.Second)
	b.fill("e1", "w")
	soon := b.admit(Request{Engine: "e1", Deadline: b.now.Add(time.Second)})
	must.Eq(t, Refused, soon.Outcome)
	must.Eq(t, refusal.DeadlineUnmet, soon.Refusal.Reason)
	must.True(t, soon.Refusal.DidNotRun())
	must.Eq(t, 2*time.Second, soon.Refusal.RetryAfter)
	must.Eq(t, Queued, b.admit(Request{Engine: "e1", Deadline: b.now.Add(3 * time.Second)}).Outcome)
}

func TestWaitingRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	b := newBench(t, describe("", 4))
	b.train("e1", 8*time.Second)
	b.fill("e1", "w")
	waits := b.admit(Request{Engine: "e1", Deadline: b.now.Add(5 * time.Second)})
	must.Eq(t, Queued, waits.Outcome)
	for range 12 {
		b.pass(TickInterval)
	}
	must.MapNotContainsKey(t, b.final, waits.Ticket)
	b.pass(TickInterval)
	must.Eq(t, refusal.DeadlineUnmet, b.final[waits.Ticket].Refusal.Reason)
}

func TestLastResortWaitsAtItsBound(t *testing.T) {
	b := newBench(t, describe("", 16, 16))
	b.fill("e1", "w")
	waits := b.admit(Request{Engine: "e1", LastResort: true})
	must.Eq(t, Queued, waits.Outcome)
	b.admit(Request{Engine: "e2"})
	b.pass(TickInterval)
	must.Eq(t, Admitted, b.final[waits.Ticket].Outcome)
}

func TestQueueOfAnEngineThatLeavesIsRefused(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(*bench)
		want  refusal.Reason
	}{
		{"it drains", func(b *bench) { b.away["e1"] = true }, refusal.EngineLeaving},
		{"it leaves the document", func(b *bench) { b.setDocument(describe("")) }, refusal.EngineUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, describe("", 2))
			running := b.fill("e1", "w")
			waits := b.admit(Request{Engine: "e1"})
			must.Eq(t, Queued, waits.Outcome)
			test.leave(b)
			b.pass(0)
			must.Eq(t, test.want, b.final[waits.Ticket].Refusal.Reason)
			for _, ticket := range running {
				b.release(ticket)
			}
			must.Eq(t, 0, b.control.InFlight("e1"))
		})
	}
}

func TestBackloggedWorkspacesRunTheirShares(t *testing.T) {
	b := newBench(t, describe("workspaces: [{name: surge}, {name: desk, share: 3}]\n", 12))
	var running []Ticket
	var desk, surge int
	const rounds, warmUp = 400, 100
	for round := range rounds {
		// The surge sends first, more than the queue holds, and calls it urgent.
		for _, workspace := range []string{"surge", "surge", "surge", "surge", "desk", "desk"} {
			decision := b.admit(Request{Engine: "e1", Workspace: workspace, Priority: int32(len(workspace))})
			if decision.Outcome == Admitted {
				running = append(running, decision.Ticket)
			}
		}
		b.release(running[0])
		running = running[1:]
		for ticket, decision := range b.final {
			if decision.Outcome == Admitted {
				running = append(running, ticket)
			}
		}
		clear(b.final)
		b.pass(time.Millisecond)
		if round >= warmUp {
			desk += b.control.engines["e1"].workspaces["desk"]
			surge += b.control.engines["e1"].workspaces["surge"]
		}
	}
	must.Between(t, 2.5, float64(desk)/float64(surge), 3.5)
}
