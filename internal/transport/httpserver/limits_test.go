package httpserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/internal/transport/memory"
)

// limitedTest is a server with limits, and the limits that its connections have met.
type limitedTest struct {
	t       *testing.T
	server  *Server
	address string

	bodies sync.Map // the errors of reading bodies, by the ids of requests

	mu  sync.Mutex
	met []string
}

func serveLimited(t *testing.T, options Options) *limitedTest {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	return serveLimitedAt(t, options, listener)
}

func serveLimitedAt(t *testing.T, options Options, listener net.Listener) *limitedTest {
	test := &limitedTest{t: t}
	options.IdleTimeout, options.HeaderTimeout, options.MaxHeaderBytes = time.Hour, 10*time.Second, 1<<20
	options.RequestID = func(http.Header) string { return "" }
	options.OnLimit = func(_, reason string) {
		test.mu.Lock()
		defer test.mu.Unlock()
		test.met = append(test.met, reason)
	}
	test.server = New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/hold":
			<-r.Context().Done()
		case "/read":
			if _, err := io.ReadAll(r.Body); err != nil {
				test.bodies.Store(r.Header.Get(headerID), err)
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		w.WriteHeader(http.StatusNoContent)
	}), options, &recordingObserver{})
	address, stop := serveTestAt(t, test.server, listener)
	test.address = address
	t.Cleanup(func() { stop(100 * time.Millisecond) })
	return test
}

// dial connects and sends a text. It returns once the server has the connection in the state that
// ready tells of.
func (l *limitedTest) dial(text string, ready func() bool) net.Conn {
	conn, err := net.Dial("tcp", l.address)
	must.NoError(l.t, err)
	l.t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	must.NoError(l.t, err)
	must.Wait(l.t, wait.InitialSuccess(wait.BoolFunc(ready), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	return conn
}

// queued returns a function that reports whether a queue has a number of connections.
func (l *limitedTest) queued(from *queue, want int) func() bool {
	return func() bool {
		l.server.limits.Lock()
		defer l.server.limits.Unlock()
		return from.Len() == want
	}
}

// oneInHead reports whether the server has read a part of a head.
func (l *limitedTest) oneInHead() bool {
	return l.hasConn(func(conn *callerConn) bool { return conn.inHead })
}

// oneInBody reports whether a connection counts as one whose body is not whole.
func (l *limitedTest) oneInBody() bool {
	return l.hasConn(func(conn *callerConn) bool { return conn.inBody })
}

func (l *limitedTest) hasConn(is func(*callerConn) bool) bool {
	return slices.ContainsFunc(l.server.openConns(), func(conn *callerConn) bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return is(conn)
	})
}

// awaitLimits waits until connections have met just these limits.
func (l *limitedTest) awaitLimits(want ...string) {
	l.t.Helper()
	must.Wait(l.t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return strings.Join(l.met, " ") == strings.Join(want, " ")
	}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)), must.Func(func() string { return strings.Join(l.met, " ") }))
}

const testRequest = "GET / HTTP/1.1\r\nHost: desk.example\r\n\r\n"

// isAnswered reports whether a request on the connection has an answer.
func isAnswered(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == http.StatusNoContent
}

// Strangers that never finish a head once kept callers out. At the limit an unfinished head yields
// first, then an idle connection, and a request that is being answered never.
func TestConnectionsYieldInOrder(t *testing.T) {
	test := serveLimited(t, Options{MaxConns: 3, MaxUnfinished: 3})
	s := test.server
	held := test.dial("GET /hold HTTP/1.1\r\nHost: desk.example\r\n\r\n", func() bool { return s.Requests() == 1 })
	idle := test.dial(testRequest, test.queued(&s.idle, 1))
	must.True(t, isAnswered(idle))
	unfinished := test.dial(testRequest[:20], test.oneInHead)
	must.True(t, isAnswered(test.dial(testRequest, func() bool { return true })))
	test.awaitLimits(LimitConnections)
	_, err := unfinished.Read(make([]byte, 1))
	must.Error(t, err)
	must.True(t, isAnswered(test.dial(testRequest, func() bool { return true }))) // the oldest idle one yields
	test.awaitLimits(LimitConnections, LimitConnections)
	_, err = idle.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, 1, s.Requests())
	must.NoError(t, held.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = held.Read(make([]byte, 1))
	must.ErrorContains(t, err, "timeout")
}

