package httpserver

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"hemlockknot/internal/transport/memory"
)

const (
	// bufferedCallBytes is the size of a call that needs no reservation. Daemons' usual calls and
	// readiness checks are smaller.
	bufferedCallBytes = 8 << 10
	// callByteCost is the memory for a byte of an unanswered call: the reader's buffer is doubled as
	// it grows, and then copied.
	callByteCost = 3
	// acceptRetryWait is how long a listener waits that has no descriptor for a connection.
	acceptRetryWait = 20 * time.Millisecond
)

// ListenerLimits are the limits of a listener whose server has none of its own.
type ListenerLimits struct {
	MaxConns  int             // 0: none
	FirstByte time.Duration   // until the first byte of a connection; 0: the server limits it
	Memory    *memory.Account // for calls that have not been answered; nil: none
	// OnLimit is told of each connection that a limit ends, with one of the Limit reasons. It must
	// not block, and may be nil.
	OnLimit func(caller, reason string)
}

// LimitListener returns a listener that limits its connections and what they hold. At the limit a
// connection that has never been answered is closed for a new one, or else the one whose last answer
// is the oldest. Unlike the inner listener it survives a want of descriptors.
func LimitListener(inner net.Listener, limits ListenerLimits) net.Listener {
	return &limitListener{Listener: inner, limits: limits, closed: make(chan struct{})}
}

type limitListener struct {
	net.Listener
	limits    ListenerLimits
	closeOnce sync.Once
	closed    chan struct{}

	mu         sync.Mutex
	unanswered list.List // of *limitedConn, the oldest first
	answered   list.List // of *limitedConn, the one first whose last answer is the oldest
}

// Close ends Accept.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Accept returns the next connection.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return l.add(conn), nil
		}
		if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) && !errors.Is(err, syscall.ENOBUFS) && !errors.Is(err, syscall.ECONNABORTED) {
			return nil, err
		}
		l.closeOldest(0)
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(acceptRetryWait):
		}
	}
}

func (l *limitListener) add(conn net.Conn) net.Conn {
	if l.limits.MaxConns > 0 {
		l.closeOldest(l.limits.MaxConns - 1)
	}
	if l.limits.FirstByte > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(l.limits.FirstByte)) // fails only on a closed connection
	}
	c := &limitedConn{Conn: conn, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.queue = &l.unanswered
	c.element = c.queue.PushBack(c)
	return c
}

// closeOldest closes a connection if there are more than keep. Its server finds out, and releases what
// the connection holds.
func (l *limitListener) closeOldest(keep int) {
	if oldest := l.takeOldest(keep); oldest != nil {
		l.report(oldest, LimitConnections)
		_ = oldest.Conn.Close()
	}
}

// takeOldest takes a connection out of its queue if there are more than keep, and returns it, or nil.
func (l *limitListener) takeOldest(keep int) *limitedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unanswered.Len()+l.answered.Len() <= keep {
		return nil
	}
	front := l.unanswered.Front()
	if front == nil {
		front = l.answered.Front()
	}
	if front == nil {
		return nil
	}
	oldest := front.Value.(*limitedConn)
	oldest.leaveQueue()
	return oldest
}

func (l *limitListener) report(conn net.Conn, reason string) {
	if l.limits.OnLimit != nil {
		l.limits.OnLimit(conn.RemoteAddr().String(), reason)
	}
}

// limitedConn is a connection of a limitListener.
type limitedConn struct {
	net.Conn
	listener *limitListener

	// Guarded by the listener's mu.
	queue    *list.List // nil once the connection is closed
	element  *list.Element
	pending  int   // bytes read since the last answer
	reserved int64 // of the memory
	begun    bool  // a byte has been read
}

// Read reads from the connection.
func (c *limitedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.count(n) {
		c.listener.report(c, LimitMemory)
		return 0, errLimit
	}
	return n, err
}

// count accounts for bytes that have been read, and reports whether there is memory for them.
func (c *limitedConn) count(n int) bool {
	l := c.listener
	l.mu.Lock()
	if !c.begun && l.limits.FirstByte > 0 {
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	c.begun = true
	c.pending += n
	needed := int64(callByteCost*max(0, c.pending-bufferedCallBytes)) - c.reserved
	l.mu.Unlock()
	if needed <= 0 || l.limits.Memory == nil {
		return true
	}
	if !l.limits.Memory.ReserveHead(needed) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.queue == nil { // closed meanwhile
		l.limits.Memory.ReleaseHead(needed)
		return true
	}
	c.reserved += needed
	return true
}

// Write writes to the connection. What has been read before counts as answered.
func (c *limitedConn) Write(b []byte) (int, error) {
	l := c.listener
	l.mu.Lock()
	c.release()
	if c.queue != nil {
		c.queue.Remove(c.element)
		c.queue = &l.answered
		c.element = c.queue.PushBack(c)
	}
	l.mu.Unlock()
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	c.release()
	c.leaveQueue()
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// leaveQueue takes the connection out of its queue, if it is in one. The caller holds the listener's mu.
func (c *limitedConn) leaveQueue() {
	if c.queue != nil {
		c.queue.Remove(c.element)
		c.queue = nil
	}
}

// release gives back what is reserved. The caller holds the listener's mu.
func (c *limitedConn) release() {
	if c.reserved > 0 {
		c.listener.limits.Memory.ReleaseHead(c.reserved)
	}
	c.pending, c.reserved = 0, 0
}
