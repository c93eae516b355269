package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/origin"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/mesh"
	"hemlockknot/platform/standin"
)

// earlierBuild is a daemon that keeps origins, and knows nothing of declarations.
type earlierBuild struct {
	peerpb.DRPCMeshUnimplementedServer
}

func (*earlierBuild) KeepOrigins(context.Context, *peerpb.StreamOrigins) (*peerpb.StreamOriginsKept, error) {
	return &peerpb.StreamOriginsKept{}, nil
}

// Guards against a declaration that counts as written although no daemon has written it: those that were asked
// are of an earlier build, or do not reach the store either.
func TestDeclarationIsWrittenOnlyIfAPeerSaysSo(t *testing.T) {
	f, _, _ := newFixture(t)
	declaration := origin.Declaration{Incarnation: 1, Services: map[string][]string{"writers": {"v1", "v2"}}}
	must.Error(t, f.daemon.peers.declare(t.Context(), declaration), must.Sprint("there is no other daemon"))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = mesh.Serve(t.Context(), listener, &earlierBuild{}) }()
	f.daemon.peers.merge(&peerpb.MeshState{Members: []*peerpb.Member{{
		Name: "front-0", Address: listener.Addr().String(), FailureDomain: "north", Incarnation: uint64(time.Now().UnixMilli()), Heartbeat: 1,
	}}})
	must.Error(t, f.daemon.peers.declare(t.Context(), declaration), must.Sprint("the other daemon is of an earlier build"))

	_ = f.startPeer(f.store.Address())
	f.eventually(func() bool { return f.daemon.peers.declare(t.Context(), declaration) == nil })
	f.store.SetMode(standin.StoreUnavailable)
	must.Error(t, f.daemon.peers.declare(t.Context(), declaration), must.Sprint("no daemon reaches the store"))
	f.store.SetMode(standin.StoreServing)
}
