package exchange

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// unacknowledgedLimit is how long sent bytes may stay unacknowledged before the
// kernel gives the connection up: a host that is cut off does not reset it.
const unacknowledgedLimit = time.Second

// conn is one connection to a target. One request at a time uses it.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// kept is when it was put aside, and until when it may be used again.
	kept  time.Time
	until time.Time

	mu          sync.Mutex
	interrupted bool
}

func newConn(inner net.Conn, address string) *conn {
	return &conn{Conn: inner, address: address, reader: bufio.NewReaderSize(inner, readBuffer)}
}

// interrupt makes the reads and writes in progress, and all later ones, fail.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// setDeadline sets the deadline of reads and writes unless the exchange was
// interrupted.
func (c *conn) setDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetDeadline(at)
	}
}

// setReadDeadline sets the deadline unless the exchange was interrupted.
func (c *conn) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(at)
	}
}

// write sends the request. A long body is written beside the reading of the
// answer; the channel then tells how that ended.
func (c *conn) write(request *http.Request, bodyLength int) (<-chan error, error) {
	if bodyLength <= inlineBody {
		return nil, c.writeNow(request)
	}
	written := make(chan error, 1)
	go func() { written <- c.writeNow(request) }()
	return written, nil
}

func (c *conn) writeNow(request *http.Request) error {
	writer := bufio.NewWriter(c.Conn)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// usable reports whether a kept connection is open and silent. Bytes that wait
// on it belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.After(c.until) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, failed := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = failed == syscall.EAGAIN || failed == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
