package gateway

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/timing"
	"hemlockknot/internal/state/routing"
)

// promptRead identifies a session's prompt that an engine is reading.
type promptRead struct {
	session uint64
	target  string // id
}

// promptReads are the prompts that engines are reading for the first time for requests
// of this daemon. Another request of the same session would make the engine read the
// same prompt once more, beside the first one, and slow both down: it is held back until
// the first one's answer begins. The load that this answers is a session whose requests
// come in quick succession, at its first use or after its engine was lost.
type promptReads struct {
	running map[promptRead]chan struct{} // closed when the prompt has been read
}

func newPromptReads() *promptReads { return &promptReads{running: make(map[promptRead]chan struct{})} }

// begin records that an engine begins to read a session's prompt, unless it does already.
func (p *promptReads) begin(read promptRead) {
	if p.running[read] == nil {
		p.running[read] = make(chan struct{})
	}
}

// end records that the engine has read the prompt, or that the attempt has ended.
func (p *promptReads) end(read promptRead) {
	if done := p.running[read]; done != nil {
		close(done)
		delete(p.running, read)
	}
}

// awaitPromptRead waits until an engine has read the prompt of the request's session, for
// no longer than reading takes and a part of the time that the caller allows for the
// first byte.
func (g *Gateway) awaitPromptRead(ctx context.Context, req *callerRequest, done <-chan struct{}) {
	timer := time.NewTimer(min(timing.MaxPromptHold(req.route, req.call), time.Until(req.deadline)))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// readsPrompt reports whether the chosen engine must read the prompt of the request's
// session, or fetch it from another engine, before it answers.
func readsPrompt(choice placement.Choice, route *routing.Route) bool {
	return choice.NewSession && route.Kind == routing.Stream
}
