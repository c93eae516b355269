package route

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

var errLost = errors.New("connection lost")

// step is something that happens to a request, and the engine of the next try;
// an empty engine means that the request has ended.
type step struct {
	happens func(*Route)
	engine  string
	resume  bool
}

func refuseBusy(r *Route) {
	r.Refused("home", refusal.NotRun(refusal.EngineBusy, 1, "busy"))
}

func lostBefore(r *Route) { r.HomeFailed("home", errLost) }

func lostAfterSending(r *Route) {
	r.Sent()
	r.HomeFailed("home", errLost)
}

func lostInMidStream(r *Route) {
	r.Sent()
	r.Started()
	r.Progress(7)
	r.HomeFailed("home", errLost)
}

func failed(r *Route) {
	r.Refused("home", refusal.Unknown(refusal.EngineFailed, "lost the answer"))
}

func stopping(r *Route) {
	r.Refused("home", refusal.NotRun(refusal.Stopping, 1, "stopping"))
}

func TestRoute(t *testing.T) {
	chat := Request{Repeatable: true, Resumable: true}
	lookup := Request{Repeatable: true}
	booking := Request{}
	for _, test := range []struct {
		name    string
		request Request
		steps   []step
		outcome string // of the final refusal; empty: none yet
	}{
		{"a busy engine spills", chat, []step{{refuseBusy, "b", false}}, ""},
		{"all engines busy", chat, []step{{refuseBusy, "b", false}, {refuseBusy, "c", false}, {refuseBusy, "", false}}, "not_run"},
		{"an unreachable home keeps the engine", booking, []step{{lostBefore, "a", false}}, ""},
		{"a stopping home keeps the engine", booking, []step{{stopping, "a", false}}, ""},
		{"a booking lost after its start ends", booking, []step{{lostAfterSending, "", false}}, "unknown"},
		{"a lookup lost after its start goes on", lookup, []step{{lostAfterSending, "a", false}}, ""},
		{"a failed booking ends", booking, []step{{failed, "", false}}, "unknown"},
		{"a failed lookup goes elsewhere", lookup, []step{{failed, "b", false}}, ""},
		{"not run after a run that may have been is unknown", lookup,
			[]step{{failed, "b", false}, {refuseBusy, "c", false}, {refuseBusy, "", false}}, "unknown"},
		{"a stream resumes", chat, []step{{lostInMidStream, "a", true}}, ""},
		{"a chat lost after sending may have started", chat, []step{{lostAfterSending, "a", true}}, ""},
		{"a stream that its engine lost ends", chat, []step{{lostInMidStream, "a", true}, {refuseBusy, "", false}}, "unknown"},
		{"homes are lost too often", chat,
			[]step{{lostBefore, "a", false}, {lostBefore, "a", false}, {lostBefore, "a", false}, {lostBefore, "", false}}, "not_run"},
	} {
		t.Run(test.name, func(t *testing.T) {
			route := New(test.request, []string{"a", "b", "c"})
			_, refused := route.Next()
			must.Nil(t, refused)
			for _, step := range test.steps {
				step.happens(route)
				var try Try
				try, refused = route.Next()
				must.Eq(t, step.engine, try.Engine)
				must.Eq(t, step.resume, try.Resume != nil)
			}
			if test.outcome == "" {
				must.Nil(t, refused)
				return
			}
			must.NotNil(t, refused)
			must.Eq(t, test.outcome, refused.OutcomeText())
		})
	}
}

func TestRoutePrefersTheHomesCandidate(t *testing.T) {
	route := New(Request{Repeatable: true}, []string{"a", "b", "c"})
	_, refused := route.Next()
	must.Nil(t, refused)
	busy := refusal.NotRun(refusal.EngineBusy, 1, "busy")
	busy.Better = "c"
	route.Refused("home", busy)
	try, refused := route.Next()
	must.Nil(t, refused)
	must.Eq(t, "c", try.Engine)
	must.False(t, try.LastResort)
}

// A redirect is no refusal by the first engine: it stays a candidate and uses up
// no try.
func TestRedirectKeepsTheFirstEngine(t *testing.T) {
	r := New(Request{Repeatable: true}, []string{"e1", "e2", "e3", "e4"})
	try, _ := r.Next()
	must.Eq(t, Try{Engine: "e1"}, try)
	elsewhere := refusal.NotRun(refusal.ChatElsewhere, 0, "")
	elsewhere.Better = "e3"
	r.Refused("d1", elsewhere)
	for _, want := range []Try{
		{Engine: "e3", Located: true, Warm: true},
		{Engine: "e2", Located: true},
		{Engine: "e4", Located: true},
		{Engine: "e1", Located: true},
	} {
		try, refused := r.Next()
		must.Nil(t, refused)
		must.Eq(t, want, try)
		r.Refused("d2", refusal.NotRun(refusal.EngineBusy, time.Second, ""))
	}
	_, refused := r.Next()
	must.Eq(t, refusal.EngineBusy, refused.Reason)
}

func TestRecommendedEngineComesNext(t *testing.T) {
	for _, test := range []struct{ name, better, next string }{
		{"a candidate", "e3", "e3"},
		{"not yet a candidate", "e9", "e9"},
		{"none", "", "e2"},
		{"the one that refused", "e1", "e2"},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := New(Request{Repeatable: true}, []string{"e1", "e2", "e3"})
			_, _ = r.Next()
			busy := refusal.NotRun(refusal.EngineBusy, time.Second, "")
			busy.Better = test.better
			r.Refused("d1", busy)
			try, refused := r.Next()
			must.Nil(t, refused)
			must.Eq(t, test.next, try.Engine)
			r.Refused("d1", busy)
			try, _ = r.Next()
			must.NotEq(t, test.next, try.Engine)
		})
	}
}
