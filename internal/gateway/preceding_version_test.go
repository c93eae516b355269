package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/member"
	"hemlockknot/platform/standin"
)

// crash ends the daemon without a stop: nothing is announced, and what it knew is lost.
func (f *testFixture) crash() {
	f.daemon.stopGrace.Store(0) // a daemon whose listeners fail stops as planned otherwise
	for _, listener := range []interface{ Close() error }{f.daemon.callerListener, f.daemon.peerListener, f.daemon.forwardListener, f.daemon.readinessListener} {
		_ = listener.Close()
	}
	result := <-f.stopped
	must.Error(f.t, errors.Join(result))
	f.stopped <- nil
}

// lossOfDaemons is a test of streams whose daemons are lost around the time at which a second
// software version of their service appears.
type lossOfDaemons struct {
	*versionedFleet
	lost []*testFixture
}

// crashOf returns a step that ends the first daemons of the fleet.
func crashOf(count int) func(*lossOfDaemons) {
	return func(l *lossOfDaemons) {
		for _, daemon := range l.daemons[:count] {
			daemon.crash()
		}
		l.lost, l.daemons = append(l.lost, l.daemons[:count]...), l.daemons[count:]
	}
}

// stopFirst stops the first daemon as planned.
func stopFirst(l *lossOfDaemons) {
	l.daemons[0].stop()
	result := <-l.daemons[0].stopped
	l.daemons[0].stopped <- result
	l.daemons = l.daemons[1:]
}

// restart starts the lost daemons again, under the names of their hosts. They know nothing.
func restart(l *lossOfDaemons) {
	for _, lost := range l.lost {
		if len(l.daemons) > 0 {
			l.daemons = append(l.daemons, l.daemons[0].startPeerAs(lost.daemon.settings.Host, l.store.Address(), nil))
			continue
		}
		first := &testFixture{t: l.t, store: l.store, client: l.lost[0].client, grace: shortGrace, retryExtra: l.lost[0].retryExtra, restarted: true}
		first.start()
		l.daemons = []*testFixture{first}
	}
}

// join returns a step in which engines of a version join.
func join(version string) func(*lossOfDaemons) {
	return func(l *lossOfDaemons) {
		l.startEngines(6, version)
		l.awaitEngines()
	}
}

// awaitEngines waits until all daemons know the engines.
func (l *lossOfDaemons) awaitEngines() {
	for _, daemon := range l.daemons {
		daemon.eventually(func() bool { return daemon.rosterSize() == len(l.engines)+2 })
	}
}

// joinUnnoticed adds engines of a version; no daemon may have heard of them yet.
func joinUnnoticed(l *lossOfDaemons) { l.startEngines(6, "v2") }

// leave removes the engines of the second version again.
func leave(l *lossOfDaemons) {
	l.deleteEngines("v2")
	l.awaitEngines()
}

// detect waits until the lost daemons count as dead.
func detect(l *lossOfDaemons) {
	for _, daemon := range l.daemons {
		daemon.within(2*member.HeartbeatTimeout, func() bool {
			daemon.daemon.peers.mu.Lock()
			defer daemon.daemon.peers.mu.Unlock()
			return len(daemon.daemon.peers.table.Live(time.Now())) == len(l.daemons)
		})
	}
}

// Guards against streams that are refused for good because their daemon was lost before it had
// heard of a second software version (review, case 2). Of the streams that are taken up half
// must go on, the users' bound, and none at another version, in each order of these events.
func TestStreamsOfLostDaemonsGoOnWhenASecondVersionAppears(t *testing.T) {
	type steps []func(*lossOfDaemons)
	cases := []struct {
		name    string
		daemons int
		steps   steps // after the streams have begun at the first daemon
	}{
		{"one is lost, then the version joins", 3, steps{crashOf(1), join("v2")}},
		{"one is lost and counts as dead", 3, steps{crashOf(1), join("v2"), detect}},
		{"one is lost and counts as dead before the version joins", 3, steps{crashOf(1), detect, join("v2")}},
		{"the version joins as one is lost", 3, steps{joinUnnoticed, crashOf(1), detect}},
		{"the version joins, then one is lost", 3, steps{join("v2"), crashOf(1)}},
		{"all but one are lost", 3, steps{crashOf(2), join("v2")}},
		{"all but one are lost and count as dead", 3, steps{crashOf(2), detect, join("v2")}},
		{"most are lost", 5, steps{crashOf(4), join("v2"), detect}},
		{"the lost one is back before the version joins", 3, steps{crashOf(1), restart, join("v2")}},
		{"the lost one is back after the version has joined", 3, steps{crashOf(1), join("v2"), restart}},
		{"all are lost, the version joins meanwhile", 3, steps{crashOf(3), join("v2"), restart}},
		{"all are lost and back, then the version joins", 3, steps{crashOf(3), restart, join("v2")}},
		{"the version joins as all are lost", 3, steps{joinUnnoticed, crashOf(3), restart}},
		{"the version joins, then all are lost", 3, steps{join("v2"), crashOf(3), restart}},
		{"two versions join one after the other", 3, steps{crashOf(1), join("v2"), join("v3")}},
		{"the version joins and leaves again", 3, steps{crashOf(1), join("v2"), leave}},
		{"the version joins, leaves, and joins again", 3, steps{crashOf(1), join("v2"), leave, join("v2")}},
		{"one has stopped, then the version joins", 3, steps{stopFirst, join("v2")}},
		{"no version joins", 3, steps{crashOf(1)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := &lossOfDaemons{versionedFleet: newVersionedFleet(t, c.daemons, 0)}
			// What all daemons lose within recordInterval of their start is not known to anybody.
			fleet.daemons[0].within(recoveryTimeout, func() bool { return len(fleet.store.Specs(kindVersions)) > 0 })
			var first []string
			for number := range streamsOfTest {
				first = append(first, fleet.beginBroken(0, number))
			}
			for _, step := range c.steps {
				step(fleet)
			}
			must.GreaterEq(t, streamsOfTest/2, fleet.takeUpAll(first), must.Sprint("half of the streams must go on"))
		})
	}
}

// While the store is away nobody knows whether this daemon is cut off from others that know of more
// versions: a stream that is not known is refused, and not run.
func TestUnknownStreamIsRefusedWhileTheStoreIsAway(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []func(*lossOfDaemons)
	}{
		{"a second version has joined", []func(*lossOfDaemons){crashOf(1), join("v2")}},
		{"one version", []func(*lossOfDaemons){crashOf(1)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := &lossOfDaemons{versionedFleet: newVersionedFleet(t, 3, 0)}
			first := []string{fleet.beginBroken(0, 0), fleet.beginBroken(0, 1)}
			for _, step := range c.steps {
				step(fleet)
			}
			fleet.store.SetMode(standin.StoreUnavailable)
			must.Eq(t, 0, fleet.takeUpAll(first))
		})
	}
}
