package caller

import (
	"time"

	"hemlockknot/internal/coordination/route"
	"hemlockknot/internal/coordination/trace"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
)

// Traces returns what became of recent requests.
func (s *Server) Traces() *trace.Log { return s.traces }

// remember notes what became of a request, for operators.
func (s *Server) remember(call *peerpb.Call, begun time.Time, tries []route.Trace, refused *refusal.Refusal) {
	now := time.Now()
	request := &trace.Request{
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
		request.Reason = refused.Reason
		request.Outcome = refused.OutcomeText()
		request.Detail = refused.Detail
	}
	s.traces.Add(request)
}
