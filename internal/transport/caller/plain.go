package caller

import (
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/refusal"
)

// plain serves a call of a plain service. A call that the document does not
// name as repeatable is dispatched with the entry's permission only, and if it
// has an idempotency key, after the key has been claimed.
func (s *Server) plain(exchange *exchange) *refusal.Refusal {
	service := exchange.snapshot.Document.ServiceByPath(exchange.r.URL.Path)
	if service == nil {
		return refusal.NotRun(refusal.UnknownPath, 0, "no service is at %s", exchange.r.URL.Path)
	}
	class, refused := classOf(exchange)
	if refused != nil {
		return refused
	}
	body, refused := s.readBody(exchange)
	if refused != nil {
		return refused
	}
	call := newCall(exchange, service, class, body)
	call.Repeatable = service.MayRepeat(exchange.r.Method, exchange.r.URL.Path)
	call.AskStart = !call.Repeatable
	// The request's own id spreads the calls over the engines.
	call.ChatKey = ranking.Hash("call", exchange.id)
	request := entry.Request{Call: call, Opening: true, Deadline: deadline(exchange, class)}
	if keys := exchange.r.Header.Values(HeaderIdempotencyKey); len(keys) > 0 && !call.Repeatable {
		return s.keyed(exchange, request, keys)
	}
	return s.serve(exchange, request)
}
