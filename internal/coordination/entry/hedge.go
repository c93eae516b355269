package entry

import (
	"context"
	"slices"
	"sync"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// contest serves one request by a line of attempts and, while the engine of that line is silent, by a
// hedge: a second line beside it, at other engines. The first of the two that has an event or a whole
// answer goes on alone.
//
// Invariants: only the answer of one line goes to the caller; while none has an answer, none is ended
// by this daemon; a request that must not be repeated has one line.
type contest struct {
	router  *Router
	request Request
	sink    Sink
	ctx     context.Context // of the caller

	mu     sync.Mutex
	first  *line
	hedge  *line // nil: none has begun
	winner *line // whose answer goes to the caller; nil: none has one
}

// line is a sequence of attempts, of which one at most is in progress.
type line struct {
	*contest
	ctx       context.Context // ends when the caller is gone or the other line has an answer
	end       context.CancelCauseFunc
	routing   *route.Route
	busyLoads []*peerpb.DaemonLoad // of the homes that refused the request as busy
	location  engineLocation
	hasError  bool             // has an answer that is an error, and awaits the other line; under mu
	refused   *refusal.Refusal // how it has ended; nil: with a whole answer
	ended     chan struct{}    // closed after the line has ended
}

func (c *contest) newLine(routing *route.Route) *line {
	l := &line{contest: c, routing: routing, ended: make(chan struct{})}
	l.ctx, l.end = context.WithCancelCause(c.ctx)
	return l
}

// runToEnd runs the line and records how it has ended.
func (l *line) runToEnd() {
	defer l.end(nil)
	l.refused = l.run()
	close(l.ended)
}

// serve serves the request by attempts that the route allows.
func (c *contest) serve(routing *route.Route) ([]route.AttemptResult, *refusal.Refusal) {
	c.first = c.newLine(routing)
	c.first.runToEnd()
	if c.hedge == nil {
		return routing.Results(), c.first.refused
	}
	if c.wins(c.first) {
		return slices.Concat(c.hedge.resultsIfEnded(), routing.Results()), c.first.refused
	}
	<-c.hedge.ended
	results := slices.Concat(routing.Results(), c.hedge.routing.Results())
	if c.wins(c.hedge) {
		return results, c.hedge.refused
	}
	return results, c.first.mayHaveRun()
}

// wins reports whether the answer of a line goes to the caller.
func (c *contest) wins(l *line) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.winner == l
}

// resultsIfEnded returns the results of the line's attempts, none if it has not ended: nobody waits
// for the end of an attempt that nobody needs.
func (l *line) resultsIfEnded() []route.AttemptResult {
	select {
	case <-l.ended:
		return l.routing.Results()
	default:
		return nil
	}
}

// mayHaveRun returns the refusal of a line that has had a silent engine, where the request may have
// run whatever was the last to refuse it.
func (l *line) mayHaveRun() *refusal.Refusal {
	refused := *l.refused
	refused.Outcome = peerpb.Outcome_OUTCOME_UNKNOWN
	return &refused
}

// beginHedge begins the hedge, if there may be one, as the engine of the line's attempt is silent.
// The line goes on.
func (l *line) beginHedge() {
	if l != l.first || l.hedge != nil || l.wins(l) || l.request.Call.GetAskStart() {
		return
	}
	routing := l.routing.Hedge()
	if routing == nil {
		return
	}
	hedge := l.newLine(routing)
	hedge.busyLoads = slices.Clone(l.busyLoads)
	l.mu.Lock()
	l.hedge = hedge
	l.mu.Unlock()
	go hedge.runToEnd()
}

// claim reports whether the answer of the line goes to the caller. The other line ends then. An error
// is no better than what the other line may still bring, unless the request has to end.
func (l *line) claim(isError bool) bool {
	for {
		other, claimed := l.tryClaim(isError)
		if other == nil {
			return claimed
		}
		select {
		case <-other.ended:
		case <-l.ctx.Done():
			isError = false
		}
	}
}

// tryClaim claims the caller for the line. If the line has to wait for the other one, tryClaim returns
// that.
func (l *line) tryClaim(isError bool) (awaited *line, claimed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.winner != nil {
		return nil, l.winner == l
	}
	other := l.hedge
	if l == l.hedge {
		other = l.first
	}
	if isError && other != nil && !other.hasError && !isClosed(other.ended) {
		l.hasError = true
		return other, false
	}
	l.winner = l
	if other != nil {
		other.end(errSuperseded)
	}
	return nil, true
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
