package exchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// target serves each connection with a function, and counts connections.
func target(t *testing.T, serve func(conn net.Conn, number int)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn, number)
			}()
		}
	}()
	return listener.Addr().String()
}

func request(address, id string, body []byte) Request {
	return Request{
		Address: address, Method: "POST", URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Body: body,
		AnswerWithin: 2 * time.Second,
		Mine:         func(header http.Header) bool { return header.Get("X-Id") == id },
		KeepFor:      func(http.Header) time.Duration { return 0 },
	}
}

func answer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo answers each request of a connection with the connection's number.
func echo(conn net.Conn, number int) {
	reader := bufio.NewReader(conn)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, incoming.Body)
		answer(conn, incoming.Header.Get("X-Id"), fmt.Sprint(number))
	}
}

func exchange(t *testing.T, pool *Pool, request Request) string {
	t.Helper()
	answer, failed := pool.Do(t.Context(), request)
	must.Nil(t, failed)
	defer answer.Close()
	body, err := io.ReadAll(answer)
	must.NoError(t, err)
	return string(body)
}

func TestConnectionsAreKept(t *testing.T) {
	pool := NewPool()
	address := target(t, echo)
	must.Eq(t, "1", exchange(t, pool, request(address, "a", nil)))
	must.Eq(t, "1", exchange(t, pool, request(address, "b", nil)))
	pool.Drop(address)
	must.Eq(t, "2", exchange(t, pool, request(address, "c", nil)))
}

// A target that answers before it has read a long body would take the next
// request's bytes for the rest of it.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	pool := NewPool()
	done := make(chan struct{})
	defer close(done)
	address := target(t, func(conn net.Conn, number int) {
		incoming, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		answer(conn, incoming.Header.Get("X-Id"), fmt.Sprint(number))
		<-done // reads no more
	})
	long := bytes.Repeat([]byte("x"), 16<<20)
	must.Eq(t, "1", exchange(t, pool, request(address, "a", long)))
	must.Eq(t, "2", exchange(t, pool, request(address, "b", nil)))
}

func TestBodyThatIsCutOffIsNotComplete(t *testing.T) {
	heads := map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\npart",
		"in chunks":     "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			address := target(t, func(conn net.Conn, _ int) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, head)
			})
			answer, failed := NewPool().Do(t.Context(), request(address, "a", nil))
			must.Nil(t, failed)
			defer answer.Close()
			_, err := io.ReadAll(answer)
			must.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
}

func TestFailureSaysWhetherTheRequestWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, failed := NewPool().Do(t.Context(), request(listener.Addr().String(), "a", nil))
	must.False(t, failed.Sent)
	must.False(t, failed.Silent)
	must.StrContains(t, failed.Error(), listener.Addr().String())

	closing := target(t, func(conn net.Conn, _ int) { _, _ = http.ReadRequest(bufio.NewReader(conn)) })
	_, failed = NewPool().Do(t.Context(), request(closing, "a", nil))
	must.True(t, failed.Sent)

	silent := target(t, func(conn net.Conn, _ int) { _, _ = io.Copy(io.Discard, conn) })
	quick := request(silent, "a", nil)
	quick.AnswerWithin = 50 * time.Millisecond
	_, failed = NewPool().Do(t.Context(), quick)
	must.True(t, failed.Sent)
	must.True(t, failed.Silent)
}

func TestCallersLeavingBreaksTheExchangeOff(t *testing.T) {
	left := make(chan error, 1)
	address := target(t, func(conn net.Conn, _ int) {
		_, err := io.Copy(io.Discard, conn)
		left <- err
	})
	ctx, leave := context.WithCancel(t.Context())
	failures := make(chan *Error, 1)
	go func() {
		_, failed := NewPool().Do(ctx, request(address, "a", nil))
		failures <- failed
	}()
	leave()
	must.NotNil(t, <-failures)
}

func TestAnswersToOthersAreSkippedOnlyUpToALimit(t *testing.T) {
	address := target(t, func(conn net.Conn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		for range maxSurplus + 1 {
			answer(conn, "other", "theirs")
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	_, failed := NewPool().Do(t.Context(), request(address, "a", nil))
	must.True(t, errors.Is(failed, errForeign))
	must.True(t, failed.Sent)
}

func TestIdleConnectionsAreSwept(t *testing.T) {
	pool := NewPool()
	address := target(t, echo)
	must.Eq(t, "1", exchange(t, pool, request(address, "a", nil)))
	pool.sweep(time.Now().Add(maxIdle + time.Second))
	must.MapEmpty(t, pool.idle)
	must.Eq(t, "2", exchange(t, pool, request(address, "b", nil)))
}
