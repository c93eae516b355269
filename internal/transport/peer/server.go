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

// ControlHandler answers peers' control calls.
type ControlHandler interface {
	Sync(ctx context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error)
	FetchDocument(ctx context.Context, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error)
	Handover(ctx context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// service joins the home server and the control handler to one drpc service.
type service struct {
	ControlHandler
	home *home.Server
}

// Forward implements the drpc service. It ends the stream in both directions: a
// message that the home did not read, such as a cancellation that crossed its
// refusal, would hold up the connection for all later calls.
func (s service) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	if err := s.home.Serve(stream); err != nil {
		return err
	}
	return stream.Close()
}

// Serve answers peers on the listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, homeServer *home.Server, handler ControlHandler, counter ByteCounter) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, service{ControlHandler: handler, home: homeServer}); err != nil {
		return fmt.Errorf("register peer service: %w", err)
	}
	server := drpcserver.New(mux)
	prefixes := drpcmigrate.NewListenMux(listener, len(prefixControl))
	control := prefixes.Route(prefixControl)
	traffic := prefixes.Route(prefixTraffic)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return prefixes.Run(ctx) })
	group.Go(func() error { return server.Serve(ctx, counting.Listener(control, counter.ControlBytes)) })
	group.Go(func() error { return server.Serve(ctx, traffic) })
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}
