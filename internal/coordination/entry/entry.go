// Package entry serves requests as their entry daemon, the daemon that received
// them from the callers. It forwards each request to the home daemon of an engine,
// retries elsewhere as package route decides, passes the answer on to the caller,
// and resumes a stream through another home daemon if its home is lost.
package entry

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// cancelConfirmTimeout is how long the entry daemon waits for a home to confirm the
// cancellation of a call whose caller is gone.
const cancelConfirmTimeout = 2 * time.Second

// Exchange is the entry daemon's end of one exchange with a home daemon: a call
// and its answer.
type Exchange interface {
	Send(*peerpb.ForwardUp) error
	Recv() (*peerpb.ForwardDown, error)
	Close() error
}

// Opener opens exchanges with home daemons, which may be this daemon itself.
type Opener interface {
	Open(ctx context.Context, home *peerpb.Member) (Exchange, error)
}

// Sink passes the answer on to the caller. An error means that the caller is gone.
type Sink interface {
	// Started is called with the engine that has started the request.
	Started(engine string)
	// Head passes on the status and the headers of the answer.
	Head(status int, headers []*peerpb.Header) error
	// Event passes on one event of a stream.
	Event(event *peerpb.Event) error
	// Body passes on bytes of an answer that is not a stream of events.
	Body(body []byte) error
}

// Observer counts the attempts that did not complete the answer, for metrics.
type Observer interface {
	// CountRetry is called after each attempt that did not complete the answer, with
	// the reason of the attempt's refusal.
	CountRetry(reason refusal.Reason)
}

// Router forwards requests to home daemons and passes the answers on.
type Router struct {
	loop     *control.Loop
	opener   Opener
	observer Observer
}

// New returns a router that accesses the control state through loop, opens
// exchanges with opener and reports attempts that did not complete the answer to
// observer.
func New(loop *control.Loop, opener Opener, observer Observer) *Router {
	return &Router{loop: loop, opener: opener, observer: observer}
}

// Request is one caller's request.
type Request struct {
	// Call is the template of the calls to home daemons. The router sets the fields
	// that it decides on, such as Engine, Resume, Loads and LastResort.
	Call *peerpb.Call
	// Resumable is set if an interrupted stream can be resumed at its engine.
	Resumable bool
	// Deadline is the time by which the request must have started.
	Deadline time.Time
	// Cold is set if no engine holds context for the request, as with the first
	// request of a chat.
	Cold bool
	// MayStart is called before the entry daemon permits a home to start the call.
	// An error denies the start; a nil function permits it.
	MayStart func() error
}

// Serve forwards the request and passes the answer on to the sink. It returns the
// results of all attempts. A refusal means that the answer is not complete: the
// sink has received only its beginning, or nothing.
func (r *Router) Serve(ctx context.Context, request Request, sink Sink) ([]route.AttemptResult, *refusal.Refusal) {
	plan := r.plan(request)
	request.Call.FirstEngine = plan.FirstEngine
	routing := route.New(route.Request{
		Repeatable: request.Call.GetRepeatable(),
		Resumable:  request.Resumable,
	}, plan.Engines)
	contest := &contest{router: r, request: request, sink: sink, ctx: ctx}
	return contest.serve(routing)
}

// run makes one attempt after another. It returns nil once one has brought the whole answer.
func (l *line) run() *refusal.Refusal {
	for {
		next, refused := l.routing.Next()
		if refused != nil {
			return refused
		}
		if err := l.ctx.Err(); err != nil {
			return callerGoneRefusal(l.routing, err)
		}
		if l.routing.NotStarted() && !time.Now().Before(l.request.Deadline) {
			return l.routing.DeadlineExceeded()
		}
		served, homeLoad := l.runAttempt(next)
		if served {
			return nil
		}
		if homeLoad != nil {
			l.busyLoads = append(l.busyLoads, homeLoad)
		}
		l.router.countRetry(l.routing)
	}
}

// countRetry reports the refusal of the last attempt to the observer.
func (r *Router) countRetry(routing *route.Route) {
	results := routing.Results()
	if len(results) > 0 {
		r.observer.CountRetry(results[len(results)-1].Reason)
	}
}

func callerGoneRefusal(routing *route.Route, err error) *refusal.Refusal {
	return refusal.Unknown(refusal.CallerGone, "after %d tries: %v", len(routing.Results()), err)
}

// plan returns the candidate engines for the request. The plan is empty while no
// environment document is in force.
func (r *Router) plan(request Request) control.Plan {
	var plan control.Plan
	r.loop.Do(func(state *control.State, _ time.Time) {
		if state.Snapshot != nil {
			plan = state.Plan(request.Call.GetService(), request.Call.GetChatKey(), request.Cold)
		}
	})
	return plan
}

