// Package exchange is an HTTP/1.1 client for targets, with its own connection pool.
// It never sends a request twice, reports whether a failed request may have reached
// its target, and discards answers that belong to other requests.
//
// The package uses the parser and the writer of net/http, but not its client: that
// client resends requests on its own when a reused connection fails, and cannot
// discard an answer to another request. Nor does it use its reader of chunks, which may
// hold back what a target has sent.
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
	"net/url"
	"strings"
	"time"

	"hemlockknot/internal/transport/socket"
)

// Limits of exchanges.
const (
	// maxUnmatched is the number of answers to other requests that are discarded
	// before the exchange fails.
	maxUnmatched = 3
	// maxUnmatchedBytes limits the body of a discarded answer.
	maxUnmatchedBytes = 1 << 20
	// maxInterim is the number of interim answers that may precede the final one.
	maxInterim = 8
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// maxHeadBytes limits the headers of an answer together with those of the interim
	// answers before it. The users' targets send less than 1 KB.
	maxHeadBytes = 64 << 10
	// maxBodyBytes limits the body of an answer with its framing: a stream of the users'
	// largest answers has less than 1 MB.
	maxBodyBytes = 64 << 20
	// maxInlineBody is the size in bytes of the largest body that is written before
	// the answer is read; it fits into the smallest TCP window.
	maxInlineBody = 2 << 10
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 4 << 10
	// resetGrace is how long the end of the target's sending half is not taken for that of an answer to a long
	// request: a link that forwards both directions by themselves turns a reset into an end and then a
	// reset. A sound answer ends that much later, so that it must be short.
	resetGrace = 100 * time.Millisecond
	// minDeliveryPoll and maxDeliveryPoll bound the time between two looks at what of the request is on its way.
	minDeliveryPoll = time.Millisecond
	maxDeliveryPoll = 20 * time.Millisecond
)

// Request is a request to a target.
type Request struct {
	Address string // IP:PORT
	Method  string
	URI     string // path and query, as received from the caller
	Host    string
	Header  http.Header
	Body    []byte
	// AvoidStale limits reuse to pooled connections that were last used less than
	// recentUse ago. If there is none, the pool opens a new connection.
	AvoidStale bool
	// NotAfter is when the decision to send the request expires: no byte is sent later.
	// The process may be paused between the decision and the write.
	NotAfter time.Time
	// AnswerTimeout limits the time from the start of the write until the whole answer
	// has been read. Answer.SetReadTimeout replaces the limit for later reads of the
	// body, but not for the write of the request.
	AnswerTimeout time.Duration
	// OnWritten is called once the whole request has been written, on any goroutine; nil: nobody
	// needs to know.
	OnWritten func()
	// Matches reports whether an answer with these headers belongs to this request.
	Matches func(http.Header) bool
	// IdleTimeout returns how long the target keeps an idle connection according to an
	// answer's headers, or 0 if they do not say.
	IdleTimeout func(http.Header) time.Duration
}

// Error says at which step an exchange with a target failed.
type Error struct {
	Step      string // such as "connect to"
	Address   string // the target's address
	MaybeSent bool   // the target may have received a part of the request
	TimedOut  bool   // the step timed out, without a sign that the target is gone
	Err       error
}

func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Address, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Answer is the answer to a request. Read reads its body; Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed reports whether the body has a known length or is chunked. Otherwise it
	// ends when the connection closes.
	Framed bool
	// Length is the body's length in bytes, -1 if the headers do not give it.
	Length int64

	body          io.ReadCloser
	conn          *conn
	pool          *Pool
	writeResult   <-chan error  // nil if the request was written before the answer was read, or its result is known
	writeErr      error         // the result, once it is known
	longRequest   bool          // the answer was read while the request was being written
	stopInterrupt func() bool   // unlinks the exchange from the context; false if the context has ended
	idleTimeout   time.Duration // how long the connection may stay in the pool
	begun         bool          // a byte of the body has been read
	atEOF         bool          // the whole body has been read
}

var (
	errUnmatched      = errors.New("only answers to other requests came")
	errTooManyInterim = errors.New("too many interim answers")
	errOtherVersion   = errors.New("answer is not of HTTP/1.1")
	errInvalidStatus  = errors.New("status of the answer is none of HTTP")
)

