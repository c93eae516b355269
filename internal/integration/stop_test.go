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

// balancer picks ready daemons for requests, as the platform's load balancer does.
type balancer struct {
	mu      sync.Mutex
	daemons map[string]*process
	next    int
}

// newBalancer returns a balancer over the fleet's current daemons.
func newBalancer(f *fleet) *balancer {
	b := &balancer{daemons: make(map[string]*process)}
	for name, daemon := range f.daemons {
		b.daemons[name] = daemon
	}
	return b
}

// replace sets the process of a daemon that was restarted.
func (b *balancer) replace(name string, daemon *process) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons[name] = daemon
}

// nextReady returns one of the ready daemons, in no particular order, or nil if none
// is ready.
func (b *balancer) nextReady() *process {
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

// isReady reports whether a daemon's readiness check succeeds.
func isReady(daemon *process) bool {
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get("http://" + daemon.addresses["operators"] + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startLoad sends chats and bookings to the daemons that the balancer picks until
// stop is called. The stop function returns the failures.
func (b *balancer) startLoad(t *testing.T) (stop func() []string) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed []string
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	for worker := range 8 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				daemon := b.nextReady()
				if daemon == nil {
					continue
				}
				request := chatRequest{model: "hk-small", chat: fmt.Sprint("chat-", worker, "-", n), maxTokens: 30, stream: true, key: testKey}
				result := request.send(context.Background(), daemon)
				complete := result.complete && result.text == expectedText(request.chat, request.maxTokens)
				if worker%4 == 0 {
					result = call(context.Background(), daemon, http.MethodPost, "/ledger/bookings", header.Clone(), request.chat)
					complete = result.complete && result.status == http.StatusOK
				}
				if !complete {
					mu.Lock()
					failed = append(failed, fmt.Sprintf("%s through %s: status %d, error %v, refusal %+v", request.chat, daemon.name, result.status, result.err, result.refusal))
					mu.Unlock()
				}
			}
		})
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return func() []string {
		cancel()
		wg.Wait()
		return failed
	}
}

// TestRollingRestartFailsNoRequests restarts every daemon twice, one after another,
// under load. No request may fail, and no booking may run twice.
func TestRollingRestartFailsNoRequests(t *testing.T) {
	f := startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.document.Services[0].LoadBound = 4 // relaxed, because the test is not about admission
	f.awaitConverged(f.publish())
	lb := newBalancer(f)
	stop := lb.startLoad(t)
	domains := map[string]string{"d1": "domain-a", "d2": "domain-b", "d3": "domain-a"}
	for range 2 {
		for name, domain := range domains {
			stopped := f.daemons[name]
			stopped.signal(syscall.SIGTERM)
			waitFor(t, convergenceTimeout, name+" exits", stopped.hasExited)
			must.NoError(t, stopped.waitErr)
			delete(f.daemons, name)
			restarted := f.addDaemon(name, daemonOptions{failureDomain: domain})
			waitFor(t, convergenceTimeout, name+" is ready", func() bool { return isReady(restarted) })
			lb.replace(name, restarted)
		}
	}
	must.SliceEmpty(t, stop())
	seenBodies := make(map[string]bool)
	for _, record := range serviceRecords(t, f.targets["l1"]) {
		must.False(t, seenBodies[record.Body], must.Sprint("the service ran a booking twice: ", record.Body))
		seenBodies[record.Body] = true
	}
}

