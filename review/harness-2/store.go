package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: lists, watches and conditional writes, as
// PROTOCOL.md describes them. It loses nothing and answers after 4 ms.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision int64
	objects  map[string]map[string]object
	history  []change
	// historyFrom is the revision of the last change that is gone from the history.
	historyFrom int64
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        int64    `json:"revision"`
	Created         int64    `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeleteRequested bool     `json:"deleteRequested"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	at      int64
	made    time.Time
}

// Figures of the store: PROTOCOL.md and the settings of the small deployments.
const (
	answerTime = 4 * time.Millisecond
	pageSize   = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
	historyFor = 20 * time.Second
)

func newStore() *store {
	s := &store{changed: make(chan struct{}), revision: 10, objects: make(map[string]map[string]object)}
	listener, err := net.Listen("tcp", "127.0.77.200:0")
	if err != nil {
		panic(err)
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.putRaw(kind, name, encoded)
}

// putRaw writes an object whose spec is encoded.
func (s *store) putRaw(kind, name string, spec json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, spec)
}

// write writes an object. The caller holds mu.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	before, exists := s.objects[kind][name]
	if exists && string(before.Spec) == string(spec) {
		return before
	}
	s.revision++
	written := object{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if exists {
		written.Metadata.Created = before.Metadata.Created
	}
	s.objects[kind][name] = written
	s.record(change{kind: kind, Object: written, at: s.revision})
	return written
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone, exists := s.objects[kind][name]
	if !exists {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone.Metadata.Revision = s.revision
	s.record(change{kind: kind, Object: gone, Deleted: true, at: s.revision})
}

// record adds a change to the history, which begins historyFor ago. The caller holds mu.
func (s *store) record(c change) {
	c.made = time.Now()
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	path, found := strings.CutPrefix(r.URL.Path, named("{internal}objects/"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		found, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, found)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.serveWrite(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		answer(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	body, err := io.ReadAll(r.Body)
	var sent object
	if err != nil || json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	before, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answer(w, http.StatusConflict, before)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != before.Metadata.Revision:
		answer(w, http.StatusConflict, before)
		return
	}
	answer(w, http.StatusOK, s.write(kind, name, sent.Spec))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	items, bytes := []object{}, 0
	for _, name := range names {
		listed := s.objects[kind][name]
		if len(items) > 0 && (len(items) == pageSize || bytes+len(listed.Spec) > pageBytes) {
			break
		}
		items, bytes = append(items, listed), bytes+len(listed.Spec)
	}
	answer(w, http.StatusOK, map[string]any{"items": items, named("{has-more}"): len(names) > len(items), named("{as-of}"): s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	milliseconds, _ := strconv.Atoi(r.URL.Query().Get(named("{wait}")))
	timer := time.NewTimer(time.Duration(milliseconds) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].made) > historyFor {
			s.historyFrom, s.history = s.history[0].at, s.history[1:]
		}
		if since < s.historyFrom {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []change{}
		for _, past := range s.history {
			if past.kind == kind && past.at > since {
				events = append(events, past)
			}
		}
		revisionNow, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, named("{as-of}"): revisionNow})
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

// route is a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, named("{path-prefix}"): prefix, named("{route-kind}"): kind, "timeoutMs": 10000, named("{latency}"): 600,
		"priority": 0, "service": service, named("{attempts}"): 2, named("{anonymous}"): false, "sticky": false, "resumable": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

const (
	host           = "ficu95.example"
	engines        = "huvo11a"
	application    = "wuno96b"
	workspace      = "hule930"
	workspaceKey   = "n2ctnfzs989anu6wsjnb"
	otherWorkspace = "bora514"
	otherKey       = "anfqasnmgkcuyj8pjbvk"
)

// putConfig writes a version of the configuration.
func (s *store) putConfig(version int, routes []map[string]any) {
	s.put("config", "main", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": engines, "healthPath": "/health", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 721508, "kvTokenBytes": 327680, "linkMbps": 1100000.0, "moves": true, "backups": true,
				"stride": 7, "most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}}}},
			{"name": application, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": false},
		},
		"limits":              map[string]any{"maxHeaderBytes": maxHeaderBytes, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		named("{workspace}s"): []map[string]any{{"name": workspace, named("{keys}"): []string{workspaceKey}, "priority": 1}, {"name": otherWorkspace, named("{keys}"): []string{otherKey}, "priority": 1}},
	})
}

// ordinaryRoutes are the routes of a small deployment.
func ordinaryRoutes() []map[string]any {
	return []map[string]any{
		route("drafts", "/lohu930/", "streaming", engines, map[string]any{"sticky": true, "resumable": true, named("{gap}"): 300, "timeoutMs": 12000}),
		route("answers", "/pufi791/", "streaming", engines, map[string]any{"sticky": true, named("{attempts}"): 1, named("{gap}"): 300}),
		route("bookings", "/puxa403/", "non_idempotent", application, map[string]any{named("{latency}"): 300, "timeoutMs": 2000, named("{attempts}"): 1, "priority": 2}),
		route("reads", "/cufi504/", "idempotent", application, map[string]any{named("{latency}"): 300, "timeoutMs": 2000, "priority": 2}),
	}
}

// entry returns a server's entry in the list of servers.
func (r *server) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": state,
		named("{cold-left}"): 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": 1, "born": r.born,
	}
}
