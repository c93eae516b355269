package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"hemlockknot/internal/transport/socket"
)

// Times and limits of connections.
const (
	// DialTimeout bounds the opening of a connection; a round trip between
	// failure domains takes some milliseconds.
	DialTimeout = 150 * time.Millisecond
	// maxIdle is how long a connection is kept if the target does not say.
	maxIdle = 8 * time.Second
	// idleMargin is left to the target's own limit, so that a request does not
	// cross its close.
	idleMargin = time.Second
	// lately is how long a kept connection counts as surely alive.
	lately = 500 * time.Millisecond
	// keptPerTarget bounds the idle connections to one target.
	keptPerTarget = 24
	sweepInterval = 2 * time.Second
)

// Pool keeps the connections to targets. It is safe for concurrent use.
type Pool struct {
	// Dialed, if set, is told of each new connection.
	Dialed func()

	mu   sync.Mutex
	idle map[string][]*conn // by address; the one used last comes last
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		Dialed: func() {},
		idle:   make(map[string][]*conn),
	}
}

// Run closes connections that were idle for too long, until the context ends.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.sweep(now)
		}
	}
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// get returns a kept connection, or opens one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	now := time.Now()
	for {
		kept := p.take(address)
		if kept == nil {
			break
		}
		if (!fresh || now.Sub(kept.kept) < lately) && kept.usable(now) {
			return kept, nil
		}
		_ = kept.Close()
	}
	p.Dialed()
	dialer := net.Dialer{Timeout: DialTimeout, Control: socket.LimitUnacknowledged(unacknowledgedLimit)}
	inner, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(inner, address), nil
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return last
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.setDeadline(time.Time{})
	c.kept = time.Now()
	c.until = c.kept.Add(keep)
	p.mu.Lock()
	room := len(p.idle[c.address]) < keptPerTarget
	if room {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !room {
		_ = c.Close()
	}
}

func (p *Pool) sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := slices.DeleteFunc(idle, func(c *conn) bool {
			if now.Before(c.until) {
				return false
			}
			old = append(old, c)
			return true
		})
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}
