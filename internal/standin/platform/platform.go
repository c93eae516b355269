// Package platform is an in-memory fake of the platform's object API, for tests and
// the demo. It can inject faults.
package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockknot/internal/standin/control"
	api "hemlockknot/internal/state/platform"
)

// Fault holds the faults to inject. The zero value injects none.
type Fault struct {
	// Outage closes every connection without a response.
	Outage bool `json:"outage"`
	// DelayMS delays every call.
	DelayMS int `json:"delay_ms"`
	// StaleReads makes reads return the state from before the last write.
	StaleReads bool `json:"stale_reads"`
	// DropResponses is the number of writes that take effect but whose responses are
	// dropped.
	DropResponses int `json:"lose_answers"`
	// SilenceWatches makes each watch that has a change to send stay open until its
	// timeout without sending this change or any later one.
	SilenceWatches bool `json:"mute_watches"`
}

// Server is the fake platform.
type Server struct {
	mu           sync.Mutex
	changed      chan struct{} // closed and replaced at each write and each new fault
	version      uint64
	objects      map[string]map[string]api.Object // by kind and name
	staleObjects map[string]map[string]api.Object // state from before the last write
	changeLog    []change
	callCounts   map[string]int
	fault        Fault
}

type change struct {
	version uint64
	kind    string
	event   api.Event
}

// New returns a fake platform without objects.
func New() *Server {
	return &Server{
		changed:      make(chan struct{}),
		objects:      make(map[string]map[string]api.Object),
		staleObjects: make(map[string]map[string]api.Object),
		callCounts:   make(map[string]int),
	}
}

// Handler serves the object API, and the endpoints for tests under /standin/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+api.BasePath+"/{kind}", s.withFaults("list", s.list))
	mux.HandleFunc("POST "+api.BasePath+"/{kind}", s.withFaults("create", s.create))
	mux.HandleFunc("GET "+api.BasePath+"/{kind}/{name}", s.withFaults("get", s.get))
	mux.HandleFunc("PUT "+api.BasePath+"/{kind}/{name}", s.withFaults("update", s.update))
	mux.HandleFunc("DELETE "+api.BasePath+"/{kind}/{name}", s.withFaults("delete", s.remove))
	mux.HandleFunc("POST /standin/fault", control.FaultHandler(s.setFault))
	mux.HandleFunc("GET /standin/calls", s.getCallCounts)
	return mux
}

// withFaults wraps an API handler. It counts the call under the operation and applies
// delays and outages.
func (s *Server) withFaults(operation string, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		if r.URL.Query().Get("watch") == "true" {
			operation = "watch"
		}
		s.callCounts[operation]++
		s.mu.Unlock()
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
		if fault.Outage {
			panic(http.ErrAbortHandler)
		}
		handler(w, r)
	}
}

func (s *Server) setFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.notifyWatchers()
}

func (s *Server) getCallCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.callCounts)
}

// notifyWatchers wakes the open watches.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// readableObjects returns the objects that reads return, by kind and name.
func (s *Server) readableObjects() map[string]map[string]api.Object {
	if s.fault.StaleReads {
		return s.staleObjects
	}
	return s.objects
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	if r.URL.Query().Get("watch") == "true" {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := api.List{Items: []api.Object{}}
	list.Metadata.ResourceVersion = fmt.Sprint(s.version)
	for _, object := range s.readableObjects()[kind] {
		list.Items = append(list.Items, object)
	}
	slices.SortFunc(list.Items, func(a, b api.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.readableObjects()[r.PathValue("kind")][r.PathValue("name")]
	if !ok {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	object, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.objects[kind][object.Metadata.Name]; exists {
		http.Error(w, "already exists", http.StatusConflict)
		return
	}
	object.Metadata.Generation = 1
	s.respondToWrite(w, http.StatusCreated, s.storeObject(kind, "ADDED", object))
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	kind := r.PathValue("kind")
	object, ok := decodeObject(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][r.PathValue("name")]
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	if object.Metadata.ResourceVersion != current.Metadata.ResourceVersion {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	object.Metadata.Name = current.Metadata.Name
	object.Metadata.Generation = current.Metadata.Generation + 1
	s.respondToWrite(w, http.StatusOK, s.storeObject(kind, "MODIFIED", object))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	kind, name := r.PathValue("kind"), r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	object, exists := s.objects[kind][name]
	if !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.saveStaleObjects()
	delete(s.objects[kind], name)
	s.version++
	object.Metadata.ResourceVersion = fmt.Sprint(s.version)
	s.changeLog = append(s.changeLog, change{s.version, kind, api.Event{Type: "DELETED", Object: object}})
	s.notifyWatchers()
	s.respondToWrite(w, http.StatusOK, object)
}

// storeObject stores an object under a new resource version and records the change.
func (s *Server) storeObject(kind, event string, object api.Object) api.Object {
	s.saveStaleObjects()
	s.version++
	object.Metadata.ResourceVersion = fmt.Sprint(s.version)
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]api.Object)
	}
	s.objects[kind][object.Metadata.Name] = object
	s.changeLog = append(s.changeLog, change{s.version, kind, api.Event{Type: event, Object: object}})
	s.notifyWatchers()
	return object
}

// saveStaleObjects copies the objects before a write, for stale reads after it.
func (s *Server) saveStaleObjects() {
	s.staleObjects = make(map[string]map[string]api.Object)
	for kind, objects := range s.objects {
		s.staleObjects[kind] = make(map[string]api.Object)
		for name, object := range objects {
			s.staleObjects[kind][name] = object
		}
	}
}

// respondToWrite responds to a write that has taken effect, or drops the response if
// that fault is set.
func (s *Server) respondToWrite(w http.ResponseWriter, status int, object api.Object) {
	if s.fault.DropResponses > 0 {
		s.fault.DropResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, object)
}

// watch streams the changes of a kind after a resource version until the watch's
// timeout.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, kind string) {
	version, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		http.Error(w, "resourceVersion: "+err.Error(), http.StatusBadRequest)
		return
	}
	seconds, err := strconv.Atoi(r.URL.Query().Get("timeoutSeconds"))
	if err != nil {
		http.Error(w, "timeoutSeconds: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(seconds) * time.Second)
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	silenced := false
	for {
		changes, changed, fault := s.changesAfter(kind, version)
		if fault.Outage {
			panic(http.ErrAbortHandler)
		}
		silenced = silenced || (fault.SilenceWatches && len(changes) > 0)
		if silenced {
			changes = nil
		}
		for _, change := range changes {
			_ = encoder.Encode(change.event)
			version = change.version
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-timeout:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a kind after a resource version, the channel
// that is closed at the next change, and the current fault.
func (s *Server) changesAfter(kind string, version uint64) ([]change, <-chan struct{}, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []change
	for _, entry := range s.changeLog {
		if entry.kind == kind && entry.version > version {
			changes = append(changes, entry)
		}
	}
	return changes, s.changed, s.fault
}

func decodeObject(w http.ResponseWriter, r *http.Request) (api.Object, bool) {
	var object api.Object
	if err := json.NewDecoder(r.Body).Decode(&object); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return object, false
	}
	return object, true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
