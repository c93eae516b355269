// Package home serves forwarded calls as the home daemon of their engine: it
// admits a call, asks the entry daemon for its permission where that is
// needed, dispatches the call to the engine and streams the answer back.
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

// Link is the home daemon's end of one exchange. The drpc server stream
// satisfies it, and so does an in-process pipe.
type Link interface {
	Context() context.Context
	Send(*peerpb.ForwardDown) error
	Recv() (*peerpb.ForwardUp, error)
}

// Server serves forwarded calls.
type Server struct {
	loop          *control.Loop
	targets       targetapi.Caller
	failureDomain string // this daemon's

	mu       sync.Mutex
	draining bool
	active   sync.WaitGroup // exchanges in progress
}

// New returns the server of a daemon of a failure domain. It dispatches through
// targets.
func New(loop *control.Loop, targets targetapi.Caller, failureDomain string) *Server {
	return &Server{loop: loop, targets: targets, failureDomain: failureDomain}
}

// Serve handles one exchange. The error is that of the link; what becomes of
// the call itself is said on the link.
func (s *Server) Serve(link Link) error {
	if !s.begin() {
		return refuse(link, refusal.NotRun(refusal.Stopping, time.Second, "the home daemon is stopping"))
	}
	defer s.active.Done()
	first, err := link.Recv()
	if err != nil {
		return fmt.Errorf("receive call: %w", err)
	}
	call := first.GetCall()
	if call == nil {
		return refuse(link, refusal.NotRun(refusal.Internal, 0, "the first message of an exchange is no call"))
	}
	return s.serveCall(link, call)
}

// begin counts an exchange as in progress, unless the daemon is stopping.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.active.Add(1)
	return true
}

// Drain refuses new exchanges and waits for those in progress.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	drained := make(chan struct{})
	go func() {
		s.active.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) serveCall(link Link, call *peerpb.Call) error {
	snapshot := s.loop.Snapshot()
	if snapshot == nil {
		return refuse(link, refusal.NotRun(refusal.NotReady, time.Second, "no document is in force"))
	}
	engine := snapshot.Document.Engine(call.GetEngine())
	if engine == nil {
		return refuse(link, refusal.NotRun(refusal.EngineUnknown, 0, "engine %s is not in the document", call.GetEngine()))
	}
	if refused := s.redirect(call); refused != nil {
		return refuse(link, refused)
	}
	ticket, refused := s.admit(link.Context(), call)
	if refused != nil {
		return link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Refusal{Refusal: refused}})
	}
	release := sync.OnceFunc(func() { s.loop.Release(ticket) })
	defer release()
	link = releasing{link, release}
	if refused := askStart(link, call); refused != nil {
		return refuse(link, refused)
	}
	return s.dispatch(link, call, snapshot.Document.AddressFor(engine, s.failureDomain), snapshot.Generation)
}

// releasing gives a call's place back before its end is told: a caller that
// returns at once finds its former request no longer counted.
type releasing struct {
	Link
	release func()
}

// Send passes a message on to the entry.
func (r releasing) Send(message *peerpb.ForwardDown) error {
	if message.GetEnd() != nil || message.GetRefusal() != nil {
		r.release()
	}
	return r.Link.Send(message)
}

// admit asks for admission, with the counts that the call brings along. A busy
// home answers with its own counts, so that the next home of the request knows
// the service's load, however fast it has risen.
func (s *Server) admit(ctx context.Context, call *peerpb.Call) (admission.Ticket, *peerpb.Refusal) {
	if len(call.GetLoads()) > 0 {
		s.loop.Do(func(state *control.State, now time.Time) { state.MergeLoads(call.GetLoads(), now) })
	}
	ticket, refused := s.loop.Admit(ctx, admissionRequest(call))
	if refused == nil {
		return ticket, nil
	}
	message := refused.Message()
	if refused.Reason == refusal.EngineBusy {
		s.loop.Do(func(state *control.State, _ time.Time) { message.Load = state.OwnLoad() })
	}
	return 0, message
}

