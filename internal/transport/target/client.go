// Package target is the HTTP client for engines. If a call gets no answer, the
// refusal that the client returns says whether the engine may have run the call.
package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// Timeouts and limits of calls to engines.
const (
	dialTimeout           = time.Second
	maxIdleConnsPerEngine = 256
	idleConnTimeout       = 60 * time.Second
	cancelTimeout         = 2 * time.Second
	// MaxBodyBytes is the size of the largest answer body that is not a stream.
	MaxBodyBytes = 3 << 20
)

// retryDelay is how long a caller should wait before it retries a call that an
// engine refused or did not receive.
const retryDelay = time.Second

// Client sends calls to engines over HTTP. It implements [targetapi.Client].
type Client struct {
	// pooled reuses connections. It serves calls that may be repeated.
	pooled *http.Client
	// singleUse opens a new connection for each call. net/http resends a request on
	// its own when a reused connection turns out to be closed, but never on a new
	// connection, so this client sends a call that must not be repeated only once.
	singleUse *http.Client
	// eventMemory is shared by the long events of all streams.
	eventMemory *semaphore.Weighted
}

// maxResponseHeaderBytes limits the header of an engine's response, of which the engines
// of the users send less than 1 KB.
const maxResponseHeaderBytes = 64 << 10

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{
		pooled:      newHTTPClient(false),
		singleUse:   newHTTPClient(true),
		eventMemory: semaphore.NewWeighted(eventMemoryBytes),
	}
}

