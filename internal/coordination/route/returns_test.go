package route

import (
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
)

// busy refuses a try in favour of another engine.
func busy(better string) *refusal.Refusal {
	refused := refusal.NotRun(refusal.EngineBusy, 0, "busy")
	refused.Better = better
	return refused
}

func TestBusyHomesSendARequestBackAFewTimes(t *testing.T) {
	path := New(Request{}, []string{"e1", "e2"})
	var tried []string
	var last Try
	for {
		try, refused := path.Next()
		if refused != nil {
			must.Eq(t, refusal.EngineBusy, refused.Reason)
			break
		}
		must.False(t, last.LastResort, must.Sprint("a try after the last resort"))
		tried, last = append(tried, try.Engine), try
		other := map[string]string{"e1": "e2", "e2": "e1"}
		path.Refused("home", busy(other[try.Engine]))
	}
	must.Eq(t, []string{"e1", "e2", "e1", "e2", "e1"}, tried)
	must.True(t, last.LastResort)
}

// A busy home may name an engine that it does not know to be leaving.
func TestRequestWaitsWhereItSpilledFromIfTheNamedEngineIsLeaving(t *testing.T) {
	path := New(Request{}, []string{"e1"})
	_, refused := path.Next()
	must.Nil(t, refused)
	path.Refused("home", busy("e2"))
	try, refused := path.Next()
	must.Nil(t, refused)
	must.Eq(t, "e2", try.Engine)
	path.Refused("home", refusal.NotRun(refusal.EngineLeaving, 0, "leaving"))
	try, refused = path.Next()
	must.Nil(t, refused)
	must.Eq(t, "e1", try.Engine)
	must.True(t, try.LastResort)
	path.Refused("home", busy(""))
	_, refused = path.Next()
	must.Eq(t, refusal.EngineBusy, refused.Reason)
}

func TestRequestEndsWhenNoHomeNamesABetterEngine(t *testing.T) {
	path := New(Request{}, []string{"e1"})
	try, refused := path.Next()
	must.Nil(t, refused)
	must.False(t, try.LastResort)
	path.Refused("home", busy(""))
	_, refused = path.Next()
	must.Eq(t, refusal.EngineBusy, refused.Reason)
}