// bodyHead returns the head of a request that has a body.
func bodyHead(path, id string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + headerID + ": " + id + "\r\nContent-Length: 100\r\n\r\n"
}

// Strangers that send heads and no bodies once kept callers out: their connections counted as being
// answered. A connection whose body is not whole yields as one whose head is not.
func TestConnectionsWithoutTheirBodiesYield(t *testing.T) {
	for _, row := range []struct {
		name, path string
		sent       string // of the body
		rest       string // sent when the connection has to yield
		status     int    // of the answer; 0: the connection is closed without one
		yields     bool
	}{
		{"nothing of the body has come", "/read", "", "", http.StatusServiceUnavailable, true},
		{"a part of the body has come", "/read", "some", "", http.StatusServiceUnavailable, true},
		{"the handler does not read the body", "/", "", "", http.StatusNoContent, true},
		{"the handler has answered and has not read all", "/", "some", "", http.StatusNoContent, true},
		{"the body is whole", "/read", "", strings.Repeat("a", 100), http.StatusNoContent, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			test := serveLimited(t, Options{MaxConns: 2, MaxUnfinished: 2})
			s := test.server
			held := test.dial("GET /hold HTTP/1.1\r\nHost: desk.example\r\n\r\n", func() bool { return s.Requests() == 1 })
			owing := test.dial(bodyHead(row.path, "owing")+row.sent, test.oneInBody)
			if row.rest != "" {
				_, err := io.WriteString(owing, row.rest)
				must.NoError(t, err)
				must.Wait(t, wait.InitialSuccess(wait.BoolFunc(test.queued(&s.idle, 1)), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
			}
			must.True(t, isAnswered(test.dial(testRequest, func() bool { return true })))
			must.NoError(t, owing.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(owing), nil)
			must.NoError(t, err)
			must.Eq(t, row.status, response.StatusCode)
			test.awaitLimits(LimitConnections) // of the body, or of the idle connection
			readErr, failed := test.bodies.Load("owing")
			must.Eq(t, row.yields && row.path == "/read", failed)
			if failed {
				must.ErrorIs(t, readErr.(error), ErrYielded)
			}
			must.NoError(t, held.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
			_, err = held.Read(make([]byte, 1))
			must.ErrorContains(t, err, "timeout")
		})
	}
}

// A body that has ended when its connection has already been told to yield must not count as whole:
// the end of the connection cancels the request.
func TestBodyThatEndsAfterItsConnectionYieldedIsNotWhole(t *testing.T) {
	server := newTestServer(&recordingObserver{}, nil)
	client, conn := net.Pipe()
	defer func() { _, _ = client.Close(), conn.Close() }()
	caller := &callerConn{Conn: conn, server: server, phase: connBusy}
	body := caller.trackBody(io.NopCloser(strings.NewReader("body")))
	_, err := body.Read(make([]byte, 4))
	must.NoError(t, err)
	caller.evict(LimitConnections)
	_, err = body.Read(make([]byte, 1))
	must.ErrorIs(t, err, ErrYielded)

	caller = &callerConn{Conn: conn, server: server, phase: connBusy}
	body = caller.trackBody(io.NopCloser(strings.NewReader("body")))
	text, err := io.ReadAll(body)
	must.NoError(t, err)
	must.Eq(t, "body", string(text))
	caller.evict(LimitConnections) // too late
	_, err = body.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
}

// A request that has come before its idle connection yields is answered.
func TestIdleConnectionWithARequestDoesNotYield(t *testing.T) {
	for range 50 {
		test := serveLimited(t, Options{MaxConns: 10, MaxUnfinished: 10})
		conn := test.dial(testRequest, test.queued(&test.server.idle, 1))
		must.True(t, isAnswered(conn))
		callerConn := test.server.openConns()[0]
		_, err := io.WriteString(conn, testRequest) // it has reached the kernel when this returns
		must.NoError(t, err)
		callerConn.evict(LimitConnections)
		must.True(t, isAnswered(conn))
	}
}

// Heads that are too large, too slow or too many end, each for its reason; the first gets a 431.
func TestHeadsMeetTheirLimits(t *testing.T) {
	limits := func() (int, time.Duration) { return 16 << 10, 200 * time.Millisecond }
	t.Run("bytes", func(t *testing.T) {
		test := serveLimited(t, Options{HeadLimits: limits})
		conn := test.dial(testRequest[:len(testRequest)-2]+"A: "+strings.Repeat("a", 30<<10), func() bool { return true })
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
		test.awaitLimits(LimitHeadBytes)
	})
	t.Run("time", func(t *testing.T) {
		test := serveLimited(t, Options{HeadLimits: limits})
		test.dial(testRequest[:20], test.oneInHead)
		test.awaitLimits(LimitHeadTime)
	})
	t.Run("memory", func(t *testing.T) {
		account := memory.New(256 << 10)
		test := serveLimited(t, Options{Memory: account})
		long := testRequest[:len(testRequest)-2] + "A: " + strings.Repeat("a", 20<<10)
		first := test.dial(long, test.queued(&test.server.large, 1))
		second := test.dial(long, func() bool { return true }) // half of the account holds one of them
		test.awaitLimits(LimitMemory)
		_, err := first.Read(make([]byte, 1))
		must.Error(t, err)
		_, err = io.WriteString(second, "\r\n\r\n")
		must.NoError(t, err)
		must.True(t, isAnswered(second))
		must.NoError(t, second.Close())
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { // all is given back
			if !account.Reserve(256 << 10) {
				return false
			}
			account.Release(256 << 10)
			return true
		}), wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
	})
}

// heldConnListener's connections hold up their server when a read fails, or when it writes, until a
// channel is closed.
type heldConnListener struct {
	net.Listener
	atRead, atWrite bool
	until           <-chan struct{}
	writing         atomic.Bool // a write is held up
}

func (l *heldConnListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{conn, l}, nil
}

type heldConn struct {
	net.Conn
	listener *heldConnListener
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.listener.atRead && err != nil {
		<-c.listener.until
	}
	return n, err
}

func (c *heldConn) Write(b []byte) (int, error) {
	if c.listener.atWrite {
		c.listener.writing.Store(true)
		<-c.listener.until
	}
	return c.Conn.Write(b)
}

// The memory of a head was lent again as soon as its connection had been told to end: goroutines that
// had not run yet, or that waited after a refusal, went on holding it, and the process used more than
// its machine has.
func TestMemoryOfAHeadIsLentOnceItIsFree(t *testing.T) {
	const accountBytes = 4 << 20
	limits := func() (int, time.Duration) { return 16 << 10, 10 * time.Second }
	start := testRequest[:len(testRequest)-2]
	for _, row := range []struct {
		name            string
		head            string
		atRead, atWrite bool
	}{
		{"the server has not run since the head was to end", start + "A: " + strings.Repeat("a", 10<<10), true, false},
		{"the caller has left", start + "A: " + strings.Repeat("a", 10<<10), true, false},
		{"the head is being refused", start + "A: " + strings.Repeat("a", 30<<10), false, true},
		{"the head is being refused, in many fields", start + strings.Repeat("A:\r\n", 7<<10), false, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			account := memory.New(accountBytes)
			free := make(chan struct{})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			held := &heldConnListener{Listener: listener, atRead: row.atRead, atWrite: row.atWrite, until: free}
			test := serveLimitedAt(t, Options{HeadLimits: limits, Memory: account}, held)
			ready := test.queued(&test.server.large, 1)
			if row.atWrite {
				ready = held.writing.Load
			}
			conn := test.dial(row.head, ready)
			if row.name == "the caller has left" {
				must.NoError(t, conn.Close())
			}
			must.False(t, account.ReserveHead(accountBytes/2))
			must.False(t, account.Reserve(accountBytes))
			close(free)
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return account.Reserve(accountBytes) }),
				wait.Timeout(5*time.Second), wait.Gap(time.Millisecond)))
			account.Release(accountBytes)
		})
	}
}

