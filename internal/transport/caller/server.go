// Package caller is the HTTP interface for callers, the clients of the engines. It
// serves chat completions with server-sent events, the list of models, and plain
// services by path.
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rs/xid"
	"golang.org/x/time/rate"

	"hemlockknot/internal/coordination/claim"
	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/coordination/shutdown"
	"hemlockknot/internal/metrics"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/settings"
	"hemlockknot/internal/transport/httpserver"
	"hemlockknot/internal/transport/memory"
)

// Headers that callers may send or receive.
const (
	HeaderChat   = "X-Hemlockknot-Chat"   // sent: the name of the request's chat
	HeaderClass  = "X-Hemlockknot-Class"  // sent: the name of the request's class
	HeaderEngine = "X-Hemlockknot-Engine" // received: the engine that served the request
)

// pathModels is the path of the list of models.
const pathModels = "/v1/models"

// Router routes a request to an engine and passes the answer to the sink. This daemon
// is the entry daemon of the request.
type Router interface {
	Serve(ctx context.Context, request entry.Request, sink entry.Sink) ([]route.AttemptResult, *refusal.Refusal)
}

// Server is the HTTP server for callers.
type Server struct {
	loop    *control.Loop
	router  Router
	claims  *claim.Manager
	limits  settings.Limits
	metrics *metrics.Metrics
	log     *log.Logger
	memory  *memory.Account
	conns   sync.Map // net.Conn to *connRequest
	// unreadableLines bounds the log lines about headers that cannot be read.
	unreadableLines *rate.Limiter
	http            *httpserver.Server

	stopPlan atomic.Pointer[shutdown.Plan] // nil before Stop
}

// idleTimeout is how long a connection is kept after an answer.
const idleTimeout = time.Minute

// Capacity is what all callers together may use.
type Capacity struct {
	MaxConns, MaxUnfinished int // connections, and those of them without a whole head; 0: no limit
	Memory                  *memory.Account
	OnLimit                 func(caller, reason string) // see httpserver.Options
}

// New returns a server. Serve starts it.
func New(loop *control.Loop, router Router, claims *claim.Manager, limits settings.Limits, capacity Capacity, counters *metrics.Metrics, logger *log.Logger) *Server {
	server := &Server{loop: loop, router: router, claims: claims, limits: limits, memory: capacity.Memory, metrics: counters, log: logger, unreadableLines: rate.NewLimiter(rate.Every(unreadableLogInterval), unreadableLogBurst)}
	server.http = httpserver.New(server.handler(), httpserver.Options{
		IdleTimeout:    idleTimeout,
		HeaderTimeout:  limits.HeaderTimeout,
		MaxHeaderBytes: headerReadFactor * limits.HeaderBytes,
		RequestID:      func(http.Header) string { return xid.New().String() },
		ConnContext:    server.connContext,
		ConnState:      server.connState,
		BodyTimeout:    limits.BodyTimeout,
		MaxConns:       capacity.MaxConns,
		MaxUnfinished:  capacity.MaxUnfinished,
		Memory:         capacity.Memory,
		OnLimit:        capacity.OnLimit,
	}, observer{counters, logger})
	return server
}

// Serve answers callers on the listener until Stop has completed.
func (s *Server) Serve(listener net.Listener) error { return s.http.Serve(listener) }

// AnnounceStop makes each connection close after its current or next answer, so that
// callers open new connections to other daemons. The server still serves requests.
func (s *Server) AnnounceStop() { s.http.AnnounceStop() }

// Stop closes the listener and waits until the requests in progress have ended. Requests
// that come from now on are refused. At plan.CutAt it cuts the requests that still run, and
// returns their number; they are refused, too.
func (s *Server) Stop(plan shutdown.Plan) (cut int) {
	s.stopPlan.Store(&plan)
	return s.http.Stop(plan)
}

// checkStopping refuses a request that came after the stop delay. A request has no deadline
// for the end of its answer, so none is sure to end in time.
func (s *Server) checkStopping(exchange *exchange) *refusal.Refusal {
	plan := s.stopPlan.Load()
	if plan == nil || exchange.receivedAt.Before(plan.DrainAt) {
		return nil
	}
	return refusal.NotRun(refusal.Stopping, stoppingRetryAfter, "the daemon is stopping")
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+targetapi.PathChat, s.handle(s.serveChat))
	mux.HandleFunc(targetapi.PathChat, s.handle(allowOnly(http.MethodPost)))
	mux.HandleFunc("GET "+pathModels, s.handle(s.serveModels))
	mux.HandleFunc(pathModels, s.handle(allowOnly(http.MethodGet)))
	mux.HandleFunc("/", s.handle(s.servePlain))
	return mux
}

