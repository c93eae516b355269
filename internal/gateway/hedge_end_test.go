package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// relayedRequestOf returns a request that the daemon has taken, without an attempt. Its caller is a
// recorder.
func (f *testFixture) relayedRequestOf(ctx context.Context, call standin.CallerRequest) *relayedRequest {
	r := f.newRequest(call).WithContext(ctx)
	r.RequestURI = r.URL.RequestURI()
	incoming := &callerRequest{w: httptest.NewRecorder(), r: r, arrived: time.Now(), buffers: f.daemon.buffers.newReservation()}
	var err error
	incoming.call, err = platform.ParseRequestHeader(r.Header)
	must.NoError(f.t, err)
	must.True(f.t, incoming.decodePrompt())
	must.True(f.t, f.daemon.admit(incoming, f.daemon.config.current()))
	return newRelayedRequest(incoming, attempt.Policy{Repeatable: incoming.route.Repeatable(), Resumable: incoming.route.Resumable, MaxAttempts: incoming.route.MaxAttempts})
}

// hedgeOf registers a hedge beside an attempt.
func (f *testFixture) hedgeOf(silent *targetAttempt) *targetAttempt {
	req := silent.relayedRequest
	hedge := &targetAttempt{relayedRequest: req, position: silent.position, backs: silent}
	req.mu.Lock()
	defer req.mu.Unlock()
	req.state.RecordSilence(silent.record)
	req.hedges[f.daemon.register(hedge)] = struct{}{}
	return hedge
}

// ownLoad returns the daemon's own count of requests in progress at a target.
func (f *testFixture) ownLoad(id string) (load float64) {
	c := f.daemon.coordinator
	c.do(func() { load, _ = c.placement.Load(id, time.Now().Add(time.Hour)) })
	return load
}

// A whole answer that is not used ends the load of its own request only.
func TestUnusedWholeAnswerEndsItsLoadOnce(t *testing.T) {
	f, _, desks := newFixture(t)
	// Another request is in progress at each target.
	injectFaults(desks, standin.HangAfterRun)
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	for _, id := range []string{"other-1", "other-2"} {
		go func() {
			response, err := f.client.Do(f.newRequest(standin.CallerRequest{Method: "POST", Path: "/bookings/1", ID: id}).WithContext(ctx))
			if err == nil {
				_ = response.Body.Close()
			}
		}()
	}
	f.eventually(func() bool { return f.ownLoad(desks[0].ID) == 1 && f.ownLoad(desks[1].ID) == 1 })

	req := f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	first := f.daemon.beginAttempt(req)
	hedge := f.hedgeOf(first)
	outcome, begun := f.daemon.open(hedge)
	must.True(t, begun)
	must.Eq(t, attempt.Answered, outcome)
	must.True(t, hedge.offer())
	f.daemon.endHedges(req) // the caller leaves before the answer is used
	must.Eq(t, 1, f.ownLoad(hedge.targetID()))
}

// One silence of a target is one failure, however many hedges it takes.
func TestOneSilenceIsOneFailure(t *testing.T) {
	f, _, _ := newFixture(t)
	req := f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	first := f.daemon.beginAttempt(req)
	target := f.daemon.coordinator.serviceTargets("desk")[0]
	first.choice = placement.Choice{Target: target}
	f.daemon.recordSilence(first)
	f.daemon.recordSilence(first) // the first hedge has reached no target, and another begins
	c := f.daemon.coordinator
	failed, ejected := 0.0, false
	c.do(func() {
		failed, _ = c.outlier.FailureCounts(target.ID, time.Now())
		ejected = c.outlier.Ejected(target.ID, time.Now())
	})
	must.InDelta(t, 1, failed, 0.1)
	must.False(t, ejected)
}

// A daemon that was not asked, as the attempt had been ended before, can still take requests.
func TestEndedAttemptSaysNothingOfForwarders(t *testing.T) {
	f, _, _ := newFixture(t)
	f.startPeer(f.store.Address())
	f.eventually(func() bool {
		probe := &targetAttempt{relayedRequest: f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "probe"})}
		return len(f.daemon.peers.forwarders(probe)) == 1
	})
	req := f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	first := f.daemon.beginAttempt(req)
	hedge := f.hedgeOf(first)
	req.mu.Lock()
	hedge.supersede()
	req.mu.Unlock()
	_, _, _ = f.daemon.forwardAttempt(hedge)
	probe := &targetAttempt{relayedRequest: f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "probe"})}
	must.Len(t, 1, f.daemon.peers.forwarders(probe))
}

