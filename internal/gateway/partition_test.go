package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// partition is the paths between daemons, which a test can cut.
type partition struct {
	mu        sync.Mutex
	apart     map[string]bool // addresses of the daemons on the one side
	direction cutDirection
	conns     map[net.Conn][2]string
}

// cutDirection is which connections between the two sides a partition cuts.
type cutDirection int

const (
	bothDirections cutDirection = iota
	fromApart                   // those that the daemons which are apart open
	toApart                     // those that the others open to them
)

// isCut reports whether a daemon does not reach another one. The caller holds mu.
func (p *partition) isCut(from, to string) bool {
	return p.apart[from] != p.apart[to] &&
		(p.direction == bothDirections || (p.direction == fromApart) == p.apart[from])
}

var errPartitioned = errors.New("partitioned")

// dialer returns how the daemon at an address connects to others.
func (p *partition) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.isCut(from, to) {
			_ = conn.Close()
			return nil, errPartitioned
		}
		p.conns[conn] = [2]string{from, to}
		return conn, nil
	}
}

// cut cuts the daemons at the addresses off from all others. No address ends the partition.
func (p *partition) cut(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apart = make(map[string]bool)
	for _, address := range addresses {
		p.apart[address] = true
	}
	for conn, ends := range p.conns {
		if p.isCut(ends[0], ends[1]) {
			_ = conn.Close()
			delete(p.conns, conn)
		}
	}
}

// storeLink is the path from one daemon to the store, which a test can cut.
type storeLink struct {
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	conns    map[net.Conn]bool
}

func newStoreLink(t *testing.T, store string) *storeLink {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	l := &storeLink{listener: listener, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = listener.Close(); l.cut() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn, store)
		}
	}()
	return l
}

// serve copies between a connection of the daemon and the store until one of them ends.
func (l *storeLink) serve(conn net.Conn, store string) {
	upstream, err := net.Dial("tcp", store)
	if err != nil || !l.add(conn, upstream) {
		_ = conn.Close()
		return
	}
	go func() { _, _ = io.Copy(conn, upstream); _ = conn.Close() }()
	_, _ = io.Copy(upstream, conn)
	_ = upstream.Close()
}

// add adds connections, unless the link is cut.
func (l *storeLink) add(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		l.conns[conn] = true
		if l.isCut {
			_ = conn.Close()
		}
	}
	return !l.isCut
}

// cut ends all connections and refuses new ones.
func (l *storeLink) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// partitionedFleet is a fleet of which some daemons may be cut off. The last ones are.
type partitionedFleet struct {
	*versionedFleet
	partition *partition
	links     []*storeLink
	outside   int // daemons that are cut off
}

func newPartitionedFleet(t *testing.T, daemons, outside int) *partitionedFleet {
	f, writers, _ := prepareFixture(t, 20*defaultRetryExtra)
	paths := &partition{conns: make(map[net.Conn][2]string)}
	f.partition = paths
	f.start()
	fleet := &partitionedFleet{
		versionedFleet: &versionedFleet{t: t, store: f.store, daemons: []*testFixture{f}, engines: writers[:]},
		partition:      paths, outside: outside,
	}
	for len(fleet.daemons) < daemons {
		link := newStoreLink(t, f.store.Address())
		fleet.links = append(fleet.links, link)
		fleet.daemons = append(fleet.daemons, f.startPeer(link.listener.Addr().String()))
	}
	for _, daemon := range fleet.daemons {
		daemon.eventually(func() bool { return daemon.daemon.peers.knownDaemons() == daemons })
	}
	return fleet
}

// cutOff returns the daemons that are cut off.
func (p *partitionedFleet) cutOff() []*testFixture {
	return p.daemons[len(p.daemons)-p.outside:]
}

// cutFromPeers cuts them off from the other daemons.
func cutFromPeers(p *partitionedFleet) {
	var addresses []string
	for _, daemon := range p.cutOff() {
		addresses = append(addresses, daemon.daemon.peers.address)
	}
	p.partition.cut(addresses...)
}

// cutFromStore cuts them off from the store.
func cutFromStore(p *partitionedFleet) {
	for _, link := range p.links[len(p.links)-p.outside:] {
		link.cut()
	}
}

// joinElsewhere adds engines of another version and waits until the daemons that are not cut off
// know them.
func joinElsewhere(p *partitionedFleet) {
	p.startEngines(6, "v2")
	for _, daemon := range p.daemons[:len(p.daemons)-p.outside] {
		daemon.eventually(func() bool { return daemon.rosterSize() == len(p.engines)+2 })
	}
}

