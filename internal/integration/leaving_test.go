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
	// leavingDetectionLimit is how long an engine may still receive new work after
	// the engine itself or the platform's host list first reports it as leaving.
	leavingDetectionLimit = 3 * time.Second
	// quietPeriod is how long after leavingDetectionLimit no work may start.
	quietPeriod = 2 * time.Second
)

// startBackgroundLoad sends short requests to all daemons, each of a new chat,
// until stop is called. The stop function returns the incomplete results.
func (f *fleet) startBackgroundLoad() (stop func() []callResult) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var mu sync.Mutex
	var incomplete []callResult
	for _, daemon := range f.daemons {
		for worker := range 2 {
			wg.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					request := chatRequest{model: "hk-small", chat: fmt.Sprint(daemon.name, worker, n), maxTokens: 2, stream: true, key: testKey}
					result := request.send(context.Background(), daemon)
					if !result.complete {
						mu.Lock()
						incomplete = append(incomplete, result)
						mu.Unlock()
					}
				}
			})
		}
	}
	f.t.Cleanup(func() { cancel(); wg.Wait() })
	return func() []callResult {
		cancel()
		wg.Wait()
		return incomplete
	}
}

// setHostState writes the state of a host to the platform's host list.
func (f *fleet) setHostState(name, state string) {
	f.t.Helper()
	ctx, client := context.Background(), f.platformClient()
	spec, err := json.Marshal(platform.HostSpec{State: state})
	must.NoError(f.t, err)
	object := &platform.Object{Metadata: platform.Metadata{Name: name}, Spec: spec}
	if current, err := client.Get(ctx, platform.KindHosts, name); err == nil {
		object.Metadata = current.Metadata
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
	for _, record := range engineRecords(f.t, f.targets[name]) {
		if record.StartMS >= since.UnixMilli() {
			count++
		}
	}
	return count
}

// checkNoNewWork checks that the named engines start no request during the
// quietPeriod that begins leavingDetectionLimit after leavingSince.
func (f *fleet) checkNoNewWork(leavingSince time.Time, names ...string) {
	f.t.Helper()
	<-time.After(time.Until(leavingSince.Add(leavingDetectionLimit + quietPeriod))) // the records show what started meanwhile
	for _, name := range names {
		must.Zero(f.t, f.startsSince(name, leavingSince.Add(leavingDetectionLimit)), must.Sprint("leaving engine started new work: ", name))
	}
}

// awaitNewWork waits until each of the named engines starts a request.
func (f *fleet) awaitNewWork(names ...string) {
	f.t.Helper()
	since := time.Now()
	for _, name := range names {
		waitFor(f.t, convergenceTimeout, name+" starts a new request", func() bool { return f.startsSince(name, since) > 0 })
	}
}

// startLoadedFleet starts three daemons in one failure domain and one in another,
// and a background load on them.
func startLoadedFleet(t *testing.T) (f *fleet, stop func() []callResult) {
	t.Helper()
	f = startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d4", daemonOptions{failureDomain: "domain-a"})
	f.document.Services[0].LoadBound = 4 // relaxed, because the test is not about admission
	f.awaitConverged(f.publish())
	stop = f.startBackgroundLoad()
	f.awaitNewWork("e1", "e2", "e3")
	return f, stop
}

// TestLeavingEngineGetsNoNewWork makes engines report that they drain, marks their
// hosts as leaving in the platform's host list, or does both. The engines must get no
// new work until neither source reports them as leaving, running requests must
// finish, and no caller may see an error.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	f, stop := startLoadedFleet(t)
	longChat := chatRequest{model: "hk-small", chat: "long", stream: true, key: testKey}
	engineName, _, entry := f.warmChatEngine(longChat)

	// Only the engine itself reports that it drains.
	result := f.streamThrough(longChat, entry, engineName, func() {
		setFault(t, f.targets[engineName], engine.Fault{ReportDraining: true})
		f.checkNoNewWork(time.Now(), engineName)
	})
	must.True(t, result.complete, must.Sprintf("stream on the draining engine is incomplete: refusal %+v, error %v", result.refusal, result.err))
	setFault(t, f.targets[engineName], engine.Fault{})
	f.awaitNewWork(engineName)

	// Only the host list says that the engine leaves. A daemon that starts while
	// the platform serves stale reads must learn of it too.
	f.setHostState("e1", platform.HostLeaving)
	f.checkNoNewWork(time.Now(), "e1")
	setFault(t, f.platform, standin.Fault{StaleReads: true})
	f.addDaemon("d5", daemonOptions{failureDomain: "domain-a"})
	f.checkNoNewWork(time.Now().Add(-leavingDetectionLimit), "e1")
	setFault(t, f.platform, standin.Fault{})

	// The engine drains too, and the host list says too early that it is live.
	setFault(t, f.targets["e1"], engine.Fault{ReportDraining: true})
	f.checkNoNewWork(time.Now().Add(-leavingDetectionLimit), "e1")
	f.setHostState("e1", "live")
	f.checkNoNewWork(time.Now().Add(-leavingDetectionLimit), "e1")
	setFault(t, f.targets["e1"], engine.Fault{})
	f.awaitNewWork("e1")

	// Two engines leave at the same time, one by its own report and one by the host
	// list. The report of the first one flaps.
	setFault(t, f.targets["e3"], engine.Fault{ReportDraining: true})
	f.setHostState("e2", platform.HostLeaving)
	f.checkNoNewWork(time.Now(), "e2", "e3")
	for range 2 {
		setFault(t, f.targets["e3"], engine.Fault{})
		f.awaitNewWork("e3")
		setFault(t, f.targets["e3"], engine.Fault{ReportDraining: true})
		f.checkNoNewWork(time.Now(), "e3")
	}
	for _, incomplete := range stop() {
		must.NoError(t, incomplete.err)
		must.Unreachable(t, must.Sprintf("a caller got refusal %+v", incomplete.refusal))
	}
}

