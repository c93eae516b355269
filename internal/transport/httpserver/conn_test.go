package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/keepalive"
	"hemlockknot/internal/coordination/shutdown"
)

// hookedListener accepts connections that call hooks while the server waits for the second
// request or reads it.
type hookedListener struct {
	net.Listener
	beforeRead        func(net.Conn) // of the second request
	afterRead         func(net.Conn) // before the reader gets the bytes
	beforeSetDeadline func(net.Conn) // when the server has them and prepares to parse them
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
	waits    bool // for the second request
}

// SyscallConn gives access to the socket.
func (c *hookedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *hookedConn) Read(b []byte) (int, error) {
	if c.requests == 1 && len(b) > 1 && !c.waits && c.hooks.beforeRead != nil {
		c.waits = true
		c.hooks.beforeRead(c.Conn)
	}
	n, err := c.Conn.Read(b)
	if n > 1 { // the server reads single bytes while a handler runs
		if c.requests++; c.requests == 2 {
			c.bytesIn = true
			if c.hooks.afterRead != nil {
				c.hooks.afterRead(c.Conn)
			}
		}
	}
	return n, err
}

func (c *hookedConn) SetReadDeadline(deadline time.Time) error {
	if c.bytesIn && c.hooks.beforeSetDeadline != nil {
		c.bytesIn = false
		c.hooks.beforeSetDeadline(c.Conn)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// A hunted day of matsya-desk (mix, seed 1093543745451): a configuration shortened the idle
// timeout, and a connection was closed for it just as its next request had been read.
func TestRequestReadWhileItsIdleConnectionIsClosed(t *testing.T) {
	const second = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"
	for _, c := range []struct {
		name string
		// hooks returns the hooks, given a function that makes all unused connections due.
		hooks func(closeUnused func()) hookedListener
	}{
		{"the process was paused while the request came", func(closeUnused func()) hookedListener {
			return hookedListener{beforeRead: func(conn net.Conn) {
				raw, _ := conn.(syscall.Conn).SyscallConn()
				_ = raw.Read(func(fd uintptr) bool { // until the request has come; the server may have its first byte
					n, _, _ := syscall.Recvfrom(int(fd), make([]byte, len(second)), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
					return n >= len(second)-1
				})
				closeUnused()
			}}
		}},
		{"before the server has the bytes", func(closeUnused func()) hookedListener {
			return hookedListener{afterRead: func(net.Conn) { closeUnused() }}
		}},
		{"when the server has them", func(closeUnused func()) hookedListener {
			return hookedListener{beforeSetDeadline: func(net.Conn) { go closeUnused() }}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			passedOn := 0
			server := newTestServer(&recordingObserver{}, func(w http.ResponseWriter, r *http.Request) {
				passedOn++
				_, _ = io.WriteString(w, r.URL.Path)
			})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			hooked := c.hooks(func() {
				server.mu.Lock()
				server.idleTimeouts = keepalive.New(-time.Hour)
				server.mu.Unlock()
				for _, conn := range server.openConns() {
					conn.check()
				}
			})
			hooked.Listener = listener
			served := make(chan error, 1)
			go func() { served <- server.Serve(hooked) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			must.NoError(t, err)
			reader := bufio.NewReader(conn)
			for range 2 {
				_, err = io.WriteString(conn, second)
				must.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				must.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				must.NoError(t, err)
			}
			must.NoError(t, conn.Close())
			server.Stop(shutdown.New(time.Now(), time.Second))
			must.NoError(t, <-served)
			must.Eq(t, 2, passedOn)
		})
	}
}

// An unused connection is closed once its time is over.
func TestUnusedConnectionIsClosed(t *testing.T) {
	observer := &recordingObserver{}
	server := newTestServer(observer, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	server.idleTimeouts = keepalive.New(0) // with the slack: 1 s
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n")
	must.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	must.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = reader.ReadByte()
	must.ErrorIs(t, err, io.EOF)
	server.Stop(shutdown.New(time.Now(), time.Second))
	must.NoError(t, <-served)
	must.Eq(t, []string{"closed, answered true, stopping false"}, observer.taken())
}