// allowOnly returns a handler that refuses a request for its method and names the one
// allowed method.
func allowOnly(method string) func(*exchange) *refusal.Refusal {
	return func(exchange *exchange) *refusal.Refusal {
		exchange.w.Header().Set("Allow", method)
		return refusal.NotRun(refusal.MethodNotAllowed, 0, "%s takes only %s", exchange.r.URL.Path, method)
	}
}

// exchange is the state of one caller's request while the server handles it.
type exchange struct {
	id          string
	receivedAt  time.Time
	w           http.ResponseWriter
	r           *http.Request
	snapshot    *control.Snapshot
	workspace   *environment.Workspace
	lastAttempt route.AttemptResult // zero before the first attempt
	sink        *sink               // nil before the request is routed
	buffers     *memory.Reservation // for the body
}

// handle wraps a handler with the checks that apply to all requests: the size of the
// header, a daemon that is not stopping, a document in force, and a known workspace. It
// also writes the handler's refusal.
func (s *Server) handle(handler func(*exchange) *refusal.Refusal) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		markHandlerCalled(r)
		exchange := &exchange{id: httpserver.RequestID(r.Context()), receivedAt: time.Now(), w: w, r: r, snapshot: s.loop.Snapshot(), buffers: s.memory.NewReservation()}
		defer exchange.buffers.Release()
		defer s.refusePanicked(exchange)
		refused := s.checkHeaderSize(exchange)
		if refused == nil {
			refused = s.checkStopping(exchange)
		}
		if refused == nil {
			refused = s.authenticate(exchange)
		}
		if refused == nil {
			refused = handler(exchange)
		}
		if refused != nil {
			s.writeRefusal(exchange, refused)
		}
	}
}

// authenticate looks up the workspace of a request by its bearer key.
func (s *Server) authenticate(exchange *exchange) *refusal.Refusal {
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

// writeRefusal writes a refusal as the answer, counts it and logs it.
func (s *Server) writeRefusal(exchange *exchange, refused *refusal.Refusal) {
	s.metrics.CountRefusal(refused.Reason)
	s.logRefusal("request refused", exchange, refused)
	refused.WriteHTTP(exchange.w, exchange.id)
}

// logRefusal logs why a request got no complete answer, with the home daemon and the
// engine of its last attempt, if there was one.
func (s *Server) logRefusal(message string, exchange *exchange, refused *refusal.Refusal) {
	step := "check request"
	if exchange.lastAttempt.Engine != "" {
		step = "route request"
	}
	s.log.Info(message,
		"request", exchange.id,
		"step", step,
		"peer", exchange.lastAttempt.Home,
		"engine", exchange.lastAttempt.Engine,
		"reason", refused.Reason,
		"outcome", refused.OutcomeText(),
		"detail", refused.Detail)
}

// bufferRetryAfter is when a caller comes back for whose body there is no memory.
const bufferRetryAfter = time.Second

// readBody reads the whole body of a request, within the limits of size and time.
func (s *Server) readBody(exchange *exchange) ([]byte, *refusal.Refusal) {
	controller := http.NewResponseController(exchange.w)
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))
	body, err := exchange.buffers.ReadAll(http.MaxBytesReader(exchange.w, exchange.r.Body, s.limits.BodyBytes), int(s.limits.BodyBytes))
	if err == nil {
		// After an error the deadline stays set. Without it, net/http would wait for
		// the rest of the body before it sends the refusal.
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		exchange.w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, refusal.NotRun(refusal.BodyTooLarge, 0, "the body has more than %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, memory.ErrNoSpace) {
		exchange.w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, refusal.NotRun(refusal.NoBufferSpace, bufferRetryAfter, "the memory for bodies is used up")
	}
	if errors.Is(err, httpserver.ErrYielded) {
		exchange.w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, refusal.NotRun(refusal.NoBufferSpace, bufferRetryAfter, "too many requests are not whole")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refusal.NotRun(refusal.BodyTimeout, 0, "the body did not come within %s", s.limits.BodyTimeout)
	}
	if err != nil {
		return nil, refusal.NotRun(refusal.BodyIncomplete, 0, "read body: %v", err)
	}
	return body, nil
}
