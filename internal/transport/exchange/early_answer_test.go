package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// earlyAnswer is how a target answers before it has read the whole request.
type earlyAnswer struct {
	body    string        // what it writes after the head
	framing string        // a header of the answer; empty: it ends with its connection
	reads   int64         // bytes of the request's body that it reads before it answers; -1: all
	pause   time.Duration // between the answer and the end
	end     func(conn *net.TCPConn, request *http.Request)
}

func resetConn(conn *net.TCPConn, _ *http.Request) { _ = conn.SetLinger(0) }

func closeConn(*net.TCPConn, *http.Request) {}

// finishReading ends the answer, then reads the rest of the request.
func finishReading(conn *net.TCPConn, request *http.Request) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, request.Body)
}

// abandonRequest ends the answer and leaves the rest of the request unread for a while.
func abandonRequest(conn *net.TCPConn, _ *http.Request) {
	_ = conn.CloseWrite()
	time.Sleep(writeErrorWait + 100*time.Millisecond)
}

func (e earlyAnswer) serve(conn net.Conn) {
	request, err := http.ReadRequest(bufio.NewReaderSize(conn, 512))
	if err != nil {
		return
	}
	if e.reads < 0 {
		e.reads = request.ContentLength
	}
	_, _ = io.CopyN(io.Discard, request.Body, e.reads)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: a\r\n%s\r\n%s", e.framing, e.body)
	time.Sleep(e.pause)
	e.end(conn.(*net.TCPConn), request)
}

// Guards against a part of an answer that passes for the whole one: an answer without a length ends with its
// connection, and the kernel reports a reset only once, to the goroutine that writes the request; the
// one that reads the answer sees an orderly end (issue 55, MIXED).
func TestEarlyAnswerIsWholeOnlyIfTheRequestWasWritten(t *testing.T) {
	const (
		whole, part          = "0123456789", "01234"
		cutTries, wholeTries = 40, 5
	)
	chunks := "Transfer-Encoding: chunked\r\n"
	cases := []struct {
		name   string
		answer earlyAnswer
		whole  bool
	}{
		{"reset", earlyAnswer{part, "", 0, 0, resetConn}, false},
		{"reset after 1 ms", earlyAnswer{part, "", 0, time.Millisecond, resetConn}, false},
		{"reset after 20 ms", earlyAnswer{part, "", 0, 20 * time.Millisecond, resetConn}, false},
		{"closed with unread bytes", earlyAnswer{part, "", 0, 0, closeConn}, false},
		{"closed with unread bytes after 20 ms", earlyAnswer{part, "", 0, 20 * time.Millisecond, closeConn}, false},
		{"reset before the end of its length", earlyAnswer{part, "Content-Length: 10\r\n", 0, 0, resetConn}, false},
		{"reset within its chunks", earlyAnswer{"5\r\n01234\r\n", chunks, 0, 0, resetConn}, false},
		{"a long part, then reset", earlyAnswer{strings.Repeat(part, 2000), "", 0, 0, resetConn}, false},
		{"ends, and the rest of the request is read", earlyAnswer{whole, "", 0, 0, finishReading}, true},
		{"ends, and the rest of the request is not read", earlyAnswer{whole, "", 0, 0, abandonRequest}, true},
		{"closed after the request was read", earlyAnswer{whole, "", -1, 0, closeConn}, true},
		{"whole chunks, then reset", earlyAnswer{"a\r\n0123456789\r\n0\r\n\r\n", chunks, 0, 20 * time.Millisecond, resetConn}, true},
	}
	for _, c := range cases {
		for _, size := range []int{maxInlineBody / 2, 60_000, 900_000, 4_000_000} {
			if !c.whole && size < maxInlineBody {
				continue // the request has been written, and the reset is reported to the reader
			}
			t.Run(fmt.Sprintf("%s, %d bytes", c.name, size), func(t *testing.T) {
				var cut, complete atomic.Int32
				address := startTarget(t, func(conn net.Conn, _ int) { c.answer.serve(conn) })
				tries := cutTries
				if c.whole {
					tries = wholeTries
				}
				for range tries {
					body, err := exchangeBody(t, address, size)
					if err != nil {
						cut.Add(1)
						continue
					}
					complete.Add(1)
					if c.whole {
						must.Eq(t, whole, body)
					}
				}
				if c.whole {
					must.Eq(t, 0, cut.Load(), must.Sprint("whole answers that are lost"))
				} else {
					must.Eq(t, 0, complete.Load(), must.Sprint("parts that pass for whole answers"))
				}
			})
		}
	}
}

// exchangeBody sends a request with a body of a size and returns the body of its answer.
func exchangeBody(t *testing.T, address string, size int) (string, error) {
	request := newRequest(address, "a", []byte(strings.Repeat("x", size)))
	answer, exchangeErr := NewPool().Do(t.Context(), request)
	if exchangeErr != nil {
		return "", exchangeErr
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}
