package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// faultProxy is a TCP proxy that tests cut, delay or slow down. Its address is
// known before its upstream, so that a daemon can advertise it.
type faultProxy struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

// newFaultProxy starts a proxy without an upstream.
func newFaultProxy(t *testing.T) *faultProxy {
	t.Helper()
	logger := zerolog.Nop()
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), logger)
	proxy := toxiproxy.NewProxy(server, t.Name(), "127.0.0.1:0", "127.0.0.1:1")
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Stop)
	return &faultProxy{t: t, proxy: proxy}
}

// address is where clients connect.
func (p *faultProxy) address() string { return p.proxy.Listen }

// forward sets the upstream address.
func (p *faultProxy) forward(upstream string) {
	p.proxy.Lock()
	defer p.proxy.Unlock()
	p.proxy.Upstream = upstream
}

// cut stops all data in both directions without closing connections, as a
// network partition does. The toxics hold the data back until restore.
func (p *faultProxy) cut() {
	p.add("cut-up", "timeout", "upstream", `{"timeout":0}`)
	p.add("cut-down", "timeout", "downstream", `{"timeout":0}`)
}

// delay adds latency, in milliseconds, in both directions.
func (p *faultProxy) delay(milliseconds int) {
	attributes := fmt.Sprintf(`{"latency":%d}`, milliseconds)
	p.add("delay-up", "latency", "upstream", attributes)
	p.add("delay-down", "latency", "downstream", attributes)
}

func (p *faultProxy) add(name, kind, direction, attributes string) {
	p.t.Helper()
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, direction, attributes)
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		p.t.Fatal(err)
	}
}

// restore ends all faults.
func (p *faultProxy) restore() { p.proxy.Toxics.ResetToxics(context.Background()) }
