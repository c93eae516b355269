package soak

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"
)

// linkState is what a daemon's link to the targets does.
type linkState int

const (
	linkUp         linkState = iota
	linkResets               // connections are reset, new ones too
	linkMute                 // connections are accepted and carry nothing
	linkRefusesNew           // connections live on, new ones are reset
)

// targetLink is the path from one daemon to all targets. The daemon gets the store's list by
// way of it, with an address of the link in place of each target's.
type targetLink struct {
	t     *testing.T
	store string // address
	view  *httptest.Server

	mu        sync.Mutex
	state     linkState
	changed   chan struct{}     // closed at the next change of state
	addresses map[string]string // of the link, by the target's
	conns     map[net.Conn]struct{}
}

func newTargetLink(t *testing.T, storeAddress string) *targetLink {
	l := &targetLink{t: t, store: storeAddress, changed: make(chan struct{}), addresses: make(map[string]string), conns: make(map[net.Conn]struct{})}
	l.view = httptest.NewServer(http.HandlerFunc(l.passStoreCall))
	t.Cleanup(l.view.Close)
	return l
}

// storeAddress returns the address at which the daemon reaches the store.
func (l *targetLink) storeAddress() string { return strings.TrimPrefix(l.view.URL, "http://") }

// set changes what the link does.
func (l *targetLink) set(state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state != linkResets {
		return
	}
	for conn := range l.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// current returns what the link does, and a channel that is closed when that changes.
func (l *targetLink) current() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

var addressField = regexp.MustCompile(`"address":"([^"]+)"`)

// passStoreCall passes a call of the daemon to the store, and replaces the targets' addresses
// in the answer.
func (l *targetLink) passStoreCall(w http.ResponseWriter, r *http.Request) {
	call, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+l.store+r.URL.RequestURI(), r.Body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		panic(http.ErrAbortHandler) // the store has closed the connection
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	body = addressField.ReplaceAllFunc(body, func(field []byte) []byte {
		target := string(addressField.FindSubmatch(field)[1])
		return bytes.Replace(field, []byte(target), []byte(l.addressFor(target)), 1)
	})
	for name, values := range response.Header {
		if name != "Content-Length" {
			w.Header()[name] = values
		}
	}
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

// addressFor returns the link's address for a target.
func (l *targetLink) addressFor(target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addresses[target] == "" {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		l.t.Cleanup(func() { _ = listener.Close() })
		l.addresses[target] = listener.Addr().String()
		go l.accept(listener, target)
	}
	return l.addresses[target]
}

func (l *targetLink) accept(listener net.Listener, target string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if state, _ := l.current(); state == linkResets || state == linkRefusesNew {
			reset(conn)
			continue
		}
		go l.forward(conn, listener, target)
	}
}

// closeIfDown closes the link's listener for a target that accepts no connections, so that the
// link refuses them too.
func closeIfDown(listener net.Listener, target string) {
	conn, err := net.Dial("tcp", target)
	if err != nil {
		_ = listener.Close()
		return
	}
	_ = conn.Close()
}

// forward carries the bytes of a connection while the link is up.
func (l *targetLink) forward(conn net.Conn, listener net.Listener, address string) {
	target, err := net.Dial("tcp", address)
	if err != nil {
		_ = listener.Close()
		reset(conn)
		return
	}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(target, conn, func() {}) })
	copies.Go(func() { l.copy(conn, target, func() { closeIfDown(listener, address) }) })
	copies.Wait()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// copy copies bytes from one connection to another while the link carries them. At the end it
// calls atEnd and closes both, as neither end half-closes its connections, and resets them if
// one was reset.
func (l *targetLink) copy(to, from net.Conn, atEnd func()) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for state, changed := l.current(); state == linkMute; state, changed = l.current() {
			<-changed
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			atEnd()
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				reset(to)
			}
			return
		}
	}
}

// cutOffDaemons makes some daemons, all at times, reach no target for a while.
func (s *soakRun) cutOffDaemons() {
	state := []linkState{linkResets, linkMute, linkRefusesNew}[s.randomInt(3)]
	cut := s.daemons[:1+s.randomInt(len(s.daemons))]
	for _, daemon := range cut {
		daemon.link.set(state)
	}
	time.Sleep(s.randomFaultDuration())
	for _, daemon := range cut {
		daemon.link.set(linkUp)
	}
	s.recordDisturbance()
}