// ErrExpired says that a request was not sent because NotAfter had passed.
var ErrExpired = errors.New("the decision to send the request has expired")

// Do sends a request and returns its answer once the answer's header has been read.
// When the context ends, the exchange fails, also while the body is being read.
func (p *Pool) Do(ctx context.Context, request Request) (*Answer, *Error) {
	c, err := p.get(ctx, request.Address, request.AvoidStale)
	if err != nil {
		return nil, &Error{Step: "connect to", Address: request.Address, TimedOut: isTimeout(err), Err: err}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	answer, exchangeErr := p.sendAndReceive(ctx, c, request)
	if exchangeErr != nil {
		stop()
		c.abandon()
		return nil, exchangeErr
	}
	answer.stopInterrupt = stop
	return answer, nil
}

// sendAndReceive writes a request to a connection and reads the answer's header.
func (p *Pool) sendAndReceive(ctx context.Context, c *conn, request Request) (*Answer, *Error) {
	outgoing := newHTTPRequest(request)
	if time.Now().After(request.NotAfter) {
		return nil, &Error{Step: "send to", Address: request.Address, Err: ErrExpired}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{Step: "send to", Address: request.Address, Err: err}
	}
	c.setDeadline(time.Now().Add(request.AnswerTimeout))
	writeResult, err := c.startWrite(outgoing, len(request.Body), request.OnWritten)
	if err != nil {
		return nil, &Error{Step: "send to", Address: request.Address, MaybeSent: true, TimedOut: isTimeout(err), Err: err}
	}
	if ctx.Err() != nil {
		c.interrupt()
	}
	response, err := readMatchingAnswer(c, outgoing, request.Matches)
	if err != nil {
		return nil, &Error{Step: "read answer of", Address: request.Address, MaybeSent: true, TimedOut: isTimeout(err), Err: err}
	}
	answer := newAnswer(response, request, c)
	answer.pool, answer.writeResult, answer.longRequest = p, writeResult, writeResult != nil
	return answer, nil
}

// newAnswer returns the answer to a request whose header has been read from a connection.
func newAnswer(response *http.Response, request Request, c *conn) *Answer {
	return &Answer{
		Status:      response.StatusCode,
		Header:      response.Header,
		Framed:      response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || request.Method == http.MethodHead,
		Length:      response.ContentLength,
		body:        response.Body,
		conn:        c,
		idleTimeout: idleTimeout(response, request),
	}
}

// idleTimeout returns how long the connection may stay in the pool after the answer.
func idleTimeout(response *http.Response, request Request) time.Duration {
	if response.Close {
		return 0
	}
	if announced := request.IdleTimeout(response.Header); announced > 0 {
		return min(maxIdleTime, announced-idleTimeoutMargin)
	}
	return maxIdleTime
}

func newHTTPRequest(request Request) *http.Request {
	outgoing := &http.Request{
		Method:        request.Method,
		URL:           requestURL(request.URI),
		Host:          request.Host,
		Header:        request.Header,
		ContentLength: int64(len(request.Body)),
		Body:          http.NoBody,
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	if _, found := request.Header["User-Agent"]; !found {
		outgoing.Header["User-Agent"] = []string{""} // makes net/http omit its default User-Agent
	}
	return outgoing
}

// requestURL returns a URL that net/http writes as the given path and query. It writes an opaque one as it
// is, but takes one that begins with two slashes for the rest of an absolute URL. In such a path,
// bytes that no URL may have are escaped.
func requestURL(uri string) *url.URL {
	if !strings.HasPrefix(uri, "//") {
		return &url.URL{Opaque: uri}
	}
	rawPath, query, hasQuery := strings.Cut(uri, "?")
	path, err := url.PathUnescape(rawPath)
	if err != nil { // callers' requests have been parsed, so that this does not come
		path = rawPath
	}
	return &url.URL{Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: hasQuery}
}

// readMatchingAnswer reads the header of the answer that belongs to the request. It
// discards interim answers and answers to earlier requests.
func readMatchingAnswer(c *conn, outgoing *http.Request, matches func(http.Header) bool) (*http.Response, error) {
	for range maxUnmatched {
		c.source.allow(maxHeadBytes)
		response, err := readFinalAnswer(c.reader, outgoing)
		if err != nil {
			return nil, err
		}
		c.source.allow(maxBodyBytes)
		if matches(response.Header) {
			return response, nil
		}
		if err := discardAnswer(response); err != nil {
			return nil, err
		}
	}
	return nil, errUnmatched
}

// readFinalAnswer reads the header of the next answer that is not an interim one.
func readFinalAnswer(reader *bufio.Reader, outgoing *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		response, err := http.ReadResponse(reader, outgoing)
		if err != nil {
			return nil, err
		}
		if response.ProtoMajor != 1 || response.ProtoMinor != 1 {
			// Targets speak HTTP/1.1. The parser takes the chunks of an older version for a body.
			return nil, fmt.Errorf("%w: %s", errOtherVersion, response.Proto)
		}
		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			return nil, fmt.Errorf("%w: %q", errInvalidStatus, response.Status)
		}
		if response.StatusCode >= http.StatusOK {
			if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
				response.Body = &chunkedBody{ReadCloser: response.Body, source: reader}
			}
			return response, nil
		}
	}
	return nil, errTooManyInterim
}

