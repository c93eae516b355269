package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// notRunTimeout is how soon a caller must have the answer that its stream cannot go on.
const notRunTimeout = 500 * time.Millisecond

// versionedFleet is daemons before engines of several software versions.
type versionedFleet struct {
	t       *testing.T
	store   *standin.Store
	daemons []*testFixture
	engines []*standin.Target
	gone    []*standin.Target // engines that have been removed
}

// newVersionedFleet starts daemons and, for each version, some engines beside the two of
// the default version.
func newVersionedFleet(t *testing.T, daemons, enginesPerVersion int, versions ...string) *versionedFleet {
	f, writers, _ := newFixtureWithRetries(t, 20*defaultRetryExtra) // every stream is resumed
	fleet := &versionedFleet{t: t, store: f.store, daemons: []*testFixture{f}, engines: writers[:]}
	for len(fleet.daemons) < daemons {
		fleet.daemons = append(fleet.daemons, f.startPeer(f.store.Address()))
	}
	for _, version := range versions {
		fleet.addEngines(enginesPerVersion, version)
	}
	return fleet
}

// addEngines adds engines of a software version and waits until all daemons know them.
func (v *versionedFleet) addEngines(count int, version string) {
	v.startEngines(count, version)
	for _, daemon := range v.daemons {
		daemon.eventually(func() bool { return daemon.rosterSize() == len(v.engines)+2 })
	}
}

// startEngines starts engines of a software version and adds their entries.
func (v *versionedFleet) startEngines(count int, version string) {
	for range count {
		engine := standin.NewTarget(fmt.Sprintf("writer-%d-%s", len(v.engines), version), true)
		engine.SoftwareVersion = version
		v.t.Cleanup(engine.Crash)
		v.store.Put(platform.KindTargets, engine.ID, engine.Spec("writers", "north", "ready"))
		v.engines = append(v.engines, engine)
	}
}

// removeEngines ends the engines of a software version and removes their entries.
func (v *versionedFleet) removeEngines(version string) {
	v.deleteEngines(version)
	for _, daemon := range v.daemons {
		daemon.within(recoveryTimeout, func() bool { return daemon.rosterSize() == len(v.engines)+2 })
	}
}

// deleteEngines ends the engines of a software version and deletes their entries.
func (v *versionedFleet) deleteEngines(version string) {
	var left []*standin.Target
	for _, engine := range v.engines {
		if engine.SoftwareVersion != version {
			left = append(left, engine)
			continue
		}
		engine.Crash()
		v.store.Delete(platform.KindTargets, engine.ID)
	}
	v.gone = append(v.gone, slices.DeleteFunc(slices.Clone(v.engines), func(e *standin.Target) bool { return e.SoftwareVersion != version })...)
	v.engines = left
}

// breakStreams makes as many of the next streams break within their third event.
func (v *versionedFleet) breakStreams(count int) {
	standin.InjectFaultIntoFirstRequests(standin.TruncateStream, count, v.engines...)
}

// versionsOf returns the software versions of the engines that ran any of the requests.
func (v *versionedFleet) versionsOf(ids ...string) map[string]bool {
	versions := make(map[string]bool)
	for _, engine := range slices.Concat(v.engines, v.gone) {
		for _, run := range engine.Executions() {
			for _, id := range ids {
				if run.ID == id {
					versions[engine.SoftwareVersion] = true
				}
			}
		}
	}
	return versions
}

// request sends a request for a resumable stream to a daemon and returns the status and the
// events that came before the answer ended or broke.
func (v *versionedFleet) request(daemon int, call standin.CallerRequest) (status int, body string) {
	call.Method, call.Path = "POST", "/drafts/1"
	call.SharedParts = "aa:100," + call.Body + ":200"
	response, err := v.daemons[daemon].client.Do(v.daemons[daemon].newRequest(call))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// beginBroken sends a request whose stream breaks after two events at both engines that the
// route allows, and returns its id.
func (v *versionedFleet) beginBroken(daemon, number int) (id string) {
	id = fmt.Sprint("begun-", number)
	v.breakStreams(2)
	status, body := v.request(daemon, standin.CallerRequest{ID: id, Body: fmt.Sprint("draft-", number)})
	must.Eq(v.t, http.StatusOK, status)
	must.Eq(v.t, standin.EventText(1)+standin.EventText(2), body)
	must.MapLen(v.t, 1, v.versionsOf(id), must.Sprint(id, " is resumed at another version"))
	return id
}

// takeUp takes a stream up after its second event at a daemon and expects the rest.
func (v *versionedFleet) takeUp(daemon, number int, first string) {
	id := fmt.Sprint("taken-up-", number)
	status, body := v.request(daemon, standin.CallerRequest{ID: id, Body: fmt.Sprint("draft-", number), Resumes: first, LastEventID: 2})
	must.MapLen(v.t, 1, v.versionsOf(first, id), must.Sprint(id, " goes on at another version"))
	must.Eq(v.t, http.StatusOK, status, must.Sprint(id, body))
	must.Eq(v.t, strings.TrimPrefix(standin.StreamText(), standin.EventText(1)+standin.EventText(2)), body)
}

// streamsOfTest is how many streams a test sends: few enough to be quick, so many that all
// of them hit the right version of three by chance in no run.
const streamsOfTest = 24

// Incident second1 of issue 25: streams went on at another software version than the one
// that began them, whose events do not fit.
func TestInterruptedStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	fleet := newVersionedFleet(t, 1, 10, "v2", "v3")
	for number := range streamsOfTest {
		id := fmt.Sprint("stream-", number)
		fleet.breakStreams(1)
		status, body := fleet.request(0, standin.CallerRequest{ID: id, Body: fmt.Sprint("draft-", number)})
		must.MapLen(t, 1, fleet.versionsOf(id), must.Sprint(id, " goes on at another version"))
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, standin.StreamText(), body)
	}
}

