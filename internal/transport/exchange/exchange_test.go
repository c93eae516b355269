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
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// startTarget starts a TCP server that serves each connection with a function and
// passes it the connection's number, from 1.
func startTarget(t *testing.T, serve func(conn net.Conn, number int)) string {
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

// newRequest returns a request whose answer must have the same id in its X-Id header.
func newRequest(address, id string, body []byte) Request {
	return Request{
		Address: address, Method: "POST", URI: "/x", Host: "h", Header: http.Header{"X-Id": {id}}, Body: body,
		NotAfter:      time.Now().Add(time.Minute),
		AnswerTimeout: 2 * time.Second,
		Matches:       func(header http.Header) bool { return header.Get("X-Id") == id },
		IdleTimeout:   func(http.Header) time.Duration { return 0 },
	}
}

// writeAnswer writes an answer to the request with an id.
func writeAnswer(conn net.Conn, id, body string) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// answerWithNumber answers each request on a connection with the connection's number.
func answerWithNumber(conn net.Conn, number int) {
	reader := bufio.NewReader(conn)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, incoming.Body)
		writeAnswer(conn, incoming.Header.Get("X-Id"), fmt.Sprint(number))
	}
}

// mustExchange sends a request and returns the body of its answer.
func mustExchange(t *testing.T, pool *Pool, request Request) string {
	t.Helper()
	answer, exchangeErr := pool.Do(t.Context(), request)
	must.Nil(t, exchangeErr)
	defer answer.Close()
	body, err := io.ReadAll(answer)
	must.NoError(t, err)
	return string(body)
}

func TestConnectionsAreReused(t *testing.T) {
	pool := NewPool()
	address := startTarget(t, answerWithNumber)
	must.Eq(t, "1", mustExchange(t, pool, newRequest(address, "a", nil)))
	must.Eq(t, "1", mustExchange(t, pool, newRequest(address, "b", nil)))
	pool.CloseIdle(address)
	must.Eq(t, "2", mustExchange(t, pool, newRequest(address, "c", nil)))
}

// A target may answer before it has read a long body. If the connection were reused,
// the target would read the next request as the rest of that body.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	pool := NewPool()
	testDone := make(chan struct{})
	defer close(testDone)
	address := startTarget(t, func(conn net.Conn, number int) {
		incoming, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		writeAnswer(conn, incoming.Header.Get("X-Id"), fmt.Sprint(number))
		<-testDone // the rest of the body stays unread
	})
	longBody := bytes.Repeat([]byte("x"), 16<<20)
	must.Eq(t, "1", mustExchange(t, pool, newRequest(address, "a", longBody)))
	must.Eq(t, "2", mustExchange(t, pool, newRequest(address, "b", nil)))
}

func TestTruncatedBodyIsAnError(t *testing.T) {
	heads := map[string]string{
		"Content-Length": "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\npart",
		"chunked":        "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(conn net.Conn, _ int) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, head)
			})
			answer, exchangeErr := NewPool().Do(t.Context(), newRequest(address, "a", nil))
			must.Nil(t, exchangeErr)
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
	_, exchangeErr := NewPool().Do(t.Context(), newRequest(listener.Addr().String(), "a", nil))
	must.False(t, exchangeErr.MaybeSent)
	must.False(t, exchangeErr.TimedOut)
	must.StrContains(t, exchangeErr.Error(), listener.Addr().String())

	closing := startTarget(t, func(conn net.Conn, _ int) { _, _ = http.ReadRequest(bufio.NewReader(conn)) })
	_, exchangeErr = NewPool().Do(t.Context(), newRequest(closing, "a", nil))
	must.True(t, exchangeErr.MaybeSent)

	silent := startTarget(t, func(conn net.Conn, _ int) { _, _ = io.Copy(io.Discard, conn) })
	request := newRequest(silent, "a", nil)
	request.AnswerTimeout = 50 * time.Millisecond
	_, exchangeErr = NewPool().Do(t.Context(), request)
	must.True(t, exchangeErr.MaybeSent)
	must.True(t, exchangeErr.TimedOut)
}

