package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/standin/engine"
)

// content returns the text of an answer, streamed or not.
func (a answer) content(t *testing.T, stream bool) string {
	t.Helper()
	if stream {
		return a.text
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	must.NoError(t, json.Unmarshal([]byte(a.text), &completion))
	must.Len(t, 1, completion.Choices)
	return completion.Choices[0].Message.Content
}

func TestCrossedAnswerReachesNobody(t *testing.T) {
	f := startSmallFleet(t)
	engines := []string{"e1", "e2", "e3"}
	for _, stream := range []bool{true, false} {
		request := chatRequest{model: "hk-small", chat: fmt.Sprintf("crossed, stream %t", stream), maxTokens: 8, stream: stream, key: testKey}
		want := wholeText(request.chat, request.maxTokens)

		// One crossed answer: another engine, or the same one, gives the right one.
		for _, name := range engines {
			setFault(t, f.engines[name], engine.Fault{WrongIDs: 1})
		}
		once := request.send(context.Background(), f.daemons["d1"])
		if once.complete {
			must.Eq(t, want, once.content(t, stream))
		}

		// Nothing but crossed answers: an error, and not a word of an answer.
		for _, name := range engines {
			setFault(t, f.engines[name], engine.Fault{WrongIDs: 1000})
		}
		never := request.send(context.Background(), f.daemons["d2"])
		must.False(t, never.complete)
		must.NotNil(t, never.refusal)
		must.Eq(t, "unknown", never.refusal.Outcome)
		must.Eq(t, 0, never.tokens)

		for _, name := range engines {
			setFault(t, f.engines[name], engine.Fault{})
		}
		again := request.send(context.Background(), f.daemons["d1"])
		must.True(t, again.complete)
		must.Eq(t, want, again.content(t, stream))
	}
}

// TestEachCallerGetsItsOwnWholeAnswer runs many chats through two daemons while
// connections to engines are cut, engines end streams early or cross answers,
// callers hang up, a home freezes and thaws and another one is killed.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	const (
		seed      = 11
		callers   = 24
		perCaller = 12
		tokens    = 30
	)
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	var proxies []*faultProxy
	for i := range f.document.Engines {
		proxy := newFaultProxy(t)
		proxy.forward(f.document.Engines[i].Address)
		f.document.Engines[i].Address = proxy.address()
		proxies = append(proxies, proxy)
	}
	generation := f.publish()
	f.addDaemon("d1", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.addDaemon("killed", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("frozen", daemonOptions{failureDomain: "domain-b"})
	f.awaitSettled(generation)

	var whole, refused, gone, finished atomic.Int32
	var group sync.WaitGroup
	for number := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		entry := f.daemons[[]string{"d1", "d2"}[number%2]]
		group.Go(func() {
			for turn := range perCaller {
				request := chatRequest{
					model: "hk-small", chat: fmt.Sprintf("caller-%d-chat-%d", number, turn),
					maxTokens: tokens, stream: random.IntN(4) > 0, key: testKey,
				}
				ctx, hangUp := context.WithCancel(context.Background())
				if random.IntN(6) == 0 {
					time.AfterFunc(time.Duration(random.IntN(200))*time.Millisecond, hangUp)
				}
				received := request.sendUntilTaken(ctx, entry)
				want := wholeText(request.chat, tokens)
				switch {
				case received.complete:
					whole.Add(1)
					if content := received.content(t, request.stream); content != want {
						t.Errorf("%s: got %q", request.chat, content)
					}
				case ctx.Err() != nil:
					gone.Add(1)
				case received.refusal != nil:
					refused.Add(1)
				default:
					t.Errorf("%s: neither whole nor refused: %v after %q", request.chat, received.err, received.text)
				}
				if request.stream && !strings.HasPrefix(want, received.text) && received.refusal == nil {
					t.Errorf("%s: got %q", request.chat, received.text)
				}
				hangUp()
				finished.Add(1)
			}
		})
	}
	failures := make(chan struct{})
	go func() {
		defer close(failures)
		f.disturb(proxies, &finished)
	}()
	group.Wait()
	<-failures
	t.Logf("seed %d: %d whole, %d refused, %d hung up", seed, whole.Load(), refused.Load(), gone.Load())
	must.Greater(t, int32(callers*perCaller/2), whole.Load())
}

// sendUntilTaken sends a request again while it is refused as not run.
func (c chatRequest) sendUntilTaken(ctx context.Context, daemon *process) answer {
	const pause = 20 * time.Millisecond
	deadline := time.Now().Add(settleLimit)
	for {
		received := c.send(ctx, daemon)
		if received.refusal == nil || received.refusal.Outcome != "not_run" || time.Now().After(deadline) {
			return received
		}
		<-time.After(pause)
	}
}

// disturb brings about one failure after the other, each once some more requests
// have ended.
func (f *fleet) disturb(proxies []*faultProxy, finished *atomic.Int32) {
	engines := []string{"e1", "e2", "e3"}
	cut := func(number int) func() {
		return func() {
			proxies[number].proxy.Stop()
			must.NoError(f.t, proxies[number].proxy.Start())
		}
	}
	fault := func(fault engine.Fault) func() {
		return func() {
			for _, name := range engines {
				setFault(f.t, f.engines[name], fault)
			}
		}
	}
	const apart = 12 // requests between two failures
	for step, fail := range []func(){
		cut(0),
		fault(engine.Fault{CutStreams: 4}),
		f.daemons["frozen"].freeze,
		fault(engine.Fault{WrongIDs: 4}),
		cut(1),
		f.daemons["frozen"].thaw,
		f.daemons["killed"].kill,
		fault(engine.Fault{EndEarly: 4, WrongIDs: 2}),
		cut(2),
		cut(0),
	} {
		waitFor(f.t, settleLimit, "requests end", func() bool { return finished.Load() >= int32((step+1)*apart) })
		fail()
	}
}
