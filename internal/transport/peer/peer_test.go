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

type uncounted struct{}

func (uncounted) ControlBytes(int) {}

// TestRefusedExchangeLeavesTheConnectionUsable has the caller hang up while the
// home refuses: the cancellation comes when nobody reads the stream any more.
func TestRefusedExchangeLeavesTheConnectionUsable(t *testing.T) {
	const (
		rounds = 50
		limit  = 5 * time.Second
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	// Without a document the home refuses every call.
	server := home.New(control.New(&peerpb.Member{Name: "home"}), nil, "domain-a")
	go func() { _ = Serve(t.Context(), listener, server, nil, uncounted{}) }()

	client := NewClient(&peerpb.Member{Name: "entry"}, nil, uncounted{})
	defer client.Close()
	member := &peerpb.Member{Name: "home", Address: listener.Addr().String()}
	for range rounds {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
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
