package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// network lies between the machines, and between each machine and the store. Each machine sees the others
// at addresses of its own, 127.0.(80 + its number).(the other's number), behind which a proxy passes
// bytes on. Daemons tell each other their addresses, which the proxy replaces on the way by those that
// the receiver sees: they are as long.
type network struct {
	cut []atomic.Bool // by the number of the machine: from all other machines and the store
}

// addNetwork puts a network between the machines. It must be called before they are started.
func (w *world) addNetwork() *network {
	n := &network{cut: make([]atomic.Bool, len(w.daemons)+1)}
	for _, viewer := range w.daemons {
		v := viewer.machine.number
		for _, other := range w.daemons {
			m := other.machine.number
			for port := other.ports.control; port <= other.ports.lastPeer; port++ {
				near, far := fmt.Sprintf("127.0.%d.%d:%d", 80+v, m, port), fmt.Sprintf("%s:%d", other.machine.ip, port)
				forth := n.rewriter(v, m)
				back := n.rewriter(m, v)
				n.listen(near, far, forth, back, func() bool { return v != m && (n.cut[v].Load() || n.cut[m].Load()) })
			}
		}
		storeAddress := fmt.Sprintf("127.0.%d.200:%d", 80+v, viewer.ports.control)
		same := func(b []byte) []byte { return b }
		n.listen(storeAddress, w.store.address, same, same, func() bool { return n.cut[v].Load() })
		text, err := os.ReadFile(viewer.settings)
		if err != nil {
			panic(err)
		}
		var lines []string
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.HasPrefix(line, "seeds=") {
				line = strings.ReplaceAll(line, "127.0.77.", fmt.Sprintf("127.0.%d.", 80+v))
				line = strings.Replace(line, fmt.Sprintf("127.0.%d.%d:", 80+v, v), fmt.Sprintf("127.0.77.%d:", v), 1)
			}
			if strings.HasPrefix(line, "platform.address=") {
				line = "platform.address=" + storeAddress
			}
			lines = append(lines, line)
		}
		if err := os.WriteFile(viewer.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			panic(err)
		}
	}
	return n
}

// rewriter returns a function that replaces the addresses that one machine sees by those that another
// sees.
func (n *network) rewriter(from, to int) func([]byte) []byte {
	ownFrom, ownFromSeen := fmt.Appendf(nil, "127.0.77.%d:", from), fmt.Appendf(nil, "127.0.%d.%d:", 80+to, from)
	seen, seenThere := fmt.Appendf(nil, "127.0.%d.", 80+from), fmt.Appendf(nil, "127.0.%d.", 80+to)
	return func(b []byte) []byte {
		b = bytes.ReplaceAll(b, seen, seenThere)
		return bytes.ReplaceAll(b, ownFrom, ownFromSeen)
	}
}

// listen passes connections on. While cut returns true, nothing passes.
func (n *network) listen(near, far string, forth, back func([]byte) []byte, cut func() bool) {
	listener, err := net.Listen("tcp", near)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go pass(conn, far, forth, back, cut)
		}
	}()
}

func pass(near net.Conn, far string, forth, back func([]byte) []byte, cut func() bool) {
	defer func() { _ = near.Close() }()
	awaitHealed(cut)
	other, err := net.DialTimeout("tcp", far, time.Second)
	if err != nil {
		if tcp, ok := near.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return
	}
	defer func() { _ = other.Close() }()
	var both sync.WaitGroup
	both.Go(func() { copyBytes(other, near, forth, cut) })
	both.Go(func() { copyBytes(near, other, back, cut) })
	both.Wait()
}

// awaitHealed waits until nothing cuts the way.
func awaitHealed(cut func() bool) {
	for cut() {
		time.Sleep(20 * time.Millisecond)
	}
}

// copyBytes passes bytes on in one direction, and the end of the sending side.
func copyBytes(to, from net.Conn, rewrite func([]byte) []byte, cut func() bool) {
	buffer := make([]byte, 256<<10)
	for {
		count, err := from.Read(buffer)
		awaitHealed(cut)
		if count > 0 {
			if _, err := to.Write(rewrite(bytes.Clone(buffer[:count]))); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
				_ = tcp.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}
