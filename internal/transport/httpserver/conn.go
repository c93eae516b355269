package httpserver

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/transport/socket"
)

// connPhase is what a caller's connection is used for.
type connPhase int

const (
	connNew  connPhase = iota // no byte has been read
	connBusy                  // a request is being read or answered
	connIdle                  // the last request has been answered, and no byte of the next one has been read
)

// callerConn is a connection of a caller that closes itself when it has been unused for long
// enough.
//
// Invariant: only the goroutine that reads the connection closes it as unused, and only while
// the kernel holds no byte of a request. net/http can't do this: it reports that a connection is
// in use again once it has parsed the next request, which may have been closed by then.
type callerConn struct {
	net.Conn
	server   *Server
	ended    atomic.Bool // a limit has ended a head that was not whole
	handling atomic.Bool // the handler of a request has begun, and the next request has not been awaited
	refused  atomic.Bool // a head has been answered that was too large; the caller may not have read it

	// Guarded by the server's limits.
	queue     *queue
	element   *list.Element
	reserving bool // the connection waits for memory for its head

	mu           sync.Mutex
	phase        connPhase
	since        time.Time // when the phase began
	readDeadline time.Time // that net/http has set
	inHead       bool      // a part of a request's head has been read
	inBody       bool      // a request's head has been read, and not the whole of its body
	head         head      // of the last request
	evicted      string    // the limit for which the connection is to end, "" if none
	pendingCost  int64     // of the request that is being answered, to be reserved
	requestCost  int64     // reserved for the request that is being answered
}

// Read reads from the connection. It fails with a timeout once the connection has been unused
// for long enough.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.markBusy()
			switch exceeded := c.countHead(b[:n]); exceeded {
			case "":
				return n, err
			case LimitHeadBytes:
				c.refuseHead()
				fallthrough
			default:
				c.endWith(exceeded)
				return 0, errLimit
			}
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.keepUnused() {
			return n, err
		}
	}
}

// errLimit ends a connection without an answer of net/http.
var errLimit = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection has met a limit")}

// SetReadDeadline sets the deadline of reads. While the connection is unused, it may have to
// end sooner.
func (c *callerConn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = at
	return c.Conn.SetReadDeadline(c.nextCheck())
}

// nextCheck returns when the read in progress must end. The caller holds mu.
func (c *callerConn) nextCheck() time.Time {
	if c.evicted != "" {
		return time.Unix(1, 0)
	}
	if c.phase == connBusy && !c.inHead {
		return c.readDeadline
	}
	var until time.Time
	if c.inHead {
		_, timeout := c.server.headLimits()
		until = c.head.since.Add(timeout)
	} else {
		until = c.unusedUntil()
	}
	if until.IsZero() || !c.readDeadline.IsZero() && c.readDeadline.Before(until) {
		return c.readDeadline
	}
	return until
}

// unusedUntil returns until when the connection is kept if it stays unused. The caller holds mu.
func (c *callerConn) unusedUntil() time.Time {
	until := c.server.unusedUntil(c.phase, c.since)
	if c.phase != connNew {
		return until
	}
	firstByte := c.since.Add(c.server.options.HeaderTimeout)
	if until.IsZero() || firstByte.Before(until) {
		return firstByte
	}
	return until
}

// check makes the connection find out soon whether it has been unused for long enough, after a
// change of what that is.
func (c *callerConn) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != connBusy {
		_ = c.Conn.SetReadDeadline(c.nextCheck()) // fails only on a closed connection
	}
}

// markBusy records that a byte of a request has been read.
func (c *callerConn) markBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setBusy()
}

// setBusy ends that the connection is unused. The caller holds mu.
func (c *callerConn) setBusy() {
	if c.phase == connBusy {
		return
	}
	c.phase, c.since = connBusy, time.Now()
	c.inHead, c.inBody, c.head, c.evicted = true, false, head{since: c.since}, ""
	c.server.move(c, &c.server.unfinished)
	_ = c.Conn.SetReadDeadline(c.nextCheck()) // fails only on a closed connection
}