// forgetOthers waits until the daemons that are cut off take all others for dead.
func forgetOthers(p *partitionedFleet) {
	for _, daemon := range p.cutOff() {
		daemon.within(takeoverTimeout, func() bool {
			daemon.daemon.peers.mu.Lock()
			defer daemon.daemon.peers.mu.Unlock()
			return len(daemon.daemon.peers.table.Live(time.Now())) == p.outside
		})
	}
}

// reunite ends the cut between the daemons, and waits until all know the engines.
func reunite(p *partitionedFleet) {
	p.partition.cut()
	for _, daemon := range p.cutOff() {
		daemon.within(takeoverTimeout, func() bool { return daemon.rosterSize() == len(p.engines)+2 })
	}
}

// takeoverTimeout bounds the wait for the state of a cut.
const takeoverTimeout = 10 * time.Second

// Guards against streams that go on at another software version as they are taken up at a daemon
// that does not know of it: it is cut off, alone or with others, and takes its own view for whole
// (review, case 1; report of issue 34). The users allow two in all.
func TestStreamsTakenUpAtDaemonsThatAreCutOffKeepTheirVersion(t *testing.T) {
	type steps []func(*partitionedFleet)
	cases := []struct {
		name             string
		daemons, outside int
		before, after    steps // the streams begin elsewhere and break off
		wentOn           bool  // at least half must go on
	}{
		{"one, from the others", 3, 1, steps{cutFromPeers, joinElsewhere}, nil, false},
		{"one, from the others, which it takes for dead", 3, 1, steps{cutFromPeers, joinElsewhere, forgetOthers}, nil, false},
		{"one, from the others and the store", 3, 1, steps{cutFromPeers, cutFromStore, joinElsewhere}, nil, false},
		{"one, from the others and the store, for long", 3, 1, steps{cutFromPeers, cutFromStore, joinElsewhere, forgetOthers}, nil, false},
		{"one, from the store", 3, 1, steps{cutFromStore, joinElsewhere}, nil, true},
		{"two of five, from the others and the store", 5, 2, steps{cutFromPeers, cutFromStore, joinElsewhere}, nil, false},
		{"two of five, from the others and the store, for long", 5, 2, steps{cutFromPeers, cutFromStore, joinElsewhere, forgetOthers}, nil, false},
		{"three of five, from the others and the store, for long", 5, 3, steps{cutFromPeers, cutFromStore, joinElsewhere, forgetOthers}, nil, false},
		{"two of five, from the others, for long", 5, 2, steps{cutFromPeers, joinElsewhere, forgetOthers}, nil, false},
		{"one, after the version has joined", 3, 1, steps{joinElsewhere, cutFromPeers, cutFromStore}, nil, false},
		{"one, until the streams are taken up", 3, 1, steps{cutFromPeers, cutFromStore, joinElsewhere}, steps{reunite}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fleet := newPartitionedFleet(t, c.daemons, c.outside)
			for _, step := range c.before {
				step(fleet)
			}
			var first []string
			for number := range 2 * streamsOfTest {
				first = append(first, fleet.beginBroken(0, number))
			}
			for _, step := range c.after {
				step(fleet)
			}
			wentOn, mixed := fleet.takeUpOutside(first)
			t.Log("went on", wentOn, "of", len(first))
			must.LessEq(t, maxMixed, mixed, must.Sprint("streams of two versions"))
			if c.wentOn {
				must.GreaterEq(t, len(first)/2, wentOn)
			}
		})
	}
}

// maxMixed is how many streams may hold events of two versions, by the users.
const maxMixed = 2

// takeUpOutside takes streams up at the daemons that are cut off. It returns how many went on, and how
// many of them at another version.
func (p *partitionedFleet) takeUpOutside(first []string) (wentOn, mixed int) {
	for number, begun := range first {
		daemon := len(p.daemons) - 1 - number%p.outside
		id := fmt.Sprint("taken-up-", number)
		status, _ := p.request(daemon, standin.CallerRequest{ID: id, Body: fmt.Sprint("draft-", number), Resumes: begun, LastEventID: 2})
		if status == http.StatusOK {
			wentOn++
		}
		if len(p.versionsOf(begun, id)) > 1 {
			mixed++
		}
	}
	return wentOn, mixed
}
