package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to an address. While it is cut, bytes are neither forwarded nor
// answered, as behind a partition, and new connections hang.
type proxy struct {
	address, target string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func newProxy(ip, target string) (*proxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// setCut cuts the path or heals it. Connections of the time before are lost.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		for _, conn := range p.conns {
			_ = conn.Close()
		}
		p.conns = nil
	}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) forward(client net.Conn) {
	p.mu.Lock()
	p.conns = append(p.conns, client)
	p.mu.Unlock()
	if p.isCut() {
		return // silent; the connection stays open until the path heals
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, server)
	p.mu.Unlock()
	go p.copy(client, server)
	p.copy(server, client)
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isCut() {
			return // what comes now is lost; nothing is closed
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = from.Close()
			}
			break
		}
	}
	_ = to.Close()
}
