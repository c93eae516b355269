package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/shutdown"
	"hemlockknot/internal/state/objects"
	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// readStatus sends a read request with a key and returns the status of the response.
func (f *testFixture) readStatus(id, key string) int {
	status, _, _ := f.do(standin.CallerRequest{Method: "GET", Path: "/reads/1", ID: id, Key: key})
	return status
}

func TestNewConfigurationIsApplied(t *testing.T) {
	f, _, _ := newFixture(t)
	must.Eq(t, http.StatusUnauthorized, f.readStatus("r1", "new-key"))
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
	f.eventually(func() bool { return f.readStatus("r2", "new-key") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, f.readStatus("r3", standin.WorkspaceKey))
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f, _, _ := newFixture(t)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(5, "new-key"))
	f.eventually(func() bool { return f.readStatus("r1", "new-key") == http.StatusOK })
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(4, standin.WorkspaceKey))
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(6, "newest-key"))
	f.eventually(func() bool { return f.readStatus("r2", "newest-key") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, f.readStatus("r3", standin.WorkspaceKey))
}

// An invalid configuration is skipped, and a later valid one is still applied.
func TestInvalidConfigurationIsSkipped(t *testing.T) {
	for name, spec := range standin.InvalidDocuments() {
		t.Run(name, func(t *testing.T) {
			f, _, _ := newFixture(t)
			f.store.PutRaw(platform.KindDocument, platform.DocumentName, spec)
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, standin.WorkspaceKey, "second-key"))
			f.eventually(func() bool { return f.readStatus("r1", "second-key") == http.StatusOK })
		})
	}
}

// Many changes at once were a response of the store that was too large: the watch was repeated until the
// store had dropped the history.
func TestChangesThatAreTooLargeAreFollowedByAList(t *testing.T) {
	t.Run("configurations", func(t *testing.T) {
		f, _, _ := newFixture(t)
		const last = 40
		for version := 2; version <= last; version++ {
			document := standin.Document(version, fmt.Sprint("key-", version))
			document["notes"] = strings.Repeat("n", 776<<10)
			f.store.Put(platform.KindDocument, platform.DocumentName, document)
		}
		f.eventually(func() bool { return f.readStatus("r1", fmt.Sprint("key-", last)) == http.StatusOK })
	})
	t.Run("targets", func(t *testing.T) {
		f, _, _ := newFixture(t)
		f.store.SetPageSize(20)
		for i := range 300 {
			f.store.Put(platform.KindTargets, fmt.Sprint("other-", i), map[string]any{"notes": strings.Repeat("n", 60<<10)})
		}
		added := f.addTarget("desk-c", "desk", false)
		f.eventually(func() bool {
			return f.readStatus("r1", standin.WorkspaceKey) == http.StatusOK && countRuns("r1", added) > 0
		})
	})
}

// A watch of a revision whose history the store has dropped fails. The daemon then lists
// the objects again.
func TestDroppedHistoryIsFollowedByAList(t *testing.T) {
	f, _, _ := newFixture(t)
	f.store.DiscardHistory()
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
	f.eventually(func() bool { return f.readStatus("r1", "new-key") == http.StatusOK })
}

func TestRequestsAreServedWhileTheStoreIsUnavailable(t *testing.T) {
	for name, mode := range map[string]standin.StoreMode{"silent": standin.StoreUnresponsive, "busy": standin.StoreUnavailable, "slow": standin.StoreSlow} {
		t.Run(name, func(t *testing.T) {
			f, _, _ := newFixture(t)
			f.store.SetMode(mode)
			f.store.CloseClientConnections()
			must.Eq(t, http.StatusOK, f.readStatus("r1", standin.WorkspaceKey))
			f.store.SetMode(standin.StoreServing)
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
			f.within(recoveryTimeout, func() bool { return f.readStatus("r2", "new-key") == http.StatusOK })
		})
	}
}

// Guards against a final rejection by a daemon whose configuration may be out of date (issue 43): callers
// do not retry it, though the newest configuration may allow the request.
func TestRequestsAreNotRejectedByAConfigurationThatMayBeOutOfDate(t *testing.T) {
	f, _, _ := newFixture(t)
	unknownPath := func(id string) int {
		status, _, _ := f.do(standin.CallerRequest{Method: "POST", Path: "/nowhere/1", ID: id})
		return status
	}
	must.Eq(t, http.StatusNotFound, unknownPath("p0"))
	must.Eq(t, http.StatusUnauthorized, f.readStatus("k0", "unknown-key"))
	f.store.SetMode(standin.StoreUnavailable)
	f.store.CloseClientConnections()
	f.within(maxFollowerAge+settleTimeout, func() bool { return unknownPath("p1") == http.StatusServiceUnavailable })
	must.Eq(t, http.StatusServiceUnavailable, f.readStatus("k1", "unknown-key"))
	must.Eq(t, http.StatusOK, f.readStatus("r1", standin.WorkspaceKey))
	f.store.SetMode(standin.StoreServing)
	f.within(recoveryTimeout, func() bool { return unknownPath("p2") == http.StatusNotFound })
	must.Eq(t, http.StatusUnauthorized, f.readStatus("k2", "unknown-key"))
}

