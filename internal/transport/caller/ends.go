package caller

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/charmbracelet/log"

	"hemlockknot/internal/metrics"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/transport/httpserver"
)

// stoppingRetryAfter is when a caller that is refused by a stopping daemon comes back: the
// balancer then picks another one.
const stoppingRetryAfter = time.Second

// cutRefusal returns the refusal of a request that has been refused. If the stop has cut the
// request, that is the reason; whether the request may have run stays as it was.
func cutRefusal(ctx context.Context, refused *refusal.Refusal) *refusal.Refusal {
	if refused == nil || !errors.Is(context.Cause(ctx), httpserver.ErrStopping) {
		return refused
	}
	cut := *refused
	cut.Reason, cut.RetryAfter = refusal.Stopping, 0
	if cut.DidNotRun() {
		cut.RetryAfter = stoppingRetryAfter
	}
	cut.Detail = "the daemon stops before the answer is complete: " + refused.Detail
	return &cut
}

// cutByStop cancels a context when the stop cuts a request, but not when the caller of the
// request leaves. The returned function ends that.
func cutByStop(request context.Context, cancel context.CancelCauseFunc) (end func() bool) {
	return context.AfterFunc(request, func() {
		if cause := context.Cause(request); errors.Is(cause, httpserver.ErrStopping) {
			cancel(cause)
		}
	})
}

// refusePanicked refuses a request whose handler has panicked. A stream that has begun ends
// with an error event.
func (s *Server) refusePanicked(exchange *exchange) {
	recovered := recover()
	if recovered == nil {
		return
	}
	begun := exchange.sink != nil && exchange.sink.headWritten
	if recovered == http.ErrAbortHandler || begun && exchange.w.Header().Get(headerContentLength) != "" {
		panic(recovered)
	}
	s.log.Error("handler of a request panicked", "request", exchange.id, "panic", recovered, "stack", string(debug.Stack()))
	refused := refusal.Unknown(refusal.Internal, "a fault of the daemon")
	if begun {
		_ = s.finishAnswer(exchange, exchange.sink, refused) // writes the refusal
		return
	}
	exchange.w.Header().Del(headerContentLength)
	s.writeRefusal(exchange, refused)
}

// observer logs what the HTTP server reports.
type observer struct {
	metrics *metrics.Metrics
	log     *log.Logger
}

func (o observer) ConnectionClosed(caller string, unusedFor time.Duration, answered, stopping bool) {
	o.log.Debug("unused connection closed", "peer", caller, "unused", unusedFor, "answered_before", answered, "stopping", stopping)
}

func (o observer) HandlerFailed(requestID string, panicked any, stack []byte) {
	o.metrics.CountRefusal(refusal.Internal)
	o.log.Error("handler of a request ended without an answer", "request", requestID, "panic", panicked, "stack", string(stack))
}

// maxLoggedUnanswered is the number of requests without an answer that are logged by id.
const maxLoggedUnanswered = 20

func (o observer) RequestsUnanswered(requestIDs []string) {
	o.log.Warn("requests are left without an answer", "step", "stop", "number", len(requestIDs), "requests", requestIDs[:min(len(requestIDs), maxLoggedUnanswered)])
}

func (o observer) ServerError(text string) { o.log.Warn("error of the HTTP server", "err", text) }
