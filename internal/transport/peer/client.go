// Package peer carries the protocol between daemons over drpc: a server on the
// peer listener, and pooled client connections. Control calls and forwarded
// requests use separate connections, so that control traffic can be counted
// and never waits behind answers.
package peer

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmigrate"
	"storj.io/drpc/drpcpool"

	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/home"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/counting"
)

// Prefixes that a client sends first on a connection.
const (
	prefixControl = "HKCTRL01"
	prefixTraffic = "HKTRAF01"
)

// Limits of client connections.
const (
	dialTimeout      = time.Second
	idleExpiration   = 30 * time.Second
	idlePerPeer      = 64
	idleControl      = 2
	controlRPCLimit  = time.Second
	documentRPCLimit = 5 * time.Second
)

// ByteCounter counts control bytes in both directions.
type ByteCounter interface {
	ControlBytes(n int)
}

// Client calls other daemons.
type Client struct {
	traffic *drpcpool.Pool[string, drpcpool.Conn]
	control *drpcpool.Pool[string, drpcpool.Conn]
	counter ByteCounter
	self    *peerpb.Member
	server  *home.Server
	// EnvironmentID goes with each Sync, so that daemons of other environments
	// refuse it.
	EnvironmentID uint32
}

// NewClient returns a client of the daemon that self describes, whose own home
// server is called in process.
func NewClient(self *peerpb.Member, server *home.Server, counter ByteCounter) *Client {
	return &Client{
		traffic: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleExpiration, KeyCapacity: idlePerPeer}),
		control: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleExpiration, KeyCapacity: idleControl}),
		counter: counter,
		self:    self,
		server:  server,
	}
}

// Open implements entry.Opener.
func (c *Client) Open(ctx context.Context, home *peerpb.Member) (entry.Exchange, error) {
	if home.GetName() == c.self.GetName() {
		return c.openLocal(ctx), nil
	}
	address := member.AddressFor(home, c.self.GetFailureDomain())
	conn := c.traffic.Get(ctx, address, dialer(prefixTraffic, nil))
	stream, err := peerpb.NewDRPCPeerClient(conn).Forward(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open exchange with %s: %w", home.GetName(), err)
	}
	return &exchange{stream: stream, conn: conn}, nil
}

// openLocal opens an exchange with this daemon's own home server.
func (c *Client) openLocal(ctx context.Context) entry.Exchange {
	return home.NewPipe(ctx, c.server)
}

// exchange is a forwarded request on a pooled connection.
type exchange struct {
	stream peerpb.DRPCPeer_ForwardClient
	conn   drpcpool.Conn
}

func (e *exchange) Send(message *peerpb.ForwardUp) error { return e.stream.Send(message) }
func (e *exchange) Recv() (*peerpb.ForwardDown, error)   { return e.stream.Recv() }
func (e *exchange) Close() error {
	err := e.stream.Close()
	_ = e.conn.Close()
	return err
}

// Sync exchanges control state with a peer.
func (c *Client) Sync(ctx context.Context, address string, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	message.EnvironmentId = c.EnvironmentID
	ctx, cancel := context.WithTimeout(ctx, controlRPCLimit)
	defer cancel()
	conn := c.controlConn(ctx, address)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCPeerClient(conn).Sync(ctx, message)
	if err != nil {
		return nil, fmt.Errorf("sync with %s: %w", address, err)
	}
	return reply, nil
}

// FetchDocument gets the document that a peer has in force.
func (c *Client) FetchDocument(ctx context.Context, address string, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, documentRPCLimit)
	defer cancel()
	conn := c.controlConn(ctx, address)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCPeerClient(conn).FetchDocument(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("fetch document from %s: %w", address, err)
	}
	return reply, nil
}

// Handover passes directory entries to a peer.
func (c *Client) Handover(ctx context.Context, address string, request *peerpb.HandoverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, documentRPCLimit)
	defer cancel()
	conn := c.controlConn(ctx, address)
	defer func() { _ = conn.Close() }()
	if _, err := peerpb.NewDRPCPeerClient(conn).Handover(ctx, request); err != nil {
		return fmt.Errorf("hand over to %s: %w", address, err)
	}
	return nil
}

func (c *Client) controlConn(ctx context.Context, address string) drpcpool.Conn {
	return c.control.Get(ctx, address, dialer(prefixControl, c.counter))
}

// Close ends all idle connections.
func (c *Client) Close() {
	_ = c.traffic.Close()
	_ = c.control.Close()
}

// dialer returns a dial function for the pool.
func dialer(prefix string, counter ByteCounter) func(context.Context, string) (drpcpool.Conn, error) {
	return func(ctx context.Context, address string) (drpcpool.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		raw, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("dial peer %s: %w", address, err)
		}
		var count func(n int)
		if counter != nil {
			count = counter.ControlBytes
		}
		counted := counting.Conn(raw, count)
		return drpcconn.New(drpcmigrate.NewHeaderConn(counted, prefix)), nil
	}
}
