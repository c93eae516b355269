package gateway

import (
	"errors"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/pacing"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/routing"
	"hemlockknot/platform"
)

// Times of requests that cannot be served.
const (
	// startWait is how long a request waits for the first configuration, and for
	// the first list of targets.
	startWait = 500 * time.Millisecond
	// defaultPatience holds for requests and routes that name no time.
	defaultPatience = 30 * time.Second
)

// maxBodyFallback bounds bodies if the configuration does not, in bytes.
const maxBodyFallback = 4 << 20

var splitSeed = maphash.MakeSeed()

// job is one request on its way.
type job struct {
	w         http.ResponseWriter
	r         *http.Request
	arrived   time.Time
	deadline  time.Time
	call      relay.Call
	route     *routing.Route
	workspace *routing.Workspace
	service   string
	version   int64
	body      []byte
}

// serve handles one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	j := &job{w: w, r: r, arrived: time.Now()}
	var err error
	if j.call, err = platform.ReadCall(r.Header); err != nil {
		g.reject(j, http.StatusBadRequest, "malformed_request", err.Error())
		return
	}
	table := g.document.await(r.Context(), startWait)
	if table == nil {
		g.refuse(j, "no_configuration", pacing.ComeBack(pacing.Starting, j.call.Patience))
		return
	}
	if !g.admit(j, table) || !g.readBody(j, table) {
		return
	}
	g.control.await(r.Context(), startWait)
	g.control.request(j.service)
	g.relay(j)
}

// admit finds the route and the workspace of a request, or answers it.
func (g *Gateway) admit(j *job, table *routing.Table) bool {
	j.version = table.Document.Version
	j.route = table.Match(hostName(j.r.Host), j.r.URL.EscapedPath())
	if j.route == nil {
		g.reject(j, http.StatusNotFound, "no_route", "no route matches")
		return false
	}
	j.workspace = table.Workspace(j.call.Key)
	if j.workspace == nil && table.KeyNeeded(j.route) {
		g.reject(j, http.StatusUnauthorized, "unknown_key", "the key is not known")
		return false
	}
	j.service = j.route.PickShare(point(j.call.ID))
	j.deadline = j.arrived.Add(patience(j.call, j.route))
	return true
}

// hostName strips a port from a Host header.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// point returns a number in [0, 1) for a request.
func point(id string) float64 {
	return float64(maphash.String(splitSeed, id)>>11) / (1 << 53)
}

// patience returns how long a request may take.
func patience(call relay.Call, route *routing.Route) time.Duration {
	limit := defaultPatience
	if route.Timeout > 0 {
		limit = route.Timeout
	}
	if call.Patience > 0 {
		limit = min(limit, call.Patience)
	}
	return limit
}

// readBody reads the whole body: a request is sent only once it is complete.
func (g *Gateway) readBody(j *job, table *routing.Table) bool {
	limit := table.Document.Limits.BodyBytes
	if limit <= 0 {
		limit = maxBodyFallback
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		g.reject(j, http.StatusRequestEntityTooLarge, "body_too_large", "the body is too large")
		return false
	}
	if err != nil {
		j.w.Header().Set("Connection", "close")
		g.reject(j, http.StatusBadRequest, "incomplete_body", "the body is not complete")
		return false
	}
	j.body = body
	return true
}

// reject answers a request that coming back does not help.
func (g *Gateway) reject(j *job, status int, reason, text string) {
	g.metrics.refused(reason)
	g.log.Info("rejected", "request", j.call.ID, "status", status, "reason", reason, "version", j.version, "path", j.r.URL.Path)
	g.answer(j, status, text, 0)
}

// refuse answers a request that has not run and never will.
func (g *Gateway) refuse(j *job, reason string, retryAfter time.Duration) {
	g.metrics.refused(reason)
	g.answer(j, http.StatusServiceUnavailable, "not run: "+reason, retryAfter)
}

// answer sends an answer of the daemon's own.
func (g *Gateway) answer(j *job, status int, text string, retryAfter time.Duration) {
	header := j.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	platform.RefusalHeader(header, j.call.ID, retryAfter)
	j.w.WriteHeader(status)
	_, _ = io.WriteString(j.w, text+"\n")
}
