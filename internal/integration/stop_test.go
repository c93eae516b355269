package integration

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// balancer sends requests to ready daemons, as the platform's balancer does.
type balancer struct {
	mu      sync.Mutex
	daemons map[string]*process
	next    int
}

func newBalancer(f *fleet) *balancer {
	b := &balancer{daemons: make(map[string]*process)}
	for name, daemon := range f.daemons {
		b.daemons[name] = daemon
	}
	return b
}

func (b *balancer) replace(name string, daemon *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons[name] = daemon
}

// pick returns a daemon that was ready a moment ago, by turns.
func (b *balancer) pick() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*process
	for _, daemon := range b.daemons {
		if isReady(daemon) {
			ready = append(ready, daemon)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	b.next++
	return ready[b.next%len(ready)]
}

func isReady(daemon *process) bool {
	client := http.Client{Timeout: reportTimeout}
	response, err := client.Get("http://" + daemon.listening["operators"] + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// callThrough sends chats and bookings through the balancer until stop is called,
// which returns what failed.
func (b *balancer) callThrough(t *testing.T) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	for worker := range 8 {
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				daemon := b.pick()
				if daemon == nil {
					continue
				}
				request := chatRequest{model: "hk-small", chat: fmt.Sprint("chat-", worker, "-", n), maxTokens: 30, stream: true, key: testKey}
				received := request.send(context.Background(), daemon)
				whole := received.complete && received.text == wholeText(request.chat, request.maxTokens)
				if worker%4 == 0 {
					received = call(context.Background(), daemon, http.MethodPost, "/ledger/bookings", header.Clone(), request.chat)
					whole = received.complete && received.status == http.StatusOK
				}
				if !whole {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("%s at %s: status %d, %v, %+v", request.chat, daemon.name, received.status, received.err, received.refusal))
					mu.Unlock()
				}
			}
		})
	}
	t.Cleanup(func() { cancel(); group.Wait() })
	return func() []string {
		cancel()
		group.Wait()
		return failed
	}
}

func TestRollingRestartIsNotNoticed(t *testing.T) {
	f := startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.document.Services[0].LoadBound = 4 // admission is not what is tested here
	f.awaitSettled(f.publish())
	balancer := newBalancer(f)
	stop := balancer.callThrough(t)
	domains := map[string]string{"d1": "domain-a", "d2": "domain-b", "d3": "domain-a"}
	for range 2 {
		for name, domain := range domains {
			old := f.daemons[name]
			old.signal(syscall.SIGTERM)
			waitFor(t, settleLimit, name+" ends", old.hasExited)
			must.NoError(t, old.waitErr)
			delete(f.daemons, name)
			started := f.addDaemon(name, daemonOptions{failureDomain: domain})
			waitFor(t, settleLimit, name+" is ready", func() bool { return isReady(started) })
			balancer.replace(name, started)
		}
	}
	must.SliceEmpty(t, stop())
	booked := make(map[string]bool)
	for _, record := range serviceRecords(t, f.engines["l1"]) {
		must.False(t, booked[record.Body], must.Sprint("booked twice: ", record.Body))
		booked[record.Body] = true
	}
}

func TestStoppingDaemonServesUntilTheBalancerTurns(t *testing.T) {
	f := startSmallFleet(t)
	stopping := f.daemons["d1"]
	stopping.signal(syscall.SIGTERM)
	waitFor(t, settleLimit, "the balancer is told", func() bool { return !isReady(stopping) })
	request := chatRequest{model: "hk-small", chat: "late", maxTokens: 8, stream: true, key: testKey}
	received := request.send(context.Background(), stopping)
	must.NoError(t, received.err)
	must.True(t, received.complete)
	waitFor(t, settleLimit, "no engine's home is the stopping daemon", func() bool {
		status, err := daemonStatus(f.daemons["d2"])
		for _, engine := range status.Engines {
			if engine.Home == "d1" {
				return false
			}
		}
		return err == nil
	})
}

func TestStopDuringAPartitionEnds(t *testing.T) {
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	generation := f.publish()
	toA, toB := newFaultProxy(t), newFaultProxy(t)
	d1 := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", outside: toA.address()})
	toA.forward(d1.listening["peers"])
	d3 := f.addDaemon("d3", daemonOptions{failureDomain: "domain-a", outside: toA.address()})
	toB.forward(f.addDaemon("d2", daemonOptions{failureDomain: "domain-b", outside: toB.address(), bootstrap: []string{toA.address()}}).listening["peers"])
	f.awaitSettled(generation)
	request := chatRequest{model: "hk-small", chat: "long", stream: true, key: testKey, maxTokens: longAnswer}
	done := make(chan answer, 1)
	go func() { done <- request.send(context.Background(), d1) }()
	waitFor(t, settleLimit, "the stream has started", func() bool {
		return len(engineRecords(t, f.engines["e1"]))+len(engineRecords(t, f.engines["e2"]))+len(engineRecords(t, f.engines["e3"])) > 0
	})
	toA.cut()
	toB.cut()
	d1.signal(syscall.SIGTERM)
	d3.signal(syscall.SIGTERM)
	received := <-done
	must.NoError(t, received.err)
	must.Eq(t, wholeText(request.chat, longAnswer), received.text)
	for _, daemon := range []*process{d1, d3} {
		waitFor(t, settleLimit, daemon.name+" ends", daemon.hasExited)
		must.NoError(t, daemon.waitErr)
	}
}

func TestStopIsBounded(t *testing.T) {
	for _, test := range []struct {
		name  string
		extra string
		again bool // a second signal
	}{
		{name: "by a second signal", again: true},
		{name: "by its timeout", extra: "limits:\n  stop_timeout: 3s\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			f.describeSmallFleet()
			f.addSmallEngines()
			generation := f.publish()
			daemon := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", extra: test.extra})
			f.awaitSettled(generation)
			request := chatRequest{model: "hk-small", chat: "endless", stream: true, key: testKey, maxTokens: 1_000_000}
			go request.send(context.Background(), daemon)
			waitFor(t, settleLimit, "the stream has started", func() bool {
				return len(engineRecords(t, f.engines["e1"]))+len(engineRecords(t, f.engines["e2"]))+len(engineRecords(t, f.engines["e3"])) > 0
			})
			daemon.signal(syscall.SIGTERM)
			waitFor(t, settleLimit, "the daemon stops", func() bool { return daemon.logged("stopping") })
			if test.again {
				daemon.signal(syscall.SIGTERM)
			}
			const stopLimit = 3*time.Second + 5*time.Second
			waitFor(t, stopLimit, "the daemon ends", daemon.hasExited)
			must.Error(t, daemon.waitErr)
		})
	}
}
