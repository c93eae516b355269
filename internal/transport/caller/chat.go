package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/chat"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/state/environment"
)

// serveChat serves a chat completions request.
func (s *Server) serveChat(exchange *exchange) *refusal.Refusal {
	body, refused := s.readBody(exchange)
	if refused != nil {
		return refused
	}
	parsed, err := chat.Parse(body)
	if err != nil {
		return refusal.NotRun(refusal.MalformedRequest, 0, "%v", err)
	}
	service := exchange.snapshot.Document.ServiceByModel(parsed.Model)
	if service == nil {
		return refusal.NotRun(refusal.UnknownModel, 0, "no service offers the model %q", parsed.Model)
	}
	class, refused := requestClass(exchange)
	if refused != nil {
		return refused
	}
	call := newCall(exchange, service, class, body)
	call.Path = targetapi.PathChat
	call.Repeatable = true
	call.Stream = parsed.Stream
	call.ChatKey = chatKey(exchange, service, parsed)
	return s.serve(exchange, entry.Request{Call: call, Resumable: parsed.Stream, Cold: parsed.StartsChat(), Deadline: startDeadline(exchange, class)})
}

// chatKey returns the key of a request's chat. It is a hash of the name in the
// caller's header or, without a name, of the chat's first messages.
func chatKey(exchange *exchange, service *environment.Service, parsed *chat.Request) uint64 {
	name := exchange.r.Header.Get(HeaderChat)
	if name != "" {
		return control.ChatKey(exchange.workspace.Name, service.Name, name)
	}
	return ranking.Hash("opening", exchange.workspace.Name, service.Name, parsed.FirstMessages())
}

// requestClass returns the class that the request's header names, or else the class of
// the workspace, or else a class with the default deadline.
func requestClass(exchange *exchange) (*environment.Class, *refusal.Refusal) {
	name := exchange.r.Header.Get(HeaderClass)
	if name == "" {
		name = exchange.workspace.Class
	}
	class := exchange.snapshot.Document.Class(name)
	if class == nil && name != "" {
		return nil, refusal.NotRun(refusal.UnknownClass, 0, "the document has no class %q", name)
	}
	if class == nil {
		class = &environment.Class{Deadline: environment.Duration(environment.DefaultDeadline)}
	}
	return class, nil
}

// newCall returns the call that the entry daemon forwards for a request.
func newCall(exchange *exchange, service *environment.Service, class *environment.Class, body []byte) *peerpb.Call {
	return &peerpb.Call{
		RequestId:  exchange.id,
		Service:    service.Name,
		Workspace:  exchange.workspace.Name,
		Class:      class.Name,
		Priority:   class.Priority,
		Generation: exchange.snapshot.Generation,
		Method:     exchange.r.Method,
		Path:       exchange.r.URL.RequestURI(),
		Headers:    forwardedHeaders(exchange.r.Header),
		Body:       body,
	}
}

// startDeadline returns the time by which a request must have started.
func startDeadline(exchange *exchange, class *environment.Class) time.Time {
	return exchange.receivedAt.Add(time.Duration(class.Deadline))
}

// forwardedHeaderNames are the request headers that are forwarded to engines.
var forwardedHeaderNames = []string{"Accept", "Content-Type", "Idempotency-Key", "User-Agent"}

func forwardedHeaders(header http.Header) []*peerpb.Header {
	var headers []*peerpb.Header
	for _, name := range forwardedHeaderNames {
		for _, value := range header.Values(name) {
			headers = append(headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	return headers
}

// serve routes a request and writes its answer, or returns the refusal to write.
func (s *Server) serve(exchange *exchange, request entry.Request) *refusal.Refusal {
	sink := newSink(exchange, s.limits.WriteTimeout)
	refused := s.route(exchange.r.Context(), exchange, request, sink)
	return s.finishAnswer(exchange, sink, refused)
}

// route routes a request to an engine, whose answer goes to the sink.
func (s *Server) route(ctx context.Context, exchange *exchange, request entry.Request, sink *sink) *refusal.Refusal {
	s.metrics.CountRequest(request.Call.GetService())
	attempts, refused := s.router.Serve(ctx, request, sink)
	if len(attempts) > 0 {
		exchange.lastAttempt = attempts[len(attempts)-1]
	}
	s.log.Debug("request routed", "request", exchange.id, "workspace", exchange.workspace.Name, "trace", attempts)
	return cutRefusal(ctx, refused)
}

// finishAnswer completes an answer. If the request was refused after a part of the
// answer had been written, it ends the answer with an error event; if nothing has been
// written, it returns the refusal.
func (s *Server) finishAnswer(exchange *exchange, sink *sink, refused *refusal.Refusal) *refusal.Refusal {
	if refused != nil && sink.headWritten {
		s.metrics.CountRefusal(refused.Reason)
		s.logRefusal("answer interrupted", exchange, refused)
		sink.writeErrorEvent(refused)
		return nil
	}
	if refused != nil {
		return refused
	}
	sink.writeBuffered()
	return nil
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// serveModels serves the list of models of the document in force.
func (s *Server) serveModels(exchange *exchange) *refusal.Refusal {
	list := modelList{Object: "list", Data: []model{}}
	for _, service := range exchange.snapshot.Document.Services {
		for _, name := range service.Models {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: service.Name})
		}
	}
	exchange.w.Header().Set("Content-Type", "application/json")
	exchange.w.Header().Set(refusal.HeaderRequestID, exchange.id)
	_ = json.NewEncoder(exchange.w).Encode(list)
	return nil
}
