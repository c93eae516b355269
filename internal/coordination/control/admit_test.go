package control

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

const oneSmallEngine = `name: test
places: [{name: a, failure_domain: a}]
services: [{name: writer, kind: model}]
engines: [{name: e1, service: writer, place: a, address: "127.0.0.1:1", capacity: 2}]
`

// startLoop runs a loop with one engine that is full, and returns the tickets of
// what it runs.
func startLoop(t *testing.T) (*Loop, []admission.Ticket) {
	t.Helper()
	document, err := environment.Parse([]byte(oneSmallEngine))
	must.NoError(t, err)
	loop := New(&peerpb.Member{Name: "d1"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	must.True(t, loop.Apply(&Snapshot{Generation: 1, Document: document}))
	var running []admission.Ticket
	for range 2 {
		ticket, refused := loop.Admit(context.Background(), request("first"))
		must.Nil(t, refused)
		running = append(running, ticket)
	}
	return loop, running
}

func request(id string) admission.Request {
	return admission.Request{ID: id, Service: "writer", Engine: "e1", Deadline: time.Now().Add(time.Minute)}
}

// inFlight returns what the engine carries, and how many requests wait.
func inFlight(loop *Loop) (carried, waiting int) {
	loop.Do(func(state *State, _ time.Time) {
		carried, waiting = state.Admission.InFlight("e1"), len(state.waiters)
	})
	return carried, waiting
}

// awaitQueued returns once a number of requests wait.
func awaitQueued(loop *Loop, count int) {
	for _, waiting := inFlight(loop); waiting < count; _, waiting = inFlight(loop) {
	}
}

func TestQueuedRequestStartsAtARelease(t *testing.T) {
	loop, running := startLoop(t)
	started := make(chan *refusal.Refusal)
	go func() {
		_, refused := loop.Admit(context.Background(), request("second"))
		started <- refused
	}()
	awaitQueued(loop, 1)
	loop.Release(running[0])
	must.Nil(t, <-started)
	carried, waiting := inFlight(loop)
	must.Eq(t, 2, carried)
	must.Eq(t, 0, waiting)
}

// A cancellation and the release that admits the same request may come in
// either order. Neither may leak the engine's slot nor give it back twice.
func TestCancellationRacesAdmission(t *testing.T) {
	loop, running := startLoop(t)
	held := running[0]
	const rounds = 500
	for round := range rounds {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			ticket, refused := loop.Admit(ctx, request(fmt.Sprint(round)))
			if refused == nil {
				loop.Release(ticket)
			}
		}()
		awaitQueued(loop, 1)
		var race sync.WaitGroup
		race.Go(cancel)
		race.Go(func() { loop.Release(held) })
		race.Wait()
		<-done
		carried, waiting := inFlight(loop)
		must.Eq(t, 1, carried, must.Sprintf("round %d", round))
		must.Eq(t, 0, waiting)
		ticket, refused := loop.Admit(context.Background(), request("refill"))
		must.Nil(t, refused)
		held = ticket
	}
}