func TestStreamTakenUpByItsCallerGoesOnAtItsSoftwareVersion(t *testing.T) {
	t.Run("at the same daemon", func(t *testing.T) {
		fleet := newVersionedFleet(t, 1, 10, "v2", "v3")
		for number := range streamsOfTest {
			fleet.takeUp(0, number, fleet.beginBroken(0, number))
		}
	})
	t.Run("at another daemon", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 10, "v2", "v3")
		for number := range streamsOfTest {
			fleet.takeUp(1+number%2, number, fleet.beginBroken(0, number))
		}
	})
	t.Run("twice", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 10, "v2", "v3")
		for number := range streamsOfTest {
			first := fleet.beginBroken(0, number)
			second := fmt.Sprint("second-", number)
			fleet.breakStreams(2)
			_, _ = fleet.request(1, standin.CallerRequest{ID: second, Body: fmt.Sprint("draft-", number), Resumes: first, LastEventID: 1})
			must.MapLen(t, 1, fleet.versionsOf(first, second))
			fleet.takeUp(2, number, first)
		}
	})
	t.Run("after the first daemon has stopped", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 10, "v2", "v3")
		var first []string
		for number := range streamsOfTest {
			first = append(first, fleet.beginBroken(0, number))
		}
		fleet.daemons[0].stop()
		result := <-fleet.daemons[0].stopped
		fleet.daemons[0].stopped <- result
		for number := range streamsOfTest {
			fleet.takeUp(1+number%2, number, first[number])
		}
	})
	t.Run("at a daemon that has just started", func(t *testing.T) {
		fleet := newVersionedFleet(t, 2, 10, "v2", "v3")
		var first []string
		for number := range streamsOfTest {
			first = append(first, fleet.beginBroken(number%2, number))
		}
		fleet.daemons = append(fleet.daemons, fleet.daemons[0].startPeer(fleet.daemons[0].store.Address()))
		for number := range streamsOfTest {
			fleet.takeUp(2, number, first[number])
		}
	})
	t.Run("begun before there was a second version", func(t *testing.T) {
		fleet := newVersionedFleet(t, 2, 0)
		var first []string
		for number := range streamsOfTest {
			first = append(first, fleet.beginBroken(0, number))
		}
		fleet.addEngines(20, "v2")
		for number := range streamsOfTest {
			fleet.takeUp(1, number, first[number])
		}
	})
}

// loseAllDaemons stops all daemons, calls whileDown and starts as many new ones.
func (v *versionedFleet) loseAllDaemons(whileDown func()) {
	for _, daemon := range v.daemons {
		daemon.stop()
		result := <-daemon.stopped
		daemon.stopped <- result
	}
	whileDown()
	count := len(v.daemons)
	first := &testFixture{t: v.t, store: v.store, client: v.daemons[0].client, grace: shortGrace, retryExtra: v.daemons[0].retryExtra, restarted: true}
	first.start()
	v.daemons = []*testFixture{first}
	for len(v.daemons) < count {
		v.daemons = append(v.daemons, first.startPeer(first.store.Address()))
	}
}

// takeUpAll takes streams up after their second event and returns how many went on. None may
// go on at another version, or be answered with a part.
func (v *versionedFleet) takeUpAll(first []string) (wentOn int) {
	rest := strings.TrimPrefix(standin.StreamText(), standin.EventText(1)+standin.EventText(2))
	for number, begun := range first {
		id := fmt.Sprint("taken-up-", number)
		status, body := v.request(number%len(v.daemons), standin.CallerRequest{ID: id, Body: fmt.Sprint("draft-", number), Resumes: begun, LastEventID: 2})
		must.MapLen(v.t, 1, v.versionsOf(begun, id), must.Sprint(id, " goes on at another version"))
		if status == http.StatusOK {
			must.Eq(v.t, rest, body)
			wentOn++
			continue
		}
		must.Eq(v.t, http.StatusServiceUnavailable, status, must.Sprint(id, body))
	}
	return wentOn
}

