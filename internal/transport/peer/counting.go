package peer

import "net"

// countingConn reports the bytes of a connection to a counter.
type countingConn struct {
	net.Conn
	counter ByteCounter
}

func countConn(conn net.Conn, counter ByteCounter) net.Conn {
	if counter == nil {
		return conn
	}
	return &countingConn{Conn: conn, counter: counter}
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.ControlBytes(n)
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.ControlBytes(n)
	return n, err
}

// countingListener wraps the connections that it accepts.
type countingListener struct {
	net.Listener
	counter ByteCounter
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countConn(conn, l.counter), nil
}
