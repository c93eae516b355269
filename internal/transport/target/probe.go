package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/transport/counting"
)

// ProbeTimeout is how long an engine may take to report its load.
const ProbeTimeout = time.Second

// Prober asks model engines for their load, on connections of its own.
type Prober struct {
	client *http.Client
}

// NewProber returns a prober that reports the bytes of its probes to count.
func NewProber(count func(n int)) *Prober {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counting.Conn(conn, count), nil
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Prober{client: &http.Client{Transport: transport, Timeout: ProbeTimeout}}
}

// Load asks a model engine for its load.
func (p *Prober) Load(ctx context.Context, address string) (*targetapi.Load, error) {
	return getJSON[targetapi.Load](ctx, p.client, address, targetapi.PathLoad)
}
