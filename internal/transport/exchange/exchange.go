// Package exchange sends requests to targets over connections of its own
// keeping. It never sends a request twice, knows whether a request may have
// reached its target, and takes no answer that belongs to another request.
//
// net/http's client is not used, as it resends requests by itself on reused
// connections and cannot skip a surplus answer; its parser and writer are.
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
	"time"
)

// Limits of exchanges.
const (
	// maxSurplus is how many answers to other requests are skipped before a
	// connection is given up.
	maxSurplus = 3
	// maxSurplusBytes bounds the body of an answer that is skipped.
	maxSurplusBytes = 1 << 20
	// inlineBody is the largest body that is written before the answer is read;
	// it fits the smallest window.
	inlineBody = 2 << 10
	// readBuffer is the size of a connection's buffer, in bytes.
	readBuffer = 4 << 10
)

// Request is what is sent.
type Request struct {
	Address string // IP:PORT
	Method  string
	URI     string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	// Fresh asks for a new connection if no kept one was used lately.
	Fresh bool
	// AnswerWithin is how long the first byte of the answer may take.
	AnswerWithin time.Duration
	// Mine reports whether an answer's headers belong to this request.
	Mine func(http.Header) bool
	// KeepFor returns how long the target keeps the connection, by an answer's
	// headers; 0 if it does not say.
	KeepFor func(http.Header) time.Duration
}

// Error is a failed exchange.
type Error struct {
	Step   string
	Peer   string
	Sent   bool // a byte of the request may have reached the target
	Silent bool // the time was over; nothing said that the target is gone
	Err    error
}

func (e *Error) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.Peer, e.Err) }

func (e *Error) Unwrap() error { return e.Err }

// Answer is an answer whose body is to be read. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Framed says that the body's end shows in it, not only by the connection's.
	Framed bool
	// Length is the body's length, -1 if it is not known beforehand.
	Length int64

	body    io.ReadCloser
	conn    *conn
	pool    *Pool
	written <-chan error // the body's writing, nil if it was finished
	stop    func() bool
	keep    time.Duration
	ended   bool
}

var errForeign = errors.New("only answers to other requests came")

// Do sends a request and returns its answer's head. The context's end breaks the
// exchange off, also while the body is read.
func (p *Pool) Do(ctx context.Context, request Request) (*Answer, *Error) {
	c, err := p.get(ctx, request.Address, request.Fresh)
	if err != nil {
		return nil, &Error{Step: "connect to", Peer: request.Address, Silent: isTimeout(err), Err: err}
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	answer, failed := p.exchange(ctx, c, request)
	if failed != nil {
		stop()
		_ = c.Close()
		return nil, failed
	}
	answer.stop = stop
	return answer, nil
}

func (p *Pool) exchange(ctx context.Context, c *conn, request Request) (*Answer, *Error) {
	outgoing := newRequest(request)
	c.setDeadline(time.Now().Add(request.AnswerWithin))
	written, err := c.write(outgoing, len(request.Body))
	if err != nil {
		return nil, &Error{Step: "send to", Peer: request.Address, Sent: true, Silent: isTimeout(err), Err: err}
	}
	if ctx.Err() != nil {
		c.interrupt()
	}
	response, err := readOwn(c, outgoing, request.Mine)
	if err != nil {
		return nil, &Error{Step: "read answer of", Peer: request.Address, Sent: true, Silent: isTimeout(err), Err: err}
	}
	return &Answer{
		Status:  response.StatusCode,
		Header:  response.Header,
		Framed:  response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || request.Method == http.MethodHead,
		Length:  response.ContentLength,
		body:    response.Body,
		conn:    c,
		pool:    p,
		written: written,
		keep:    keepFor(response, request),
	}, nil
}

// keepFor returns how long the connection may be kept after the answer.
func keepFor(response *http.Response, request Request) time.Duration {
	if response.Close {
		return 0
	}
	if told := request.KeepFor(response.Header); told > 0 {
		return min(maxIdle, told-idleMargin)
	}
	return maxIdle
}

func newRequest(request Request) *http.Request {
	outgoing := &http.Request{
		Method:        request.Method,
		URL:           &url.URL{Opaque: request.URI},
		Host:          request.Host,
		Header:        request.Header,
		ContentLength: int64(len(request.Body)),
		Body:          http.NoBody,
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	if _, found := request.Header["User-Agent"]; !found {
		outgoing.Header["User-Agent"] = []string{""} // none, rather than Go's own
	}
	return outgoing
}

// readOwn reads the head of the request's own answer. Interim answers and
// answers to earlier requests are skipped.
func readOwn(c *conn, outgoing *http.Request, mine func(http.Header) bool) (*http.Response, error) {
	for range maxSurplus {
		response, err := readFinal(c.reader, outgoing)
		if err != nil {
			return nil, err
		}
		if mine(response.Header) {
			return response, nil
		}
		if err := skip(response); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

func readFinal(reader *bufio.Reader, outgoing *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, outgoing)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// skip reads over an answer that belongs to no request.
func skip(response *http.Response) error {
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errForeign // it ends with the connection
	}
	read, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes))
	if err != nil {
		return err
	}
	if read == maxSurplusBytes {
		return errForeign
	}
	return nil
}

// Read reads the body. A body that is cut off gives an error, never io.EOF.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.body.Read(buffer)
	if errors.Is(err, io.EOF) {
		a.ended = true
	}
	return n, err
}

// Within limits how long the next reads may take together.
func (a *Answer) Within(limit time.Duration) {
	a.conn.setReadDeadline(time.Now().Add(limit))
}

// Close ends the exchange. The connection is kept only if nothing is left on it.
func (a *Answer) Close() {
	undisturbed := a.stop()
	if !undisturbed || !a.ended || !a.Framed || a.keep <= 0 || !a.fullyWritten() || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.put(a.conn, a.keep)
}

// fullyWritten reports whether the target has taken the whole request: one that
// answers early and reads on later must get the rest of that request's bytes.
func (a *Answer) fullyWritten() bool {
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded)
}