// reportPlacement records which engine has started a chat's request, if it is not
// the chat's first engine. The record goes to the home of the first engine, whose
// chat directory lists the engine that holds the chat's context.
func (r *Router) reportPlacement(call *peerpb.Call, engine string) {
	if call.GetFirstEngine() == "" || call.GetFirstEngine() == engine {
		return
	}
	r.loop.Do(func(state *control.State, now time.Time) {
		state.RecordPlacement(call.GetChatKey(), call.GetFirstEngine(), engine, now)
	})
}

// runAttempt makes one attempt and reports whether the answer is complete. If the
// home refused the call as busy, it also returns the home's in-flight counts.
func (l *line) runAttempt(next route.Attempt) (served bool, homeLoad *peerpb.DaemonLoad) {
	r, request := l.router, l.request
	home := r.findHome(next, &l.location)
	if home == nil {
		l.routing.RecordNoHome()
		return false, nil
	}
	call := newCall(request.Call, next, time.Until(request.Deadline))
	if call.GetResume().GetOffset() > 0 {
		call.Resume.Address = l.location.addressFor(home.GetFailureDomain())
	}
	call.Warm = next.Warm || (!request.Cold && next.Engine == call.GetFirstEngine())
	call.Loads = l.busyLoads
	current := &attempt{routing: l.routing, homeName: home.GetName(), call: call, sink: l.sink, mayStart: request.MayStart, onSilent: l.beginHedge, claim: l.claim}
	current.onStarted = func(engine string) {
		if !next.Warm {
			r.reportPlacement(call, engine)
		}
	}
	served = current.run(l.ctx, r.opener, home, func() (bool, <-chan struct{}) { return r.watchHome(home) })
	return served, current.homeLoad
}

// engineLocation is where the engine of an attempt is, as the last document that had the engine
// says. A stream that it has begun may go on after a document has removed it.
type engineLocation struct {
	document *environment.Document // nil: not known
	engine   *environment.Engine
}

// addressFor returns the engine's address for daemons of a failure domain, "" if it is not known.
func (l *engineLocation) addressFor(failureDomain string) string {
	if l.document == nil {
		return ""
	}
	return l.document.AddressFor(l.engine, failureDomain)
}

// findHome returns the home daemon for an attempt, or nil if none is left. It keeps where the engine
// is in location.
func (r *Router) findHome(next route.Attempt, location *engineLocation) *peerpb.Member {
	var home *peerpb.Member
	r.loop.Do(func(state *control.State, now time.Time) {
		document := state.Snapshot.Document
		if engine := document.Engine(next.Engine); engine != nil {
			*location = engineLocation{document, engine}
		}
		if next.Resume.GetOffset() == 0 || location.document == nil || location.engine.Name != next.Engine {
			home = state.HomeOf(next.Engine, next.ExcludedHomes, now)
			return
		}
		home = state.HomeOfFormer(next.Engine, location.document.FailureDomainOf(location.engine), next.ExcludedHomes, now)
	})
	return home
}

// watchHome reports whether a home daemon is alive, and returns a channel that is closed when it
// goes down.
func (r *Router) watchHome(home *peerpb.Member) (alive bool, down <-chan struct{}) {
	r.loop.Do(func(state *control.State, now time.Time) {
		alive = state.Members.Alive(home.GetName(), now)
		down = state.WatchMemberDown(home.GetName())
	})
	return alive, down
}

// newCall returns the call of one attempt, with the time left to start it.
func newCall(template *peerpb.Call, next route.Attempt, timeLeft time.Duration) *peerpb.Call {
	call := &peerpb.Call{
		RequestId:   template.GetRequestId(),
		Service:     template.GetService(),
		Engine:      next.Engine,
		Workspace:   template.GetWorkspace(),
		Class:       template.GetClass(),
		ChatKey:     template.GetChatKey(),
		Priority:    template.GetPriority(),
		DeadlineMs:  uint32(max(0, timeLeft) / time.Millisecond),
		Generation:  template.GetGeneration(),
		Method:      template.GetMethod(),
		Path:        template.GetPath(),
		Headers:     template.GetHeaders(),
		Body:        template.GetBody(),
		Repeatable:  template.GetRepeatable(),
		AskStart:    template.GetAskStart(),
		Stream:      template.GetStream(),
		AwaitSilent: template.GetStream(),
		Resume:      next.Resume,
		LastResort:  next.LastResort,
		LeavesQueue: next.LeavesQueue,
		FirstEngine: template.GetFirstEngine(),
		Located:     next.DirectoryConsulted,
	}
	return call
}
