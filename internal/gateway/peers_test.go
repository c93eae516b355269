package gateway

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// nowhere returns an address that refuses connections.
func nowhere(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	return listener.Addr().String()
}

func TestDaemonThatTheStoreDoesNotServeLearnsFromAPeer(t *testing.T) {
	f, _, _ := newFleet(t)
	second := f.peer(nowhere(t)) // ready, so it has a configuration and targets
	must.Eq(t, http.StatusOK, second.read("r1", standin.Key))

	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
	second.eventually(func() bool { return second.read("r2", "new-key") == http.StatusOK })
	must.Eq(t, http.StatusUnauthorized, second.read("r3", standin.Key), must.Sprint("a key that was taken away"))
}

func TestCutOffDaemonHearsOfNewTargets(t *testing.T) {
	f, _, desks := newFleet(t)
	second := f.peer(nowhere(t))
	added := f.addTarget("desk-c", "desk", false)
	for _, desk := range desks {
		f.store.Put(platform.KindTargets, desk.ID, desk.Entry("desk", "north", "draining"))
	}
	second.eventually(func() bool {
		return second.read("r1", standin.Key) == http.StatusOK && runsOf("r1", added) > 0
	})
}

func TestSilentWatchIsAskedAgainWhenAPeerKnowsMore(t *testing.T) {
	f, _, _ := newFleet(t)
	stale := standin.NewStore()
	t.Cleanup(stale.Close)
	// The second daemon's store has what the first one's had, and tells of no
	// change.
	entries, _, _ := f.daemon.targets.since(0)
	for _, entry := range entries {
		stale.PutRaw(platform.KindTargets, entry.Object.Name, entry.Object.Spec)
	}
	stale.Put(platform.KindDocument, platform.DocumentName, standin.Document(1, standin.Key))
	second := f.peer(stale.Address())
	for range 10 { // the first store's revisions run ahead
		f.addTarget("desk-c", "desk", false)
	}
	second.eventually(func() bool { return second.daemon.targets.watch.asked() > 0 })
}

// A configuration that comes into force while an answer to a peer is made must go
// with its own version: the peer passes over what it has.
func TestConfigurationGoesWithItsOwnVersion(t *testing.T) {
	f, _, _ := newFleet(t)
	before := f.daemon.peers.state(rand.New(rand.NewPCG(1, 1)))
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, standin.Key))
	f.eventually(func() bool { return f.daemon.document.version() == 2 })
	f.daemon.peers.addLacking(before, &peerpb.MeshState{DocumentVersion: 1})
	must.SliceNotEmpty(t, before.GetDocument())
	must.Eq(t, 2, before.GetDocumentVersion())
}

func TestRetryBudgetIsSharedAmongDaemons(t *testing.T) {
	f, _, _ := newFleet(t)
	must.Eq(t, fewestDaemons, f.daemon.daemons())
	second := f.peer(f.store.Address())
	f.eventually(func() bool { return f.daemon.peers.known() == 2 && second.daemon.peers.known() == 2 })
}

func TestOnlyTheFirstOfADomainFollowTheStore(t *testing.T) {
	f, _, _ := newFleet(t)
	fleets := []*testFleet{f}
	for range lookouts {
		fleets = append(fleets, f.peer(f.store.Address()))
	}
	last := fleets[lookouts]
	// It began to follow as it knew nobody, and asks itself after each watch whether
	// it must go on: watchWait after its start.
	last.within(contact, func() bool { return !last.daemon.targets.following() })
	for _, first := range fleets[:lookouts] {
		must.True(t, first.daemon.peers.lookout())
	}
	// What the last one is told is in force within the bound.
	added := f.addTarget("desk-c", "desk", false)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
	last.eventually(func() bool { return last.read("r1", "new-key") == http.StatusOK })
	f.store.Delete(platform.KindTargets, "desk-a")
	f.store.Delete(platform.KindTargets, "desk-b")
	last.eventually(func() bool { return last.read("r2", "new-key") == http.StatusOK && runsOf("r2", added) > 0 })
}

// Control traffic must stay within 10 KB a second for each daemon at the target
// size. Each daemon calls two others in an interval, and is called by two.
func TestExchangesStayWithinTheControlBudget(t *testing.T) {
	const (
		daemons       = 470
		budget        = 10_000 // bytes a second
		rpcOverhead   = 60     // bytes of framing for each message
		messagesEach  = 2 * 2 * 2
		roundsASecond = float64(time.Second) / float64(exchangeInterval)
	)
	f, _, _ := newFleet(t)
	var members []*peerpb.Member
	for i := range daemons {
		members = append(members, &peerpb.Member{
			Name: fmt.Sprintf("front-porbandar-%d", i), Address: "10.123.45.67:8229", Place: "gujarat-coast",
			FailureDomain: "porbandar", Incarnation: 1 << 60, Heartbeat: 1 << 20,
		})
	}
	f.daemon.peers.merge(&peerpb.MeshState{Members: members})
	state := f.daemon.peers.state(rand.New(rand.NewPCG(1, 1)))
	must.Len(t, gossiped, state.GetMembers())
	for i := len(state.GetLoadTargets()); i < loadsTold; i++ {
		state.LoadTargets = append(state.LoadTargets, 1<<31)
		state.Loads = append(state.Loads, 200)
		state.LoadAgesMs = append(state.LoadAgesMs, 1999)
	}
	perSecond := float64(proto.Size(state)+rpcOverhead) * messagesEach * roundsASecond
	must.LessEq(t, float64(budget), perSecond)
}