// A connection that could not be opened in time is a failure of its own, also if the wait had been
// hedged before.
func TestConnectionThatTimesOutAfterAHedgeIsAFailure(t *testing.T) {
	f, _, _ := newFixture(t)
	req := f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	first := f.daemon.beginAttempt(req)
	target := f.daemon.coordinator.serviceTargets("desk")[0]
	first.recordChoice(placement.Choice{Target: target})
	first.silenceRecorded.Store(true)
	dialError := &exchange.Error{Step: "connect to", TimedOut: true, Err: &net.OpError{Op: "dial", Err: context.DeadlineExceeded}}
	must.Eq(t, attempt.NotSent, f.daemon.handleAttemptError(first, dialError))
	ejected := false
	f.daemon.coordinator.do(func() { ejected = f.daemon.coordinator.outlier.Ejected(target.ID, time.Now()) })
	must.True(t, ejected)
}

// A comment is no answer: a sound target that has the request is not given up for it (issue 40).
func TestCommentOfASilentTargetEndsNoHedge(t *testing.T) {
	const later = 200 * time.Millisecond // of the hedge's answer
	f, writers, _ := newFixture(t)
	script := standin.NewScript(writers[:]...)
	hedged, commented := make(chan struct{}), make(chan struct{})
	whole := func(head, body string) int { return len(head) + len(body) }
	script.Set("hedged",
		standin.ScriptedAnswer{ // says that it is alive, and breaks off
			Pieces: []string{": wait\n\n"},
			Cut: func(head, body string) int {
				<-hedged
				return len(head) + len(body) - len("0\r\n\r\n")
			},
			Then: func() { close(commented) },
		},
		standin.ScriptedAnswer{
			Cut: func(head, body string) int {
				close(hedged)
				<-commented
				time.Sleep(later)
				return whole(head, body)
			},
		},
	)
	call := standin.CallerRequest{Method: "POST", Path: "/drafts/1", ID: "hedged"}
	end := f.ask(call)
	must.Eq(t, 200, end.status)
	must.True(t, end.complete)
	must.Eq(t, streamAfter(0), end.body)
}

// A hedge does not wait for a fetch from the target that is silent.
func TestHedgeDoesNotFetchFromTheSilentTarget(t *testing.T) {
	call := beginHedged(t, "/drafts/1")
	for _, run := range call.runs {
		for _, target := range call.targets {
			must.NotEq(t, target.Spec("", "", "")["address"].(string), run.FetchFrom())
		}
	}
}

// A whole answer that is in hand when the request has to end is delivered.
func TestWholeAnswerInHandIsDelivered(t *testing.T) {
	f, _, _ := newFixture(t)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	req := f.relayedRequestOf(ctx, standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	first := f.daemon.beginAttempt(req)
	hedge := f.hedgeOf(first)
	_, begun := f.daemon.open(hedge)
	must.True(t, begun)
	must.True(t, hedge.offer())
	end() // a stop cuts the request, or its caller closes its sending half
	next := f.daemon.nextAttempt(first, attempt.NoAnswer)
	must.True(t, next == hedge)
	must.Eq(t, attempt.Answered, f.daemon.run(next))
	must.Nil(t, f.daemon.nextAttempt(next, attempt.Answered))
	must.Eq(t, attempt.Deliver, req.lastAction)
	must.Eq(t, 200, req.w.(*httptest.ResponseRecorder).Code)
}

// A request that is silent by way of a daemon is not hedged by way of the same one.
func TestHedgeTakesAnotherDaemon(t *testing.T) {
	f, _, _ := newFixture(t)
	f.startPeer(f.store.Address())
	const name = "front-2" // of the first peer
	probe := &targetAttempt{relayedRequest: f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "probe"})}
	f.eventually(func() bool { return len(f.daemon.peers.forwarders(probe)) == 1 })
	f.daemon.coordinator.markUnreached("desk")
	req := f.relayedRequestOf(t.Context(), standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	first := f.daemon.beginAttempt(req)
	first.via = name
	must.False(t, f.daemon.beginHedge(first))
	f.daemon.endHedges(req)
}