// discardAnswer reads and drops the body of an answer to another request.
func discardAnswer(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errUnmatched // the body ends only when the connection closes
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxUnmatchedBytes))
	if err != nil {
		return err
	}
	if read == maxUnmatchedBytes {
		return errUnmatched
	}
	return nil
}

// Read reads the body. If the body is truncated, Read returns an error other than
// io.EOF. So it does if a success that ends with its connection has no body at all: nothing
// tells it from an answer whose target stopped after the head. And so it does if the target has not
// received the whole request: the kernel reports a reset once, so that a read may see an orderly
// end after a write has met the reset, and not at all if an orderly end came before.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	a.begun = a.begun || n > 0
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if !a.begun && !a.Framed && a.Status < http.StatusMultipleChoices {
		return 0, io.ErrUnexpectedEOF
	}
	if !a.Framed && a.Status < http.StatusMultipleChoices && a.requestLost() {
		return n, fmt.Errorf("%w: the request was not received whole", io.ErrUnexpectedEOF)
	}
	a.atEOF = true
	return n, err
}

// SetReadTimeout limits the total time of the reads from now on.
func (a *Answer) SetReadTimeout(limit time.Duration) {
	a.conn.setReadDeadline(time.Now().Add(limit))
}

// Close ends the exchange. It returns the connection to the pool only if the request
// was fully written and the answer fully read; otherwise it closes the connection.
func (a *Answer) Close() {
	notInterrupted := a.stopInterrupt()
	if !notInterrupted || !a.atEOF || !a.Framed || a.idleTimeout <= 0 || !a.fullyWritten() || a.conn.reader.Buffered() > 0 {
		a.conn.abandon()
		return
	}
	a.pool.put(a.conn, a.idleTimeout)
}

// fullyWritten reports whether the whole request has been written. A target that
// answers early may read the rest of the request later, so a connection with an
// unfinished request must not carry another one.
func (a *Answer) fullyWritten() bool {
	a.pollWrite(0)
	return a.writeResult == nil && a.writeErr == nil
}

// requestLost reports, after the end of an answer, whether the target has reset the connection, or has not
// received the whole request before the read deadline. A target may also end its answer and read the rest of the
// request later. One that resets the connection later than resetGrace after its kernel has received the whole
// request cannot be told from that.
func (a *Answer) requestLost() bool {
	for wait := minDeliveryPoll; ; wait = min(2*wait, maxDeliveryPoll) {
		if a.pollWrite(wait); a.writeErr != nil {
			return true
		}
		if a.writeResult == nil {
			switch socket.DeliveryOf(a.conn.Conn) {
			case socket.Lost:
				return true
			case socket.Delivered:
				return a.longRequest && a.conn.resetWithin(resetGrace)
			}
			time.Sleep(wait)
		}
		if !a.conn.readable(time.Now()) {
			return true
		}
	}
}

// pollWrite takes the result of the write if it comes within a time.
func (a *Answer) pollWrite(wait time.Duration) {
	if a.writeResult == nil {
		return
	}
	select {
	case a.writeErr = <-a.writeResult:
		a.writeResult = nil
		return
	default:
	}
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case a.writeErr = <-a.writeResult:
		a.writeResult = nil
	case <-timer.C:
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
