package integration

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// rawRequest is a request that a rawCaller sends.
type rawRequest struct {
	kind   string // what is asked for, for the names of tests
	method string
	path   string
	header string // further lines, each with its end
	body   string
	tokens int // of the whole answer, if it is a stream
}

// rawRequests returns a request of each kind that a daemon serves. The answer of a chat has
// a number of tokens.
func rawRequests(id string, tokens int) []rawRequest {
	streamed := chatRequest{model: "hk-small", chat: id, maxTokens: tokens, stream: true}
	whole := chatRequest{model: "hk-small", chat: id + "-whole", maxTokens: tokens}
	return []rawRequest{
		{kind: "stream", method: http.MethodPost, path: targetapi.PathChat, body: streamed.body(), tokens: tokens},
		{kind: "chat", method: http.MethodPost, path: targetapi.PathChat, body: whole.body()},
		{kind: "read", method: http.MethodGet, path: "/ledger/" + id},
		{kind: "booking", method: http.MethodPost, path: "/ledger/bookings", body: id},
		{kind: "keyed booking", method: http.MethodPost, path: "/ledger/bookings", header: "Idempotency-Key: " + id + "\r\n", body: id},
	}
}

// text returns the request as it is sent.
func (r rawRequest) text() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: hemlockknot\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.path, testKey, r.header, len(r.body), r.body)
}

// rawCaller is a caller's connection to a daemon.
type rawCaller struct {
	*net.TCPConn
	reader *bufio.Reader
}

// dialRaw connects to a daemon's port for callers until the test ends.
func dialRaw(t *testing.T, daemon *process) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", daemon.addresses["callers"])
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	must.NoError(t, conn.SetDeadline(time.Now().Add(callerTimeout)))
	return &rawCaller{TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// exchange sends a request, or the rest of it, and reads the response.
func (c *rawCaller) exchange(text string, onToken func(int)) callResult {
	if _, err := io.WriteString(c, text); err != nil {
		return callResult{err: err}
	}
	return c.read(onToken)
}

// read reads a response.
func (c *rawCaller) read(onToken func(int)) callResult {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callResult{err: err}
	}
	return readResponse(response, onToken)
}

// closedByDaemon reports whether the daemon has closed the connection.
func (c *rawCaller) closedByDaemon() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond)) // fails only on a closed connection
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(callerTimeout))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// fault says what is wrong with the end of a request, or returns "". A request ends with its
// whole answer, or with a typed refusal.
func (r rawRequest) fault(result callResult) string {
	switch {
	case result.err != nil:
		return fmt.Sprint("no response, or one that breaks off: ", result.err)
	case result.refusal != nil:
		return ""
	case result.status != http.StatusOK:
		return fmt.Sprint("status ", result.status, " without a typed refusal")
	case r.tokens > 0 && (!result.complete || result.tokens != r.tokens):
		return fmt.Sprint("the stream ends without an error event after ", result.tokens, " tokens")
	case r.tokens == 0 && strings.TrimSpace(result.text) == "":
		return "an empty answer"
	}
	return ""
}

// refusedAs reports whether a request got a refusal with a reason.
func (r callResult) refusedAs(reason refusal.Reason) bool {
	return r.refusal != nil && r.refusal.Code == reason
}
