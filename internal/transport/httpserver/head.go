package httpserver

import (
	"bytes"
	"fmt"
	"time"
)

const (
	// bufferedHeadBytes and bufferedHeadLines are the size and the lines of a head that need no
	// reservation: net/http reads through a buffer of 4 KiB that each connection has, and users'
	// heads are smaller.
	bufferedHeadBytes = 4 << 10
	bufferedHeadLines = 64
	// headByteCost is the memory for a byte of an unfinished head: a long line is doubled as it
	// grows, and then copied.
	headByteCost = 4
	// headLineCost is the memory for a line of a head: an entry of the map of fields with its name.
	headLineCost = 256
	// refusalWriteTimeout limits writing a refusal that no handler writes: its caller may read nothing.
	refusalWriteTimeout = time.Second
	// resetAvoidance is how long a connection is kept after a refusal for which bytes are left unread:
	// closing it at once would reset it before its caller has read the refusal.
	resetAvoidance = 250 * time.Millisecond
)

// head is the account of a request's head that is being read.
type head struct {
	since    time.Time
	bytes    int
	lines    int
	reserved int64 // of the memory of unfinished heads
	// released is closed when that memory has been released; nil: no one waits for it.
	released chan struct{}
}

// cost returns the memory for a head beyond what needs no reservation.
func (h *head) cost(byteCost int) int64 {
	return int64(byteCost*max(0, h.bytes-bufferedHeadBytes) + headLineCost*max(0, h.lines-bufferedHeadLines))
}

// countHead counts bytes of a head that have been read, and returns the limit that the head exceeds,
// or "".
func (c *callerConn) countHead(read []byte) (exceeded string) {
	c.mu.Lock()
	if !c.inHead || c.evicted != "" { // an evicted one reserves no more; its next read ends it
		c.mu.Unlock()
		return ""
	}
	c.head.bytes += len(read)
	c.head.lines += bytes.Count(read, []byte("\n"))
	maxBytes, _ := c.server.headLimits()
	needed := c.head.cost(headByteCost) - c.head.reserved
	tooLong := maxBytes > 0 && c.head.bytes > maxBytes+bufferedHeadBytes // the buffer may hold more than the head
	c.mu.Unlock()
	account := c.server.options.Memory
	if tooLong {
		return LimitHeadBytes
	}
	if needed <= 0 || account == nil {
		return ""
	}
	c.server.setReserving(c, true)
	reserved := account.ReserveHead(needed) // without the lock, as others may have to yield
	c.server.setReserving(c, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !reserved:
		return LimitMemory
	case c.evicted != "":
		account.ReleaseHead(needed)
	default:
		c.head.reserved += needed
		c.server.holdsMemory(c, true)
	}
	return ""
}

// releaseHead gives back the memory of an unfinished head, which net/http holds until it ends the
// connection or answers. The caller holds mu.
func (c *callerConn) releaseHead() {
	if c.head.reserved > 0 {
		c.server.options.Memory.ReleaseHead(c.head.reserved)
		c.head.reserved = 0
	}
	if c.head.released != nil {
		close(c.head.released)
		c.head.released = nil
	}
}

// giveUpHead releases the memory of a head that net/http has given up.
func (c *callerConn) giveUpHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead()
	c.server.holdsMemory(c, false)
}

// endHead records that the head has been read whole. Its memory is accounted for until endRequest,
// but a request is not refused for want of it. The caller holds mu.
func (c *callerConn) endHead() {
	if !c.inHead {
		return
	}
	c.inHead, c.evicted = false, ""
	c.releaseHead()
	if cost := c.head.cost(1); cost > 0 && c.server.options.Memory != nil {
		c.pendingCost = cost
	}
}

// reserveRequest accounts for the head of a request that is being answered. It must not be called
// with mu, as other connections may yield.
func (c *callerConn) reserveRequest() {
	c.mu.Lock()
	cost := c.pendingCost
	c.pendingCost = 0
	c.mu.Unlock()
	if cost == 0 || !c.server.options.Memory.Reserve(cost) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestCost += cost
}

// endRequest gives back the memory of the request that has been answered. The caller holds mu.
func (c *callerConn) endRequest() {
	if c.requestCost > 0 {
		c.server.options.Memory.Release(c.requestCost)
		c.requestCost = 0
	}
}

// refuseHead answers a head that is too large. Close then waits until the caller can have read it.
func (c *callerConn) refuseHead() {
	const status = "431 Request Header Fields Too Large"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only on a closed connection
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n%s", status, status); err != nil {
		return
	}
	half, ok := c.Conn.(interface{ CloseWrite() error })
	c.refused.Store(ok && half.CloseWrite() == nil)
}
