package gateway

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"hemlockknot/internal/coordination/timing"
	"hemlockknot/internal/protocol/forward"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/routing"
	"hemlockknot/internal/transport/httpserver"
	"hemlockknot/internal/transport/memory"
	"hemlockknot/platform"
)

const (
	// startupWait is how long a request waits for the first configuration, and again
	// for the first targets, after the daemon has started.
	startupWait = 500 * time.Millisecond
	// defaultRequestTimeout is the timeout of routes that set none.
	defaultRequestTimeout = 30 * time.Second
)

// lateDelivery is how long after its deadline, or after the answer begins if that is later, a request
// may still deliver the answer. Without a limit a caller that does not read holds the request for as
// long as it keeps the connection.
const lateDelivery = 5 * time.Second

// maxFollowerAge is how long ago a daemon must have heard of one that follows the store for its
// configuration to count as the newest: the least time in which the users expect a change to be in
// force. While all is well a daemon of a fleet of 500 hears of one within 0.8 s.
const maxFollowerAge = 2 * time.Second

// defaultMaxBodyBytes limits request bodies if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

var trafficSplitSeed = maphash.MakeSeed()

// callerRequest is a request of a caller, and what the configuration says about it.
type callerRequest struct {
	w         http.ResponseWriter
	r         *http.Request
	arrived   time.Time
	deadline  time.Time
	call      relay.Call // decoded headers
	route     *routing.Route
	workspace *routing.Workspace // nil for anonymous requests
	service   string
	version   int64 // of the configuration
	body      []byte
	digest    uint64             // of the content, see requestDigest
	buffers   *bufferReservation // for body and the bodies of responses
	// forwarded is the decision of the daemon that has passed the request on; nil if the
	// caller sent it here.
	forwarded *forward.Request
	// unwritable is true once the caller could not be written to.
	unwritable atomic.Bool
}

// Reasons of a request that is ended before its last attempt has been.
const (
	reasonCallerLeft = "caller_left"
	reasonStopping   = "stopping"
)

// ended reports whether the request must not go on, as its caller has left or the daemon stops.
func (req *callerRequest) ended() bool { return req.unwritable.Load() || req.r.Context().Err() != nil }

// endReason returns why the request has ended. A caller that has only closed its sending half
// counts as one that has left: the two look alike.
func (req *callerRequest) endReason() string {
	if errors.Is(context.Cause(req.r.Context()), httpserver.ErrStopping) {
		return reasonStopping
	}
	return reasonCallerLeft
}

