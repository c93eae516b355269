package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"hemlockknot/internal/coordination/home"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/counting"
)

// ControlHandler serves the control calls of peers.
type ControlHandler interface {
	Sync(ctx context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error)
	FetchDocument(ctx context.Context, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error)
	Handover(ctx context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// peerService combines the home server and the control handler into the Peer service.
type peerService struct {
	ControlHandler
	home *home.Server
}

// Forward implements the Forward call of the Peer service. It closes the stream in both
// directions: a message that the home daemon has not read, such as a cancellation that
// was sent while the home daemon refused the call, would block all later calls on the
// connection.
func (s peerService) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	if err := s.home.Serve(stream); err != nil {
		return err
	}
	return stream.Close()
}

// Serve serves the Peer service on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, homeServer *home.Server, handler ControlHandler, counter ByteCounter) error {
	rpcMux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(rpcMux, peerService{ControlHandler: handler, home: homeServer}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	server := drpcserver.New(rpcMux)
	prefixMux := drpcmigrate.NewListenMux(listener, len(prefixControl))
	control := prefixMux.Route(prefixControl)
	traffic := prefixMux.Route(prefixTraffic)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return prefixMux.Run(ctx) })
	group.Go(func() error { return server.Serve(ctx, counting.Listener(control, counter.AddControlBytes)) })
	group.Go(func() error { return server.Serve(ctx, traffic) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}
