package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/pacing"
	"hemlockknot/platform"
)

// whole is an answer that has been read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// deliver sends a target's whole answer to the caller.
func (g *Gateway) deliver(t *journey, answer *whole) {
	copyHeader(t.w.Header(), platform.AnswerHeader(answer.header))
	t.firstByte = time.Now()
	t.w.WriteHeader(answer.status)
	_, _ = t.w.Write(answer.body)
}

// copyHeader sets the headers of an answer, and keeps net/http from adding a
// type of content that the target did not name.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, found := from["Content-Type"]; !found {
		to["Content-Type"] = nil
	}
}

// conclude gives the request its final answer.
func (g *Gateway) conclude(t *journey, verdict attempt.Verdict, event attempt.Event) {
	result := "delivered"
	switch {
	case verdict == attempt.Abort:
		g.finished(t, "aborted")
		panic(http.ErrAbortHandler) // closes the connection in mid-answer
	case verdict == attempt.Deliver && event == attempt.Answered:
	case t.failure != nil && !errors.Is(t.r.Context().Err(), context.Canceled):
		result = "failure_delivered"
		g.deliver(t, t.failure)
	case verdict == attempt.NotRun:
		result = "not_run"
		g.refuse(t.job, t.reason, pacing.ComeBack(shortage(event), time.Until(t.deadline)))
	case verdict == attempt.Timeout:
		result = "timed_out"
		g.answer(t.job, http.StatusGatewayTimeout, "may have run: out of time", 0)
	default:
		result = "unknown"
		g.answer(t.job, http.StatusBadGateway, "may have run: "+t.reason, 0)
	}
	g.finished(t, result)
}

// shortage returns why a request that has not run could not be served.
func shortage(event attempt.Event) pacing.Shortage {
	if event == attempt.Refused {
		return pacing.Full
	}
	return pacing.Gone
}

// finished writes the line and the counts of a request that has ended.
func (g *Gateway) finished(t *journey, result string) {
	var firstByte time.Duration
	if !t.firstByte.IsZero() {
		firstByte = t.firstByte.Sub(t.arrived)
	}
	g.metrics.answered(result, firstByte)
	fields := []any{
		"request", t.call.ID, "result", result, "route", t.route.Name, "service", t.service, "version", t.version,
		"tries", t.tries, "first_byte_ms", firstByte.Milliseconds(), "total_ms", time.Since(t.arrived).Milliseconds(),
	}
	if t.choice.Target != nil {
		fields = append(fields, "target", t.choice.Target.ID, "load", t.choice.Load, "mean_load", t.choice.Mean, "fetched", t.choice.FetchFrom != nil)
	}
	if home := t.choice.Home; home != nil && home != t.choice.Target {
		fields = append(fields, "home", home.ID, "home_draining", home.Draining, "home_load", t.choice.HomeLoad)
	}
	if result == "delivered" {
		g.log.Info("request", fields...)
		return
	}
	g.log.Warn("request", append(fields, "reason", t.reason)...)
}
