package exchange

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"time"

	"hemlockknot/internal/transport/socket"
)

// userTimeout is how long sent bytes, or a keep-alive probe, may stay unacknowledged before
// the kernel closes the connection: a host that is cut off from the network sends no reset.
// It is more than twice the second or so for which a sound target may fall silent.
const userTimeout = 2500 * time.Millisecond

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	address       string
	source        *limitedSource // of reader
	reader        *bufio.Reader
	idleSince     time.Time // when the connection was put into the pool
	reusableUntil time.Time // when the connection expires

	mu           sync.Mutex
	interrupted  bool
	readDeadline time.Time
}

func newConn(netConn net.Conn, address string) *conn {
	source := &limitedSource{conn: netConn}
	return &conn{Conn: netConn, address: address, source: source, reader: bufio.NewReaderSize(source, readBufferSize)}
}

// interrupt makes all reads and writes fail, those in progress and later ones.
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
		c.readDeadline = at
		_ = c.SetDeadline(at)
	}
}

// setReadDeadline sets the deadline of reads unless the exchange was interrupted.
func (c *conn) setReadDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		c.readDeadline = at
		_ = c.SetReadDeadline(at)
	}
}

// readable reports whether reads may still succeed: the exchange was not interrupted, and the read deadline
// has not passed.
func (c *conn) readable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.interrupted && now.Before(c.readDeadline)
}

// resetWithin reports whether the connection is reset within a time. Its read deadline is that afterwards.
func (c *conn) resetWithin(wait time.Duration) bool {
	c.setReadDeadline(time.Now().Add(wait))
	return socket.AwaitReset(c.Conn)
}

// abandon closes the connection of an exchange that has been given up. It resets it if the target has not received
// all bytes: after an orderly close the kernel would go on sending them, and the target would run the request
// seconds later.
func (c *conn) abandon() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && socket.DeliveryOf(c.Conn) == socket.OnTheWay {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// startWrite writes the request. A request with a long body is written by another
// goroutine, so that the answer can be read meanwhile; the returned channel then
// receives the result of the write.
func (c *conn) startWrite(request *http.Request, bodyLength int, onWritten func()) (<-chan error, error) {
	if bodyLength <= maxInlineBody {
		return nil, c.writeRequest(request, onWritten)
	}
	result := make(chan error, 1)
	go func() { result <- c.writeRequest(request, onWritten) }()
	return result, nil
}

// writeRequest writes the request and then calls onWritten unless it is nil.
func (c *conn) writeRequest(request *http.Request, onWritten func()) error {
	writer := bufio.NewWriter(c.Conn)
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	if onWritten != nil {
		onWritten()
	}
	return nil
}

// reusable reports whether a pooled connection has not expired, is open and has no
// unread bytes. Unread bytes belong to no request.
func (c *conn) reusable(now time.Time) bool {
	if now.After(c.reusableUntil) || c.reader.Buffered() > 0 {
		return false
	}
	return socket.UnreadOf(c.Conn) == socket.Nothing
}
