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

// content returns the generated text of a response, streamed or not.
func (r callResult) content(t *testing.T, stream bool) string {
	t.Helper()
	if stream {
		return r.text
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	must.NoError(t, json.Unmarshal([]byte(r.text), &completion))
	must.Len(t, 1, completion.Choices)
	return completion.Choices[0].Message.Content
}

// TestMismatchedResponseIsNotDelivered makes the engines send responses that carry
// the ID of another request. The caller must never receive such a response.
func TestMismatchedResponseIsNotDelivered(t *testing.T) {
	f := startSmallFleet(t)
	engines := []string{"e1", "e2", "e3"}
	for _, stream := range []bool{true, false} {
		request := chatRequest{model: "hk-small", chat: fmt.Sprintf("crossed, stream %t", stream), maxTokens: 8, stream: stream, key: testKey}
		want := expectedText(request.chat, request.maxTokens)

		// One response of each engine is mismatched; a retry may still succeed.
		for _, name := range engines {
			setFault(t, f.targets[name], engine.Fault{WrongRequestIDs: 1})
		}
		afterOneFault := request.send(context.Background(), f.daemons["d1"])
		if afterOneFault.complete {
			must.Eq(t, want, afterOneFault.content(t, stream))
		}

		// Every response is mismatched: the caller must get an error and no tokens.
		for _, name := range engines {
			setFault(t, f.targets[name], engine.Fault{WrongRequestIDs: 1000})
		}
		allFaulty := request.send(context.Background(), f.daemons["d2"])
		must.False(t, allFaulty.complete)
		must.NotNil(t, allFaulty.refusal)
		must.Eq(t, "unknown", allFaulty.refusal.Outcome)
		must.Eq(t, 0, allFaulty.tokens)

		for _, name := range engines {
			setFault(t, f.targets[name], engine.Fault{})
		}
		recovered := request.send(context.Background(), f.daemons["d1"])
		must.True(t, recovered.complete)
		must.Eq(t, want, recovered.content(t, stream))
	}
}

// TestEachCallerGetsItsOwnCompleteResponse runs many chats through two daemons
// while connections to engines break, engines end streams early or send mismatched
// responses, callers disconnect, one daemon is frozen and resumed, and another one
// is killed.
func TestEachCallerGetsItsOwnCompleteResponse(t *testing.T) {
	const (
		seed              = 11
		callerCount       = 24
		requestsPerCaller = 12
		maxTokens         = 30
	)
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	var proxies []*faultProxy
	for i := range f.document.Engines {
		proxy := newFaultProxy(t)
		proxy.setUpstream(f.document.Engines[i].Address)
		f.document.Engines[i].Address = proxy.address()
		proxies = append(proxies, proxy)
	}
	generation := f.publish()
	f.addDaemon("d1", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.addDaemon("killed", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("frozen", daemonOptions{failureDomain: "domain-b"})
	f.awaitConverged(generation)

	var complete, refused, disconnected, finished atomic.Int32
	var wg sync.WaitGroup
	for caller := range callerCount {
		random := rand.New(rand.NewPCG(seed, uint64(caller)))
		entry := f.daemons[[]string{"d1", "d2"}[caller%2]]
		wg.Go(func() {
			for sequence := range requestsPerCaller {
				request := chatRequest{
					model: "hk-small", chat: fmt.Sprintf("caller-%d-chat-%d", caller, sequence),
					maxTokens: maxTokens, stream: random.IntN(4) > 0, key: testKey,
				}
				ctx, disconnect := context.WithCancel(context.Background())
				if random.IntN(6) == 0 {
					time.AfterFunc(time.Duration(random.IntN(200))*time.Millisecond, disconnect)
				}
				result := request.sendUntilAccepted(ctx, entry)
				want := expectedText(request.chat, maxTokens)
				switch {
				case result.complete:
					complete.Add(1)
					if content := result.content(t, request.stream); content != want {
						t.Errorf("%s: complete response has text %q", request.chat, content)
					}
				case ctx.Err() != nil:
					disconnected.Add(1)
				case result.refusal != nil:
					refused.Add(1)
				default:
					t.Errorf("%s: neither complete nor refused: error %v after text %q", request.chat, result.err, result.text)
				}
				if request.stream && !strings.HasPrefix(want, result.text) && result.refusal == nil {
					t.Errorf("%s: streamed text %q is not a prefix of the expected text", request.chat, result.text)
				}
				disconnect()
				finished.Add(1)
			}
		})
	}
	injected := make(chan struct{})
	go func() {
		defer close(injected)
		f.injectFailures(proxies, &finished)
	}()
	wg.Wait()
	<-injected
	t.Logf("seed %d: %d complete, %d refused, %d disconnected by the caller", seed, complete.Load(), refused.Load(), disconnected.Load())
	must.Greater(t, int32(callerCount*requestsPerCaller/2), complete.Load())
}

// sendUntilAccepted resends a request while it is refused with outcome not_run.
// After convergenceTimeout it returns the last refusal.
func (c chatRequest) sendUntilAccepted(ctx context.Context, daemon *process) callResult {
	const retryInterval = 20 * time.Millisecond
	deadline := time.Now().Add(convergenceTimeout)
	for {
		result := c.send(ctx, daemon)
		if result.refusal == nil || result.refusal.Outcome != "not_run" || time.Now().After(deadline) {
			return result
		}
		<-time.After(retryInterval)
	}
}

// injectFailures injects a fixed sequence of failures, one after every
// requestsBetweenFailures finished requests.
func (f *fleet) injectFailures(proxies []*faultProxy, finished *atomic.Int32) {
	engines := []string{"e1", "e2", "e3"}
	dropConnections := func(index int) func() {
		return func() {
			proxies[index].proxy.Stop()
			must.NoError(f.t, proxies[index].proxy.Start())
		}
	}
	setEngineFault := func(fault engine.Fault) func() {
		return func() {
			for _, name := range engines {
				setFault(f.t, f.targets[name], fault)
			}
		}
	}
	const requestsBetweenFailures = 12
	for step, inject := range []func(){
		dropConnections(0),
		setEngineFault(engine.Fault{AbortStreams: 4}),
		f.daemons["frozen"].freeze,
		setEngineFault(engine.Fault{WrongRequestIDs: 4}),
		dropConnections(1),
		f.daemons["frozen"].thaw,
		f.daemons["killed"].kill,
		setEngineFault(engine.Fault{TruncateStreams: 4, WrongRequestIDs: 2}),
		dropConnections(2),
		dropConnections(0),
	} {
		waitFor(f.t, convergenceTimeout, "enough requests finish for the next failure", func() bool { return finished.Load() >= int32((step+1)*requestsBetweenFailures) })
		inject()
	}
}
