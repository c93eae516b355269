package soak

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// The soak is worth what its judge sees.
func TestJudgeSeesWhatIsBroken(t *testing.T) {
	booking := request{id: "1", path: "/bookings/1", body: "order 1", status: http.StatusOK, whole: true, text: "answer to 1"}
	run := func(change func(*standin.Run)) *standin.Run {
		made := &standin.Run{ID: "1", Method: http.MethodPost, URI: booking.path, Body: booking.body, Header: standin.ToldWorkspace()}
		change(made)
		return made
	}
	good := run(func(*standin.Run) {})
	changed := func(change func(*request)) request {
		made := booking
		change(&made)
		return made
	}
	for _, test := range []struct {
		name   string
		asked  request
		runs   []*standin.Run
		faults int
	}{
		{"served", booking, []*standin.Run{good}, 0},
		{"lost", changed(func(r *request) { r.status = 0 }), nil, 0},
		{"refused", changed(func(r *request) { r.status = 503 }), nil, 0},
		{"ran twice", booking, []*standin.Run{good, good}, 1},
		{"may run twice", changed(func(r *request) { r.repeatable = true }), []*standin.Run{good, good}, 0},
		{"refused and ran", changed(func(r *request) { r.status = 503 }), []*standin.Run{good}, 1},
		{"another's answer", changed(func(r *request) { r.text = "answer to 2" }), []*standin.Run{good}, 1},
		{"rejected", changed(func(r *request) { r.status = 404 }), nil, 1},
		{"changed body", booking, []*standin.Run{run(func(r *standin.Run) { r.Body = "order 2" })}, 1},
		{"another workspace", booking, []*standin.Run{run(func(r *standin.Run) { r.Header = http.Header{} })}, 1},
	} {
		t.Run(test.name, func(t *testing.T) { must.Len(t, test.faults, judgeOne(test.asked, test.runs)) })
	}
}
