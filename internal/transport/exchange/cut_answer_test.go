package exchange

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// cutAnswer is an answer that breaks off after some bytes.
type cutAnswer struct {
	whole string
	bytes int
	reset bool
}

// serveCut reads one request and answers it.
func serveCut(conn net.Conn, answer cutAnswer) {
	_, _ = http.ReadRequest(bufio.NewReader(conn))
	_, _ = io.WriteString(conn, answer.whole[:answer.bytes])
	if tcp, ok := conn.(*net.TCPConn); ok && answer.reset {
		_ = tcp.SetLinger(0)
	}
}

// An answer that breaks off at any byte must not be read as a whole one. Only an answer that
// ends with its connection can break off unnoticed, by an orderly end after the first byte of
// its body: nothing in its bytes says how long it is.
func TestAnswerThatBreaksOffAtAnyByteIsAnError(t *testing.T) {
	const body, head = "0123456789ab", "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	answers := map[string]string{
		"length":     head + "Content-Length: 12\r\n\r\n" + body,
		"chunks":     head + "Transfer-Encoding: chunked\r\n\r\n6;x=y\r\n012345\r\n6\r\n6789ab\r\n0\r\n\r\n",
		"trailer":    head + "Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\nc\r\n" + body + "\r\n0\r\nX-End: 1\r\n\r\n",
		"interim":    "HTTP/1.1 102 Processing\r\n\r\n" + head + "Content-Length: 12\r\n\r\n" + body,
		"connection": head + "\r\n" + body,
	}
	for name, whole := range answers {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %t", name, reset), func(t *testing.T) {
				pending := make(chan cutAnswer, 1)
				address := startTarget(t, func(conn net.Conn, _ int) { serveCut(conn, <-pending) })
				firstOfBody := len(answers["connection"]) - len(body) + 1
				for bytes := range len(whole) {
					pending <- cutAnswer{whole, bytes, reset}
					read, err := exchangeOnce(t, address)
					if name == "connection" && !reset && bytes >= firstOfBody {
						must.Eq(t, body[:1+bytes-firstOfBody], read)
						continue
					}
					must.Error(t, err, must.Sprintf("cut after %d of %d bytes: %q", bytes, len(whole), read))
				}
				pending <- cutAnswer{whole, len(whole), false}
				read, err := exchangeOnce(t, address)
				must.NoError(t, err)
				must.Eq(t, body, read)
			})
		}
	}
}

// exchangeOnce sends a request on a new connection and returns the body of its answer.
func exchangeOnce(t *testing.T, address string) (string, error) {
	answer, exchangeErr := NewPool().Do(t.Context(), newRequest(address, "a", nil))
	if exchangeErr != nil {
		return "", exchangeErr
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

// The parser of net/http ignores the chunks of an answer of HTTP/1.0, so that the sizes of the
// chunks were read as a part of its body.
func TestAnswerOfAnotherVersionIsAnError(t *testing.T) {
	for _, head := range []string{"HTTP/1.0 200 OK", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK"} {
		for name, rest := range map[string]string{
			"chunks": "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "length": "Content-Length: 2\r\n\r\nok",
			"length and chunks": "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		} {
			t.Run(head+" with "+name, func(t *testing.T) {
				whole := head + "\r\nX-Id: a\r\n" + rest
				address := startTarget(t, func(conn net.Conn, _ int) { serveCut(conn, cutAnswer{whole, len(whole), false}) })
				_, err := exchangeOnce(t, address)
				must.Error(t, err)
			})
		}
	}
}