func TestContextCancellationInterruptsTheExchange(t *testing.T) {
	readEnded := make(chan error, 1)
	address := startTarget(t, func(conn net.Conn, _ int) {
		_, err := io.Copy(io.Discard, conn)
		readEnded <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	exchangeErrs := make(chan *Error, 1)
	go func() {
		_, exchangeErr := NewPool().Do(ctx, newRequest(address, "a", nil))
		exchangeErrs <- exchangeErr
	}()
	cancel()
	must.NotNil(t, <-exchangeErrs)
}

func TestUnmatchedAnswersAreDiscardedUpToALimit(t *testing.T) {
	address := startTarget(t, func(conn net.Conn, _ int) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		for range maxUnmatched + 1 {
			writeAnswer(conn, "other", "other body")
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	_, exchangeErr := NewPool().Do(t.Context(), newRequest(address, "a", nil))
	must.True(t, errors.Is(exchangeErr, errUnmatched))
	must.True(t, exchangeErr.MaybeSent)
}

// A target sends a second copy of an answer when the connection already carries the next
// request. The copy belongs to no request.
func TestLateSecondCopyOfAnAnswerIsDiscarded(t *testing.T) {
	pool := NewPool()
	address := startTarget(t, func(conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		previous := ""
		for {
			incoming, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if previous != "" {
				writeAnswer(conn, previous, "copy for "+previous)
			}
			previous = incoming.Header.Get("X-Id")
			writeAnswer(conn, previous, "answer to "+previous)
		}
	})
	for _, id := range []string{"a", "b", "c"} {
		must.Eq(t, "answer to "+id, mustExchange(t, pool, newRequest(address, id, nil)))
	}
}

func TestExpiredConnectionsAreClosed(t *testing.T) {
	pool := NewPool()
	address := startTarget(t, answerWithNumber)
	must.Eq(t, "1", mustExchange(t, pool, newRequest(address, "a", nil)))
	pool.sweep(time.Now().Add(maxIdleTime + time.Second))
	must.MapEmpty(t, pool.idle)
	must.Eq(t, "2", mustExchange(t, pool, newRequest(address, "b", nil)))
}

// A target that never ends a part of its answer must be left after a bounded number of
// bytes, long before the answer's deadline.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	for name, c := range map[string]struct {
		begin, repeated string
		want            error // nil: any, as the parser of net/http hides the cause
	}{
		"status line":       {"HTTP/1.1 200 ", "x", errTooLong},
		"header line":       {head + "X-Long: ", "x", errTooLong},
		"header fields":     {head, "X-Field: x\r\n", nil},
		"interim answers":   {"", "HTTP/1.1 102 Processing\r\n\r\n", errTooManyInterim},
		"interim head":      {"HTTP/1.1 102 Processing\r\n", "X-Field: x\r\n", nil},
		"other's body":      {"HTTP/1.1 200 OK\r\nX-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", errUnmatched},
		"chunk header":      {head + "Transfer-Encoding: chunked\r\n\r\n", "1", nil},
		"chunk extension":   {head + "Transfer-Encoding: chunked\r\n\r\n5;", "x", nil},
		"extensions":        {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 999) + "\r\nx\r\n", nil},
		"trailer":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: x\r\n", nil},
		"body in chunks":    {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", errTooLong},
		"body until closed": {head + "\r\n", strings.Repeat("x", 1<<10), errTooLong},
	} {
		t.Run(name, func(t *testing.T) {
			address := startTarget(t, func(conn net.Conn, _ int) {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, err := io.WriteString(conn, c.begin)
				for block := []byte(strings.Repeat(c.repeated, 1+(32<<10)/len(c.repeated))); err == nil; {
					_, err = conn.Write(block)
				}
			})
			request := newRequest(address, "a", nil)
			request.AnswerTimeout = time.Minute
			answer, exchangeErr := NewPool().Do(t.Context(), request)
			if exchangeErr != nil {
				must.True(t, exchangeErr.MaybeSent)
				must.False(t, exchangeErr.TimedOut)
				if c.want != nil {
					must.ErrorIs(t, exchangeErr, c.want)
				}
				return
			}
			defer answer.Close()
			read, err := io.Copy(io.Discard, answer)
			must.Error(t, err)
			if c.want != nil {
				must.ErrorIs(t, err, c.want)
			}
			must.LessEq(t, maxBodyBytes+readBufferSize, read, must.Sprint("a part may have been read with the head"))
		})
	}
}

// A process that was paused between the decision to send a request and the write must
// not send it.
func TestExpiredRequestIsNotSent(t *testing.T) {
	received := make(chan int64, 1)
	address := startTarget(t, func(conn net.Conn, _ int) {
		bytes, _ := io.Copy(io.Discard, conn)
		received <- bytes
	})
	request := newRequest(address, "a", []byte("body"))
	request.NotAfter = time.Now().Add(-time.Millisecond)
	_, exchangeErr := NewPool().Do(t.Context(), request)
	must.ErrorIs(t, exchangeErr, ErrExpired)
	must.False(t, exchangeErr.MaybeSent)
	must.Eq(t, 0, <-received)
}

// bytesConn is a connection on which a target has sent some bytes and closed it.
type bytesConn struct {
	net.Conn
	*bytes.Reader
}

func (c bytesConn) Read(buffer []byte) (int, error) { return c.Reader.Read(buffer) }

// FuzzReadMatchingAnswer checks that bytes of any kind end in an error or in an answer
// that belongs to the request, and that no part of them is read without a limit.
func FuzzReadMatchingAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 102 P\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n"))
	request := newRequest("target", "a", nil)
	f.Fuzz(func(t *testing.T, sent []byte) {
		c := newConn(bytesConn{Reader: bytes.NewReader(sent)}, "target")
		response, err := readMatchingAnswer(c, newHTTPRequest(request), request.Matches)
		if err != nil {
			return
		}
		must.Eq(t, "a", response.Header.Get("X-Id"))
		must.GreaterEq(t, http.StatusOK, response.StatusCode)
		read, _ := io.Copy(io.Discard, response.Body)
		must.LessEq(t, int64(len(sent)), read)
	})
}

// FuzzAnswer checks that an answer of which the connection carries a beginning only is never
// read as a whole one that is shorter, unless it ends with its connection.
func FuzzAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	f.Add([]byte(head+"Content-Length: 2\r\n\r\nok"), 1)
	f.Add([]byte(head+"Transfer-Encoding: chunked\r\n\r\n1;x=y\r\no\r\n1\r\nk\r\n0\r\nX-End: 1\r\n\r\n"), 7)
	f.Add([]byte("HTTP/1.1 102 P\r\n\r\n"+head+"\r\nok"), 2)
	f.Add([]byte("HTTP/1.0 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), 3)
	f.Fuzz(func(t *testing.T, sent []byte, missing int) {
		whole, _, err := readSent(sent)
		if err != nil || missing <= 0 || missing > len(sent) {
			return
		}
		cut, framed, err := readSent(sent[:len(sent)-missing])
		if err == nil && framed {
			must.Eq(t, whole, cut)
		}
	})
}

// readSent returns the body of the answer in the bytes that a target has sent before it closed
// the connection.
func readSent(sent []byte) (body string, framed bool, err error) {
	request := newRequest("target", "a", nil)
	c := newConn(bytesConn{Reader: bytes.NewReader(sent)}, "target")
	outgoing := newHTTPRequest(request)
	response, err := readMatchingAnswer(c, outgoing, request.Matches)
	if err != nil {
		return "", false, err
	}
	answer := newAnswer(response, request, c)
	content, err := io.ReadAll(answer)
	return string(content), answer.Framed, err
}
