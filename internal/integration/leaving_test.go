package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/standin/engine"
	standin "hemlockknot/internal/standin/platform"
	"hemlockknot/internal/state/platform"
)

const (
	// leavingLimit is how long after the first sign a leaving target may still
	// receive work.
	leavingLimit = 3 * time.Second
	// observed is how long after that limit new work is looked for.
	observed = 2 * time.Second
)

// load sends short requests of ever new chats to all daemons until stop is
// called, which returns the answers that were not complete.
func (f *fleet) load() (stop func() []answer) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var mu sync.Mutex
	var broken []answer
	for _, daemon := range f.daemons {
		for worker := range 2 {
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					request := chatRequest{model: "hk-small", chat: fmt.Sprint(daemon.name, worker, n), maxTokens: 2, stream: true, key: testKey}
					received := request.send(context.Background(), daemon)
					if !received.complete {
						mu.Lock()
						broken = append(broken, received)
						mu.Unlock()
					}
				}
			})
		}
	}
	f.t.Cleanup(func() { cancel(); group.Wait() })
	return func() []answer {
		cancel()
		group.Wait()
		return broken
	}
}

// setHost writes a host's state to the platform's list.
func (f *fleet) setHost(name, state string) {
	f.t.Helper()
	ctx, client := context.Background(), f.platformClient()
	spec, err := json.Marshal(platform.HostSpec{State: state})
	must.NoError(f.t, err)
	object := &platform.Object{Metadata: platform.Metadata{Name: name}, Spec: spec}
	if present, err := client.Get(ctx, platform.KindHosts, name); err == nil {
		object.Metadata = present.Metadata
		_, err = client.Update(ctx, platform.KindHosts, object)
		must.NoError(f.t, err)
		return
	}
	_, err = client.Create(ctx, platform.KindHosts, object)
	must.NoError(f.t, err)
}

// startsSince returns how many requests an engine has started since a time.
func (f *fleet) startsSince(name string, since time.Time) int {
	f.t.Helper()
	count := 0
	for _, record := range engineRecords(f.t, f.engines[name]) {
		if record.StartMS >= since.UnixMilli() {
			count++
		}
	}
	return count
}

// awaitNoNewWork checks that engines start nothing from leavingLimit after the
// sign on.
func (f *fleet) awaitNoNewWork(sign time.Time, names ...string) {
	f.t.Helper()
	<-time.After(time.Until(sign.Add(leavingLimit + observed))) // records show what came meanwhile
	for _, name := range names {
		must.Zero(f.t, f.startsSince(name, sign.Add(leavingLimit)), must.Sprint("new work at ", name))
	}
}

// awaitWork waits until engines start work again.
func (f *fleet) awaitWork(names ...string) {
	f.t.Helper()
	since := time.Now()
	for _, name := range names {
		waitFor(f.t, settleLimit, name+" has new work", func() bool { return f.startsSince(name, since) > 0 })
	}
}

// startLeavingFleet starts three daemons of one failure domain and one of
// another, under load.
func startLeavingFleet(t *testing.T) (f *fleet, stop func() []answer) {
	t.Helper()
	f = startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d4", daemonOptions{failureDomain: "domain-a"})
	f.document.Services[0].LoadBound = 4 // admission is not what is tested here
	f.awaitSettled(f.publish())
	stop = f.load()
	f.awaitWork("e1", "e2", "e3")
	return f, stop
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f, stop := startLeavingFleet(t)
	long := chatRequest{model: "hk-small", chat: "long", stream: true, key: testKey}
	engineName, _, entry := f.warmChat(long)

	// The engine reports that it drains; only its report says so.
	received := f.streamThrough(long, entry, engineName, func() {
		setFault(t, f.engines[engineName], engine.Fault{ReportDraining: true})
		f.awaitNoNewWork(time.Now(), engineName)
	})
	must.True(t, received.complete, must.Sprintf("running work finishes: %+v, %v", received.refusal, received.err))
	setFault(t, f.engines[engineName], engine.Fault{})
	f.awaitWork(engineName)

	// The list says so, late and stale, while the engine says nothing.
	f.setHost("e1", platform.HostLeaving)
	f.awaitNoNewWork(time.Now(), "e1")
	setFault(t, f.platform, standin.Fault{StaleReads: true})
	f.addDaemon("d5", daemonOptions{failureDomain: "domain-a"})
	f.awaitNoNewWork(time.Now().Add(-leavingLimit), "e1")
	setFault(t, f.platform, standin.Fault{})

	// The engine drains too, and the list takes it back too early.
	setFault(t, f.engines["e1"], engine.Fault{ReportDraining: true})
	f.awaitNoNewWork(time.Now().Add(-leavingLimit), "e1")
	f.setHost("e1", "live")
	f.awaitNoNewWork(time.Now().Add(-leavingLimit), "e1")
	setFault(t, f.engines["e1"], engine.Fault{})
	f.awaitWork("e1")

	// Two at once, by different signs; one of them flaps.
	setFault(t, f.engines["e3"], engine.Fault{ReportDraining: true})
	f.setHost("e2", platform.HostLeaving)
	f.awaitNoNewWork(time.Now(), "e2", "e3")
	for range 2 {
		setFault(t, f.engines["e3"], engine.Fault{})
		f.awaitWork("e3")
		setFault(t, f.engines["e3"], engine.Fault{ReportDraining: true})
		f.awaitNoNewWork(time.Now(), "e3")
	}
	for _, broken := range stop() {
		must.NoError(t, broken.err)
		must.Unreachable(t, must.Sprintf("a caller saw %+v", broken.refusal))
	}
}

func TestKilledEngineComesBack(t *testing.T) {
	f, _ := startLeavingFleet(t)
	killed := f.engines["e1"]
	killed.kill()
	waitFor(t, settleLimit, "every daemon knows that the engine is down", func() bool {
		for _, daemon := range f.daemons {
			if f.engineState(daemon, "e1") == 0 {
				return false
			}
		}
		return true
	})
	f.engines["e1"] = start(t, "e1", "hemlockknot-standin", "engine", "--capacity", "16", "--listen", killed.listening["address"])
	f.awaitWork("e1")
}

// engineState returns the state of an engine at a daemon.
func (f *fleet) engineState(daemon *process, name string) uint32 {
	f.t.Helper()
	status, err := daemonStatus(daemon)
	must.NoError(f.t, err)
	for _, engine := range status.Engines {
		if engine.Name == name {
			return engine.State
		}
	}
	return 0
}

func TestFindingSpreadsWithinASecond(t *testing.T) {
	f := startSmallFleet(t)
	for n := range 6 {
		f.addDaemon(fmt.Sprint("more-", n), daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitSettled(1)
	home := f.daemons[homeOf(t, f.daemons["d1"], "e1")]
	setFault(t, f.engines["e1"], engine.Fault{Draining: true})
	waitFor(t, leavingLimit, "the home knows", func() bool { return f.engineState(home, "e1") != 0 })
	found := time.Now()
	for name, daemon := range f.daemons {
		if name == "d2" {
			continue // in another failure domain
		}
		waitFor(t, time.Until(found.Add(time.Second)), name+" knows", func() bool { return f.engineState(daemon, "e1") != 0 })
	}
}
