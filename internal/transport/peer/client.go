// Package peer implements the protocol between daemons over drpc: a server on the peer
// listener, and a client with pooled connections. Control calls and forwarded requests
// use separate connections, so that the bytes of control traffic can be counted and
// control calls never wait behind answers.
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

// Prefixes that a client sends first on a connection. They tell the server the kind of
// the connection.
const (
	prefixControl = "HKCTRL01"
	prefixTraffic = "HKTRAF01"
)

// Timeouts of calls, and limits of the connection pools.
const (
	dialTimeout     = time.Second
	idleTimeout     = 30 * time.Second
	maxIdleTraffic  = 64 // idle connections to one peer
	maxIdleControl  = 2  // idle connections to one peer
	controlTimeout  = time.Second
	documentTimeout = 5 * time.Second // of calls that transfer a document or directory entries
)

// ByteCounter counts the bytes of control connections, read and written.
type ByteCounter interface {
	AddControlBytes(n int)
}

// Client calls other daemons over pooled connections.
type Client struct {
	traffic   *drpcpool.Pool[string, drpcpool.Conn]
	control   *drpcpool.Pool[string, drpcpool.Conn]
	counter   ByteCounter
	self      *peerpb.Member
	localHome *home.Server
	// EnvironmentID is sent with each Sync message, so that daemons of other
	// environments reject the message.
	EnvironmentID uint32
}

// NewClient returns a client for the daemon that self describes. The client calls that
// daemon's own home server, localHome, in process.
func NewClient(self *peerpb.Member, localHome *home.Server, counter ByteCounter) *Client {
	return &Client{
		traffic:   drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleTraffic}),
		control:   drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdleControl}),
		counter:   counter,
		self:      self,
		localHome: localHome,
	}
}

// Open implements entry.Opener.
func (c *Client) Open(ctx context.Context, home *peerpb.Member) (entry.Exchange, error) {
	if home.GetName() == c.self.GetName() {
		return c.openLocal(ctx), nil
	}
	address := member.AddressFor(home, c.self.GetFailureDomain())
	conn := c.traffic.Get(ctx, address, dialFunc(prefixTraffic, nil))
	stream, err := peerpb.NewDRPCPeerClient(conn).Forward(ctx)
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open exchange with %s: %w", home.GetName(), err)
	}
	return &forwardExchange{stream: stream, conn: conn}, nil
}

// openLocal opens an in-process exchange with this daemon's own home server.
func (c *Client) openLocal(ctx context.Context) entry.Exchange {
	return home.NewPipe(ctx, c.localHome)
}

// forwardExchange implements entry.Exchange on a pooled connection.
type forwardExchange struct {
	stream peerpb.DRPCPeer_ForwardClient
	conn   drpcpool.Conn
}

func (e *forwardExchange) Send(message *peerpb.ForwardUp) error { return e.stream.Send(message) }
func (e *forwardExchange) Recv() (*peerpb.ForwardDown, error)   { return e.stream.Recv() }
func (e *forwardExchange) Close() error {
	err := e.stream.Close()
	_ = e.conn.Close()
	return err
}

// Sync exchanges control state with a peer.
func (c *Client) Sync(ctx context.Context, address string, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	message.EnvironmentId = c.EnvironmentID
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	conn := c.controlConn(ctx, address)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCPeerClient(conn).Sync(ctx, message)
	if err != nil {
		return nil, fmt.Errorf("sync with %s: %w", address, err)
	}
	return reply, nil
}

// FetchDocument requests the document that is in force at a peer.
func (c *Client) FetchDocument(ctx context.Context, address string, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	conn := c.controlConn(ctx, address)
	defer func() { _ = conn.Close() }()
	reply, err := peerpb.NewDRPCPeerClient(conn).FetchDocument(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("fetch document from %s: %w", address, err)
	}
	return reply, nil
}

// Handover sends chat directory entries to the peer that takes them over.
func (c *Client) Handover(ctx context.Context, address string, request *peerpb.HandoverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, documentTimeout)
	defer cancel()
	conn := c.controlConn(ctx, address)
	defer func() { _ = conn.Close() }()
	if _, err := peerpb.NewDRPCPeerClient(conn).Handover(ctx, request); err != nil {
		return fmt.Errorf("hand over directory entries to %s: %w", address, err)
	}
	return nil
}

func (c *Client) controlConn(ctx context.Context, address string) drpcpool.Conn {
	return c.control.Get(ctx, address, dialFunc(prefixControl, c.counter))
}

// Close ends all idle connections.
func (c *Client) Close() {
	_ = c.traffic.Close()
	_ = c.control.Close()
}

// dialFunc returns the dial function of a pool. New connections send the prefix first.
// If counter is not nil, it counts their bytes.
func dialFunc(prefix string, counter ByteCounter) func(context.Context, string) (drpcpool.Conn, error) {
	return func(ctx context.Context, address string) (drpcpool.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		netConn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("dial peer %s: %w", address, err)
		}
		var countBytes func(n int)
		if counter != nil {
			countBytes = counter.AddControlBytes
		}
		counted := counting.Conn(netConn, countBytes)
		return drpcconn.New(drpcmigrate.NewHeaderConn(counted, prefix)), nil
	}
}
