// Package caller serves callers over HTTP: chat completions with server-sent
// events, the list of models, and plain services by path.
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rs/xid"

	"hemlockknot/internal/coordination/claim"
	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/metrics"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/settings"
)

// Headers that callers may send or receive.
const (
	HeaderChat   = "X-Hemlockknot-Chat"
	HeaderClass  = "X-Hemlockknot-Class"
	HeaderEngine = "X-Hemlockknot-Engine"
)

// Router serves a request as its entry daemon.
type Router interface {
	Serve(ctx context.Context, request entry.Request, sink entry.Sink) ([]route.Trace, *refusal.Refusal)
}

// Server is the callers' HTTP interface.
type Server struct {
	loop    *control.Loop
	router  Router
	claims  *claim.Keeper
	limits  settings.Limits
	metrics *metrics.Metrics
	log     *log.Logger
	stop    atomic.Bool
	http    *http.Server
}

// New returns a server; Serve runs it.
func New(loop *control.Loop, router Router, claims *claim.Keeper, limits settings.Limits, counters *metrics.Metrics, logger *log.Logger) *Server {
	server := &Server{loop: loop, router: router, claims: claims, limits: limits, metrics: counters, log: logger}
	server.http = &http.Server{
		Handler:           server.handler(),
		ReadHeaderTimeout: limits.HeaderTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		IdleTimeout:       time.Minute,
	}
	return server
}

// Serve answers callers on the listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown closes the listener and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop.Store(true)
	return s.http.Shutdown(ctx)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handle(s.chat))
	mux.HandleFunc("GET /v1/models", s.handle(s.models))
	mux.HandleFunc("/", s.handle(s.plain))
	return mux
}

// exchange is one caller's request while it is handled.
type exchange struct {
	id        string
	w         http.ResponseWriter
	r         *http.Request
	snapshot  *control.Snapshot
	workspace *environment.Workspace
}

// handle wraps a handler with what all requests need: an id, a document in
// force and a known workspace. The handler's refusal is the answer.
func (s *Server) handle(handler func(*exchange) *refusal.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		exchange := &exchange{id: xid.New().String(), w: w, r: r, snapshot: s.loop.Snapshot()}
		refused := s.identify(exchange)
		if refused == nil {
			refused = handler(exchange)
		}
		if refused != nil {
			s.refuse(exchange, refused)
		}
	}
}

// identify finds the workspace of a request by its bearer key.
func (s *Server) identify(exchange *exchange) *refusal.Refusal {
	if s.stop.Load() {
		return refusal.NotRun(refusal.Stopping, time.Second, "the daemon is stopping")
	}
	if exchange.snapshot == nil {
		return refusal.NotRun(refusal.NotReady, time.Second, "no document is in force yet")
	}
	key, ok := strings.CutPrefix(exchange.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		exchange.workspace = exchange.snapshot.Document.WorkspaceByKey(key)
	}
	if exchange.workspace == nil {
		return refusal.NotRun(refusal.UnknownKey, 0, "the bearer key belongs to no workspace")
	}
	return nil
}

// refuse answers with a refusal and counts it.
func (s *Server) refuse(exchange *exchange, refused *refusal.Refusal) {
	s.metrics.Refused(refused.Reason)
	s.log.Info("refused", "request", exchange.id, "reason", refused.Reason, "outcome", refused.OutcomeText(), "detail", refused.Detail)
	refused.WriteHTTP(exchange.w, exchange.id)
}

// readBody reads a request's whole body within the limits.
func (s *Server) readBody(exchange *exchange) ([]byte, *refusal.Refusal) {
	controller := http.NewResponseController(exchange.w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(exchange.w, exchange.r.Body, s.limits.BodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.NotRun(refusal.BodyTooLarge, 0, "the body has more than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, refusal.NotRun(refusal.BodyIncomplete, 0, "read body: %v", err)
	}
	return body, nil
}
