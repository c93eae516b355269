// Package mesh is the drpc client and server through which daemons on the users'
// platform exchange state.
package mesh

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/counting"
)

// Timeouts of calls, and limits of the connection pool.
const (
	dialTimeout = 200 * time.Millisecond
	// callTimeout allows for a list of some hundred kilobytes on a host's link.
	callTimeout    = 800 * time.Millisecond
	idleTimeout    = 10 * time.Second
	maxIdlePerPeer = 1
)

// Client calls other daemons over pooled connections.
type Client struct {
	// Dial opens a connection to the daemon at an address. It may be replaced before the first
	// call.
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	conns      *drpcpool.Pool[string, drpcpool.Conn]
	countBytes func(bytes int)
}

// NewClient returns a client that calls countBytes with the size of each read and
// write on its connections.
func NewClient(countBytes func(bytes int)) *Client {
	return &Client{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		},
		conns:      drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerPeer}),
		countBytes: countBytes,
	}
}

// Exchange sends this daemon's state to the daemon at an address. The reply holds
// what that daemon knows and this one lacks.
func (c *Client) Exchange(ctx context.Context, address string, state *peerpb.MeshState) (reply *peerpb.MeshState, err error) {
	err = c.call(ctx, "exchange state", address, func(ctx context.Context, peer peerpb.DRPCMeshClient) error {
		reply, err = peer.Exchange(ctx, state)
		return err
	})
	return reply, err
}

// KeepOrigins copies the origins of streams to the daemon at an address.
func (c *Client) KeepOrigins(ctx context.Context, address string, origins *peerpb.StreamOrigins) error {
	return c.call(ctx, "copy origins of streams", address, func(ctx context.Context, peer peerpb.DRPCMeshClient) error {
		_, err := peer.KeepOrigins(ctx, origins)
		return err
	})
}

// DeclareVersions asks the daemon at an address to write a declaration of software versions to the
// platform's store, and reports whether it has. One of an earlier build has not.
func (c *Client) DeclareVersions(ctx context.Context, address string, declaration *peerpb.StreamOrigins) (declared bool, err error) {
	err = c.call(ctx, "declare software versions", address, func(ctx context.Context, peer peerpb.DRPCMeshClient) error {
		reply, err := peer.KeepOrigins(ctx, declaration)
		declared = reply.GetDeclared()
		return err
	})
	return declared, err
}

// FindOrigin asks the daemon at an address for the origin of a stream.
func (c *Client) FindOrigin(ctx context.Context, address string, query *peerpb.StreamOriginQuery) (reply *peerpb.StreamOriginReply, err error) {
	err = c.call(ctx, "find the origin of a stream", address, func(ctx context.Context, peer peerpb.DRPCMeshClient) error {
		reply, err = peer.FindOrigin(ctx, query)
		return err
	})
	return reply, err
}

// call makes a call to the daemon at an address, of callTimeout at most.
func (c *Client) call(ctx context.Context, step, address string, do func(context.Context, peerpb.DRPCMeshClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.conns.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	if err := do(ctx, peerpb.NewDRPCMeshClient(conn)); err != nil {
		return fmt.Errorf("%s at %s: %w", step, address, err)
	}
	return nil
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.Dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return drpcconn.New(counting.Conn(conn, c.countBytes)), nil
}

// Close ends all idle connections.
func (c *Client) Close() { _ = c.conns.Close() }

// Serve serves the Mesh service on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler peerpb.DRPCMeshServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterMesh(mux, handler); err != nil {
		return fmt.Errorf("register mesh service: %w", err)
	}
	if err := drpcserver.New(mux).Serve(ctx, listener); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("serve mesh peers: %w", err)
	}
	return nil
}
