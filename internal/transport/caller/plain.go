package caller

import (
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/refusal"
)

// servePlain serves a call to a plain service. Unless the document declares the call
// repeatable, the home daemon dispatches it only with the permission of the entry
// daemon, and a call with an idempotency key only after the key has been claimed.
func (s *Server) servePlain(exchange *exchange) *refusal.Refusal {
	service := exchange.snapshot.Document.ServiceByPath(exchange.r.URL.Path)
	if service == nil {
		return refusal.NotRun(refusal.UnknownPath, 0, "no service is at %s", exchange.r.URL.Path)
	}
	class, refused := requestClass(exchange)
	if refused != nil {
		return refused
	}
	body, refused := s.readBody(exchange)
	if refused != nil {
		return refused
	}
	call := newCall(exchange, service, class, body)
	call.Repeatable = service.IsRepeatable(exchange.r.Method, exchange.r.URL.Path)
	call.AskStart = !call.Repeatable
	// A key made from the request's id spreads the calls over the engines.
	call.ChatKey = ranking.Hash("call", exchange.id)
	request := entry.Request{Call: call, Cold: true, Deadline: startDeadline(exchange, class)}
	if keys := exchange.r.Header.Values(HeaderIdempotencyKey); len(keys) > 0 && !call.Repeatable {
		return s.serveKeyed(exchange, request, keys)
	}
	return s.serve(exchange, request)
}
