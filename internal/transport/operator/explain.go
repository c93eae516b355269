package operator

import (
	"net/http"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/trace"
)

// Explanation is the answer to GET /explain/REQUEST and to
// GET /explain?model=M&workspace=W&chat=C.
type Explanation struct {
	Daemon     string `json:"daemon"`
	Generation uint64 `json:"generation"` // of the document in force now
	Service    string `json:"service"`
	Workspace  string `json:"workspace"`
	ChatKey    uint64 `json:"chat_key,string"`
	// Request is the record of the request; nil if the query names a chat.
	Request *trace.Record `json:"request,omitempty"`
	// Candidates are the service's engines in the order in which the entry daemon would
	// now try them for the chat. Engines that it would not try come last.
	Candidates []control.Candidate `json:"candidates"`
}

// explainRequest explains the routing of a request that this daemon received from its
// caller.
func (h *handler) explainRequest(w http.ResponseWriter, r *http.Request) {
	request := h.Traces.Find(r.PathValue("request"))
	if request == nil {
		http.Error(w, "this daemon remembers no request of that id", http.StatusNotFound)
		return
	}
	explanation := Explanation{Service: request.Service, Workspace: request.Workspace, ChatKey: request.ChatKey, Request: request}
	h.writeExplanation(w, explanation)
}

// explainChat explains to which engine a request of a chat would be routed now.
func (h *handler) explainChat(w http.ResponseWriter, r *http.Request) {
	snapshot := h.Loop.Snapshot()
	if snapshot == nil {
		http.Error(w, "no document is in force yet", http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	service := snapshot.Document.ServiceByModel(query.Get("model"))
	workspace := snapshot.Document.Workspace(query.Get("workspace"))
	if service == nil || workspace == nil {
		http.Error(w, "the document has no such model or workspace", http.StatusNotFound)
		return
	}
	h.writeExplanation(w, Explanation{
		Service:   service.Name,
		Workspace: workspace.Name,
		ChatKey:   control.ChatKey(workspace.Name, service.Name, query.Get("chat")),
	})
}

// writeExplanation adds the daemon's current state to an explanation and writes it.
func (h *handler) writeExplanation(w http.ResponseWriter, explanation Explanation) {
	h.Loop.Do(func(state *control.State, now time.Time) {
		explanation.Daemon = state.Members.Self().GetName()
		explanation.Candidates = state.Explain(explanation.Service, explanation.ChatKey, now)
		if state.Snapshot != nil {
			explanation.Generation = state.Snapshot.Generation
		}
	})
	writeJSON(w, explanation)
}