// TestStoppingDaemonServesUntilBalancerReactsToReadiness checks that a stopping
// daemon still accepts requests after it reports not ready, because the load
// balancer reacts only later, and that it is then no engine's home daemon.
func TestStoppingDaemonServesUntilBalancerReactsToReadiness(t *testing.T) {
	f := startSmallFleet(t)
	stopping := f.daemons["d1"]
	stopping.signal(syscall.SIGTERM)
	waitFor(t, convergenceTimeout, "the stopping daemon reports not ready", func() bool { return !isReady(stopping) })
	request := chatRequest{model: "hk-small", chat: "late", maxTokens: 8, stream: true, key: testKey}
	result := request.send(context.Background(), stopping)
	must.NoError(t, result.err)
	must.True(t, result.complete)
	waitFor(t, convergenceTimeout, "the stopping daemon is no engine's home daemon", func() bool {
		status, err := daemonStatus(f.daemons["d2"])
		for _, engine := range status.Engines {
			if engine.Home == "d1" {
				return false
			}
		}
		return err == nil
	})
}

// TestStopCompletesDuringPartition stops the two daemons of a failure domain that is
// cut off from the other one. A running stream must complete, and both daemons must
// exit without an error.
func TestStopCompletesDuringPartition(t *testing.T) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	proxyA, proxyB := newFaultProxy(t), newFaultProxy(t)
	d1 := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", advertiseOutside: proxyA.address()})
	proxyA.setUpstream(d1.addresses["peers"])
	d3 := f.addDaemon("d3", daemonOptions{failureDomain: "domain-a", advertiseOutside: proxyA.address()})
	proxyB.setUpstream(f.addDaemon("d2", daemonOptions{failureDomain: "domain-b", advertiseOutside: proxyB.address(), bootstrap: []string{proxyA.address()}}).addresses["peers"])
	f.awaitConverged(generation)
	request := chatRequest{model: "hk-small", chat: "long", stream: true, key: testKey, maxTokens: longResponseTokens}
	done := make(chan callResult, 1)
	go func() { done <- request.send(context.Background(), d1) }()
	waitFor(t, convergenceTimeout, "the stream starts at an engine", func() bool {
		return len(engineRecords(t, f.targets["e1"]))+len(engineRecords(t, f.targets["e2"]))+len(engineRecords(t, f.targets["e3"])) > 0
	})
	proxyA.blackhole()
	proxyB.blackhole()
	d1.signal(syscall.SIGTERM)
	d3.signal(syscall.SIGTERM)
	result := <-done
	must.NoError(t, result.err)
	must.Eq(t, expectedText(request.chat, longResponseTokens), result.text)
	for _, daemon := range []*process{d1, d3} {
		waitFor(t, convergenceTimeout, daemon.name+" exits", daemon.hasExited)
		must.NoError(t, daemon.waitErr)
	}
}

// TestStopIsBounded stops a daemon during an endless stream. A second signal or the
// stop timeout must make the daemon exit with an error.
func TestStopIsBounded(t *testing.T) {
	for _, test := range []struct {
		name         string
		extraYAML    string
		secondSignal bool
	}{
		{name: "by a second signal", secondSignal: true},
		{name: "by its timeout", extraYAML: "limits:\n  stop_timeout: 3s\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			f.setSmallFleetDocument()
			f.addSmallFleetTargets()
			generation := f.publish()
			daemon := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", extraYAML: test.extraYAML})
			f.awaitConverged(generation)
			request := chatRequest{model: "hk-small", chat: "endless", stream: true, key: testKey, maxTokens: 1_000_000}
			go request.send(context.Background(), daemon)
			waitFor(t, convergenceTimeout, "the stream starts at an engine", func() bool {
				return len(engineRecords(t, f.targets["e1"]))+len(engineRecords(t, f.targets["e2"]))+len(engineRecords(t, f.targets["e3"])) > 0
			})
			daemon.signal(syscall.SIGTERM)
			waitFor(t, convergenceTimeout, "the daemon logs that it is stopping", func() bool { return daemon.logged("stopping") })
			if test.secondSignal {
				daemon.signal(syscall.SIGTERM)
			}
			const stopLimit = 3*time.Second + 5*time.Second // the stop timeout and a margin
			waitFor(t, stopLimit, "the daemon exits", daemon.hasExited)
			must.Error(t, daemon.waitErr)
		})
	}
}
