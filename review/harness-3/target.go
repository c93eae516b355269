package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that has reached a target and is meant for it.
type Arrival struct {
	Target, ID, Version string
	At                  time.Time
	Ran, Ended          bool // it was begun, and worked on to its end
	LastEventID         int
}

// Target is a stand-in for a target.
type Target struct {
	world             *World
	ID, Service, Zone string
	Version           string
	Addr              string
	Born              int64
	Slots             int
	Events            int           // of a stream; 0: plain answers
	Work              time.Duration // before a plain answer, or a stream's first event
	EventGap          time.Duration
	server            *http.Server
	running           atomic.Int64
	mu                sync.Mutex
	leaving           bool // says so in all its answers
	silentAtStore     bool // writes no heartbeats
	draining          bool
	stopped           bool
	header            func(arrival int) map[string]string // further headers of answers
	reject            func(r *http.Request) bool
	arrivals          []*Arrival
	workOf            func(r *http.Request) time.Duration
	stopBeats         chan struct{}
	runs              map[string]*Arrival
	conns             map[net.Conn]struct{}
}

// Start opens the target's address and writes its entry.
func (r *Target) Start() {
	listener := must1(net.Listen("tcp", r.Addr))
	r.Addr = listener.Addr().String()
	r.Born = time.Now().UnixMilli()
	r.conns = make(map[net.Conn]struct{})
	r.stopBeats = make(chan struct{})
	r.stopped = false
	conns := r.conns
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, state http.ConnState) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if state == http.StateNew {
			conns[c] = struct{}{}
		} else if state == http.StateClosed {
			delete(conns, c)
		}
	}}
	r.server = server
	go func() { _ = server.Serve(listener) }()
	r.beat()
	go func(stop chan struct{}) {
		tick := time.NewTicker(beat)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				r.beat()
			}
		}
	}(r.stopBeats)
}

func (r *Target) beat() {
	r.mu.Lock()
	silent := r.silentAtStore
	state := "ready"
	if r.draining {
		state = "draining"
	}
	spec := map[string]any{"service": r.Service, "address": r.Addr, "zone": r.Zone, "version": r.Version, "slots": r.Slots,
		"state": state, named("{cold-left}"): 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"seq": time.Now().UnixMilli() - r.Born + 1, "born": r.Born}
	r.mu.Unlock()
	if !silent {
		r.world.Store.Beat(r.ID, spec)
	}
}

// Stop ends the process of the target: all its connections are reset.
func (r *Target) Stop() {
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return
	}
	r.stopped = true
	close(r.stopBeats)
	var conns []net.Conn
	for c := range r.conns {
		conns = append(conns, c)
	}
	r.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = r.server.Close()
}

// Leave makes the target leave without reporting draining: its entry is removed, and it says in all
// its answers that it leaves. It reports when the store has acknowledged that.
func (r *Target) Leave() time.Time {
	r.mu.Lock()
	r.leaving, r.silentAtStore = true, true
	r.mu.Unlock()
	r.world.Store.Remove("servers", r.ID)
	return time.Now()
}

func (r *Target) isStopped() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stopped
}

// Arrivals returns what has arrived.
func (r *Target) Arrivals() []Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Arrival
	for _, a := range r.arrivals {
		all = append(all, *a)
	}
	return all
}

func (r *Target) serve(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path == named("{internal}report") {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"waiting":0,"running":%d,"kvUsed":1000,"kvTotal":700000,"handles":0,"born":%d}`, r.running.Load(), r.Born)
		return
	}
	w.Header().Set(named("{instance}"), r.ID)
	id := req.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if req.URL.Path == "/health" {
		w.Header().Set(named("{load}"), r.load())
		return
	}
	if expected := req.Header.Get(named("{expect}")); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	lastEvent, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	arrival := &Arrival{Target: r.ID, ID: id, At: time.Now(), Version: r.Version, LastEventID: lastEvent}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival)
	number := len(r.arrivals)
	header, reject := r.header, r.reject
	r.mu.Unlock()
	if header != nil {
		for name, value := range header(number) {
			w.Header().Set(name, value)
		}
	}
	if reject != nil && reject(req) {
		w.Header().Set(named("{not-run}"), "1")
		w.Header().Set(named("{load}"), r.load())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	r.mu.Lock()
	arrival.Ran = true
	work := r.Work
	if r.workOf != nil {
		work = r.workOf(req)
	}
	r.mu.Unlock()
	r.running.Add(1)
	defer r.running.Add(-1)
	select {
	case <-time.After(work):
	case <-req.Context().Done():
		return
	}
	r.mu.Lock()
	if r.leaving || r.draining {
		w.Header().Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	w.Header().Set(named("{stamp}"), stamp(r.ID, id))
	w.Header().Set(named("{load}"), r.load())
	w.Header().Set("X-Weight-Versions", "1")
	if r.Events > 0 {
		r.stream(w, req, arrival)
		return
	}
	body := answerBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
	r.mu.Lock()
	arrival.Ended = true
	r.mu.Unlock()
}

func (r *Target) load() string { return fmt.Sprintf("%d,0,%d", r.running.Load(), r.Slots) }

func (r *Target) stream(w http.ResponseWriter, req *http.Request, arrival *Arrival) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for event := arrival.LastEventID + 1; event <= r.Events; event++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %d of %d\n\n", event, r.Service, r.Version, event, r.Events); err != nil {
			return
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-time.After(r.EventGap):
		case <-req.Context().Done():
			return
		}
	}
	r.mu.Lock()
	arrival.Ended = true
	r.mu.Unlock()
}

func stamp(target, id string) string {
	return fmt.Sprintf("3e1b.07.%08x", crc32.ChecksumIEEE([]byte(target+id)))
}

func answerBody(id string) string { return "answer to " + id + strings.Repeat(".", 700) }
