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

	"hemlockknot/internal/coordination/spread"
	"hemlockknot/internal/standin/engine"
	standin "hemlockknot/internal/standin/platform"
	"hemlockknot/internal/state/platform"
)

// inForceLimit is the stated bound on a change of configuration.
const inForceLimit = 15 * time.Second

// change publishes the fleet's document with a changed load bound, without a
// read, so that it works whatever the platform's reads return.
func (f *fleet) change(present *platform.Object) *platform.Object {
	f.t.Helper()
	f.document.Services[0].LoadBound = 1.25 + 0.01*float64(present.Metadata.Generation)
	return f.replaceText(present, string(f.documentText()))
}

func (f *fleet) replaceText(present *platform.Object, text string) *platform.Object {
	f.t.Helper()
	spec, err := json.Marshal(platform.EnvironmentSpec{Document: text})
	must.NoError(f.t, err)
	updated, err := f.platformClient().Update(context.Background(), platform.KindEnvironments,
		&platform.Object{Metadata: present.Metadata, Spec: spec})
	must.NoError(f.t, err)
	return updated
}

func (f *fleet) environmentObject() *platform.Object {
	f.t.Helper()
	object, err := f.platformClient().Get(context.Background(), platform.KindEnvironments, environmentName)
	must.NoError(f.t, err)
	return object
}

// awaitInForce waits until each daemon has a generation in force, then checks by
// the engines' records that each dispatches under it or a later one.
func (f *fleet) awaitInForce(generation uint64, limit time.Duration) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for name, daemon := range f.daemons {
		waitFor(f.t, time.Until(deadline), fmt.Sprintf("%s has generation %d", name, generation), func() bool {
			status, err := daemonStatus(daemon)
			return err == nil && status.Generation >= generation
		})
	}
	acknowledged := time.Now().UnixMilli()
	for range 3 {
		f.serveEverywhere(fmt.Sprint("generation-", generation))
	}
	for _, target := range []string{"e1", "e2", "e3"} {
		for _, record := range engineRecords(f.t, f.engines[target]) {
			if record.StartMS >= acknowledged {
				must.GreaterEq(f.t, generation, f.generationOf(record))
			}
		}
	}
}

// restartDaemon kills a daemon and starts it anew, as an empty process.
func (f *fleet) restartDaemon(name, domain string) {
	f.t.Helper()
	f.daemons[name].kill()
	delete(f.daemons, name)
	f.addDaemon(name, daemonOptions{failureDomain: domain})
}

func TestConfigurationComesIntoForceAndNeverReverts(t *testing.T) {
	f := startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d4", daemonOptions{failureDomain: "domain-a"})
	present := f.environmentObject()
	f.awaitSettled(present.Metadata.Generation)
	f.watchGenerations()
	for _, test := range []struct {
		name    string
		fault   standin.Fault
		restart string
		lasts   time.Duration // of the fault, after the change
	}{
		{name: "no fault"},
		{name: "slow", fault: standin.Fault{DelayMS: 2000}},
		{name: "stale reads", fault: standin.Fault{StaleReads: true}, restart: "d1"},
		{name: "slow with stale reads", fault: standin.Fault{DelayMS: 1500, StaleReads: true}, restart: "d2"},
		{name: "watches fall silent", fault: standin.Fault{MuteWatches: true}, lasts: 4 * time.Second},
		{name: "silent watches and stale reads", fault: standin.Fault{MuteWatches: true, StaleReads: true}, restart: "d3", lasts: 4 * time.Second},
		{name: "outage", fault: standin.Fault{Outage: true}, restart: "d4", lasts: time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.fault.Outage {
				present = f.change(present)
				setFault(t, f.platform, test.fault)
			} else {
				setFault(t, f.platform, test.fault)
				present = f.change(present)
			}
			deadline := time.Now().Add(inForceLimit)
			<-time.After(test.lasts)
			if test.lasts > 0 {
				setFault(t, f.platform, standin.Fault{StaleReads: test.fault.StaleReads})
			}
			f.awaitInForce(present.Metadata.Generation, time.Until(deadline))
			if test.restart != "" {
				f.restartDaemon(test.restart, domainOf[test.restart])
				f.awaitServing(test.restart, present.Metadata.Generation)
			}
			setFault(t, f.platform, standin.Fault{})
		})
	}
}

// domainOf is where the daemons of the configuration test run.
var domainOf = map[string]string{"d1": "domain-a", "d2": "domain-b", "d3": "domain-a", "d4": "domain-a"}

// awaitServing sends requests to a starting daemon until it has served some, and
// checks that none ran under an older generation than the given one.
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
		for _, record := range engineRecords(f.t, f.engines[target]) {
			if record.Chat == chat {
				must.GreaterEq(f.t, generation, f.generationOf(record))
			}
		}
	}
}

func (f *fleet) generationOf(record engine.Record) uint64 {
	f.t.Helper()
	generation, err := strconv.ParseUint(record.Generation, 10, 64)
	must.NoError(f.t, err)
	return generation
}

