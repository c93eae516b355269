package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"
)

// linkState is what a daemon's path to the targets does.
type linkState int

const (
	linkUp         linkState = iota
	linkResets               // connections are reset, new ones too
	linkMute                 // connections are accepted and carry nothing
	linkRefusesNew           // connections live on, new ones are reset
)

// targetLinks are the paths from all daemons to the targets. All daemons know a target by
// the same address, that of its link; the link tells the daemons apart by the process that
// owns the other end of a connection.
type targetLinks struct {
	t *testing.T

	mu      sync.Mutex
	states  map[*daemon]linkState // of the daemons that do not reach the targets
	changed chan struct{}         // closed at the next change of states
	conns   map[*linkedConn]struct{}
}

// linkedConn is a connection of a daemon to a link.
type linkedConn struct {
	net.Conn
	owner func() *daemon // nil if no daemon owns it
}

func newTargetLinks(t *testing.T) *targetLinks {
	return &targetLinks{t: t, states: make(map[*daemon]linkState), changed: make(chan struct{}), conns: make(map[*linkedConn]struct{})}
}

// set changes what the paths from some daemons do.
func (l *targetLinks) set(daemons []*daemon, state linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, daemon := range daemons {
		l.states[daemon] = state
		if state == linkUp {
			delete(l.states, daemon)
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if state != linkResets {
		return
	}
	for conn := range l.conns {
		if owner := conn.owner(); owner != nil && l.states[owner] == linkResets {
			reset(conn.Conn)
		}
	}
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// stateOf returns what the path of a connection does, and a channel that is closed when that
// may have changed.
func (l *targetLinks) stateOf(conn *linkedConn) (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.states) == 0 {
		return linkUp, l.changed // its owner need not be looked up
	}
	return l.states[conn.owner()], l.changed
}

// link returns the address of a new link to a target. Daemons are those that may use it.
func (l *targetLinks) link(target string, daemons func() []*daemon) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			linked := &linkedConn{Conn: conn, owner: sync.OnceValue(func() *daemon { return ownerOf(conn, daemons()) })}
			go l.forward(linked, listener, target)
		}
	}()
	return listener.Addr().String()
}

// closeIfDown closes a link's listener if its target accepts no connections, so that the
// link refuses them too.
func closeIfDown(listener net.Listener, target string) {
	conn, err := net.Dial("tcp", target)
	if err != nil {
		_ = listener.Close()
		return
	}
	_ = conn.Close()
}

// forward carries the bytes of a connection while its path does.
func (l *targetLinks) forward(conn *linkedConn, listener net.Listener, address string) {
	if state, _ := l.stateOf(conn); state == linkResets || state == linkRefusesNew {
		reset(conn.Conn)
		return
	}
	target, err := net.Dial("tcp", address)
	if err != nil {
		_ = listener.Close()
		reset(conn.Conn)
		return
	}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(conn, target, conn.Conn, func() {}) })
	copies.Go(func() { l.copy(conn, conn.Conn, target, func() { closeIfDown(listener, address) }) })
	copies.Wait()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// copy copies bytes from one end to another while the path of the connection carries them. It
// closes both at the end, as neither end half-closes its connections, and resets them if one was
// reset. It calls atEnd first if the one that it reads from has ended the connection.
func (l *targetLinks) copy(conn *linkedConn, to, from net.Conn, atEnd func()) {
	defer func() { _ = to.Close(); _ = from.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for state, changed := l.stateOf(conn); state == linkMute; state, changed = l.stateOf(conn) {
			<-changed
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			return
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return // the other direction has ended
			}
			atEnd()
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

// ownerOf returns the daemon whose process holds the other end of a connection, nil if none
// does.
func ownerOf(conn net.Conn, daemons []*daemon) *daemon {
	inode, err := socketInode(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if err != nil {
		return nil // its owner has closed it
	}
	for _, daemon := range daemons {
		if holdsSocket(daemon.pid(), inode) {
			return daemon
		}
	}
	return nil
}

// holdsSocket reports whether a process has a socket open.
func holdsSocket(pid int, inode uint32) bool {
	dir := fmt.Sprintf("/proc/%d/fd/", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if name, err := os.Readlink(dir + entry.Name()); err == nil && name == fmt.Sprintf("socket:[%d]", inode) {
			return true
		}
	}
	return false
}

// cutOffDaemons makes some daemons, all at times, reach no target for a while.
func (s *soakRun) cutOffDaemons() {
	s.cutMu.Lock() // the end of one cut would end another one
	defer s.cutMu.Unlock()
	defer s.recordDisturbance()
	defer s.disturb()()
	cut := s.daemons[:1+s.randomInt(len(s.daemons))]
	s.links.set(cut, []linkState{linkResets, linkMute, linkRefusesNew}[s.randomInt(3)])
	time.Sleep(s.randomFaultDuration())
	s.links.set(cut, linkUp)
}