// recordedOrigins returns the number of streams whose origins the store holds.
func (v *versionedFleet) recordedOrigins() int {
	requests := make(map[uint64]bool)
	for _, spec := range v.store.Specs(kindOrigins) {
		var stored storedOrigins
		var record peerpb.StreamOriginRecord
		must.NoError(v.t, errors.Join(json.Unmarshal(spec, &stored), proto.Unmarshal(stored.Origins, &record)))
		for _, service := range record.GetServices() {
			for _, request := range service.GetRequests() {
				requests[request] = true
			}
		}
	}
	return len(requests)
}

// Report of issue 28: streams were joined from two versions after all hosts had been killed
// at once, as a daemon that starts took the only version that it saw for the only one ever.
func TestStreamsTakenUpAfterTheLossOfAllDaemons(t *testing.T) {
	begin := func(fleet *versionedFleet) (first []string) {
		for number := range streamsOfTest {
			first = append(first, fleet.beginBroken(number%len(fleet.daemons), number))
		}
		return first
	}
	t.Run("both versions serve", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 6, "v2")
		first := begin(fleet)
		fleet.daemons[0].within(recoveryTimeout, func() bool { return fleet.recordedOrigins() == streamsOfTest })
		fleet.loseAllDaemons(func() {})
		must.GreaterEq(t, streamsOfTest/2, fleet.takeUpAll(first), must.Sprint("half of the streams must go on"))
	})
	t.Run("one version has left", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 6, "v2")
		first := begin(fleet)
		fleet.loseAllDaemons(func() { fleet.deleteEngines(standin.DefaultVersion) })
		fleet.takeUpAll(first)
	})
	t.Run("the only version was replaced", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 0)
		first := begin(fleet)
		fleet.daemons[0].within(recoveryTimeout, func() bool { return len(fleet.daemons[0].store.Specs(kindVersions)) > 0 })
		fleet.loseAllDaemons(func() {
			fleet.startEngines(6, "v2")
			fleet.deleteEngines(standin.DefaultVersion)
		})
		must.Eq(t, 0, fleet.takeUpAll(first))
	})
	t.Run("one version only", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 0)
		first := begin(fleet)
		fleet.daemons[0].within(recoveryTimeout, func() bool { return len(fleet.daemons[0].store.Specs(kindVersions)) > 0 })
		fleet.loseAllDaemons(func() {})
		for _, daemon := range fleet.daemons {
			daemon.eventually(func() bool { return !daemon.daemon.coordinator.versionsUnknown("writers") })
		}
		must.Eq(t, streamsOfTest, fleet.takeUpAll(first))
	})
	t.Run("the store is away when they start", func(t *testing.T) {
		fleet := newVersionedFleet(t, 3, 6, "v2")
		first := begin(fleet)
		fleet.loseAllDaemons(func() { fleet.deleteEngines(standin.DefaultVersion) })
		fleet.daemons[0].store.SetMode(standin.StoreUnavailable)
		fleet.takeUpAll(first)
	})
}

// versionsUnknown reports whether the daemon cannot know yet which versions served lately.
func (c *coordinator) versionsUnknown(service string) bool {
	unknown := false
	c.do(func() { unknown = c.origins.ResolveUnnamed(service, time.Now()).Unknown })
	return unknown
}

// A stream whose version is unknown, or is served no more, must not go on. The caller gets
// an honest answer at once.
func TestStreamThatCannotGoOnIsRefusedAtOnce(t *testing.T) {
	fleet := newVersionedFleet(t, 2, 10, "v2")
	refused := func(daemon int, id, first string) {
		t.Helper()
		started := time.Now()
		status, body := fleet.request(daemon, standin.CallerRequest{ID: id, Body: "draft", Resumes: first, LastEventID: 2})
		must.Eq(t, http.StatusServiceUnavailable, status, must.Sprint(body))
		must.StrContains(t, body, "not run")
		must.Less(t, notRunTimeout, time.Since(started))
		must.MapEmpty(t, fleet.versionsOf(id))
	}
	refused(0, "unknown-1", "never-begun")
	refused(1, "unknown-2", "never-begun")
	refused(1, "unnamed", "")
	first := fleet.beginBroken(0, 1)
	var version string
	for version = range fleet.versionsOf(first) {
	}
	fleet.removeEngines(version)
	refused(0, "gone-1", first)
	refused(1, "gone-2", first)
}