func TestRestartedEngineGetsNewWork(t *testing.T) {
	f, _ := startLoadedFleet(t)
	killed := f.targets["e1"]
	killed.kill()
	waitFor(t, convergenceTimeout, "every daemon considers the killed engine not live", func() bool {
		for _, daemon := range f.daemons {
			if f.engineStateAt(daemon, "e1") == 0 {
				return false
			}
		}
		return true
	})
	f.targets["e1"] = startProcess(t, "e1", "hemlockknot-standin", "engine", "--capacity", "16", "--listen", killed.addresses["address"])
	f.awaitNewWork("e1")
}

// engineStateAt returns the state of an engine according to a daemon's status. It
// returns 0, the value of health.Live, if the status does not list the engine.
func (f *fleet) engineStateAt(daemon *process, name string) uint32 {
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

// TestEngineStateSpreadsWithinASecond checks that the daemons of a failure domain
// learn of a draining engine within a second after its home daemon does.
func TestEngineStateSpreadsWithinASecond(t *testing.T) {
	f := startSmallFleet(t)
	for n := range 6 {
		f.addDaemon(fmt.Sprint("more-", n), daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitConverged(1)
	home := f.daemons[homeDaemonName(t, f.daemons["d1"], "e1")]
	setFault(t, f.targets["e1"], engine.Fault{Draining: true})
	waitFor(t, leavingDetectionLimit, "the home daemon detects the drain", func() bool { return f.engineStateAt(home, "e1") != 0 })
	detectedAt := time.Now()
	for name, daemon := range f.daemons {
		if name == "d2" {
			continue // in another failure domain
		}
		waitFor(t, time.Until(detectedAt.Add(time.Second)), name+" learns of the drain", func() bool { return f.engineStateAt(daemon, "e1") != 0 })
	}
}
