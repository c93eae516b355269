package httpserver

import (
	"container/list"
	"net"
	"time"
)

// Reasons for which a limit ends a connection or refuses a request.
const (
	LimitConnections = "connections"      // the server has as many as it may
	LimitUnfinished  = "unfinished_heads" // too many connections have not sent a whole request
	LimitHeadBytes   = "head_bytes"
	LimitHeadTime    = "head_time"
	LimitMemory      = "memory"
)

// overCommitment divides MaxConns: by that many connections, and by one at least, their number
// may exceed it while those that have been told to end do so.
const overCommitment = 8

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
// there is none. One that waits for memory stays: it could not yield meanwhile, and two that waited for
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
