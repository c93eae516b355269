package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"hemlockknot/internal/protocol/targetapi"
	"hemlockknot/internal/transport/counting"
)

// ProbeTimeout is the timeout of one load probe.
const ProbeTimeout = time.Second

// Prober requests the load reports of model engines. It has its own connections.
type Prober struct {
	client *http.Client
}

// NewProber returns a prober that calls countBytes with the size of each read and write
// on its connections.
func NewProber(countBytes func(n int)) *Prober {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return counting.Conn(conn, countBytes), nil
		},
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleConnTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
	return &Prober{client: &http.Client{Transport: transport, Timeout: ProbeTimeout}}
}

// Load requests a model engine's load report.
func (p *Prober) Load(ctx context.Context, address string) (*targetapi.LoadReport, error) {
	return getJSON[targetapi.LoadReport](ctx, p.client, address, targetapi.PathLoad)
}
