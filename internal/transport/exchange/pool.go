package exchange

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"hemlockknot/internal/transport/socket"
)

// Timeouts and limits of connections.
const (
	// DialTimeout limits the time to open a connection. A round trip between failure
	// domains takes a few milliseconds.
	DialTimeout = 150 * time.Millisecond
	// maxIdleTime is how long an idle connection stays in the pool, if the target
	// does not announce a shorter time.
	maxIdleTime = 8 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that a target announces,
	// so that no request is sent while the target closes the connection.
	idleTimeoutMargin = time.Second
	// recentUse is how long after its last use an idle connection is assumed to be
	// alive. A request with AvoidStale reuses only such connections.
	recentUse = 500 * time.Millisecond
	// maxIdlePerTarget is the largest number of idle connections to one target.
	maxIdlePerTarget = 24
	// sweepInterval is how often the pool closes expired connections.
	sweepInterval = 2 * time.Second
)

// Pool keeps idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	// OnDial is called before each attempt to open a connection. NewPool sets a
	// function that does nothing.
	OnDial func()
	// Dial opens a connection to an address. NewPool sets a function that dials by TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used one last
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		OnDial: func() {},
		Dial:   dialTCP,
		idle:   make(map[string][]*conn),
	}
}

// dialTCP opens a TCP connection that notices a host without power or network.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, Control: socket.UserTimeoutControl(userTimeout)}
	return dialer.DialContext(ctx, "tcp", address)
}

// Run periodically closes connections that were idle for too long, until the context
// ends.
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

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}

// get returns an idle connection to the address, or opens a new one. If avoidStale is
// set, only a recently used connection is reused. The others are closed once there is a new one:
// they may live on while new connections fail.
func (p *Pool) get(ctx context.Context, address string, avoidStale bool) (*conn, error) {
	now := time.Now()
	var usedAfter time.Time
	if avoidStale {
		usedAfter = now.Add(-recentUse)
	}
	for idle := p.popIdle(address, usedAfter); idle != nil; idle = p.popIdle(address, usedAfter) {
		if idle.reusable(now) {
			return idle, nil
		}
		_ = idle.Close()
	}
	p.OnDial()
	netConn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if avoidStale {
		p.closeUnused(address, usedAfter)
	}
	return newConn(netConn, address), nil
}

// closeUnused closes the idle connections to an address that have not been used since a time.
func (p *Pool) closeUnused(address string, since time.Time) {
	p.mu.Lock()
	idle := p.idle[address]
	count := 0 // the least recently used ones come first
	for count < len(idle) && !idle[count].idleSince.After(since) {
		count++
	}
	unused := slices.Clone(idle[:count])
	p.idle[address] = slices.Delete(idle, 0, count)
	p.mu.Unlock()
	for _, c := range unused {
		_ = c.Close()
	}
}

// popIdle removes the most recently used idle connection to an address from the pool
// and returns it, or nil if there is none that was used after a time.
func (p *Pool) popIdle(address string, usedAfter time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	last := idle[len(idle)-1]
	if !last.idleSince.After(usedAfter) {
		return nil
	}
	p.idle[address] = idle[:len(idle)-1]
	return last
}

// put returns a connection to the pool, or closes it if the pool holds enough
// connections to its target.
func (p *Pool) put(c *conn, idleTimeout time.Duration) {
	c.setDeadline(time.Time{})
	c.idleSince = time.Now()
	c.reusableUntil = c.idleSince.Add(idleTimeout)
	p.mu.Lock()
	hasRoom := len(p.idle[c.address]) < maxIdlePerTarget
	if hasRoom {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !hasRoom {
		_ = c.Close()
	}
}

// sweep closes the idle connections that have expired.
func (p *Pool) sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	for address, idle := range p.idle {
		unexpired := slices.DeleteFunc(idle, func(c *conn) bool {
			if now.Before(c.reusableUntil) {
				return false
			}
			expired = append(expired, c)
			return true
		})
		if len(unexpired) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = unexpired
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}
