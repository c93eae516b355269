// Package home serves forwarded calls as the home daemon of their engine, the
// daemon that decides on admission to the engine. It admits a call, asks the entry
// daemon for permission to start the call where this is needed, dispatches the call
// to the engine and passes the answer on to the entry daemon.
package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hemlockknot/internal/coordination/admission"
	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
)

// Exchange is the home daemon's end of one exchange with an entry daemon: a call and
// its answer. The drpc server stream and the in-process pipe implement it.
type Exchange interface {
	Context() context.Context
	Send(*peerpb.ForwardDown) error
	Recv() (*peerpb.ForwardUp, error)
}

// Server serves forwarded calls.
type Server struct {
	loop          *control.Loop
	targets       targetapi.Client
	failureDomain string // of this daemon

	mu              sync.Mutex
	draining        bool
	activeExchanges sync.WaitGroup // exchanges in progress
}

// New returns the server of a daemon in a failure domain. The server sends calls
// to engines through targets.
func New(loop *control.Loop, targets targetapi.Client, failureDomain string) *Server {
	return &Server{loop: loop, targets: targets, failureDomain: failureDomain}
}

// Serve handles one exchange. It returns only errors of the exchange itself: an
// answer to the call or a refusal is sent on the exchange.
func (s *Server) Serve(exchange Exchange) error {
	if !s.beginExchange() {
		return sendRefusal(exchange, refusal.NotRun(refusal.Stopping, time.Second, "the home daemon is stopping"))
	}
	defer s.activeExchanges.Done()
	first, err := exchange.Recv()
	if err != nil {
		return fmt.Errorf("receive call: %w", err)
	}
	call := first.GetCall()
	if call == nil {
		return sendRefusal(exchange, refusal.NotRun(refusal.Internal, 0, "the first message of an exchange is no call"))
	}
	return s.serveCall(exchange, call)
}

// beginExchange counts an exchange as in progress, unless the daemon is stopping.
func (s *Server) beginExchange() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.activeExchanges.Add(1)
	return true
}

// Drain makes the server refuse new exchanges and waits for those in progress.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		s.activeExchanges.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// serveCall admits a call, dispatches it and passes the answer on, or refuses it.
func (s *Server) serveCall(exchange Exchange, call *peerpb.Call) error {
	snapshot := s.loop.Snapshot()
	if snapshot == nil {
		return sendRefusal(exchange, refusal.NotRun(refusal.NotReady, time.Second, "no document is in force"))
	}
	address, known := s.engineAddress(snapshot, call)
	if !known {
		return sendRefusal(exchange, refusal.NotRun(refusal.EngineUnknown, 0, "engine %s is not in the document", call.GetEngine()))
	}
	if refused := s.redirectToWarmEngine(call); refused != nil {
		return sendRefusal(exchange, refused)
	}
	ticket, refused := s.admit(exchange, call)
	release := func() {}
	switch {
	case refused == nil:
		release = sync.OnceFunc(func() { s.loop.Release(ticket) })
	case refusal.FromProto(refused).Reason != refusal.EngineUnknown || formerAddress(call) == "":
		return exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Refusal{Refusal: refused}})
	}
	defer release()
	exchange = releasingExchange{exchange, release}
	if refused := requestPermission(exchange, call); refused != nil {
		return sendRefusal(exchange, refused)
	}
	return s.dispatch(exchange, call, address, snapshot.Generation)
}

// engineAddress returns the address of a call's engine. A document may have removed the engine of a
// stream that still runs there: the call that resumes the stream names the address then. Such a call
// is not counted, as the engine takes no other.
func (s *Server) engineAddress(snapshot *control.Snapshot, call *peerpb.Call) (address string, known bool) {
	if engine := snapshot.Document.Engine(call.GetEngine()); engine != nil {
		return snapshot.Document.AddressFor(engine, s.failureDomain), true
	}
	address = formerAddress(call)
	return address, address != ""
}

// formerAddress returns the engine's address of a call that resumes a begun stream, "" if the call
// does not name it. Any other call may begin anew, which it must not at an engine that has been
// removed.
func formerAddress(call *peerpb.Call) string {
	if call.GetResume().GetOffset() == 0 {
		return ""
	}
	return call.GetResume().GetAddress()
}

// releasingExchange releases a call's admission before it sends the call's final
// message. A caller that sends its next request at once thus finds the previous one
// no longer counted.
type releasingExchange struct {
	Exchange
	release func()
}

// Send sends a message to the entry daemon. If the message is the final one, Send
// releases the admission first.
func (r releasingExchange) Send(message *peerpb.ForwardDown) error {
	if message.GetEnd() != nil || message.GetRefusal() != nil {
		r.release()
	}
	return r.Exchange.Send(message)
}

// admit requests admission of the call. Before that it merges the in-flight counts
// that the call carries, those of the homes that have refused the request. If the
// engine is busy, the refusal carries this daemon's own counts, so that the next
// home to be tried knows the service's load, however fast it has risen.
func (s *Server) admit(exchange Exchange, call *peerpb.Call) (admission.Ticket, *peerpb.Refusal) {
	if len(call.GetLoads()) > 0 {
		s.loop.Do(func(state *control.State, now time.Time) { state.MergeLoads(call.GetLoads(), now) })
	}
	ticket, refused := s.loop.Admit(exchange.Context(), admissionRequest(call), func() { sendQueued(exchange, call) })
	if refused == nil {
		return ticket, nil
	}
	message := refused.ToProto()
	if refused.Reason == refusal.EngineBusy {
		s.loop.Do(func(state *control.State, _ time.Time) { message.Load = state.OwnLoad() })
	}
	return 0, message
}