func TestLeavingTargetGetsNoMoreRequests(t *testing.T) {
	for name, leave := range map[string]func(f *testFixture, desk *standin.Target){
		"draining": func(f *testFixture, desk *standin.Target) {
			f.store.Put(platform.KindTargets, desk.ID, desk.Spec("desk", "north", "draining"))
		},
		"removed": func(f *testFixture, desk *standin.Target) { f.store.Delete(platform.KindTargets, desk.ID) },
		"invalid entry": func(f *testFixture, desk *standin.Target) {
			f.store.PutRaw(platform.KindTargets, desk.ID, []byte(`{"state":7}`))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f, _, desks := newFixture(t)
			leave(f, desks[0])
			f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, standin.WorkspaceKey, "marker"))
			// Once the daemon has applied the change, ten reads in a row go to the other target.
			round := 0
			f.eventually(func() bool {
				round++
				before := len(desks[0].Executions())
				for i := range 10 {
					must.Eq(t, http.StatusOK, f.readStatus(fmt.Sprintf("r%d-%d", round, i), standin.WorkspaceKey))
				}
				return len(desks[0].Executions()) == before
			})
		})
	}
}

func TestAllPagesOfAListAreRead(t *testing.T) {
	f, _, _ := newFixture(t) // four targets in pages of three
	must.Eq(t, 4, f.rosterSize())
}

// rosterSize returns the number of targets that the daemon knows.
func (f *testFixture) rosterSize() int {
	size := 0
	f.daemon.coordinator.do(func() { size = len(f.daemon.coordinator.roster.Members()) })
	return size
}

func TestPlannedStopFinishesRequests(t *testing.T) {
	f, writers, _ := newFixture(t)
	f.daemon.stopGrace.Store(int64(4 * time.Second))
	releaseFirst := writers[0].PauseStreams()
	releaseSecond := writers[1].PauseStreams()
	type result struct {
		status int
		body   string
	}
	results := make(chan result, 1)
	go func() {
		status, _, body := f.do(standin.CallerRequest{Method: "POST", Path: "/queries/1", ID: "q1"})
		results <- result{status, body}
	}()
	f.eventually(func() bool { return countRuns("q1", writers[:]...) == 1 })
	f.stop()
	f.eventually(func() bool { return !f.ready() })
	// Until the platform has noticed that the daemon is not ready, requests are still
	// served, and each connection is closed after its response.
	response, err := f.client.Do(f.newRequest(standin.CallerRequest{Method: "GET", Path: "/reads/1", ID: "r1"}))
	must.NoError(t, err)
	must.Eq(t, http.StatusOK, response.StatusCode)
	must.True(t, response.Close)
	_ = response.Body.Close()
	releaseFirst()
	releaseSecond()
	must.Eq(t, result{http.StatusOK, standin.StreamText()}, <-results)
	must.NoError(t, <-f.stopped)
	f.stopped <- nil
}

// A caller that is cut off in the middle of its request must not hold up a planned stop
// until the end of the grace.
func TestPartialRequestDoesNotHoldUpAStop(t *testing.T) {
	f, _, _ := newFixture(t)
	f.daemon.stopGrace.Store(int64(8 * time.Second)) // the users' graceS
	conn, err := net.Dial("tcp", f.daemon.callerListener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /reads/1 HTTP/1.1\r\nHost: ")
	must.NoError(t, err)
	started := time.Now()
	drainDelay := shutdown.New(started, 8*time.Second).DrainAt.Sub(started)
	f.stop()
	must.NoError(t, <-f.stopped)
	f.stopped <- nil
	must.Less(t, drainDelay+2*time.Second, time.Since(started))
}

func TestRestartedDaemonGetsItsStateFromTheStore(t *testing.T) {
	f, _, _ := newFixture(t)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(7, "new-key"))
	f.stop()
	must.NoError(t, <-f.stopped)
	f.stopped <- nil
	f.start()
	must.Eq(t, http.StatusOK, f.readStatus("r1", "new-key"))
	must.Eq(t, http.StatusUnauthorized, f.readStatus("r2", standin.WorkspaceKey))
}

// While the store is unavailable, entries expire; they are written again once it is
// available. One response may contain the removal and the new entry of a target, and the
// later change must win.
func TestLastChangeOfAnEntryWins(t *testing.T) {
	f, _, desks := newFixture(t)
	entry := func(name string, revision int64, target *standin.Target) objects.Object {
		spec, err := json.Marshal(target.Spec("desk", "north", "ready"))
		must.NoError(t, err)
		return objects.Object{Name: name, Revision: revision, Spec: spec}
	}
	removal := objects.Change{Object: objects.Object{Name: desks[0].ID, Revision: 101}, Deleted: true}
	rewrite := objects.Change{Object: entry(desks[0].ID, 102, desks[0])}
	f.daemon.targets.applyFromStore([]objects.Change{removal, rewrite}, objects.Revision{Number: 102}, false)
	must.Eq(t, 4, f.rosterSize())
	f.daemon.targets.applyFromStore([]objects.Change{rewrite, removal}, objects.Revision{Number: 102}, false)
	must.Eq(t, 3, f.rosterSize())
}

func TestDaemonWithoutTargetsIsNotReady(t *testing.T) {
	f := &testFixture{t: t, store: standin.NewStore(), client: &http.Client{}, grace: shortGrace, retryExtra: defaultRetryExtra}
	t.Cleanup(f.store.Close)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(1, standin.WorkspaceKey))
	f.startDaemon(platform.Settings{Host: "front-1", StoreAddress: f.store.Address()})
	f.eventually(func() bool { return f.daemon.config.current() != nil })
	must.False(t, f.ready())
	f.addTarget("desk-a", "desk", false)
	f.eventually(f.ready)
}
