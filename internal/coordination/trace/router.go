package trace

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/protocol/refusal"
)

// requestRouter routes requests, as entry.Router does.
type requestRouter interface {
	Serve(ctx context.Context, request entry.Request, sink entry.Sink) ([]route.AttemptResult, *refusal.Refusal)
}

// Router passes requests on to the next router and records their results in a log.
type Router struct {
	next requestRouter
	log  *Log
}

// NewRouter returns a router that passes requests on to next and records their
// results in log.
func NewRouter(next requestRouter, log *Log) *Router { return &Router{next: next, log: log} }

// Serve lets the next router serve the request and records the result.
func (r *Router) Serve(ctx context.Context, request entry.Request, sink entry.Sink) ([]route.AttemptResult, *refusal.Refusal) {
	start := time.Now()
	attempts, refused := r.next.Serve(ctx, request, sink)
	r.log.Add(newRecord(request, start, attempts, refused))
	return attempts, refused
}

// newRecord returns the record of a request that started at a time and ends now.
func newRecord(request entry.Request, start time.Time, attempts []route.AttemptResult, refused *refusal.Refusal) *Record {
	now := time.Now()
	call := request.Call
	record := &Record{
		ID:         call.GetRequestId(),
		At:         now,
		Duration:   now.Sub(start),
		Workspace:  call.GetWorkspace(),
		Class:      call.GetClass(),
		Service:    call.GetService(),
		ChatKey:    call.GetChatKey(),
		Generation: call.GetGeneration(),
		Attempts:   attempts,
	}
	if refused != nil {
		record.Reason = refused.Reason
		record.Outcome = refused.OutcomeText()
		record.Detail = refused.Detail
	}
	return record
}
