package home

import (
	"context"
	"errors"
	"fmt"
	"io"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// maxResumes is how often a home resumes one stream at its engine.
const maxResumes = 3

// relay passes one stream's events on from the engine to the entry daemon, and
// resumes it at the engine when its connection breaks off.
type relay struct {
	targets targetapi.Caller
	link    Link
	call    targetapi.Call
	engine  string
	answer  *targetapi.Answer
	offset  uint64 // the last event passed on
	resumes int
}

func newRelay(targets targetapi.Caller, link Link, call targetapi.Call, engine string, answer *targetapi.Answer) *relay {
	return &relay{
		targets: targets,
		link:    link,
		call:    call,
		engine:  engine,
		answer:  answer,
		offset:  call.Resume.GetOffset(),
	}
}

// run passes events on until the last one. A stream that ends without its
// terminal event is never passed off as complete.
func (r *relay) run(ctx context.Context) error {
	defer func() { r.answer.Events.Close() }()
	if err := sendStart(r.link, r.engine, r.answer); err != nil {
		return fmt.Errorf("start answer of request %s: %w", r.call.RequestID, err)
	}
	for {
		event, err := r.answer.Events.Next()
		if errors.Is(err, io.EOF) {
			return sendEnd(r.link)
		}
		if err != nil {
			if refused := r.resume(ctx, err); refused != nil {
				return refuse(r.link, refused)
			}
			continue
		}
		if err := r.pass(event); err != nil {
			return fmt.Errorf("send events of request %s to entry: %w", r.call.RequestID, err)
		}
	}
}

func (r *relay) pass(event *peerpb.Event) error {
	r.offset = event.GetOffset()
	data := &peerpb.Data{Events: []*peerpb.Event{event}}
	return r.link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Data{Data: data}})
}

// resume goes on with the stream after its last event, or says why it cannot.
func (r *relay) resume(ctx context.Context, cause error) *refusal.Refusal {
	if ctx.Err() != nil || r.resumes >= maxResumes {
		return refusal.Unknown(refusal.AnswerIncomplete, "read stream of engine %s: %v", r.engine, cause)
	}
	r.resumes++
	r.answer.Events.Close()
	r.call.Resume = &peerpb.Resume{Engine: r.engine, Offset: r.offset}
	answer, refused := r.targets.Call(ctx, r.call)
	if refused != nil {
		return refusal.Unknown(refusal.AnswerIncomplete, "resume stream of engine %s: %s", r.engine, refused.Detail)
	}
	if answer.Events == nil {
		return refusal.Unknown(refusal.AnswerIncomplete, "resume stream of engine %s: status %d", r.engine, answer.Status)
	}
	r.answer = answer
	return nil
}
