package soak

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// TestCheckExchangeReportsViolations guards against a soak test that passes because
// checkExchange misses a violation.
func TestCheckExchangeReportsViolations(t *testing.T) {
	booking := callerExchange{id: "1", path: "/bookings/1", body: "order 1", status: http.StatusOK, complete: true, responseBody: "answer to 1"}
	newRun := func(change func(*standin.Execution)) *standin.Execution {
		modified := &standin.Execution{ID: "1", Method: http.MethodPost, URI: booking.path, Body: booking.body, Header: standin.WorkspaceHeader()}
		change(modified)
		return modified
	}
	good := newRun(func(*standin.Execution) {})
	newExchange := func(change func(*callerExchange)) callerExchange {
		modified := booking
		change(&modified)
		return modified
	}
	for _, test := range []struct {
		name       string
		exchange   callerExchange
		runs       []*standin.Execution
		violations int
	}{
		{"served", booking, []*standin.Execution{good}, 0},
		{"no response", newExchange(func(e *callerExchange) { e.status = 0 }), nil, 0},
		{"refused", newExchange(func(e *callerExchange) { e.status = 503 }), nil, 0},
		{"ran twice", booking, []*standin.Execution{good, good}, 1},
		{"repeatable request ran twice", newExchange(func(e *callerExchange) { e.repeatable = true }), []*standin.Execution{good, good}, 0},
		{"refused but ran", newExchange(func(e *callerExchange) { e.status = 503 }), []*standin.Execution{good}, 1},
		{"response to another request", newExchange(func(e *callerExchange) { e.responseBody = "answer to 2" }), []*standin.Execution{good}, 1},
		{"rejected as invalid", newExchange(func(e *callerExchange) { e.status = 404 }), nil, 1},
		{"target received another body", booking, []*standin.Execution{newRun(func(r *standin.Execution) { r.Body = "order 2" })}, 1},
		{"events of two software versions", newExchange(func(e *callerExchange) { e.versions = []string{"v1", "v2"} }), []*standin.Execution{good}, 1},
		{"target received no workspace", booking, []*standin.Execution{newRun(func(r *standin.Execution) { r.Header = http.Header{} })}, 1},
	} {
		t.Run(test.name, func(t *testing.T) { must.Len(t, test.violations, checkExchange(test.exchange, test.runs)) })
	}
}
