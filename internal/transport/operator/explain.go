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
	// Request is what became of the request; nil if a chat was asked for.
	Request *trace.Request `json:"request,omitempty"`
	// Candidates are the engines that the chat would try now, best first.
	Candidates []control.Candidate `json:"candidates"`
}

// explainRequest explains a request that this daemon took in.
func (h *handler) explainRequest(w http.ResponseWriter, r *http.Request) {
	request := h.Traces.Find(r.PathValue("request"))
	if request == nil {
		http.Error(w, "this daemon remembers no request of that id", http.StatusNotFound)
		return
	}
	explanation := Explanation{Service: request.Service, Workspace: request.Workspace, ChatKey: request.ChatKey, Request: request}
	h.explain(w, explanation)
}

// explainChat explains where a chat would go now.
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
	h.explain(w, Explanation{
		Service:   service.Name,
		Workspace: workspace.Name,
		ChatKey:   control.ChatKey(workspace.Name, service.Name, query.Get("chat")),
	})
}

func (h *handler) explain(w http.ResponseWriter, explanation Explanation) {
	h.Loop.Do(func(state *control.State, now time.Time) {
		explanation.Daemon = state.Members.Self().GetName()
		explanation.Candidates = state.Explain(explanation.Service, explanation.ChatKey, now)
		if state.Snapshot != nil {
			explanation.Generation = state.Snapshot.Generation
		}
	})
	writeJSON(w, explanation)
}
