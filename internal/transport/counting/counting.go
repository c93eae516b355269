// Package counting wraps network connections to count the bytes that they read and
// write.
package counting

import "net"

// Conn wraps a connection and calls count with the size of each read and write. If
// count is nil, Conn returns the connection itself.
func Conn(inner net.Conn, count func(n int)) net.Conn {
	if count == nil {
		return inner
	}
	return &conn{Conn: inner, count: count}
}

type conn struct {
	net.Conn
	count func(n int)
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

// Listener wraps a listener and counts the bytes of the connections that it
// accepts.
func Listener(inner net.Listener, count func(n int)) net.Listener {
	return listener{Listener: inner, count: count}
}

type listener struct {
	net.Listener
	count func(n int)
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn(conn, l.count), nil
}