// The end of a stream without a further event is no better answer than that of a sound target that
// is silent: the stream may have had more (rule ORDER). It is the answer if the other has none.
func TestStreamWithoutAnEventDoesNotEndASilentOne(t *testing.T) {
	const seen = 2
	for _, goesOn := range []bool{true, false} {
		t.Run(fmt.Sprint("the silent target goes on ", goesOn), func(t *testing.T) {
			f, writers, _ := newFixture(t)
			var releases []func()
			for _, writer := range writers {
				releases = append(releases, writer.PauseStreamsAfter(seen))
			}
			ended := make(chan answerEnd, 1)
			go func() {
				ended <- f.ask(standin.CallerRequest{Method: "POST", Path: "/drafts/1", ID: "hedged", DeadlineMs: "1500"})
			}()
			f.eventually(func() bool { return countRuns("hedged", writers[:]...) == 1 })
			script := standin.NewScript(writers[:]...)
			script.Set("hedged", standin.ScriptedAnswer{Pieces: []string{}})
			f.eventually(func() bool { return script.Left("hedged") == 0 })
			expected := eventsUpTo(seen)
			if goesOn {
				expected = streamAfter(0)
				time.Sleep(100 * time.Millisecond) // the daemon reads the hedge's answer
				for _, release := range releases {
					release()
				}
			}
			end := <-ended
			must.True(t, end.complete)
			must.Eq(t, expected, end.body)
		})
	}
}

// An answer of a target for which no other would do better, such as 404, is delivered at once: the
// hedge beside it may hang, and the caller leaves at its deadline (issue 40).
func TestAnswerOfASilentTargetDoesNotWaitForItsHedge(t *testing.T) {
	const deadline = 2 * time.Second
	f, _, desks := newFixture(t)
	script := standin.NewScript(desks[:]...)
	hedged := make(chan struct{})
	script.Set("hedged",
		standin.ScriptedAnswer{
			Status: "404 Not Found", Pieces: []string{"none"},
			Cut: func(head, body string) int {
				<-hedged
				return len(head) + len(body)
			},
		},
		standin.ScriptedAnswer{
			Hang: true,
			Cut: func(string, string) int {
				close(hedged)
				return 0
			},
		},
	)
	ctx, leave := context.WithTimeout(t.Context(), deadline)
	defer leave()
	call := standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged", DeadlineMs: fmt.Sprint(deadline.Milliseconds())}
	response, err := f.client.Do(f.newRequest(call).WithContext(ctx))
	must.NoError(t, err, must.Sprint("the caller has left without the answer"))
	must.NoError(t, response.Body.Close())
	must.Eq(t, 404, response.StatusCode)
}

// A failure of a target is kept while another attempt may do better, but not beyond the time at which
// the caller leaves: it would get neither an answer nor a refusal.
func TestFailureInHandIsDeliveredBeforeTheDeadline(t *testing.T) {
	const deadline = 2 * time.Second
	for name, silentFails := range map[string]bool{"of the silent target": true, "of the hedge": false} {
		t.Run(name, func(t *testing.T) {
			f, _, desks := newFixture(t)
			hedged := make(chan struct{})
			fails := standin.ScriptedAnswer{Status: "500 Internal Server Error", Pieces: []string{"failed"}}
			silent := standin.ScriptedAnswer{Hang: true, Cut: func(string, string) int { return 0 }}
			hedge := fails
			if silentFails {
				silent, hedge = fails, silent
				silent.Cut = func(head, body string) int {
					<-hedged
					return len(head) + len(body)
				}
				hedge.Cut = func(string, string) int {
					close(hedged)
					return 0
				}
			}
			standin.NewScript(desks[:]...).Set("hedged", silent, hedge)
			ctx, leave := context.WithTimeout(t.Context(), deadline)
			defer leave()
			call := standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged", DeadlineMs: fmt.Sprint(deadline.Milliseconds())}
			response, err := f.client.Do(f.newRequest(call).WithContext(ctx))
			must.NoError(t, err, must.Sprint("the caller has left without the answer"))
			must.NoError(t, response.Body.Close())
			must.Eq(t, 500, response.StatusCode)
			f.noLoadIsLeft(desks[:]...)
		})
	}
}

// A fault of the daemon in a hedge ends the hedge, not the daemon with all that it has in hand.
func TestPanicEndsOnlyItsHedge(t *testing.T) {
	f, _, desks := prepareFixture(t, defaultRetryExtra)
	var armed atomic.Bool
	panicked := make(chan struct{})
	f.dialTarget = func(ctx context.Context, address string) (net.Conn, error) {
		if armed.CompareAndSwap(true, false) {
			close(panicked)
			panic("fault of the daemon")
		}
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	f.start()
	script := standin.NewScript(desks[:]...)
	script.Set("hedged", standin.ScriptedAnswer{Cut: func(head, body string) int {
		armed.Store(true)
		<-panicked
		return len(head) + len(body)
	}})
	end := f.ask(standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: "hedged"})
	must.Eq(t, 200, end.status)
	must.True(t, end.complete)
}
