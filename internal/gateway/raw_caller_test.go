package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"hemlockknot/platform/standin"
)

// Versions of the protocol of callers.
const (
	http11 = "HTTP/1.1"
	http10 = "HTTP/1.0"
)

// rawCaller is a connection of a caller that shows how each answer ends on the wire.
type rawCaller struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

// callerEnd is how a request of a caller has ended.
type callerEnd struct {
	// unsent is why the caller has not sent the whole request: the daemon had ended the
	// connection before, and the caller knew.
	unsent string
	status int // 0: no answer
	header http.Header
	closes bool // the answer says that its connection ends with it
	body   string
	err    error // why the answer is not whole by its framing; nil if it is
	sentAt time.Time
	at     time.Time
}

// dialRaw opens a connection to an address of a daemon.
func dialRaw(address string) (*rawCaller, error) {
	conn, err := net.DialTimeout("tcp", address, settleTimeout)
	if err != nil {
		return nil, err
	}
	return &rawCaller{conn.(*net.TCPConn), bufio.NewReader(conn)}, nil
}

// send sends a part of a request or a whole one.
func (c *rawCaller) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// look reports what has come before the caller sends: bytes of an answer, or the end of the
// connection.
func (c *rawCaller) look() (answered, closed bool) {
	const lookTime = time.Millisecond
	_ = c.conn.SetReadDeadline(time.Now().Add(lookTime))
	_, err := c.reader.Peek(1)
	return err == nil, err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// readAnswer reads one answer until its end by its framing, or until the limit.
func (c *rawCaller) readAnswer(limit time.Time) callerEnd {
	end, response := c.readHead(limit)
	if response == nil {
		return end
	}
	return c.readBody(end, response)
}

// readHead reads the status line and the headers of an answer. The response is nil if there
// are none.
func (c *rawCaller) readHead(limit time.Time) (callerEnd, *http.Response) {
	_ = c.conn.SetReadDeadline(limit)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callerEnd{err: err, at: time.Now()}, nil
	}
	return callerEnd{status: response.StatusCode, header: response.Header, closes: response.Close}, response
}

// readBody reads the rest of an answer.
func (c *rawCaller) readBody(end callerEnd, response *http.Response) callerEnd {
	body, err := io.ReadAll(response.Body)
	end.body += string(body)
	end.err, end.at = err, time.Now()
	return end
}

// exchange sends a request on an open connection and reads its answer.
func (c *rawCaller) exchange(text string, limit time.Time) callerEnd {
	sentAt := time.Now()
	if err := c.send(text); err != nil {
		return callerEnd{err: err, sentAt: sentAt, at: time.Now()}
	}
	end := c.readAnswer(limit)
	end.sentAt = sentAt
	return end
}

// streams reports whether a request is for a stream.
func streams(call standin.CallerRequest) bool {
	return strings.HasPrefix(call.Path, "/drafts/") || strings.HasPrefix(call.Path, "/queries/")
}

// wholeBody returns the body of the target's whole answer to a request.
func wholeBody(call standin.CallerRequest) string {
	if streams(call) {
		return standin.StreamText()
	}
	return standin.AnswerText(call.ID)
}

// newCall returns a request of one of the kinds that a target serves at the pace of the path's
// last element.
func newCall(kind, element, id string) standin.CallerRequest {
	return standin.CallerRequest{Method: http.MethodPost, Path: kind + element, ID: id, Body: "body of " + id, DeadlineMs: "12000"}
}

// notRunStatuses promise that no target has run the request or will.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// fault returns what is wrong with the end of a request that was sent whole, "" if nothing is.
// Runs is how often targets ran the request. mayBeCut allows a stream that ends early and does
// not look whole.
func (e callerEnd) fault(call standin.CallerRequest, runs int, mayBeCut bool) string {
	success := e.status/100 == 2
	switch {
	case e.unsent != "" && runs == 0:
		return ""
	case e.unsent != "":
		return "has run without having been sent"
	case e.status == 0:
		return fmt.Sprint("no answer: ", endName(e.err))
	case success && standin.SigningTarget(e.header) == "":
		return "success that is no target's"
	case success && e.err == nil && e.body != wholeBody(call):
		return fmt.Sprintf("looks whole with %d of %d bytes", len(e.body), len(wholeBody(call)))
	case success && !strings.HasPrefix(wholeBody(call), e.body):
		return "another body"
	case success && e.err != nil && mayBeCut && streams(call):
		return ""
	case e.err != nil:
		return fmt.Sprintf("status %d, cut after %d of %d bytes: %s", e.status, len(e.body), len(wholeBody(call)), endName(e.err))
	case success, e.status == http.StatusBadGateway, e.status == http.StatusGatewayTimeout:
		return ""
	case !slices.Contains(notRunStatuses, e.status):
		return fmt.Sprint("status ", e.status)
	case runs > 0:
		return fmt.Sprintf("status %d, but has run", e.status)
	}
	return ""
}

// endName names how reading ended.
func endName(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "connection still open"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	}
	return fmt.Sprint(err)
}
