package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/targetapi"
)

// pause is a pause of a begun stream. Only its own engine can go on with the stream, but whether the
// engine or the connection is silent is not known: so the stream is resumed beside the silent
// connection, which stays open until the other one has an event.
type pause struct {
	targets targetapi.Client
	call    targetapi.Call
	engine  string
	offset  uint64 // of the last event
	silent  targetapi.EventStream
	decided atomic.Bool       // which connection brings the next event, or that none does
	stalled atomic.Bool       // none does
	beside  sync.WaitGroup    // the attempt to resume
	answer  *targetapi.Answer // of the connection beside, if that brings the next event
	event   *peerpb.Event     // the next event

	mu        sync.Mutex
	over      bool
	endBeside context.CancelFunc // nil before the attempt to resume
}

// nextEventAfterPause returns the next event of a begun stream. If none arrives for maxPause, it
// aborts the stream and returns errStalled.
func (r *streamRelay) nextEventAfterPause(ctx context.Context) (*peerpb.Event, error) {
	r.eventTimeout = maxPause
	p := &pause{targets: r.targets, call: r.call, engine: r.engine, offset: r.offset, silent: r.answer.Events}
	p.beside.Add(1)
	timer := time.AfterFunc(nextEventTimeout, func() {
		defer p.beside.Done()
		p.resume(ctx)
	})
	event, err := p.silent.Next()
	if timer.Stop() {
		return event, err
	}
	if err == nil && p.decided.CompareAndSwap(false, true) {
		p.end()
		return event, nil
	}
	p.beside.Wait()
	if p.answer != nil {
		p.silent.Close()
		r.answer = p.answer
		return p.event, nil
	}
	if p.stalled.Load() {
		return nil, errStalled
	}
	return event, err
}

// resume resumes the stream beside the silent connection, and limits the pause.
func (p *pause) resume(ctx context.Context) {
	p.mu.Lock()
	if p.over {
		p.mu.Unlock()
		return
	}
	ctx, p.endBeside = context.WithCancel(ctx)
	p.mu.Unlock()
	limit := time.AfterFunc(maxPause-nextEventTimeout, p.stall)
	if p.resumeBeside(ctx) {
		limit.Stop()
	}
}

// stall ends the pause, and the stream, if there is no event yet.
func (p *pause) stall() {
	if !p.decided.CompareAndSwap(false, true) {
		return
	}
	p.stalled.Store(true)
	p.silent.Abort()
	p.end()
}

// end ends the attempt to resume.
func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	if p.endBeside != nil {
		p.endBeside()
	}
}

// resumeBeside resumes the stream on another connection. It reports whether that brings the next
// event.
func (p *pause) resumeBeside(ctx context.Context) bool {
	call := p.call
	call.Resume = &peerpb.Resume{Engine: p.engine, Offset: p.offset}
	answer, refused := p.targets.Call(ctx, call)
	if refused != nil || answer.Events == nil {
		return false
	}
	event, err := answer.Events.Next()
	if err != nil || !p.decided.CompareAndSwap(false, true) {
		answer.Events.Close()
		return false
	}
	p.answer, p.event = answer, event
	p.silent.Abort()
	return true
}
