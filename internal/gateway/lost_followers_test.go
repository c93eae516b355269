package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Guards against daemons that apply a change too late because those from which they hear of
// changes were lost (review, case 5): settleTimeout is the users' bound.
func TestChangeIsAppliedInTimeAfterTheLossOfFollowers(t *testing.T) {
	for _, c := range []struct {
		name          string
		daemons, lost int
	}{
		{"the only other one is lost", 2, 1},
		{"all but an added one are lost", 3, 2},
		{"the only one that follows the store is lost", 5, 1},
		{"all but the last one are lost", 5, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			fleet := &lossOfDaemons{versionedFleet: newVersionedFleet(t, c.daemons, 0)}
			// Daemons that have just started leave the store to the first one after a watch each.
			for _, daemon := range fleet.daemons[1:] {
				daemon.within(recoveryTimeout, func() bool {
					watched := time.Since(daemon.daemon.peers.startedAt) > watchTimeout(daemon.daemon.settings)+followCheckInterval
					return watched && !daemon.daemon.targets.followsStore()
				})
			}
			crashOf(c.lost)(fleet)
			fleet.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, standin.WorkspaceKey))
			for _, daemon := range fleet.daemons {
				daemon.eventually(func() bool { return daemon.daemon.config.version() == 2 })
			}
		})
	}
}

// A peer of an earlier build does not say which daemons follow the store. What it sends counts
// as if it followed, so that the rules of that build decide.
func TestPeersOfEarlierBuildsCountAsFollowers(t *testing.T) {
	f, _, _ := newFixture(t)
	second := f.startPeer(f.store.Address())
	peers := second.daemon.peers
	peers.merge(&peerpb.MeshState{StoreAway: true})
	must.False(t, peers.storeKnowledge().MustFollow())
}

// Guards against a change of the configuration that is read late after a takeover because the list
// of targets is followed a moment before: the daemon then no longer seems to need to follow.
func TestTakeoverReadsAllKindsOfObjects(t *testing.T) {
	f, _, _ := newFixture(t)
	second := f.startPeer(f.store.Address())
	peers := second.daemon.peers
	second.within(recoveryTimeout, func() bool {
		watched := time.Since(peers.startedAt) > watchTimeout(second.daemon.settings)+followCheckInterval
		return watched && !peers.mustFollowStore()
	})
	heardOfFollower := func(at time.Time) {
		peers.mu.Lock()
		defer peers.mu.Unlock()
		peers.followerHeardAt = at
	}
	heardOfFollower(time.Now().Add(-time.Minute))
	must.True(t, peers.mustFollowStore())
	heardOfFollower(time.Now()) // as when the list of targets is followed
	must.True(t, peers.mustFollowStore(), must.Sprint("the configuration has not been read yet"))
}
