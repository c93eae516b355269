package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/pacing"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/platform"
)

const (
	// maxAnswer bounds an answer that is no stream, in bytes.
	maxAnswer = 8 << 20
	// timeoutSlack is how much later than the request's deadline a target's own
	// answer may come.
	timeoutSlack = 50 * time.Millisecond
)

// journey is a request's way through its tries.
type journey struct {
	*job
	state  *attempt.Request
	tried  map[string]bool
	choice placement.Choice
	tries  int
	// granted says that the next try has been taken from the budget already.
	granted atomic.Bool

	lastEvent int64     // id of the last event that the caller has
	firstByte time.Time // when the first byte of the answer went out
	failure   *whole    // a failed answer of a target, kept in case nothing better comes
	reason    string    // why the last try was not the final one
}

// relay sends a request to targets until it has its final answer.
func (g *Gateway) relay(j *job) {
	t := &journey{
		job:   j,
		tried: make(map[string]bool),
		state: attempt.New(attempt.Policy{
			Repeatable:  j.route.Repeatable(),
			Resumable:   j.route.Resumable,
			MaxAttempts: j.route.MaxAttempts,
		}),
	}
	t.lastEvent = j.call.LastEventID
	for {
		event := g.try(t)
		if t.r.Context().Err() != nil {
			g.finished(t, "caller_left")
			return
		}
		verdict := t.state.Decide(event, time.Until(t.deadline), func() bool { return t.granted.Swap(false) || g.control.spendRetry(t.service) })
		if verdict != attempt.Retry && verdict != attempt.Resume {
			g.conclude(t, verdict, event)
			return
		}
		g.metrics.retried(t.reason)
		g.log.Info("tries again", "request", t.call.ID, "reason", t.reason, "target", t.choice.Target.ID, "after_event", t.lastEvent)
	}
}

// try sends the request to one target. The whole answer, or a stream, goes to
// the caller at once if it is final.
func (g *Gateway) try(t *journey) attempt.Event {
	left := time.Until(t.deadline)
	if left <= 0 {
		t.reason = "out_of_time"
		return attempt.OutOfTime
	}
	choice := g.control.choose(t.service, t.call.Parts, t.tried)
	if choice.Target == nil {
		t.reason = "no_target"
		return attempt.NoTarget
	}
	t.choice = choice
	t.tries++
	t.tried[choice.Target.ID] = true
	ctx, giveUp := context.WithCancel(t.r.Context())
	defer giveUp()
	impatient := newImpatience(func() bool { return g.grant(t) }, giveUp)
	if t.state.AnotherAfterThis() {
		impatient.wait(pacing.FirstByte(t.route, t.call))
	}
	defer impatient.stop()
	answer, failed := g.pool.Do(ctx, g.request(t, left))
	if failed != nil {
		return g.tryFailed(t, failed)
	}
	defer answer.Close()
	said := platform.ReadAnswer(answer.Header)
	g.control.report(choice.Target.ID, said.Load)
	if refusedByTarget(answer.Status, said) {
		t.reason = "refused_by_target"
		g.note(t, outlier.Busy, true)
		return attempt.Refused
	}
	if isEventStream(answer) {
		impatient.stop()
		return g.stream(t, answer)
	}
	return g.plain(t, answer)
}

func (g *Gateway) request(t *journey, left time.Duration) exchange.Request {
	dispatch := relay.Dispatch{
		Target:   t.choice.Target.ID,
		Patience: left,
		Priority: t.route.Priority,
	}
	if t.workspace != nil {
		dispatch.Workspace = t.workspace.Name
		if t.workspace.Ranked {
			dispatch.Priority = t.workspace.Priority
		}
	}
	if t.choice.FetchFrom != nil {
		dispatch.FetchFrom = t.choice.FetchFrom.Address
	}
	if t.lastEvent > t.call.LastEventID {
		dispatch.LastEventID = t.lastEvent
	}
	return exchange.Request{
		Address:      t.choice.Target.Address,
		Method:       t.r.Method,
		URI:          t.r.RequestURI,
		Host:         t.r.Host,
		Header:       platform.ForwardHeader(t.r.Header, t.call, dispatch),
		Body:         t.body,
		Fresh:        !t.route.Repeatable(),
		AnswerWithin: g.left(t),
		Mine:         func(header http.Header) bool { return platform.ReadAnswer(header).RequestID == t.call.ID },
		KeepFor:      func(header http.Header) time.Duration { return platform.ReadAnswer(header).IdleLimit },
	}
}

// left returns how long the request's target may take to its final answer.
func (g *Gateway) left(t *journey) time.Duration { return time.Until(t.deadline) + timeoutSlack }

// grant takes the request's next try from the budget, and reports whether there
// was one.
func (g *Gateway) grant(t *journey) bool {
	if t.granted.Load() {
		return true
	}
	if !g.control.spendRetry(t.service) {
		return false
	}
	t.granted.Store(true)
	return true
}

// refusedByTarget reports whether a target says that it has not run the request.
// A success contradicts that.
func refusedByTarget(status int, said relay.Answer) bool {
	return said.NotRun && status >= http.StatusBadRequest || status == http.StatusMisdirectedRequest && !said.Signed
}

func isEventStream(answer *exchange.Answer) bool {
	return answer.Status == http.StatusOK && answer.Header.Get("Content-Type") == "text/event-stream"
}

// note takes in how a try ended.
func (g *Gateway) note(t *journey, outcome outlier.Outcome, known bool) {
	if g.control.finish(t.choice.Target, placement.Session(t.call.Parts), outcome, known) {
		g.metrics.ejected()
		g.pool.Drop(t.choice.Target.Address)
		g.log.Warn("target left alone", "target", t.choice.Target.ID, "request", t.call.ID, "reason", t.reason)
	}
}

func (g *Gateway) tryFailed(t *journey, failed *exchange.Error) attempt.Event {
	left := t.r.Context().Err() != nil
	switch {
	case !failed.Sent:
		t.reason = "unreachable"
		g.note(t, outlier.Unreachable, !left)
		if failed.Silent && !left && g.control.unreachable(t.choice.Target) {
			g.cutOff(t.choice.Target.FailureDomain, "unreachable")
		}
		return attempt.NotSent
	case failed.Silent:
		t.reason = "silent"
		g.note(t, outlier.Silent, !left)
	default:
		t.reason = "broken"
		g.note(t, outlier.Broken, !left)
	}
	if !left {
		g.log.Info("try failed", "request", t.call.ID, "target", t.choice.Target.ID, "reason", t.reason, "error", failed)
	}
	return attempt.Lost
}

// plain reads an answer that is no stream, to its end before any of it goes on.
func (g *Gateway) plain(t *journey, answer *exchange.Answer) attempt.Event {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		t.reason = "incomplete_answer"
		g.note(t, outlier.Broken, t.r.Context().Err() == nil)
		return attempt.Lost
	}
	read := &whole{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		t.reason = "failed_at_target"
		t.failure = read
		g.note(t, outlier.Failed, true)
		return attempt.Failure
	}
	g.note(t, outlier.Served, true)
	g.deliver(t, read)
	return attempt.Answered
}
