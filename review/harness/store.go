package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswerTime is how long an answer of the store takes, by the users' sheet.
const storeAnswerTime = 4 * time.Millisecond

// store is a stand-in of the platform's metadata store: objects, lists, watches, writes.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]storedObject // by kind and name
	history  []storedEvent
	changed  chan struct{} // closed and replaced at each change
}

type storedObject struct {
	Metadata storedMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storedMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type storedEvent struct {
	kind    string
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), revision: 1, objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(s.serve)}).Serve(listener) }()
	return s, nil
}

// put writes an object. When it returns, the store has acknowledged it.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
}

func (s *store) write(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	object := storedObject{storedMetadata{name, s.revision}, spec}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storedObject)
	}
	s.objects[kind][name] = object
	s.notify(storedEvent{kind: kind, Object: object})
	return object
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, found := s.objects[kind][name]
	if !found {
		return
	}
	s.revision++
	object.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.notify(storedEvent{kind: kind, Object: object, Deleted: true})
}

func (s *store) notify(event storedEvent) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswerTime)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, named("objects")), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind string) {
	var sent storedObject
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, exists := s.objects[kind][sent.Metadata.Name]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodPost && exists:
		w.WriteHeader(http.StatusConflict)
	default:
		writeJSON(w, s.write(kind, sent.Metadata.Name, sent.Spec))
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storedObject{}
	for _, object := range s.objects[kind] {
		items = append(items, object)
	}
	slices.SortFunc(items, func(a, b storedObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, map[string]any{"items": items, named("has-more"): false, named("as-of"): s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get(named("wait")))
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []storedEvent{}
		for _, event := range s.history {
			if event.kind == kind && event.Object.Metadata.Revision > since {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			writeJSON(w, map[string]any{"events": events, named("as-of"): revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
