package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/home"
	"hemlockknot/internal/protocol/peerpb"
)

type nopByteCounter struct{}

func (nopByteCounter) AddControlBytes(int) {}

// TestRefusedExchangeLeavesTheConnectionUsable guards against a cancellation that blocks
// the connection: the entry daemon sends it while the home daemon refuses the call, so it
// arrives when the home daemon no longer reads the stream.
func TestRefusedExchangeLeavesTheConnectionUsable(t *testing.T) {
	const (
		rounds       = 50
		roundTimeout = 5 * time.Second
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	// A home daemon without a document refuses every call.
	server := home.New(control.New(&peerpb.Member{Name: "home"}), nil, "domain-a")
	go func() { _ = Serve(t.Context(), listener, server, nil, nopByteCounter{}) }()

	client := NewClient(&peerpb.Member{Name: "entry"}, nil, nopByteCounter{})
	defer client.Close()
	member := &peerpb.Member{Name: "home", Address: listener.Addr().String()}
	for range rounds {
		ctx, cancel := context.WithTimeout(t.Context(), roundTimeout)
		exchange, err := client.Open(ctx, member)
		must.NoError(t, err)
		must.NoError(t, exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Call{Call: &peerpb.Call{}}}))
		_ = exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Cancel{Cancel: &peerpb.Cancel{}}})
		message, err := exchange.Recv()
		must.NoError(t, err)
		must.NotNil(t, message.GetRefusal())
		_ = exchange.Close()
		cancel()
	}
}
