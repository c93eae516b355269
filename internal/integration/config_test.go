package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/docsync"
	"hemlockknot/internal/standin/engine"
	standin "hemlockknot/internal/standin/platform"
	"hemlockknot/internal/state/platform"
)

// configTimeout is the specified limit for a configuration change to take effect on
// all daemons.
const configTimeout = 15 * time.Second

// publishChange publishes the fleet's document with a changed load bound. It does
// not read the object first, so it also works while the platform serves stale
// reads.
func (f *fleet) publishChange(current *platform.Object) *platform.Object {
	f.t.Helper()
	f.document.Services[0].LoadBound = 1.25 + 0.01*float64(current.Metadata.Generation)
	return f.replaceDocument(current, string(f.documentText()))
}

// replaceDocument updates the environment object with a document text.
func (f *fleet) replaceDocument(current *platform.Object, text string) *platform.Object {
	f.t.Helper()
	spec, err := json.Marshal(platform.EnvironmentSpec{Document: text})
	must.NoError(f.t, err)
	updated, err := f.platformClient().Update(context.Background(), platform.KindEnvironments,
		&platform.Object{Metadata: current.Metadata, Spec: spec})
	must.NoError(f.t, err)
	return updated
}

func (f *fleet) environmentObject() *platform.Object {
	f.t.Helper()
	object, err := f.platformClient().Get(context.Background(), platform.KindEnvironments, environmentName)
	must.NoError(f.t, err)
	return object
}

// awaitGeneration waits until each daemon has applied a generation or a later one.
// It then sends requests through all daemons and checks in the engines' records
// that none of them ran under an older generation.
func (f *fleet) awaitGeneration(generation uint64, timeout time.Duration) {
	f.t.Helper()
	deadline := time.Now().Add(timeout)
	for name, daemon := range f.daemons {
		waitFor(f.t, time.Until(deadline), fmt.Sprintf("%s applies generation %d", name, generation), func() bool {
			status, err := daemonStatus(daemon)
			return err == nil && status.Generation >= generation
		})
	}
	appliedEverywhereMS := time.Now().UnixMilli()
	for range 3 {
		f.checkAllDaemonsServe(fmt.Sprint("generation-", generation))
	}
	for _, target := range []string{"e1", "e2", "e3"} {
		for _, record := range engineRecords(f.t, f.targets[target]) {
			if record.StartMS >= appliedEverywhereMS {
				must.GreaterEq(f.t, generation, f.generationOf(record))
			}
		}
	}
}

// restartDaemon kills a daemon and starts a new process with its name and no state.
func (f *fleet) restartDaemon(name, domain string) {
	f.t.Helper()
	f.daemons[name].kill()
	delete(f.daemons, name)
	f.addDaemon(name, daemonOptions{failureDomain: domain})
}

// TestConfigurationIsAppliedInTimeAndNeverReverts changes the configuration during
// several platform faults. Every daemon must apply the change within
// configTimeout, and neither a running nor a restarted daemon may serve under an
// older generation afterwards.
func TestConfigurationIsAppliedInTimeAndNeverReverts(t *testing.T) {
	f := startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d4", daemonOptions{failureDomain: "domain-a"})
	current := f.environmentObject()
	f.awaitConverged(current.Metadata.Generation)
	f.watchGenerations()
	for _, test := range []struct {
		name    string
		fault   standin.Fault
		restart string // daemon to restart once the change is applied, if any
		// faultDuration is how long the fault lasts after the change. Stale reads, and
		// a fault whose duration is 0, last until the end of the case.
		faultDuration time.Duration
	}{
		{name: "no fault"},
		{name: "slow platform", fault: standin.Fault{DelayMS: 2000}},
		{name: "stale reads", fault: standin.Fault{StaleReads: true}, restart: "d1"},
		{name: "slow platform with stale reads", fault: standin.Fault{DelayMS: 1500, StaleReads: true}, restart: "d2"},
		{name: "silent watches", fault: standin.Fault{SilenceWatches: true}, faultDuration: 4 * time.Second},
		{name: "silent watches and stale reads", fault: standin.Fault{SilenceWatches: true, StaleReads: true}, restart: "d3", faultDuration: 4 * time.Second},
		{name: "platform outage", fault: standin.Fault{Outage: true}, restart: "d4", faultDuration: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.fault.Outage {
				current = f.publishChange(current)
				setFault(t, f.platform, test.fault)
			} else {
				setFault(t, f.platform, test.fault)
				current = f.publishChange(current)
			}
			deadline := time.Now().Add(configTimeout)
			<-time.After(test.faultDuration)
			if test.faultDuration > 0 {
				setFault(t, f.platform, standin.Fault{StaleReads: test.fault.StaleReads})
			}
			f.awaitGeneration(current.Metadata.Generation, time.Until(deadline))
			if test.restart != "" {
				f.restartDaemon(test.restart, failureDomainOf[test.restart])
				f.awaitServing(test.restart, current.Metadata.Generation)
			}
			setFault(t, f.platform, standin.Fault{})
		})
	}
}