// watchGenerations checks until the test's end that no daemon's generation in
// force falls, other than by a restart.
func (f *fleet) watchGenerations() {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, daemon := range f.daemons {
		group.Go(func() {
			highest := uint64(0)
			for ctx.Err() == nil {
				<-time.After(20 * time.Millisecond)
				status, err := daemonStatus(daemon)
				if err != nil {
					continue
				}
				if status.Generation < highest {
					f.t.Errorf("%s fell from generation %d to %d", daemon.name, highest, status.Generation)
				}
				highest = max(highest, status.Generation)
			}
		})
	}
	f.t.Cleanup(func() { cancel(); group.Wait() })
}

func TestBadDocumentsChangeNothing(t *testing.T) {
	f := startSmallFleet(t)
	good := f.change(f.environmentObject())
	f.awaitInForce(good.Metadata.Generation, inForceLimit)
	bad := f.replaceText(good, "services: [")
	waitFor(t, inForceLimit, "a daemon refuses the document", func() bool { return f.daemons["d1"].logged("document refused") })
	f.restartDaemon("d2", "domain-b")
	f.awaitInForce(good.Metadata.Generation, inForceLimit)
	waitFor(t, inForceLimit, "the new daemon refuses the document", func() bool { return f.daemons["d2"].logged("document refused") })
	must.Eq(t, 1, strings.Count(f.daemons["d1"].log(), "document refused"))

	// An object that was deleted and made again starts over at generation 1.
	client := f.platformClient()
	must.NoError(t, client.Delete(context.Background(), platform.KindEnvironments, environmentName))
	bad.Metadata = platform.Metadata{Name: environmentName}
	again, err := client.Create(context.Background(), platform.KindEnvironments, bad)
	must.NoError(t, err)
	f.restartDaemon("d2", "domain-b")
	f.awaitInForce(good.Metadata.Generation, inForceLimit)
	for again.Metadata.Generation <= bad.Metadata.Generation+good.Metadata.Generation {
		again = f.change(again)
	}
	f.awaitInForce(again.Metadata.Generation, inForceLimit)
}

func TestPlatformCallsDoNotGrowWithDaemons(t *testing.T) {
	f := startSmallFleet(t)
	for n := range 8 {
		f.addDaemon(fmt.Sprint("more-", n), daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitSettled(1)
	const window = 10 * time.Second
	before := f.platformCalls()
	<-time.After(window) // the calls of a stretch of time are what is measured
	after := f.platformCalls()
	const kinds, domains, watchers = 2, 2, spread.WatchersPerDomain
	const perWatcher = int(window/(5*time.Second)) + 1
	t.Logf("%d daemons: %d watches and %d lists in %s", len(f.daemons), after["watch"]-before["watch"], after["list"]-before["list"], window)
	must.LessEq(t, kinds*domains*watchers*perWatcher, after["watch"]-before["watch"])
	must.Eq(t, before["list"], after["list"])
}

func (f *fleet) platformCalls() map[string]int {
	f.t.Helper()
	calls, err := getJSON[map[string]int]("http://" + f.platform.listening["address"] + "/standin/calls")
	must.NoError(f.t, err)
	return calls
}

func TestDomainCutOffFromThePlatformStartsDaemons(t *testing.T) {
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	generation := f.publish()
	toPlatform := newFaultProxy(t)
	toPlatform.forward(f.platform.listening["address"])
	toA, toB := newFaultProxy(t), newFaultProxy(t)
	toA.forward(f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", outside: toA.address()}).listening["peers"])
	inB := daemonOptions{failureDomain: "domain-b", platform: toPlatform.address(), outside: toB.address(), bootstrap: []string{toA.address()}}
	d2 := f.addDaemon("d2", inB)
	toB.forward(d2.listening["peers"])
	f.awaitSettled(generation)

	present := f.environmentObject()
	for range 2 { // the domain flaps
		for _, proxy := range []*faultProxy{toPlatform, toA, toB} {
			proxy.cut()
		}
		inB.bootstrap = []string{d2.listening["peers"]}
		name := fmt.Sprint("new-", present.Metadata.Generation)
		started := f.addDaemon(name, inB)
		waitFor(t, inForceLimit, "the new daemon has the document", func() bool {
			status, err := daemonStatus(started)
			return err == nil && status.Ready && status.Generation == present.Metadata.Generation
		})
		present = f.change(present)
		for _, proxy := range []*faultProxy{toPlatform, toA, toB} {
			proxy.restore()
		}
		f.awaitInForce(present.Metadata.Generation, inForceLimit)
	}
}

func TestWatchersThatLoseThePlatformAreReplaced(t *testing.T) {
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	generation := f.publish()
	var proxies []*faultProxy
	for n := range 4 {
		proxy := newFaultProxy(t)
		proxy.forward(f.platform.listening["address"])
		proxies = append(proxies, proxy)
		f.addDaemon(fmt.Sprint("d", n), daemonOptions{failureDomain: "domain-a", platform: proxy.address()})
	}
	f.awaitSettled(generation)
	present := f.environmentObject()
	for spared := range proxies { // one daemon reaches the platform, each in turn
		for n, proxy := range proxies {
			if n != spared {
				proxy.cut()
			}
		}
		present = f.change(present)
		f.awaitInForce(present.Metadata.Generation, inForceLimit)
		for _, proxy := range proxies {
			proxy.restore()
		}
	}
}
