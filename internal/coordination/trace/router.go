package trace

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/refusal"
)

// next is the router that a Router passes requests to.
type next interface {
	Serve(ctx context.Context, request entry.Request, sink entry.Sink) ([]route.Trace, *refusal.Refusal)
}

// Router serves requests through another router and remembers what became of
// them.
type Router struct {
	next next
	log  *Log
}

// NewRouter returns a router in front of another one.
func NewRouter(next next, log *Log) *Router { return &Router{next: next, log: log} }

// Serve brings the request's answer to the sink.
func (r *Router) Serve(ctx context.Context, request entry.Request, sink entry.Sink) ([]route.Trace, *refusal.Refusal) {
	begun := time.Now()
	tries, refused := r.next.Serve(ctx, request, sink)
	r.log.Add(describe(request, begun, tries, refused))
	return tries, refused
}

func describe(request entry.Request, begun time.Time, tries []route.Trace, refused *refusal.Refusal) *Request {
	now := time.Now()
	call := request.Call
	described := &Request{
		ID:         call.GetRequestId(),
		At:         now,
		Duration:   now.Sub(begun),
		Workspace:  call.GetWorkspace(),
		Class:      call.GetClass(),
		Service:    call.GetService(),
		ChatKey:    call.GetChatKey(),
		Generation: call.GetGeneration(),
		Tries:      tries,
	}
	if refused != nil {
		described.Reason = refused.Reason
		described.Outcome = refused.OutcomeText()
		described.Detail = refused.Detail
	}
	return described
}