// Heads that all want more memory at the same time must not wait for each other.
func TestGrowingHeadsDoNotWaitForEachOther(t *testing.T) {
	const accountBytes = 512 << 10
	account := memory.New(accountBytes)
	test := serveLimited(t, Options{Memory: account})
	var callers sync.WaitGroup
	for range 50 {
		conn, err := net.Dial("tcp", test.address)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		callers.Go(func() {
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, testRequest[:len(testRequest)-2]+strings.Repeat("A:\r\n", 2<<10)+"\r\n") // fails if the connection yields
			_, err := io.ReadAll(io.LimitReader(conn, 1))
			if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("a connection has neither been answered nor closed")
			}
		})
	}
	callers.Wait()
	must.True(t, isAnswered(test.dial(testRequest, func() bool { return true })))
}

// The body of a request that no handler reads held its connection without end.
func TestUnreadBodyEnds(t *testing.T) {
	test := serveLimited(t, Options{BodyTimeout: 100 * time.Millisecond})
	conn := test.dial("POST / HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 100\r\n\r\nsome", func() bool { return true })
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := io.ReadAll(conn)
	must.NoError(t, err)
}

// A listener without limits of its own server once ran out of descriptors, which ended the process.
func TestLimitListenerClosesTheOldestUnanswered(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	limited := LimitListener(inner, ListenerLimits{MaxConns: 2})
	defer func() { _ = limited.Close() }()
	var clients, accepted []net.Conn
	dial := func() {
		client, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		conn, err := limited.Accept()
		must.NoError(t, err)
		clients, accepted = append(clients, client), append(accepted, conn)
		must.NoError(t, client.SetReadDeadline(time.Now().Add(5*time.Second)))
	}
	dial()
	_, err = accepted[0].Write([]byte("x"))
	must.NoError(t, err)
	dial()
	dial() // the second yields, as it has never been answered
	_, err = clients[1].Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	_, err = clients[0].Read(make([]byte, 1))
	must.NoError(t, err)
	for _, conn := range accepted {
		_ = conn.Close()
	}
	must.Eq(t, 0, limited.(*limitListener).unanswered.Len()+limited.(*limitListener).answered.Len())
}

// The memory of a connection that is closed for a new one is lent once its server has let go of it.
func TestMemoryOfAClosedConnectionIsLentOnceItIsFree(t *testing.T) {
	const accountBytes = 1 << 20
	account := memory.New(accountBytes)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	limited := LimitListener(inner, ListenerLimits{MaxConns: 1, Memory: account})
	defer func() { _ = limited.Close() }()
	accept := func() net.Conn {
		client, err := net.Dial("tcp", inner.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })
		_, err = io.WriteString(client, strings.Repeat("a", 20<<10))
		must.NoError(t, err)
		conn, err := limited.Accept()
		must.NoError(t, err)
		return conn
	}
	first := accept()
	_, err = io.ReadFull(first, make([]byte, 20<<10))
	must.NoError(t, err)
	accept() // the first is closed
	_, err = first.Read(make([]byte, 1))
	must.ErrorIs(t, err, net.ErrClosed)
	must.False(t, account.Reserve(accountBytes))
	must.ErrorIs(t, first.Close(), net.ErrClosed)
	must.True(t, account.Reserve(accountBytes))
}
