package route

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

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
		{Engine: "e1", Located: true, LastResort: true},
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
