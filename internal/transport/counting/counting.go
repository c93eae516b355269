// Package counting wraps network connections to count the bytes that they read and
// write.
package counting

import "net"

// Conn wraps a connection and calls countBytes with the size of each read and write. If
// countBytes is nil, Conn returns the connection itself.
func Conn(inner net.Conn, countBytes func(n int)) net.Conn {
	if countBytes == nil {
		return inner
	}
	return &conn{Conn: inner, countBytes: countBytes}
}

type conn struct {
	net.Conn
	countBytes func(n int)
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.countBytes(n)
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.countBytes(n)
	return n, err
}

// Listener wraps a listener and calls countBytes with the size of each read and write of
// the connections that it accepts.
func Listener(inner net.Listener, countBytes func(n int)) net.Listener {
	return listener{Listener: inner, countBytes: countBytes}
}

type listener struct {
	net.Listener
	countBytes func(n int)
}

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn(conn, l.countBytes), nil
}
