// Package counting counts the bytes of network connections.
package counting

import "net"

// Conn returns a connection that reports the bytes of both directions to count;
// with a nil count it returns the connection itself.
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

// Listener returns a listener whose connections are counted.
func Listener(inner net.Listener, count func(n int)) net.Listener {
	return listener{Listener: inner, count: count}
}

type listener struct {
	net.Listener
	count func(n int)
}

func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Conn(accepted, l.count), nil
}
