package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/platform/standin"
)

// caseIdleTimeout is the idle timeout of the process in the cases.
const caseIdleTimeout = 8 * time.Second

// dialCase returns a caller's connection, and the other end of it.
func dialCase(t *testing.T) (*callerConn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	limits := newIdleLimits()
	limits.set(1, caseIdleTimeout)
	process := &incarnation{limits: limits, callerAddress: listener.Addr().String()}
	process.recordDocument(1, time.Now().Add(-time.Hour))
	conn, err := dialProcess(process)
	must.NoError(t, err)
	daemonEnd, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(); _ = daemonEnd.Close() })
	return conn, daemonEnd.(*net.TCPConn)
}

// TestStateOfIdleConnection guards against a soak test that overlooks a connection that a
// daemon closed too early.
func TestStateOfIdleConnection(t *testing.T) {
	for name, c := range map[string]struct {
		idle   time.Duration
		change func(process *incarnation, daemonEnd *net.TCPConn)
		want   connState
	}{
		"open":          {time.Second, func(*incarnation, *net.TCPConn) {}, connUsable},
		"idle too long": {caseIdleTimeout, func(*incarnation, *net.TCPConn) {}, connIdleTooLong},
		"closed early":  {time.Second, func(_ *incarnation, end *net.TCPConn) { _ = end.Close() }, connClosedEarly},
		"reset early":   {time.Second, func(_ *incarnation, end *net.TCPConn) { reset(end) }, connClosedEarly},
		"closed late":   {caseIdleTimeout, func(_ *incarnation, end *net.TCPConn) { _ = end.Close() }, connClosed},
		"closed by a stop": {time.Second, func(process *incarnation, end *net.TCPConn) {
			process.stoppingAt = time.Now()
			_ = end.Close()
		}, connClosed},
		"closed after a shorter timeout": {2 * time.Second, func(process *incarnation, end *net.TCPConn) {
			process.limits.set(2, time.Second)
			process.recordDocument(2, time.Now().Add(-time.Minute))
			_ = end.Close()
		}, connClosed},
		"closed early, a shorter timeout since the last answer": {2 * time.Second, func(process *incarnation, end *net.TCPConn) {
			process.limits.set(2, time.Second)
			process.recordDocument(2, time.Now().Add(-time.Second))
			_ = end.Close()
		}, connClosedEarly},
		"unrequested bytes": {time.Second, func(_ *incarnation, end *net.TCPConn) { _, _ = end.Write([]byte("x")) }, connSpoilt},
	} {
		t.Run(name, func(t *testing.T) {
			conn, daemonEnd := dialCase(t)
			conn.answered, conn.answeredAt = true, time.Now().Add(-c.idle)
			conn.sentAt = conn.answeredAt
			c.change(conn.process, daemonEnd)
			must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return conn.state() == c.want }), wait.Timeout(time.Second)))
		})
	}
}

// TestCrossedClose guards against a soak test that excuses a daemon that read a request and
// closed its connection.
func TestCrossedClose(t *testing.T) {
	readAndClose := func(end *net.TCPConn) {
		if request, err := http.ReadRequest(bufio.NewReader(end)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		time.Sleep(2 * crossingWindow) // an idle connection may be closed within the window
		_ = end.Close()
	}
	closeFirst := func(end *net.TCPConn) { _ = end.Close() }
	for name, c := range map[string]struct {
		answered, stopping bool
		daemon             func(end *net.TCPConn)
		crossed            bool
	}{
		"read whole, kept connection":        {true, false, readAndClose, false},
		"read whole, new connection":         {false, false, readAndClose, false},
		"read whole, during a stop":          {false, true, readAndClose, false},
		"closed before, kept connection":     {true, false, closeFirst, true},
		"reset while new, by a stop":         {false, true, func(end *net.TCPConn) { _, _ = end.Read(make([]byte, 1)); reset(end) }, true},
		"reset while new, by no stop at all": {false, false, func(end *net.TCPConn) { _, _ = end.Read(make([]byte, 1)); reset(end) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			conn, daemonEnd := dialCase(t)
			conn.answered = c.answered
			request, err := standin.NewRequest(t.Context(), "daemon", standin.CallerRequest{Method: http.MethodPost, Path: "/bookings/1", ID: "1", Body: "order"})
			must.NoError(t, err)
			if c.stopping {
				conn.process.recordSignal(syscall.SIGTERM)
			}
			if c.crossed && c.answered {
				c.daemon(daemonEnd)
			} else {
				go c.daemon(daemonEnd)
			}
			exchange := callerExchange{id: "1"}
			must.False(t, conn.roundTrip(&exchange, request))
			must.True(t, exchange.sent)
			must.Eq(t, c.crossed, exchange.crossed)
			must.Eq(t, c.crossed, checkEnd(exchange, nil) == "")
		})
	}
}
