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

// faultProxy is a TCP proxy that tests use to drop, delay or reset traffic. Its
// address is known before its upstream is set, so that a daemon can advertise it.
type faultProxy struct {
	t     *testing.T
	proxy *toxiproxy.Proxy
}

// newFaultProxy starts a proxy whose upstream is not set yet.
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

// address returns the address that clients connect to.
func (p *faultProxy) address() string { return p.proxy.Listen }

// setUpstream sets the upstream address.
func (p *faultProxy) setUpstream(upstream string) {
	p.proxy.Lock()
	defer p.proxy.Unlock()
	p.proxy.Upstream = upstream
}

// blackhole drops all data in both directions without closing connections, as a
// network partition does. clearFaults then closes these connections.
func (p *faultProxy) blackhole() {
	p.addToxic("cut-up", "timeout", "upstream", `{"timeout":0}`)
	p.addToxic("cut-down", "timeout", "downstream", `{"timeout":0}`)
}

// addLatency adds latency, in milliseconds, in both directions.
func (p *faultProxy) addLatency(milliseconds int) {
	attributes := fmt.Sprintf(`{"latency":%d}`, milliseconds)
	p.addToxic("delay-up", "latency", "upstream", attributes)
	p.addToxic("delay-down", "latency", "downstream", attributes)
}

// addToxic adds a toxic of a kind that toxiproxy defines. The direction is upstream
// or downstream, and the attributes are JSON.
func (p *faultProxy) addToxic(name, kind, direction, attributes string) {
	p.t.Helper()
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":%s}`, name, kind, direction, attributes)
	if _, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(text)); err != nil {
		p.t.Fatal(err)
	}
}

// clearFaults removes all toxics.
func (p *faultProxy) clearFaults() { p.proxy.Toxics.ResetToxics(context.Background()) }
