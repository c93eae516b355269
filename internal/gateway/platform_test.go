package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

func (f *testFleet) read(id, withKey string) int {
	status, _, _ := f.do(standin.Call{Method: "GET", Path: "/reads/1", ID: id, Key: withKey})
	return status
}

func TestConfigurationComesIntoForce(t *testing.T) {
	f, _, _ := newFleet(t)
	must.Eq(t, http.StatusUnauthorized, f.read("r1", "new-key"))
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
	f.eventually(func() bool { return f.read("r2", "new-key") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, f.read("r3", standin.Key))
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f, _, _ := newFleet(t)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(5, "new-key"))
	f.eventually(func() bool { return f.read("r1", "new-key") == http.StatusOK })
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(4, standin.Key))
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(6, "newest-key"))
	f.eventually(func() bool { return f.read("r2", "newest-key") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, f.read("r3", standin.Key))
}

func TestBrokenConfigurationLeavesTheLastGoodOne(t *testing.T) {
	for name, spec := range standin.BrokenDocuments() {
		t.Run(name, func(t *testing.T) {
			f, _, _ := newFleet(t)
			f.store.PutRaw(platform.KindDocument, platform.DocumentName, spec)
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, standin.Key, "second-key"))
			f.eventually(func() bool { return f.read("r1", "second-key") == http.StatusOK })
		})
	}
}

func TestStoreForgetsItsHistory(t *testing.T) {
	f, _, _ := newFleet(t)
	f.store.Forget()
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
	f.eventually(func() bool { return f.read("r1", "new-key") == http.StatusOK })
}

func TestServiceGoesOnWhileTheStoreIsAway(t *testing.T) {
	for name, mode := range map[string]standin.Mode{"silent": standin.Silent, "busy": standin.Busy, "slow": standin.Slow} {
		t.Run(name, func(t *testing.T) {
			f, _, _ := newFleet(t)
			f.store.SetMode(mode)
			f.store.CloseClientConnections()
			must.Eq(t, http.StatusOK, f.read("r1", standin.Key))
			f.store.SetMode(standin.Serving)
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
			f.within(contact, func() bool { return f.read("r2", "new-key") == http.StatusOK })
		})
	}
}

func TestLeavingTargetGetsNoMoreWork(t *testing.T) {
	for name, leave := range map[string]func(f *testFleet, desk *standin.Target){
		"draining": func(f *testFleet, desk *standin.Target) {
			f.store.Put(platform.KindTargets, desk.ID, desk.Entry("desk", "north", "draining"))
		},
		"removed": func(f *testFleet, desk *standin.Target) { f.store.Delete(platform.KindTargets, desk.ID) },
		"unreadable": func(f *testFleet, desk *standin.Target) {
			f.store.PutRaw(platform.KindTargets, desk.ID, []byte(`{"state":7}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, _, desks := newFleet(t)
			leave(f, desks[0])
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, standin.Key, "marker"))
			// Once the listing shows it, ten reads in a row go to the other one.
			round := 0
			f.eventually(func() bool {
				round++
				before := len(desks[0].Runs())
				for i := range 10 {
					must.Eq(t, http.StatusOK, f.read(fmt.Sprintf("r%d-%d", round, i), standin.Key))
				}
				return len(desks[0].Runs()) == before
			})
		})
	}
}

func TestListsOfSeveralPagesAreReadWhole(t *testing.T) {
	f, _, _ := newFleet(t) // four targets, three on a page
	must.Eq(t, 4, f.members())
}

func (f *testFleet) members() int {
	members := 0
	f.daemon.control.do(func() { members = len(f.daemon.control.roster.Members()) })
	return members
}

func TestPlannedStopFinishesRequests(t *testing.T) {
	f, writers, _ := newFleet(t)
	f.daemon.settings.Grace = 4 * time.Second
	release := writers[0].Hold()
	releaseOther := writers[1].Hold()
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 1)
	go func() {
		status, _, body := f.do(standin.Call{Method: "POST", Path: "/queries/1", ID: "q1"})
		results <- result{status, body}
	}()
	f.eventually(func() bool { return runsOf("q1", writers[:]...) == 1 })
	f.stop()
	f.eventually(func() bool { return !f.ready() })
	// Until the platform has noticed, requests are still served, each as the last
	// one of its connection.
	response, err := f.client.Do(f.request(standin.Call{Method: "GET", Path: "/reads/1", ID: "r1"}))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.True(t, response.Close)
	_ = response.Body.Close()
	release()
	releaseOther()
	must.Eq(t, result{http.StatusOK, standin.Stream()}, <-results)
	must.NoError(t, <-f.stopped)
	f.stopped <- nil
}

func TestRestartedDaemonIsReadyFromTheStoreAlone(t *testing.T) {
	f, _, _ := newFleet(t)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(7, "new-key"))
	f.stop()
	must.NoError(t, <-f.stopped)
	f.stopped <- nil
	f.start()
	must.Eq(t, http.StatusOK, f.read("r1", "new-key"))
	must.Eq(t, http.StatusUnauthorized, f.read("r2", standin.Key))
}

// While the store is away entries lapse, and are written again after its return:
// one answer may tell of both, and the order counts.
func TestChangesOfOneEntryAreTakenInTheirOrder(t *testing.T) {
	f, _, desks := newFleet(t)
	entry := func(name string, revision int64, target *standin.Target) platform.Object {
		spec, err := json.Marshal(target.Entry("desk", "north", "ready"))
		must.NoError(t, err)
		return platform.Object{Name: name, Revision: revision, Spec: spec}
	}
	gone := platform.Change{Object: platform.Object{Name: desks[0].ID, Revision: 101}, Deleted: true}
	back := platform.Change{Object: entry(desks[0].ID, 102, desks[0])}
	f.daemon.targets.change([]platform.Change{gone, back}, false)
	must.Eq(t, 4, f.members())
	f.daemon.targets.change([]platform.Change{back, gone}, false)
	must.Eq(t, 3, f.members())
}

func TestDaemonWithoutTargetsIsNotReady(t *testing.T) {
	f := &testFleet{t: t, store: standin.NewStore(), client: &http.Client{}, grace: quickGrace}
	t.Cleanup(f.store.Close)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(1, standin.Key))
	f.startUnready(platform.Settings{Host: "front-1", StoreAddress: f.store.Address()})
	f.eventually(func() bool { return f.daemon.document.current() != nil })
	must.False(t, f.ready())
	f.addTarget("desk-a", "desk", false)
	f.eventually(f.ready)
}
