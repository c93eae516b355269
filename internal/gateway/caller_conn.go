package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// callerConn is a connection of a caller that can be closed only between two requests.
// net/http reports that a connection is in use again once it has parsed the next request; by
// then the request could be on its way to a target.
type callerConn struct {
	net.Conn
	use       atomic.Int32 // connInUse, connIdle or connClosed
	idleSince atomic.Int64 // Unix time in nanoseconds
}

// Uses of a caller's connection.
const (
	connInUse  int32 = iota // a request is read or answered
	connIdle                // no byte of the next request has been read
	connClosed              // closed while idle
)

// Read reads from the connection. Bytes that arrive when it has been closed as idle are
// lost, as no request of theirs may be passed on.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.use.CompareAndSwap(connIdle, connInUse) && c.use.Load() == connClosed {
		return 0, net.ErrClosed
	}
	return n, err
}

// setState follows the state that net/http reports.
func (c *callerConn) setState(state http.ConnState) {
	if state == http.StateIdle {
		c.idleSince.Store(time.Now().UnixNano())
		c.use.CompareAndSwap(connInUse, connIdle)
		return
	}
	c.use.CompareAndSwap(connIdle, connInUse)
}

// closeIfIdleSince closes the connection if it has been idle since before the threshold.
func (c *callerConn) closeIfIdleSince(threshold time.Time) (closed bool) {
	if c.idleSince.Load() >= threshold.UnixNano() || !c.use.CompareAndSwap(connIdle, connClosed) {
		return false
	}
	_ = c.Close()
	return true
}

// callerListener wraps the connections that it accepts in callerConns.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}