func admissionRequest(call *peerpb.Call) admission.Request {
	wait := time.Duration(call.GetDeadlineMs()) * time.Millisecond
	return admission.Request{
		ID:         call.GetRequestId(),
		Service:    call.GetService(),
		Engine:     call.GetEngine(),
		Workspace:  call.GetWorkspace(),
		Priority:   call.GetPriority(),
		Deadline:   time.Now().Add(wait),
		LastResort: call.GetLastResort(),
		Warm:       call.GetWarm(),
		Resumed:    call.GetResume() != nil,
	}
}

// permissionLife is how long after the question a permission is good. A daemon
// that was paused longer does not dispatch the call.
const permissionLife = 10 * time.Second

// askStart asks the entry daemon for permission to dispatch a call that must
// not be repeated. Without it nothing runs, so an entry that has not given it
// knows that the call did not run, whatever becomes of this daemon.
func askStart(link Link, call *peerpb.Call) *refusal.Refusal {
	if !call.GetAskStart() {
		return nil
	}
	asked := time.Now()
	ask := &peerpb.ForwardDown{Body: &peerpb.ForwardDown_AskStart{AskStart: &peerpb.AskStart{}}}
	if err := link.Send(ask); err != nil {
		return refusal.NotRun(refusal.StartDenied, 0, "ask entry for permission: %v", err)
	}
	answer, err := link.Recv()
	if err != nil {
		return refusal.NotRun(refusal.StartDenied, 0, "receive permission: %v", err)
	}
	if !answer.GetPermission().GetGranted() {
		return refusal.NotRun(refusal.StartDenied, 0, "the entry denied permission")
	}
	if age := time.Since(asked); age > permissionLife {
		return refusal.NotRun(refusal.StartDenied, 0, "the permission came after %s", age)
	}
	return nil
}

// relayBody passes on an answer that is no stream.
func relayBody(link Link, call *peerpb.Call, answer *targetapi.Answer) error {
	if err := sendStart(link, call.GetEngine(), answer); err != nil {
		return fmt.Errorf("start answer of request %s: %w", call.GetRequestId(), err)
	}
	return sendBody(link, answer.Body)
}

// sendStart tells the entry that the engine has started to answer.
func sendStart(link Link, engine string, answer *targetapi.Answer) error {
	started := &peerpb.Started{Engine: engine}
	if err := link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Started{Started: started}}); err != nil {
		return err
	}
	head := &peerpb.Head{Status: uint32(answer.Status), Headers: answer.Headers}
	return link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Head{Head: head}})
}

// redirect refuses a call at its chat's first engine when the chat is known to
// be warm at another engine.
func (s *Server) redirect(call *peerpb.Call) *refusal.Refusal {
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
	refused.Better = warm
	return refused
}

// noteServed forgets where a chat was elsewhere once its first engine has served
// it. Where it is elsewhere, the entry says.
func (s *Server) noteServed(call *peerpb.Call) {
	if call.GetFirstEngine() != call.GetEngine() {
		return
	}
	s.loop.Do(func(state *control.State, _ time.Time) {
		state.Directory.Forget(call.GetChatKey())
	})
}

// noteRefusal takes an engine that says it is draining out of use.
func (s *Server) noteRefusal(engine string, refused *refusal.Refusal) {
	if refused.Reason != refusal.EngineLeaving {
		return
	}
	s.loop.Do(func(state *control.State, now time.Time) {
		state.Health.Note(engine, health.Leaving, health.SourceRefusal, now)
	})
}

func targetCall(call *peerpb.Call, address string, generation uint64) targetapi.Call {
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

func sendBody(link Link, body []byte) error {
	data := &peerpb.Data{Body: body}
	if err := link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Data{Data: data}}); err != nil {
		return fmt.Errorf("send body to entry: %w", err)
	}
	return sendEnd(link)
}

func sendEnd(link Link) error {
	return link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_End{End: &peerpb.End{}}})
}

func refuse(link Link, refused *refusal.Refusal) error {
	return link.Send(&peerpb.ForwardDown{Body: &peerpb.ForwardDown_Refusal{Refusal: refused.Message()}})
}
