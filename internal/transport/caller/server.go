// Package caller serves callers over HTTP: chat completions with server-sent
// events, the list of models, and plain services by path.
package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
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
	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/settings"
)

// Headers that callers may send or receive.
const (
	HeaderChat   = "X-Hemlockknot-Chat"
	HeaderClass  = "X-Hemlockknot-Class"
	HeaderEngine = "X-Hemlockknot-Engine"
)

// pathModels lists the models.
const pathModels = "/v1/models"

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
	conns   sync.Map // net.Conn to *connRequest
	http    *http.Server

	turnAway atomic.Bool
}

// New returns a server; Serve runs it.
func New(loop *control.Loop, router Router, claims *claim.Keeper, limits settings.Limits, counters *metrics.Metrics, logger *log.Logger) *Server {
	server := &Server{loop: loop, router: router, claims: claims, limits: limits, metrics: counters, log: logger}
	server.http = &http.Server{
		Handler:           server.handler(),
		ReadHeaderTimeout: limits.HeaderTimeout,
		MaxHeaderBytes:    headerSlack * limits.HeaderBytes,
		IdleTimeout:       time.Minute,
		ConnContext:       server.connContext,
		ConnState:         server.connState,
		ErrorLog:          logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
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

// TurnAway lets each connection end with its present or next answer, so that
// callers open new ones elsewhere. Requests are still served.
func (s *Server) TurnAway() { s.turnAway.Store(true) }

// Shutdown closes the listener and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	s.TurnAway()
	return s.http.Shutdown(ctx)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathChat, s.handle(s.chat))
	mux.HandleFunc(targetapi.PathChat, s.handle(allowOnly(http.MethodPost)))
	mux.HandleFunc("GET "+pathModels, s.handle(s.models))
	mux.HandleFunc(pathModels, s.handle(allowOnly(http.MethodGet)))
	mux.HandleFunc("/", s.handle(s.plain))
	return mux
}

// allowOnly refuses every method but one.
func allowOnly(method string) func(*exchange) *refusal.Refusal {
	return func(exchange *exchange) *refusal.Refusal {
		exchange.w.Header().Set("Allow", method)
		return refusal.NotRun(refusal.MethodNotAllowed, 0, "%s takes only %s", exchange.r.URL.Path, method)
	}
}

// exchange is one caller's request while it is handled.
type exchange struct {
	id        string
	arrived   time.Time
	w         http.ResponseWriter
	r         *http.Request
	snapshot  *control.Snapshot
	workspace *environment.Workspace
	last      route.Trace // the last try
}

// handle wraps a handler with what all requests need: an id, a document in
// force and a known workspace. The handler's refusal is the answer.
func (s *Server) handle(handler func(*exchange) *refusal.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		markHandled(r)
		if s.turnAway.Load() {
			w.Header().Set("Connection", "close")
		}
		exchange := &exchange{id: xid.New().String(), arrived: time.Now(), w: w, r: r, snapshot: s.loop.Snapshot()}
		refused := s.checkHeader(exchange)
		if refused == nil {
			refused = s.identify(exchange)
		}
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
	if exchange.snapshot == nil {
		return refusal.NotRun(refusal.NotReady, time.Second, "no document is in force yet")
	}
	key, ok := strings.CutPrefix(exchange.r.Header.Get("Authorization"), "Bearer ")
	if ok {
		exchange.workspace = exchange.snapshot.Document.WorkspaceByKey(key)
	}
	if exchange.workspace == nil {
		exchange.w.Header().Set("WWW-Authenticate", "Bearer")
		return refusal.NotRun(refusal.UnknownKey, 0, "the bearer key belongs to no workspace")
	}
	return nil
}

// refuse answers with a refusal and counts it.
func (s *Server) refuse(exchange *exchange, refused *refusal.Refusal) {
	s.metrics.Refused(refused.Reason)
	s.logRefusal("refused", exchange, refused)
	refused.WriteHTTP(exchange.w, exchange.id)
}

// logRefusal logs why a request got no whole answer, and the daemon and engine
// of its last try, if there was one.
func (s *Server) logRefusal(what string, exchange *exchange, refused *refusal.Refusal) {
	step := "check request"
	if exchange.last.Engine != "" {
		step = "route request"
	}
	s.log.Info(what,
		"request", exchange.id,
		"step", step,
		"peer", exchange.last.Home,
		"engine", exchange.last.Engine,
		"reason", refused.Reason,
		"outcome", refused.OutcomeText(),
		"detail", refused.Detail)
}

// readBody reads a request's whole body within the limits.
func (s *Server) readBody(exchange *exchange) ([]byte, *refusal.Refusal) {
	controller := http.NewResponseController(exchange.w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(exchange.w, exchange.r.Body, s.limits.BodyBytes))
	if err == nil {
		// After an error the deadline stays, or else net/http would wait for the
		// rest of the body before it sends the refusal.
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.NotRun(refusal.BodyTooLarge, 0, "the body has more than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refusal.NotRun(refusal.BodyTimeout, 0, "the body did not come within %s", s.limits.BodyTimeout)
	}
	if err != nil {
		return nil, refusal.NotRun(refusal.BodyIncomplete, 0, "read body: %v", err)
	}
	return body, nil
}