// handleRequest handles one request of a caller.
func (g *Gateway) handleRequest(w http.ResponseWriter, r *http.Request) {
	req := &callerRequest{w: w, r: r, arrived: time.Now(), buffers: g.buffers.newReservation()}
	defer req.buffers.release()
	var err error
	if req.call, err = platform.ParseRequestHeader(r.Header); err != nil {
		g.reject(req, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	table := g.config.waitUntilLoaded(r.Context(), startupWait)
	if table == nil {
		g.refuse(req, "no_configuration", timing.RetryAfter(timing.DaemonStarting, req.call.Timeout))
		return
	}
	if !g.admit(req, table) {
		return
	}
	if !g.readBody(req, table) || !g.readPrompt(req) {
		return
	}
	if !g.takes(req) {
		g.refuse(req, reasonStopping, timing.RetryAfter(timing.DaemonStopping, time.Until(req.deadline)))
		return
	}
	req.digest = requestDigest(req)
	g.coordinator.waitForTargets(r.Context(), startupWait)
	g.coordinator.countRequest(req.service)
	g.relay(req)
}

// admit sets the route, workspace, service and deadline of a request. If no route
// matches, or if the route requires a known key that the request lacks, admit sends an
// error response and returns false. Callers do not retry after such a response, so a daemon whose
// configuration may be out of date says instead that it has not run the request.
func (g *Gateway) admit(req *callerRequest, table *routing.Table) bool {
	req.version = table.Document.Version
	req.route = table.Match(hostName(req.r.Host), req.r.URL.EscapedPath())
	if req.route == nil {
		g.rejectIfConfirmed(req, http.StatusNotFound, "no_route", "no route matches")
		return false
	}
	req.workspace = table.WorkspaceByKey(req.call.WorkspaceKey)
	if req.workspace == nil && table.RequiresKey(req.route) {
		g.rejectIfConfirmed(req, http.StatusUnauthorized, "unknown_key", "the key is not known")
		return false
	}
	req.service = req.route.PickService(trafficSplitPoint(req.call.ID))
	req.deadline = req.arrived.Add(requestTimeout(req.call, req.route))
	return true
}

// hostName strips the port from a Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// trafficSplitPoint maps a request id to a number in [0, 1), by which the route
// chooses among its services.
func trafficSplitPoint(id string) float64 {
	return float64(maphash.String(trafficSplitSeed, id)>>11) / (1 << 53)
}

// requestTimeout returns the timeout of a request: that of its route, or that of the
// caller if it is shorter.
func requestTimeout(call relay.Call, route *routing.Route) time.Duration {
	timeout := defaultRequestTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return timeout
}

// readBody reads the whole body, because a request is only sent to a target once its
// body is complete. If that fails, readBody sends an error response and returns false.
func (g *Gateway) readBody(req *callerRequest, table *routing.Table) bool {
	limit := table.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if req.r.ContentLength == 0 {
		return true
	}
	endLimit := limitBodyTime(req)
	body, err := req.buffers.readAll(http.MaxBytesReader(req.w, req.r.Body, limit), int(limit))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		endLimit()
		req.body = body
		return true
	case errors.As(err, &tooLarge):
		req.w.Header().Set("Connection", "close")
		g.reject(req, http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large")
	case errors.Is(err, errNoBufferSpace):
		req.w.Header().Set("Connection", "close")
		g.refuse(req, "no_buffer_space", timing.RetryAfter(timing.TargetFull, time.Until(req.deadline)))
	case errors.Is(err, httpserver.ErrYielded):
		req.w.Header().Set("Connection", "close")
		g.refuse(req, "too_many_unfinished", timing.RetryAfter(timing.TargetFull, time.Until(req.deadline)))
	case req.ended() && req.endReason() == reasonStopping:
		g.refuse(req, reasonStopping, timing.RetryAfter(timing.DaemonStopping, time.Until(req.deadline)))
	case errors.Is(err, os.ErrDeadlineExceeded):
		req.w.Header().Set("Connection", "close")
		g.reject(req, http.StatusRequestTimeout, "slow_body", "not run: the body did not arrive in time")
	default:
		req.w.Header().Set("Connection", "close")
		g.reject(req, http.StatusBadRequest, "incomplete_body", "the body is not complete")
	}
	return false
}

// promptPartBytes is the memory of a part of a decoded prompt.
const promptPartBytes = int64(unsafe.Sizeof(relay.PromptPart{}))

// decodePrompt sets the parts of the request's prompt, and reports whether there is memory for them: a
// head of 16 KB may name thousands. It is called once the body is there, as the parts are not needed
// before and some callers never send theirs.
func (req *callerRequest) decodePrompt() bool {
	if cost := int64(platform.CountPromptParts(req.r.Header)) * promptPartBytes; cost > memory.FreeBytes && !req.buffers.reserve(cost) {
		return false
	}
	req.call.Parts = platform.ParsePromptParts(req.r.Header)
	return true
}

// readPrompt decodes the prompt of a caller's request. If there is no memory for it, readPrompt
// sends an error response and returns false.
func (g *Gateway) readPrompt(req *callerRequest) bool {
	if req.decodePrompt() {
		return true
	}
	g.refuse(req, "no_buffer_space", timing.RetryAfter(timing.TargetFull, time.Until(req.deadline)))
	return false
}

// limitBodyTime ends the reading of a request's body at its deadline, or once the request must
// not go on: a caller that sends its body a byte at a time must hold up neither the request nor
// a stop. The returned function ends the limit.
func limitBodyTime(req *callerRequest) (endLimit func()) {
	controller := http.NewResponseController(req.w)
	_ = controller.SetReadDeadline(req.deadline) // fails only if the connection is closed
	stop := context.AfterFunc(req.r.Context(), func() { _ = controller.SetReadDeadline(time.Now()) })
	return func() {
		if stop() {
			_ = controller.SetReadDeadline(time.Time{})
		}
	}
}

// limitDelivery limits the time until an answer that begins is written. The limit ends with the
// connection's next request: net/http writes the last bytes after the handler has ended. It is not set
// before, as the answer of a daemon that was paused is late, too.
func limitDelivery(req *callerRequest) {
	from := time.Now()
	if req.deadline.After(from) {
		from = req.deadline
	}
	_ = http.NewResponseController(req.w).SetWriteDeadline(from.Add(lateDelivery)) // fails only if the connection is closed
}

// reject responds to an invalid request, which would fail again if it were retried.
func (g *Gateway) reject(req *callerRequest, status int, reason, text string) {
	g.metrics.countRefusal(reason)
	g.log.Info("rejected", g.rejectionFields(req, status, reason)...)
	g.respond(req, status, text, 0)
}

// rejectIfConfirmed rejects a request that the configuration does not allow, or refuses it if a newer
// configuration may allow it.
func (g *Gateway) rejectIfConfirmed(req *callerRequest, status int, reason, text string) {
	if g.peers.followerAge(req.arrived) <= maxFollowerAge {
		g.reject(req, status, reason, text)
		return
	}
	g.log.Info("not rejected, as the configuration may be out of date", g.rejectionFields(req, status, reason)...)
	g.refuse(req, "unconfirmed_configuration", timing.RetryAfter(timing.DaemonStarting, req.call.Timeout))
}

// rejectionFields are the fields of the line about a request that the configuration does not allow.
func (g *Gateway) rejectionFields(req *callerRequest, status int, reason string) []any {
	return []any{
		"request", req.call.ID, "status", status, "reason", reason, "version", req.version, "path", req.r.URL.Path, "version_source", g.config.origin(),
		"confirmed_ms", g.peers.storeAge(req.arrived).Milliseconds(), "follower_ms", g.peers.followerAge(req.arrived).Milliseconds(),
	}
}

// refuse responds to a request that no target has run or will run, and tells the
// caller when to retry.
func (g *Gateway) refuse(req *callerRequest, reason string, retryAfter time.Duration) {
	g.metrics.countRefusal(reason)
	g.respond(req, http.StatusServiceUnavailable, "not run: "+reason, retryAfter)
}

// respond sends a response that the daemon itself generates.
func (g *Gateway) respond(req *callerRequest, status int, text string, retryAfter time.Duration) {
	limitDelivery(req)
	header := req.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	platform.SetRefusalHeader(header, req.call.ID, retryAfter)
	req.w.WriteHeader(status)
	_, _ = io.WriteString(req.w, text+"\n")
}
