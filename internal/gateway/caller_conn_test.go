package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// hookedListener accepts connections that call hooks when the bytes of a second request
// have been read.
type hookedListener struct {
	net.Listener
	afterRead         func() // before the reader gets the bytes
	beforeSetDeadline func() // when the server has them and prepares to parse them
}

func (l hookedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookedConn{Conn: conn, hooks: l}, nil
}

type hookedConn struct {
	net.Conn
	hooks    hookedListener
	requests int
	bytesIn  bool // of the second request, which is not parsed yet
}

func (c *hookedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 1 { // the server reads single bytes while a handler runs
		if c.requests++; c.requests == 2 {
			c.bytesIn = true
			if c.hooks.afterRead != nil {
				c.hooks.afterRead()
			}
		}
	}
	return n, err
}

func (c *hookedConn) SetReadDeadline(deadline time.Time) error {
	if c.bytesIn && c.hooks.beforeSetDeadline != nil {
		c.hooks.beforeSetDeadline()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// A hunted day of matsya-desk (mix, seed 1093543745451): a configuration shortened the idle
// timeout, and a connection was closed for it just as its next request had been read.
func TestRequestReadWhileItsIdleConnectionIsClosed(t *testing.T) {
	for _, c := range []struct {
		name       string
		duringRead bool
	}{{"closed before the server has the bytes", true}, {"closed when the server has them", false}} {
		t.Run(c.name, func(t *testing.T) {
			passedOn := 0
			server := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				passedOn++
				_, _ = io.WriteString(w, r.URL.Path)
			}), func() time.Duration { return time.Hour }, testLog{t}, newCounters())
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			closeIdle := func() { server.closeIdleSince(time.Now().Add(time.Hour)) }
			hooked := hookedListener{Listener: listener, afterRead: closeIdle}
			if !c.duringRead {
				hooked = hookedListener{Listener: listener, beforeSetDeadline: closeIdle}
			}
			served := make(chan error, 1)
			go func() { served <- server.serve(hooked) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			reader := bufio.NewReader(conn)
			answers := 0
			for range 2 {
				_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
				must.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					break
				}
				_, err = io.ReadAll(response.Body)
				must.NoError(t, err)
				answers++
			}
			must.NoError(t, conn.Close())
			must.NoError(t, server.shutdown(t.Context()))
			must.NoError(t, <-served)
			must.Eq(t, passedOn, answers, must.Sprint("a request that was passed on has no answer"))
		})
	}
}