// keepUnused decides what follows a read deadline that has passed without a byte. It reports
// whether to go on reading.
func (c *callerConn) keepUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.phase == connBusy {
		if c.inHead && c.evicted == "" && now.Before(c.nextCheck()) {
			return c.Conn.SetReadDeadline(c.nextCheck()) == nil // the configuration has changed the limit
		}
		c.reportUnfinished()
		return false
	}
	if socket.UnreadOf(c.Conn) == socket.Bytes { // a request has come meanwhile
		c.setBusy()
		return true
	}
	if c.evicted != "" {
		c.server.report(c, c.evicted)
		return false
	}
	if !c.readDeadline.IsZero() && !now.Before(c.readDeadline) {
		return false
	}
	if until := c.unusedUntil(); until.IsZero() || now.Before(until) {
		return c.Conn.SetReadDeadline(c.nextCheck()) == nil
	}
	if c.phase == connNew && c.server.currentStage() == notStopping {
		c.server.report(c, LimitHeadTime)
		return false
	}
	c.server.observer.ConnectionClosed(c.RemoteAddr().String(), now.Sub(c.since), c.phase == connIdle, c.server.currentStage() != notStopping)
	return false
}

// reportUnfinished reports the limit that an unfinished request has met. The caller holds mu.
func (c *callerConn) reportUnfinished() {
	switch {
	case !c.inHead: // the time of a body is limited by its handler
		c.reportBody()
	case c.evicted != "":
		c.endWith(c.evicted)
	default:
		c.endWith(LimitHeadTime)
	}
}

// endWith records that a limit has ended a head that was not whole, and reports it once: net/http may
// read again after an error.
func (c *callerConn) endWith(reason string) {
	if !c.ended.Swap(true) {
		c.server.report(c, reason)
	}
}

// setState follows the state that net/http reports.
func (c *callerConn) setState(state http.ConnState) {
	if state == http.StateActive {
		defer c.reserveRequest() // after mu is unlocked
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.server.move(c, &c.server.unfinished)
	case http.StateClosed, http.StateHijacked:
		c.server.move(c, nil)
		c.releaseHead()
		c.endRequest()
	case http.StateIdle: // net/http then sets the read deadline
		c.handling.Store(false)
		c.endRequest()
		c.inBody = false
		c.phase, c.since = connIdle, time.Now()
		c.server.move(c, &c.server.idle)
	case http.StateActive:
		c.phase = connBusy
		c.server.move(c, nil)
		c.endHead()
		_ = c.Conn.SetReadDeadline(c.nextCheck()) // without that of the head; fails only on a closed connection
		_ = c.Conn.SetWriteDeadline(time.Time{})  // of the last response; fails only on a closed connection
	}
}

// resetOnClose makes Close reset the connection.
func (c *callerConn) resetOnClose() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// callerListener wraps the connections that it accepts.
//
// Invariant: once drain has been called, it is closed by the goroutine that accepts, when no
// connection waits to be accepted: on one that does, a request may have come.
type callerListener struct {
	net.Listener
	wrap     func(net.Conn) net.Conn // nil: the connection is refused
	draining atomic.Bool
	ended    chan struct{} // closed when no more connections are accepted
}

// pendingAcceptTimeout limits the time to accept a connection that waits: it comes at once, unless
// its caller has left.
const pendingAcceptTimeout = 50 * time.Millisecond

// acceptDeadliner is a listener whose Accept can be ended.
type acceptDeadliner interface{ SetDeadline(time.Time) error }

// drain ends Accept soon.
func (l *callerListener) drain() {
	l.draining.Store(true)
	if limited, ok := l.Listener.(acceptDeadliner); !ok || limited.SetDeadline(time.Now()) != nil {
		_ = l.Close() // callers are refused from now on in any case
	}
}

// Accept returns the next connection. After drain it fails once no connection waits.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		switch {
		case err == nil:
			if l.draining.Load() {
				l.drain()
			}
			if wrapped := l.wrap(conn); wrapped != nil {
				return wrapped, nil
			}
			_ = conn.Close() // no room; nothing has been read
			continue
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !socket.HasPending(l.Listener):
			_ = l.Close() // callers are refused from now on in any case
			return nil, net.ErrClosed
		}
		_ = l.Listener.(acceptDeadliner).SetDeadline(time.Now().Add(pendingAcceptTimeout)) // drain has set one before
	}
}