// failureDomainOf maps the daemons of TestConfigurationIsAppliedInTimeAndNeverReverts
// to their failure domains.
var failureDomainOf = map[string]string{"d1": "domain-a", "d2": "domain-b", "d3": "domain-a", "d4": "domain-a"}

// awaitServing sends requests to a starting daemon until it has served 20 of them,
// and checks that none ran under a generation older than the given one.
func (f *fleet) awaitServing(name string, generation uint64) {
	f.t.Helper()
	chat := fmt.Sprint("first-at-", name, "-", generation)
	for served := 0; served < 20; {
		request := chatRequest{model: "hk-small", chat: chat, maxTokens: 1, stream: true, key: testKey}
		if request.send(context.Background(), f.daemons[name]).complete {
			served++
		}
	}
	for _, target := range []string{"e1", "e2", "e3"} {
		for _, record := range engineRecords(f.t, f.targets[target]) {
			if record.FirstUserMessage == chat {
				must.GreaterEq(f.t, generation, f.generationOf(record))
			}
		}
	}
}

// generationOf returns the generation that an engine recorded for a request.
func (f *fleet) generationOf(record engine.Record) uint64 {
	f.t.Helper()
	generation, err := strconv.ParseUint(record.Generation, 10, 64)
	must.NoError(f.t, err)
	return generation
}

// watchGenerations checks until the end of the test that no daemon that runs now
// goes back to an older generation. Daemons started later are not checked.
func (f *fleet) watchGenerations() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, daemon := range f.daemons {
		wg.Go(func() {
			highest := uint64(0)
			for ctx.Err() == nil {
				<-time.After(20 * time.Millisecond)
				status, err := daemonStatus(daemon)
				if err != nil {
					continue
				}
				if status.Generation < highest {
					f.t.Errorf("%s went back from generation %d to %d", daemon.name, highest, status.Generation)
				}
				highest = max(highest, status.Generation)
			}
		})
	}
	f.t.Cleanup(func() { cancel(); wg.Wait() })
}

// TestDaemonsKeepLastValidDocument publishes an unparsable document, then deletes
// and recreates the environment object. Running and restarted daemons must keep
// the last valid document until a valid one with a higher generation appears.
func TestDaemonsKeepLastValidDocument(t *testing.T) {
	f := startSmallFleet(t)
	valid := f.publishChange(f.environmentObject())
	f.awaitGeneration(valid.Metadata.Generation, configTimeout)
	invalid := f.replaceDocument(valid, "services: [")
	waitFor(t, configTimeout, "d1 refuses the invalid document", func() bool { return f.daemons["d1"].logged("document refused") })
	f.restartDaemon("d2", "domain-b")
	f.awaitGeneration(valid.Metadata.Generation, configTimeout)
	waitFor(t, configTimeout, "the restarted d2 refuses the invalid document", func() bool { return f.daemons["d2"].logged("document refused") })
	must.Eq(t, 1, strings.Count(f.daemons["d1"].logText(), "document refused"))

	// The generation of a deleted and recreated object starts again at 1.
	client := f.platformClient()
	must.NoError(t, client.Delete(context.Background(), platform.KindEnvironments, environmentName))
	invalid.Metadata = platform.Metadata{Name: environmentName}
	recreated, err := client.Create(context.Background(), platform.KindEnvironments, invalid)
	must.NoError(t, err)
	f.restartDaemon("d2", "domain-b")
	f.awaitGeneration(valid.Metadata.Generation, configTimeout)
	for recreated.Metadata.Generation <= invalid.Metadata.Generation+valid.Metadata.Generation {
		recreated = f.publishChange(recreated)
	}
	f.awaitGeneration(recreated.Metadata.Generation, configTimeout)
}

