package caller

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/claim"
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/ledger"
)

// Headers of calls with an idempotency key.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks the stored answer of an earlier request with the same key.
	HeaderReplayed = "X-Hemlockknot-Replayed"
)

// maxKeyBytes is the length of the longest idempotency key.
const maxKeyBytes = 255

// keyedCallTimeout limits a call with an idempotency key. The call continues after its
// caller disconnects, so that a repeated request can get the stored answer.
const keyedCallTimeout = 5 * time.Minute

// serveKeyed serves a call with an idempotency key. The call runs at most once for that
// key.
func (s *Server) serveKeyed(exchange *exchange, request entry.Request, keys []string) *refusal.Refusal {
	call := request.Call
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return refusal.NotRun(refusal.MalformedRequest, 0, "%s: one value of 1 to %d bytes is allowed", HeaderIdempotencyKey, maxKeyBytes)
	}
	handle, recorded, refused := s.claims.Acquire(claim.Key{
		ID:          claim.ID(call.GetWorkspace(), call.GetService(), keys[0]),
		Fingerprint: claim.Fingerprint(call.GetMethod(), call.GetPath(), call.GetBody()),
	})
	if refused != nil {
		return refused
	}
	sink := newSink(exchange, s.limits.WriteTimeout)
	if recorded != nil {
		s.replay(exchange, sink, recorded)
		return nil
	}
	ctx, cut := context.WithCancelCause(context.WithoutCancel(exchange.r.Context()))
	endCut := cutByStop(exchange.r.Context(), cut)
	defer endCut()
	defer cut(nil)
	ctx, cancel := context.WithTimeout(ctx, keyedCallTimeout)
	defer cancel()
	request.MayStart = handle.AllowStart
	refused = s.route(ctx, exchange, request, sink)
	if refused != nil {
		return s.finishAnswer(exchange, sink, handle.Fail(refused))
	}
	handle.Finish(sink.recordedAnswer())
	return s.finishAnswer(exchange, sink, nil)
}

// replay writes the stored answer of an earlier request.
func (s *Server) replay(exchange *exchange, sink *sink, recorded *ledger.Answer) {
	s.metrics.CountReplay()
	exchange.w.Header().Set(HeaderReplayed, "true")
	var headers []*peerpb.Header
	for _, header := range recorded.Headers {
		headers = append(headers, &peerpb.Header{Name: header.Name, Value: header.Value})
	}
	_ = sink.Head(recorded.Status, headers)
	_ = sink.Body(recorded.Body)
	sink.writeBuffered()
}

// recordedAnswer returns the buffered answer in the form in which a claim stores it, or
// nil for a stream.
func (s *sink) recordedAnswer() *ledger.Answer {
	if s.headWritten {
		return nil
	}
	answer := &ledger.Answer{Status: s.status, Body: s.body}
	for _, header := range s.headers {
		answer.Headers = append(answer.Headers, ledger.Header{Name: header.GetName(), Value: header.GetValue()})
	}
	return answer
}
