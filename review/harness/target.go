package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of targets.
const (
	engineCount = 12                    // as on the users' sheet
	prefillTime = 20 * time.Millisecond // before the first event of an answer
	engineDown  = 2 * time.Second       // after a crash
)

// arrivals are the requests that reach targets, and the crashes.
type arrivals struct {
	mu      sync.Mutex
	fatal   []time.Time // of requests that crash the target
	crashes []time.Time
	sound   int
}

// target is a stand-in of a target: it registers in the store, answers 421 to requests that
// expect another one, and runs all others.
type target struct {
	id, service, zone, version, address string

	store  *store
	record *record
	// handle runs a request and reports whether the connection stays open.
	handle func(r *target, conn net.Conn, request *http.Request, body string) bool

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	up       bool
}

// startTarget starts a target and registers it.
func startTarget(s *store, rec *record, id, service, zone, version, ip string, handle func(*target, net.Conn, *http.Request, string) bool) (*target, error) {
	r := &target{id: id, service: service, zone: zone, version: version, address: net.JoinHostPort(ip, "0"), store: s, record: rec, handle: handle}
	if err := r.start(); err != nil {
		return nil, err
	}
	return r, nil
}

// start opens the listener and writes the target's entry.
func (r *target) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.address = listener, listener.Addr().String()
	r.conns, r.born, r.up = make(map[net.Conn]bool), time.Now().UnixMilli(), true
	r.mu.Unlock()
	go r.accept(listener)
	r.register("ready")
	return nil
}

func (r *target) register(state string) {
	r.store.put("servers", r.id, json.RawMessage(fill(entryText, map[string]any{
		"Service": r.service, "Address": r.address, "Zone": r.zone, "Version": r.version, "State": state, "Born": r.born,
	})))
}

// crash ends the process of the target: all its connections are reset, and new ones refused.
// It reports whether the target was up.
func (r *target) crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return false
	}
	r.up = false
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	return true
}

// crashFor crashes the target, which starts again under its id after a while. It reports whether
// the target was up.
func (r *target) crashFor(down time.Duration) bool {
	if !r.crash() {
		return false
	}
	time.AfterFunc(down, func() {
		if err := r.start(); err != nil {
			r.record.logf("target %s cannot start again: %v", r.id, err)
			return
		}
		r.record.logf("target %s is back", r.id)
	})
	return true
}

func (r *target) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(conn)
	}
}

func (r *target) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.Header.Get(named("expect")) != r.id {
			_, err = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\n"+head("request-id", request.Header.Get(named("request-id")), "instance", r.id, "not-run", "1")+"Content-Length: 0\r\n\r\n")
			if err != nil {
				return
			}
			continue
		}
		if !r.handle(r, conn, request, string(body)) {
			return
		}
	}
}

// head returns the header lines of an answer to a request.
func (r *target) head(request *http.Request) string {
	return head("request-id", request.Header.Get(named("request-id")), "stamp", r.id, "instance", r.id)
}

// answer writes a whole answer.
func (r *target) answer(conn net.Conn, request *http.Request, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", r.head(request), len(body), body)
	return err == nil
}

// stream writes a stream of events, each of which names the target and its version, after the
// one that the request names as its last.
func (r *target) stream(conn net.Conn, request *http.Request, count int, gap time.Duration) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", r.head(request))
	last, _ := strconv.Atoi(request.Header.Get(named("last-event")))
	for number := last + 1; err == nil && number <= count; number++ {
		time.Sleep(gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d of target %s version %s\n\n", number, number, r.id, r.version)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

// hasSharedPart reports whether a part of the request's prompt, but for the last one, has an id.
func hasSharedPart(request *http.Request, id string) bool {
	parts := strings.Split(request.Header.Get(named("prompt")), ",")
	return slices.ContainsFunc(parts[:len(parts)-1], func(part string) bool { return strings.HasPrefix(part, id+":") })
}
