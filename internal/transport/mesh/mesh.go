// Package mesh carries what daemons on the users' platform tell each other, over
// drpc.
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

// Limits of calls.
const (
	dialTimeout    = 200 * time.Millisecond
	callTimeout    = 500 * time.Millisecond
	idleExpiration = 10 * time.Second
	idlePerPeer    = 1
)

// Client calls other daemons.
type Client struct {
	conns *drpcpool.Pool[string, drpcpool.Conn]
	count func(bytes int)
}

// NewClient returns a client that reports the bytes of its connections.
func NewClient(count func(bytes int)) *Client {
	return &Client{
		conns: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleExpiration, KeyCapacity: idlePerPeer}),
		count: count,
	}
}

// Exchange tells the daemon at an address what this one knows.
func (c *Client) Exchange(ctx context.Context, address string, state *peerpb.MeshState) (*peerpb.MeshState, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.conns.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCMeshClient(conn).Exchange(ctx, state)
	if err != nil {
		return nil, fmt.Errorf("exchange with %s: %w", address, err)
	}
	return reply, nil
}

func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", address, err)
	}
	return drpcconn.New(counting.Conn(raw, c.count)), nil
}

// Close ends all idle connections.
func (c *Client) Close() { _ = c.conns.Close() }

// Serve answers other daemons until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler peerpb.DRPCMeshServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterMesh(mux, handler); err != nil {
		return fmt.Errorf("register mesh service: %w", err)
	}
	if err := drpcserver.New(mux).Serve(ctx, listener); err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("serve peers: %w", err)
	}
	return nil
}
