package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beat is the interval between two heartbeats of a target; an entry expires after three of silence.
const (
	beat        = 1200 * time.Millisecond
	missedBeats = 3
	pageSize    = 50
)

// object is an object of the platform's store.
type object struct {
	name     string
	revision int64
	spec     json.RawMessage
	status   json.RawMessage
	lastBeat time.Time // of an entry of kind servers
}

type event struct {
	kind    string
	object  object
	deleted bool
}

// Store is a stand-in for the platform's store, as PROTOCOL.md and the news pages describe it.
type Store struct {
	record *Record
	addr   string

	mu       sync.Mutex
	changed  chan struct{}
	conns    map[net.Conn]struct{}
	away     bool
	era      int64
	revision int64
	oldest   int64 // lowest revision that a watch may start from
	objects  map[string]map[string]object
	history  []event
	calls    int
}

// Copy is the content of the store at a time.
type Copy struct {
	revision int64
	objects  map[string]map[string]object
	at       time.Time
}

func startStore(addr string, record *Record) *Store {
	s := &Store{record: record, changed: make(chan struct{}), conns: make(map[net.Conn]struct{}), revision: 100, oldest: 1, era: 1, objects: make(map[string]map[string]object)}
	listener := must1(net.Listen("tcp", addr))
	s.addr = listener.Addr().String()
	server := &http.Server{Handler: s, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if state == http.StateNew {
			s.conns[c] = struct{}{}
		} else if state == http.StateClosed {
			delete(s.conns, c)
		}
	}}
	go func() { _ = server.Serve(listener) }()
	go s.expire()
	return s
}

// put writes an object; the caller holds mu.
func (s *Store) put(kind, name string, spec json.RawMessage) {
	s.revision++
	o := object{name: name, revision: s.revision, spec: spec, status: s.objects[kind][name].status, lastBeat: time.Now()}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = o
	s.appendEvent(event{kind: kind, object: o})
}

func (s *Store) appendEvent(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes an object; the caller holds mu.
func (s *Store) remove(kind, name string) {
	o, found := s.objects[kind][name]
	if !found {
		return
	}
	s.revision++
	o.revision = s.revision
	delete(s.objects[kind], name)
	s.appendEvent(event{kind: kind, object: o, deleted: true})
}

// Put writes an object for the operator. It reports whether the store has acknowledged it.
func (s *Store) Put(kind, name string, spec any) bool {
	encoded := must1(json.Marshal(spec))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.put(kind, name, encoded)
	return true
}

// Remove removes an object. It reports whether the store has acknowledged it.
func (s *Store) Remove(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.remove(kind, name)
	return true
}

// Beat is the heartbeat of a target: it writes the entry anew if more than seq has changed.
func (s *Store) Beat(name string, spec map[string]any) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	encoded := must1(json.Marshal(spec))
	o, found := s.objects["servers"][name]
	if found && sameButSeq(o.spec, encoded) {
		o.lastBeat = time.Now()
		s.objects["servers"][name] = o
		return true
	}
	s.put("servers", name, encoded)
	return true
}

func sameButSeq(a, b json.RawMessage) bool {
	var x, y map[string]any
	_ = json.Unmarshal(a, &x)
	_ = json.Unmarshal(b, &y)
	delete(x, "seq")
	delete(y, "seq")
	return fmt.Sprint(x) == fmt.Sprint(y)
}

// expire removes the entries of targets that have been silent for three heartbeat intervals.
func (s *Store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.away {
			for name, o := range s.objects["servers"] {
				if time.Since(o.lastBeat) > missedBeats*beat {
					s.record.Add("store: entry of %s has expired after three heartbeat intervals of silence", name)
					s.remove("servers", name)
				}
			}
		}
		s.mu.Unlock()
	}
}

// Copy returns a copy of the content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, clone(s.objects), time.Now()}
}

func clone(objects map[string]map[string]object) map[string]map[string]object {
	cloned := make(map[string]map[string]object)
	for kind, byName := range objects {
		cloned[kind] = make(map[string]object)
		for name, o := range byName {
			cloned[kind][name] = o
		}
	}
	return cloned
}

// GoAway makes the store unreachable: it closes its connections, and those that are opened.
func (s *Store) GoAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// ComeBack ends GoAway.
func (s *Store) ComeBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
}

// ComeBackFrom ends GoAway with the content of a copy. Revisions go back, the history is gone and
// Store-Era rises. Targets have three heartbeat intervals to write their entries again.
func (s *Store) ComeBackFrom(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	s.era++
	s.revision, s.oldest, s.history = from.revision, from.revision, nil
	s.objects = clone(from.objects)
	for name, o := range s.objects["servers"] {
		o.lastBeat = time.Now()
		s.objects["servers"][name] = o
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.calls++
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.Header().Set("Content-Type", "application/json")
	path, found := strings.CutPrefix(r.URL.Path, named("{internal}objects/"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && named:
		s.mu.Lock()
		o, found := s.objects[kind][name]
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = io.WriteString(w, o.encode())
	case r.Method == http.MethodGet:
		s.list(w, kind, query.Get("after"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		_, found := s.objects[kind][name]
		s.remove(kind, name)
		s.mu.Unlock()
		if !found {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"metadata"`
		Spec   json.RawMessage `json:"spec"`
		Status json.RawMessage `json:"status"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, toStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		panic(http.ErrAbortHandler)
	}
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case r.Method == http.MethodPost && exists, exists && body.Metadata.Revision != 0 && body.Metadata.Revision != o.revision:
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, o.encode())
		return
	}
	if toStatus {
		o.status = body.Status
		s.objects[kind][name] = o
		body.Spec = o.spec
	}
	if !exists || string(o.spec) != string(body.Spec) || toStatus {
		s.put(kind, name, body.Spec)
	}
	_, _ = io.WriteString(w, s.objects[kind][name].encode())
}

func (o object) encode() string {
	spec, status := string(o.spec), string(o.status)
	if spec == "" {
		spec = "null"
	}
	if status == "" {
		status = "null"
	}
	return fmt.Sprintf(`{"metadata":{"name":%q,"revision":%d,"created":1,"finalizers":[],"deleteRequested":false},"spec":%s,"status":%s}`, o.name, o.revision, spec, status)
}

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var items []string
	for _, name := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind][name].encode())
	}
	_, _ = fmt.Fprintf(w, named(`{"items":[%s],"{has-more}":%t,"{as-of}":%d}`), strings.Join(items, ","), len(names) > pageSize, s.revision)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get(named("{wait}")))
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	s.mu.Lock()
	begunIn := s.era
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		away, era, changed, at := s.away, s.era, s.changed, s.revision
		gone := since < s.oldest || since > s.revision || era != begunIn
		var events []string
		for _, e := range s.history {
			if e.kind == kind && e.object.revision > since {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, e.object.encode(), e.deleted))
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case gone:
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			_, _ = fmt.Fprintf(w, named(`{"events":[%s],"{as-of}":%d}`), strings.Join(events, ","), at)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