// sendQueued tells an entry daemon that waits for the question whether the call may start that
// the call is queued. If the send fails, the next one returns the error.
func sendQueued(exchange Exchange, call *peerpb.Call) {
	if call.GetAskStart() {
		_ = exchange.Send(new(peerpb.ForwardDown))
	}
}

func admissionRequest(call *peerpb.Call) admission.Request {
	wait := time.Duration(call.GetDeadlineMs()) * time.Millisecond
	return admission.Request{
		ID:          call.GetRequestId(),
		Service:     call.GetService(),
		Engine:      call.GetEngine(),
		Workspace:   call.GetWorkspace(),
		Priority:    call.GetPriority(),
		Deadline:    time.Now().Add(wait),
		LastResort:  call.GetLastResort(),
		LeavesQueue: call.GetLeavesQueue(),
		Warm:        call.GetWarm(),
		Resumed:     call.GetResume() != nil,
	}
}

// maxPermissionAge is how long a permission is valid after it was requested. A
// daemon that was paused for longer does not dispatch the call.
const maxPermissionAge = 10 * time.Second

// requestPermission asks the entry daemon for permission to dispatch a call that
// must not be repeated. The call does not run without permission. An entry daemon
// that has not granted it therefore knows that the call did not run, even if this
// daemon crashes or is unreachable.
func requestPermission(exchange Exchange, call *peerpb.Call) *refusal.Refusal {
	if !call.GetAskStart() {
		return nil
	}
	askedAt := time.Now()
	question := &peerpb.ForwardDown{Body: &peerpb.ForwardDown_AskStart{AskStart: &peerpb.AskStart{}}}
	if err := exchange.Send(question); err != nil {
		return refusal.NotRun(refusal.StartDenied, 0, "ask entry for permission: %v", err)
	}
	answer, err := exchange.Recv()
	if err != nil {
		return refusal.NotRun(refusal.StartDenied, 0, "receive permission: %v", err)
	}
	if !answer.GetPermission().GetGranted() {
		return refusal.NotRun(refusal.StartDenied, 0, "the entry denied permission")
	}
	if age := time.Since(askedAt); age > maxPermissionAge {
		return refusal.NotRun(refusal.StartDenied, 0, "the permission came after %s", age)
	}
	return nil
}

// sendWholeAnswer passes on an answer that is not a stream.
func sendWholeAnswer(exchange Exchange, call *peerpb.Call, answer *targetapi.Answer) error {
	if err := sendStarted(exchange, call.GetEngine(), answer); err != nil {
		return fmt.Errorf("send start of answer to request %s: %w", call.GetRequestId(), err)
	}
	return sendBody(exchange, answer.Body)
}

// sendStarted tells the entry daemon that the engine has started to answer, and
// passes on the status and the headers of the answer.
func sendStarted(exchange Exchange, engine string, answer *targetapi.Answer) error {
	started := &peerpb.Started{Engine: engine}
	if err := exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Started{Started: started}}); err != nil {
		return err
	}
	head := &peerpb.Head{Status: uint32(answer.Status), Headers: answer.Headers}
	return exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Head{Head: head}})
}

// redirectToWarmEngine refuses a call at its chat's first engine if another engine
// is known to hold the chat's context. The refusal names that engine. A call for
// which the directory has been consulted before, or which resumes a stream, is not
// redirected.
func (s *Server) redirectToWarmEngine(call *peerpb.Call) *refusal.Refusal {
	if call.GetFirstEngine() != call.GetEngine() || call.GetLocated() || call.GetResume() != nil {
		return nil
	}
	var warm string
	s.loop.Do(func(state *control.State, now time.Time) {
		warm = state.WarmEngine(call.GetChatKey(), call.GetEngine(), now)
	})
	if warm == "" {
		return nil
	}
	refused := refusal.NotRun(refusal.ChatElsewhere, 0, "the chat's context is at engine %s", warm)
	refused.BetterEngine = warm
	return refused
}

// forgetPlacement removes a chat from the directory once the chat's first engine has
// begun to answer a call. If another engine serves the chat, the entry daemon
// reports it.
func (s *Server) forgetPlacement(call *peerpb.Call) {
	if call.GetFirstEngine() != call.GetEngine() {
		return
	}
	s.loop.Do(func(state *control.State, _ time.Time) {
		state.Directory.Delete(call.GetChatKey())
	})
}

// markLeavingEngine marks an engine as leaving if it refused a call because it is
// draining, so that it gets no new work.
func (s *Server) markLeavingEngine(engine string, refused *refusal.Refusal) {
	if refused.Reason != refusal.EngineLeaving {
		return
	}
	s.loop.Do(func(state *control.State, now time.Time) {
		state.Health.RecordFinding(engine, health.Leaving, health.SourceRefusal, now)
	})
}

// newTargetCall returns the call to the engine at an address. The generation is that
// of the environment document in force.
func newTargetCall(call *peerpb.Call, address string, generation uint64) targetapi.Call {
	return targetapi.Call{
		Address:    address,
		RequestID:  call.GetRequestId(),
		Method:     call.GetMethod(),
		Path:       call.GetPath(),
		Headers:    call.GetHeaders(),
		Body:       call.GetBody(),
		Priority:   call.GetPriority(),
		Generation: generation,
		Repeatable: call.GetRepeatable(),
		Resume:     call.GetResume(),
	}
}

func sendBody(exchange Exchange, body []byte) error {
	data := &peerpb.Data{Body: body}
	if err := exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Data{Data: data}}); err != nil {
		return fmt.Errorf("send body to entry daemon: %w", err)
	}
	return sendEnd(exchange)
}

func sendEnd(exchange Exchange) error {
	return exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_End{End: &peerpb.End{}}})
}

func sendRefusal(exchange Exchange, refused *refusal.Refusal) error {
	return exchange.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Refusal{Refusal: refused.ToProto()}})
}
