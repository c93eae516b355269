// Package entry serves callers' requests as their entry daemon: it drives a
// route from try to try, passes the answer on to the caller, and resumes a
// stream through another home when one is lost.
package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// cancelGrace is how long the entry waits for a home to confirm that a call
// whose caller is gone has been cancelled.
const cancelGrace = 2 * time.Second

// Exchange is the entry daemon's end of one exchange with a home daemon.
type Exchange interface {
	Send(*peerpb.ForwardUp) error
	Recv() (*peerpb.ForwardDown, error)
	Close() error
}

// Opener opens exchanges with home daemons, this one included.
type Opener interface {
	Open(ctx context.Context, home *peerpb.Member) (Exchange, error)
}

// Sink receives the answer for the caller. An error means that the caller is
// gone.
type Sink interface {
	Started(engine string)
	Head(status int, headers []*peerpb.Header) error
	Event(event *peerpb.Event) error
	Body(body []byte) error
}

// Observer is told of what happens to requests, for metrics and logs.
type Observer interface {
	Retried(reason refusal.Reason)
}

// Router serves requests.
type Router struct {
	loop     *control.Loop
	opener   Opener
	observer Observer
}

// New returns a router.
func New(loop *control.Loop, opener Opener, observer Observer) *Router {
	return &Router{loop: loop, opener: opener, observer: observer}
}

// Request is one caller's request.
type Request struct {
	Call      *peerpb.Call // Engine, Resume, Loads and LastResort are filled in here
	Resumable bool
	// Deadline is until when the request must have started.
	Deadline time.Time
	Opening  bool // a chat's first request: no engine holds its context
	// MayStart is asked before the entry permits a start; nil allows it.
	MayStart func() error
}

// Serve brings the request's answer to the sink. A refusal means that the
// answer is not complete; what the sink has received so far is its beginning.
func (r *Router) Serve(ctx context.Context, request Request, sink Sink) ([]route.Trace, *refusal.Refusal) {
	plan := r.plan(request)
	request.Call.FirstEngine = plan.First
	path := route.New(route.Request{
		Repeatable: request.Call.GetRepeatable(),
		Resumable:  request.Resumable,
	}, plan.Engines)
	var loads []*peerpb.DaemonLoad // of the homes that were busy
	for {
		try, refused := path.Next()
		if refused != nil {
			return path.Trace(), refused
		}
		if err := ctx.Err(); err != nil {
			return path.Trace(), callerGone(path, err)
		}
		if path.Fresh() && !time.Now().Before(request.Deadline) {
			return path.Trace(), path.Expired()
		}
		served, load := r.try(ctx, path, try, request, loads, sink)
		if served {
			return path.Trace(), nil
		}
		if load != nil {
			loads = append(loads, load)
		}
		r.countRetry(path)
	}
}

func (r *Router) countRetry(path *route.Route) {
	trace := path.Trace()
	if len(trace) > 0 {
		r.observer.Retried(trace[len(trace)-1].Reason)
	}
}

func callerGone(path *route.Route, err error) *refusal.Refusal {
	return refusal.Unknown(refusal.CallerGone, "after %d tries: %v", len(path.Trace()), err)
}

func (r *Router) plan(request Request) control.Plan {
	var plan control.Plan
	r.loop.Do(func(state *control.State, _ time.Time) {
		if state.Snapshot != nil {
			plan = state.Plan(request.Call.GetService(), request.Call.GetChatKey(), request.Opening)
		}
	})
	return plan
}

// placed notes where the answer of a chat has started, for the home of the
// chat's first engine.
func (r *Router) placed(call *peerpb.Call, engine string) {
	if call.GetFirstEngine() == "" || call.GetFirstEngine() == engine {
		return
	}
	r.loop.Do(func(state *control.State, now time.Time) {
		state.NotePlacement(call.GetChatKey(), call.GetFirstEngine(), engine, now)
	})
}

// try makes one try and reports whether the answer is complete. It returns the
// home's counts as well, if the home was busy.
func (r *Router) try(ctx context.Context, path *route.Route, try route.Try, request Request, loads []*peerpb.DaemonLoad, sink Sink) (served bool, load *peerpb.DaemonLoad) {
	home, down := r.home(try)
	if home == nil {
		path.NoHome()
		return false, nil
	}
	call := tryCall(request.Call, try, time.Until(request.Deadline))
	call.Warm = try.Warm || (!request.Opening && try.Engine == call.GetFirstEngine())
	call.Loads = loads
	attempt := &attempt{path: path, home: home.GetName(), call: call, sink: sink, mayStart: request.MayStart}
	attempt.started = func(engine string) {
		if !try.Warm {
			r.placed(call, engine)
		}
	}
	served = attempt.run(ctx, r.opener, home, down)
	return served, attempt.load
}

// home returns the home daemon for a try, and a channel that is closed when it
// goes down.
func (r *Router) home(try route.Try) (*peerpb.Member, <-chan struct{}) {
	var home *peerpb.Member
	var down <-chan struct{}
	r.loop.Do(func(state *control.State, now time.Time) {
		home = state.HomeOf(try.Engine, try.ExcludedHomes, now)
		if home != nil {
			down = state.WatchDown(home.GetName())
		}
	})
	return home, down
}

// tryCall returns the call of one try, with the time that is left to start it.
func tryCall(template *peerpb.Call, try route.Try, left time.Duration) *peerpb.Call {
	call := &peerpb.Call{
		RequestId:   template.GetRequestId(),
		Service:     template.GetService(),
		Engine:      try.Engine,
		Workspace:   template.GetWorkspace(),
		Class:       template.GetClass(),
		ChatKey:     template.GetChatKey(),
		Priority:    template.GetPriority(),
		DeadlineMs:  uint32(max(0, left) / time.Millisecond),
		Generation:  template.GetGeneration(),
		Method:      template.GetMethod(),
		Path:        template.GetPath(),
		Headers:     template.GetHeaders(),
		Body:        template.GetBody(),
		Repeatable:  template.GetRepeatable(),
		AskStart:    template.GetAskStart(),
		Stream:      template.GetStream(),
		Resume:      try.Resume,
		LastResort:  try.LastResort,
		FirstEngine: template.GetFirstEngine(),
		Located:     try.Located,
	}
	return call
}

// errHomeDown says that membership has declared the home down.
var errHomeDown = errors.New("the home daemon is down")

// watch ends the exchange when the home goes down, and asks the home to cancel
// when the caller goes away. It returns when finished is closed.
func watch(ctx context.Context, exchange Exchange, down, finished <-chan struct{}, abort context.CancelCauseFunc) {
	select {
	case <-finished:
		return
	case <-down:
		abort(errHomeDown)
		return
	case <-ctx.Done():
	}
	_ = exchange.Send(&peerpb.ForwardUp{Body: &peerpb.ForwardUp_Cancel{Cancel: &peerpb.Cancel{}}})
	timer := time.NewTimer(cancelGrace)
	defer timer.Stop()
	select {
	case <-finished:
	case <-timer.C:
		abort(fmt.Errorf("home did not confirm the cancellation within %s", cancelGrace))
	}
}