func newHTTPClient(singleUse bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   singleUse,
		DisableCompression:  true,
		// Without a limit of ours, net/http reads 10 MB for each header.
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements [targetapi.Client].
func (c *Client) Call(ctx context.Context, call targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	if call.Resume != nil {
		return c.resume(ctx, call)
	}
	return c.send(ctx, call, call.Method, call.Path, call.Body)
}

// resume continues an interrupted stream after the last event that the entry daemon
// has received. If the entry daemon has received none and the engine does not know the
// stream, the engine has not started it, and resume sends the call itself.
func (c *Client) resume(ctx context.Context, call targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	answer, refused := c.send(ctx, call, http.MethodGet, targetapi.PathStreams+call.RequestID, nil)
	if refused != nil || answer.Status != http.StatusNotFound {
		return answer, refused
	}
	if call.Resume.GetOffset() > 0 {
		return nil, refusal.Unknown(refusal.AnswerIncomplete, "resume at %s: the engine no longer has the stream", call.Address)
	}
	call.Resume = nil
	return c.send(ctx, call, call.Method, call.Path, call.Body)
}

// send makes one HTTP request.
func (c *Client) send(ctx context.Context, call targetapi.Call, method, path string, body []byte) (*targetapi.Answer, *refusal.Refusal) {
	// usedConn is set once a connection is open; before that, no byte of the request
	// can have reached the engine.
	var usedConn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { usedConn.Store(&info.Conn) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call, method, path, body)
	if err != nil {
		return nil, refusal.NotRun(refusal.MalformedRequest, 0, "build call to %s: %v", call.Address, err)
	}
	response, err := c.clientFor(call).Do(request)
	if err != nil {
		return nil, transportRefusal(call, err, usedConn.Load() != nil)
	}
	if refused := checkRequestID(call, response); refused != nil {
		// Closing only the body would return the connection to the pool if the body is
		// empty.
		_ = (*usedConn.Load()).Close()
		_ = response.Body.Close()
		return nil, refused
	}
	return c.readAnswer(call, response)
}

// clientFor returns the HTTP client for a call.
func (c *Client) clientFor(call targetapi.Call) *http.Client {
	if call.Repeatable {
		return c.pooled
	}
	return c.singleUse
}

func newRequest(ctx context.Context, call targetapi.Call, method, path string, body []byte) (*http.Request, error) {
	// A MultiReader hides the type of the reader, so that net/http cannot rewind the
	// body and resend the request.
	var reader io.Reader
	if len(body) > 0 {
		reader = io.MultiReader(bytes.NewReader(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+call.Address+path, reader)
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	for _, header := range call.Headers {
		request.Header.Add(header.GetName(), header.GetValue())
	}
	request.Header.Set(targetapi.HeaderRequestID, call.RequestID)
	request.Header.Set(targetapi.HeaderGeneration, fmt.Sprint(call.Generation))
	urgency := max(0, min(targetapi.MaxPriority, targetapi.MaxPriority-call.Priority))
	request.Header.Set(targetapi.HeaderPriority, fmt.Sprintf("u=%d", urgency))
	if call.Resume != nil {
		request.Header.Set(targetapi.HeaderLastEventID, fmt.Sprint(call.Resume.GetOffset()))
	}
	return request, nil
}

// transportRefusal returns the refusal for a call that got no HTTP answer.
func transportRefusal(call targetapi.Call, err error, connected bool) *refusal.Refusal {
	if !connected {
		return refusal.NotRun(refusal.EngineFailed, retryDelay, "connect to engine at %s: %v", call.Address, err)
	}
	return refusal.Unknown(refusal.EngineFailed, "call engine at %s: %v", call.Address, err)
}

// checkRequestID returns a refusal unless the answer's only request id is the call's.
func checkRequestID(call targetapi.Call, response *http.Response) *refusal.Refusal {
	ids := response.Header.Values(targetapi.HeaderRequestID)
	if len(ids) == 1 && ids[0] == call.RequestID {
		return nil
	}
	return refusal.Unknown(refusal.AnswerMismatch, "engine at %s answered request %q instead", call.Address, ids)
}

// readAnswer reads an answer. It leaves the events of a stream unread.
func (c *Client) readAnswer(call targetapi.Call, response *http.Response) (*targetapi.Answer, *refusal.Refusal) {
	if refused := engineRefusal(call, response); refused != nil {
		_ = response.Body.Close()
		return nil, refused
	}
	answer := &targetapi.Answer{Status: response.StatusCode, Headers: answerHeaders(response.Header)}
	if isEventStream(response) {
		answer.Events = newEventStream(response.Body, c.eventMemory, call.Resume.GetOffset())
		return answer, nil
	}
	defer func() { _ = response.Body.Close() }()
	if isCloseDelimited(response) {
		return nil, refusal.Unknown(refusal.AnswerIncomplete, "answer of engine at %s does not say where it ends", call.Address)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if err != nil {
		return nil, refusal.Unknown(refusal.AnswerIncomplete, "read answer of engine at %s: %v", call.Address, err)
	}
	if len(body) > MaxBodyBytes {
		return nil, refusal.Unknown(refusal.AnswerTooLarge, "answer of engine at %s has more than %d bytes", call.Address, MaxBodyBytes)
	}
	answer.Body = body
	return answer, nil
}

// isCloseDelimited reports whether a body has neither a length nor chunks. Such a
// body ends when the connection closes, so a truncated body looks complete.
func isCloseDelimited(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked && response.Request.Method != http.MethodHead
}

// engineRefusal returns the refusal that the engine's answer states, or nil. An answer
// with a status below 400 is never a refusal, as the call may have run.
func engineRefusal(call targetapi.Call, response *http.Response) *refusal.Refusal {
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	switch response.Header.Get(targetapi.HeaderRefused) {
	case targetapi.RefusedDraining:
		return refusal.NotRun(refusal.EngineLeaving, retryDelay, "engine at %s is draining", call.Address)
	case targetapi.RefusedBusy:
		return refusal.NotRun(refusal.EngineBusy, retryDelay, "engine at %s is busy", call.Address)
	}
	return nil
}

// Cancel implements [targetapi.Client]. It ignores errors: the engine's own timeout
// ends abandoned streams.
func (c *Client) Cancel(ctx context.Context, address, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+targetapi.PathStreams+requestID, nil)
	if err != nil {
		return
	}
	request.Header.Set(targetapi.HeaderRequestID, requestID)
	response, err := c.pooled.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// errStatus says that an engine answered with a status other than 200.
var errStatus = errors.New("unexpected status")

// answerHeaders returns the headers that are forwarded to the caller.
func answerHeaders(header http.Header) []*peerpb.Header {
	var headers []*peerpb.Header
	for name, values := range header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// unforwardedHeaders are the answer's headers that are not forwarded: those of a
// single connection, and those that the daemon sets itself.
var unforwardedHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
	"Date":              true,
}
