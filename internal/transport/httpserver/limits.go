package httpserver

import (
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Reasons for which a limit ends a connection or refuses a request.
const (
	LimitConnections = "connections"      // the server has as many as it may
	LimitUnfinished  = "unfinished_heads" // too many connections have not sent a whole head
	LimitHeadBytes   = "head_bytes"
	LimitHeadTime    = "head_time"
	LimitMemory      = "memory"
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
	// overCommitment divides MaxConns: by that many connections, and by one at least, their number
	// may exceed it while those that have been told to end do so.
	overCommitment = 8
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

// queue is an ordered set of connections, which the server's limits guards. A connection is in one
// queue at most.
type queue struct{ list.List }

// move puts a connection at the end of a queue, and takes it out of the one that it was in. A nil
// queue takes it out only.
func (s *Server) move(c *callerConn, to *queue) {
	s.limits.Lock()
	defer s.limits.Unlock()
	s.remove(c)
	if to != nil {
		c.queue, c.element = to, to.PushBack(c)
	}
}

// remove takes a connection out of its queue, if it is in one. The caller holds limits.
func (s *Server) remove(c *callerConn) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	c.queue, c.element = nil, nil
}

// setReserving records whether the connection waits for memory.
func (s *Server) setReserving(c *callerConn, reserving bool) {
	s.limits.Lock()
	defer s.limits.Unlock()
	c.reserving = reserving
}

// holdsMemory moves an unfinished head to those that hold memory, or back.
func (s *Server) holdsMemory(c *callerConn, holds bool) {
	from, to := &s.unfinished, &s.large
	if !holds {
		from, to = to, from
	}
	s.limits.Lock()
	defer s.limits.Unlock()
	if c.queue == from {
		s.remove(c)
		c.queue, c.element = to, to.PushBack(c)
	}
}

// takeOldest takes the connection out of a queue that has been there for longest. It returns nil if
// there is none. One that waits for memory stays: it couldn't yield meanwhile, and the two that wait for
// each other would both fail.
func (s *Server) takeOldest(from *queue) *callerConn {
	s.limits.Lock()
	defer s.limits.Unlock()
	for element := from.Front(); element != nil; element = element.Next() {
		if oldest := element.Value.(*callerConn); !oldest.reserving {
			s.remove(oldest)
			return oldest
		}
	}
	return nil
}

// takeUnfinished takes out a connection that has not sent a whole request, if there are more than keep:
// one that holds memory, or else one that has been unfinished for longest.
func (s *Server) takeUnfinished(keep int) *callerConn {
	s.limits.Lock()
	total := s.unfinished.Len() + s.large.Len()
	s.limits.Unlock()
	if total <= keep {
		return nil
	}
	if oldest := s.takeOldest(&s.large); oldest != nil {
		return oldest
	}
	return s.takeOldest(&s.unfinished)
}

// admit makes room for a new connection, and reports whether there is any. Connections yield that
// have not sent a whole request, then idle ones; those that are being answered stay.
func (s *Server) admit(conn net.Conn) bool {
	limit := s.options.MaxConns
	if limit == 0 {
		return true
	}
	open := int(s.open.Load())
	if open < limit {
		if s.options.MaxUnfinished > 0 {
			if oldest := s.takeUnfinished(s.options.MaxUnfinished); oldest != nil {
				oldest.evict(LimitUnfinished)
			}
		}
		return true
	}
	oldest := s.takeUnfinished(0)
	if oldest == nil {
		oldest = s.takeOldest(&s.idle)
	}
	if oldest != nil {
		oldest.evict(LimitConnections)
	}
	if oldest == nil || open >= limit+max(1, limit/overCommitment) {
		s.report(conn, LimitConnections)
		return false
	}
	return true
}

// yieldHead ends the oldest unfinished head that holds memory. It returns a channel that is closed when
// the memory has been released, or nil if there was no such head.
func (s *Server) yieldHead() (released <-chan struct{}) {
	oldest := s.takeOldest(&s.large)
	if oldest == nil {
		return nil
	}
	return oldest.evict(LimitMemory)
}

// report tells the options' OnLimit of a limit that a connection has met.
func (s *Server) report(conn net.Conn, reason string) {
	if s.options.OnLimit != nil {
		s.options.OnLimit(conn.RemoteAddr().String(), reason)
	}
}

// headLimits returns the limits of heads that are in force. A size of 0 leaves it to net/http.
func (s *Server) headLimits() (maxBytes int, timeout time.Duration) {
	if s.options.HeadLimits != nil {
		return s.options.HeadLimits()
	}
	return 0, s.options.HeaderTimeout
}

// evict has the goroutine that reads the connection close it, unless a request has come meanwhile. It
// returns a channel that is closed when the memory of its head has been released.
func (c *callerConn) evict(reason string) (released <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.released == nil {
		c.head.released = make(chan struct{})
	}
	released = c.head.released
	if c.head.reserved == 0 {
		c.releaseHead()
	}
	if c.phase == connBusy && !c.inHead && !c.inBody {
		return released // a whole request has come meanwhile
	}
	c.evicted = reason
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return released
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

// Write writes to the connection. What net/http answers of its own gets a short time. After the end
// of a head that is not whole there is no such answer: net/http takes a line that breaks off in the
// name of a field for a bad request.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.ended.Load() {
		return 0, errLimit
	}
	if !c.handling.Load() {
		c.giveUpHead()                                                   // net/http keeps some connections for a time after its own answer
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)) // fails only on a closed connection
	}
	return c.Conn.Write(b)
}

// Close closes the connection; net/http calls it once it has given up a head that is not whole.
func (c *callerConn) Close() error {
	c.giveUpHead()
	if c.refused.Swap(false) && c.server.currentStage() != cut {
		time.Sleep(resetAvoidance)
	}
	return c.Conn.Close()
}

// ErrYielded is the error of reading a body whose connection yields to others.
var ErrYielded = errors.New("the connection yields to others")

// trackBody counts the connection among those that are unfinished until the body has been read.
func (c *callerConn) trackBody(body io.ReadCloser) io.ReadCloser {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody = true
	c.server.move(c, &c.server.unfinished)
	return &trackedBody{body, c}
}

// trackedBody is the body of a request. Its reads fail with ErrYielded once the connection has been
// told to end.
type trackedBody struct {
	io.ReadCloser
	conn *callerConn
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.conn.endBody(errors.Is(err, io.EOF)) {
		err = ErrYielded
	}
	return n, err
}

// endBody records that a read of the body has failed, or that it has ended, and reports whether the
// connection had been told to end before.
func (c *callerConn) endBody(whole bool) (yielded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted != "" {
		c.reportBody()
		return true
	}
	if whole && c.inBody {
		c.inBody = false
		c.server.move(c, nil)
	}
	return false
}

// reportBody reports once that the connection yields before its request's body has been read. The
// caller holds mu.
func (c *callerConn) reportBody() {
	if c.inBody && c.evicted != "" {
		c.inBody = false
		c.server.report(c, c.evicted)
	}
}

// limitBody limits the time of a body that the handler does not read: net/http reads the rest of it
// before it answers, or before the next request. Handlers that read a body set a limit of their own.
func (s *Server) limitBody(w http.ResponseWriter, r *http.Request) {
	if s.options.BodyTimeout > 0 && r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.BodyTimeout)) // fails only on a closed connection
	}
}
