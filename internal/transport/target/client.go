// Package target calls engines over HTTP and says truthfully, when no answer
// comes, whether the call may have run.
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

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// Limits of calls to targets.
const (
	dialTimeout        = time.Second
	idleConnsPerEngine = 256
	idleConnTimeout    = 60 * time.Second
	cancelTimeout      = 2 * time.Second
	// MaxBodyBytes is the size of the largest answer that is no stream.
	MaxBodyBytes = 3 << 20
)

// retryAfterBusy is when a caller may come back to an engine that refused.
const retryAfterBusy = time.Second

// Client implements targetapi.Caller.
type Client struct {
	// shared reuses connections, for calls that may be repeated.
	shared *http.Client
	// fresh opens a connection for each call. net/http resends a request by
	// itself when a reused connection turns out to be dead; on a new connection
	// it never does, so a call that may not be repeated is sent once.
	fresh *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		shared: newHTTPClient(false),
		fresh:  newHTTPClient(true),
	}
}

func newHTTPClient(fresh bool) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Call implements targetapi.Caller.
func (c *Client) Call(ctx context.Context, call targetapi.Call) (*targetapi.Answer, *refusal.Refusal) {
	if call.Resume != nil {
		return c.resume(ctx, call)
	}
	return c.send(ctx, call, call.Method, call.Path, call.Body)
}

// resume goes on with a stream that was interrupted. An engine that does not
// know the stream has not started it, so it is started if nothing of it has
// been seen.
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
	// used is set once a connection is there to write to; before that no byte
	// can have reached the target.
	var used atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { used.Store(&info.Conn) }}
	request, err := newRequest(httptrace.WithClientTrace(ctx, trace), call, method, path, body)
	if err != nil {
		return nil, refusal.NotRun(refusal.MalformedRequest, 0, "build call to %s: %v", call.Address, err)
	}
	response, err := c.clientFor(call).Do(request)
	if err != nil {
		return nil, callFailed(call, err, used.Load() != nil)
	}
	if refused := mismatch(call, response); refused != nil {
		// Closing the body alone would keep the connection if the body is empty.
		_ = (*used.Load()).Close()
		_ = response.Body.Close()
		return nil, refused
	}
	return readAnswer(call, response)
}

func (c *Client) clientFor(call targetapi.Call) *http.Client {
	if call.Repeatable {
		return c.shared
	}
	return c.fresh
}

func newRequest(ctx context.Context, call targetapi.Call, method, path string, body []byte) (*http.Request, error) {
	// The reader's type is hidden, so that net/http cannot rewind and resend it.
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
	urgency := max(0, min(targetapi.MaxUrgency, targetapi.MaxUrgency-call.Priority))
	request.Header.Set(targetapi.HeaderPriority, fmt.Sprintf("u=%d", urgency))
	if call.Resume != nil {
		request.Header.Set(targetapi.HeaderLastEventID, fmt.Sprint(call.Resume.GetOffset()))
	}
	return request, nil
}

func callFailed(call targetapi.Call, err error, connected bool) *refusal.Refusal {
	if !connected {
		return refusal.NotRun(refusal.EngineFailed, retryAfterBusy, "connect to engine at %s: %v", call.Address, err)
	}
	return refusal.Unknown(refusal.EngineFailed, "call engine at %s: %v", call.Address, err)
}

// mismatch returns a refusal if the answer does not name the call's request id,
// and no other.
func mismatch(call targetapi.Call, response *http.Response) *refusal.Refusal {
	ids := response.Header.Values(targetapi.HeaderRequestID)
	if len(ids) == 1 && ids[0] == call.RequestID {
		return nil
	}
	return refusal.Unknown(refusal.AnswerMismatch, "engine at %s answered request %q instead", call.Address, ids)
}

// readAnswer reads an answer, or leaves its stream to be read.
func readAnswer(call targetapi.Call, response *http.Response) (*targetapi.Answer, *refusal.Refusal) {
	if refused := ownRefusal(call, response); refused != nil {
		_ = response.Body.Close()
		return nil, refused
	}
	answer := &targetapi.Answer{Status: response.StatusCode, Headers: answerHeaders(response.Header)}
	if isEventStream(response) {
		answer.Events = newEventStream(response.Body, call.Resume.GetOffset())
		return answer, nil
	}
	defer func() { _ = response.Body.Close() }()
	if endsWithConnection(response) {
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

// endsWithConnection reports whether a body has neither a length nor chunks, so
// that one cut off half way looks like a whole one.
func endsWithConnection(response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0
	return response.ContentLength < 0 && !chunked && response.Request.Method != http.MethodHead
}

// ownRefusal returns the refusal that the target itself has made, if it did. A
// status of success contradicts a refusal, so the call may have run.
func ownRefusal(call targetapi.Call, response *http.Response) *refusal.Refusal {
	if response.StatusCode < http.StatusBadRequest {
		return nil
	}
	switch response.Header.Get(targetapi.HeaderRefused) {
	case targetapi.RefusedDraining:
		return refusal.NotRun(refusal.EngineLeaving, retryAfterBusy, "engine at %s is draining", call.Address)
	case targetapi.RefusedBusy:
		return refusal.NotRun(refusal.EngineBusy, retryAfterBusy, "engine at %s is busy", call.Address)
	}
	return nil
}

// Cancel implements targetapi.Caller. A failure is left to the engine's own
// timeout for abandoned streams.
func (c *Client) Cancel(ctx context.Context, address, requestID string) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+targetapi.PathStreams+requestID, nil)
	if err != nil {
		return
	}
	request.Header.Set(targetapi.HeaderRequestID, requestID)
	response, err := c.shared.Do(request)
	if err != nil {
		return
	}
	_ = response.Body.Close()
}

// errStatus says that a target answered with another status than 200.
var errStatus = errors.New("unexpected status")

// answerHeaders copies the headers that go on to the caller.
func answerHeaders(header http.Header) []*peerpb.Header {
	var headers []*peerpb.Header
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// hopByHop are the headers that belong to one connection only.
var hopByHop = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
	"Date":              true,
}
