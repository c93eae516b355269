package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// shortLimitsYAML holds settings with small size limits and short timeouts, so
// that the test reaches them quickly.
const shortLimitsYAML = "limits:\n  body_bytes: 2048\n  header_bytes: 4096\n  header_timeout: 300ms\n  body_timeout: 300ms\n"

// sendRaw writes raw bytes to a daemon's port for callers and returns the
// response and its body. If halfClose is set, it closes the sending half of the
// connection after the bytes. The response is nil if none can be read.
func sendRaw(t *testing.T, daemon *process, request string, halfClose bool) (*http.Response, string) {
	t.Helper()
	conn, err := net.Dial("tcp", daemon.addresses["callers"])
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	must.NoError(t, conn.SetDeadline(time.Now().Add(callerTimeout)))
	// Write errors are expected: the daemon may respond and close the connection
	// before it has read everything.
	_, _ = io.WriteString(conn, request)
	if halfClose {
		must.NoError(t, conn.(*net.TCPConn).CloseWrite())
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, ""
	}
	body, _ := io.ReadAll(response.Body)
	return response, string(body)
}

// refusalCount returns the value of a daemon's refusal counter for a reason, as
// the text in its metrics, or "" if the metrics lack it.
func refusalCount(daemon *process, reason refusal.Reason) string {
	response, err := http.Get("http://" + daemon.addresses["operators"] + "/metrics")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	prefix := fmt.Sprintf("hemlockknot_refusals_total{reason=%q} ", reason)
	for scanner.Scan() {
		if count, ok := strings.CutPrefix(scanner.Text(), prefix); ok {
			return count
		}
	}
	return ""
}

func TestBadInputIsAnsweredAndCounted(t *testing.T) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	daemon := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", extraYAML: shortLimitsYAML})
	f.awaitConverged(generation)

	head := "POST " + targetapi.PathChat + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	withBody := func(body string) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body) }
	for _, test := range []struct {
		name       string
		rawRequest string
		halfClose  bool
		status     int // 0: the connection is closed without a response
		// reason is checked in the response and in the counter. For HeaderUnreadable
		// it is checked in the counter only, and the connection may also be closed
		// without a response.
		reason refusal.Reason
	}{
		{"truncated JSON", withBody("{"), false, 400, refusal.MalformedRequest},
		{"wrong type", withBody(`{"model":7}`), false, 400, refusal.MalformedRequest},
		{"no model", withBody(`{"messages":[{"role":"user","content":"x"}]}`), false, 400, refusal.MalformedRequest},
		{"no messages", withBody(`{"model":"hk-small","messages":[]}`), false, 400, refusal.MalformedRequest},
		{"unknown model", withBody(`{"model":"none","messages":[{"role":"user","content":"x"}]}`), false, 404, refusal.UnknownModel},
		{"unknown class", strings.Replace(withBody(`{"model":"hk-small","messages":[{"role":"user","content":"x"}]}`), "\r\n\r\n", "\r\nX-Hemlockknot-Class: none\r\n\r\n", 1), false, 400, refusal.UnknownClass},
		{"no key", "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", false, 401, refusal.UnknownKey},
		{"unknown path", "GET /nowhere HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n\r\n", false, 404, refusal.UnknownPath},
		{"wrong method", strings.Replace(head, "POST", "GET", 1) + "\r\n", false, 405, refusal.MethodNotAllowed},
		{"body too large", withBody(strings.Repeat("x", 4096)), false, 413, refusal.BodyTooLarge},
		{"truncated body", head + "Content-Length: 100\r\n\r\n{\"model\"", true, 400, refusal.BodyIncomplete},
		{"body too slow", head + "Content-Length: 100\r\n\r\n{\"model\"", false, 408, refusal.BodyTimeout},
		{"header too large", head + "X-Large: " + strings.Repeat("x", 6000) + "\r\n\r\n", false, 431, refusal.HeaderTooLarge},
		{"endless header", head + strings.Repeat("X-More: x\r\n", 100_000), false, 431, refusal.HeaderUnreadable},
		{"header too slow", head, false, 0, refusal.HeaderUnreadable},
		{"not HTTP", "\x16\x03\x01 what is this\r\n\r\n", false, 400, refusal.HeaderUnreadable},
	} {
		t.Run(test.name, func(t *testing.T) {
			countBefore := refusalCount(daemon, test.reason)
			response, body := sendRaw(t, daemon, test.rawRequest, test.halfClose)
			status := 0
			if response != nil {
				status = response.StatusCode
			}
			if status != 0 || test.reason != refusal.HeaderUnreadable {
				must.Eq(t, test.status, status)
			}
			if test.reason != refusal.HeaderUnreadable {
				must.Eq(t, string(test.reason), response.Header.Get(refusal.HeaderReason))
				must.Eq(t, "not_run", response.Header.Get(refusal.HeaderOutcome))
				must.StrContains(t, body, response.Header.Get(refusal.HeaderRequestID))
			}
			waitFor(t, convergenceTimeout, "the refusal is counted", func() bool {
				return refusalCount(daemon, test.reason) != countBefore
			})
		})
	}

	for _, name := range []string{"e1", "e2", "e3"} {
		must.Len(t, 0, engineRecords(t, f.targets[name]))
	}
	request := chatRequest{model: "hk-small", chat: "after", maxTokens: 4, stream: true, key: testKey}
	must.True(t, request.send(context.Background(), daemon).complete)
}