// TestPlatformCallsDoNotGrowWithDaemons counts the platform calls of an idle fleet
// of ten daemons. Only docsync.WatchersPerDomain daemons of a failure domain may
// watch the platform, whatever the number of daemons.
func TestPlatformCallsDoNotGrowWithDaemons(t *testing.T) {
	f := startSmallFleet(t)
	for n := range 8 {
		f.addDaemon(fmt.Sprint("more-", n), daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitConverged(1)
	const window = 10 * time.Second
	before := f.platformCalls()
	<-time.After(window) // the test counts the calls during the window
	after := f.platformCalls()
	// Each watcher watches two kinds of objects, environments and hosts, and its
	// watch calls last 5 s.
	const kinds, domains, watchers = 2, 2, docsync.WatchersPerDomain
	const perWatcher = int(window/(5*time.Second)) + 1
	t.Logf("%d daemons: %d watches and %d lists in %s", len(f.daemons), after["watch"]-before["watch"], after["list"]-before["list"], window)
	must.LessEq(t, kinds*domains*watchers*perWatcher, after["watch"]-before["watch"])
	must.Eq(t, before["list"], after["list"])
}

// platformCalls returns how many calls the platform has received, by verb.
func (f *fleet) platformCalls() map[string]int {
	f.t.Helper()
	calls, err := getJSON[map[string]int]("http://" + f.platform.addresses["address"] + "/standin/calls")
	must.NoError(f.t, err)
	return calls
}

// TestDaemonStartsInDomainPartitionedFromPlatform starts daemons in a failure
// domain that reaches neither the platform nor the other domain. They must get
// the document from a peer of their own domain, and follow changes once the
// partition ends.
func TestDaemonStartsInDomainPartitionedFromPlatform(t *testing.T) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	platformProxy := newFaultProxy(t)
	platformProxy.setUpstream(f.platform.addresses["address"])
	proxyA, proxyB := newFaultProxy(t), newFaultProxy(t)
	proxyA.setUpstream(f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", advertiseOutside: proxyA.address()}).addresses["peers"])
	domainBOptions := daemonOptions{failureDomain: "domain-b", platform: platformProxy.address(), advertiseOutside: proxyB.address(), bootstrap: []string{proxyA.address()}}
	d2 := f.addDaemon("d2", domainBOptions)
	proxyB.setUpstream(d2.addresses["peers"])
	f.awaitConverged(generation)

	current := f.environmentObject()
	for range 2 { // partition and heal repeatedly
		for _, proxy := range []*faultProxy{platformProxy, proxyA, proxyB} {
			proxy.blackhole()
		}
		domainBOptions.bootstrap = []string{d2.addresses["peers"]}
		name := fmt.Sprint("new-", current.Metadata.Generation)
		newDaemon := f.addDaemon(name, domainBOptions)
		waitFor(t, configTimeout, "the new daemon becomes ready with the current generation", func() bool {
			status, err := daemonStatus(newDaemon)
			return err == nil && status.Ready && status.Generation == current.Metadata.Generation
		})
		current = f.publishChange(current)
		for _, proxy := range []*faultProxy{platformProxy, proxyA, proxyB} {
			proxy.clearFaults()
		}
		f.awaitGeneration(current.Metadata.Generation, configTimeout)
	}
}

// TestWatchersThatLoseThePlatformAreReplaced leaves only one daemon of a failure
// domain connected to the platform, each daemon in turn. All daemons must still
// apply a configuration change.
func TestWatchersThatLoseThePlatformAreReplaced(t *testing.T) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	var proxies []*faultProxy
	for n := range 4 {
		proxy := newFaultProxy(t)
		proxy.setUpstream(f.platform.addresses["address"])
		proxies = append(proxies, proxy)
		f.addDaemon(fmt.Sprint("d", n), daemonOptions{failureDomain: "domain-a", platform: proxy.address()})
	}
	f.awaitConverged(generation)
	current := f.environmentObject()
	for reachable := range proxies {
		for n, proxy := range proxies {
			if n != reachable {
				proxy.blackhole()
			}
		}
		current = f.publishChange(current)
		f.awaitGeneration(current.Metadata.Generation, configTimeout)
		for _, proxy := range proxies {
			proxy.clearFaults()
		}
	}
}
