// Package metrics counts what the daemon does, through tally, and serves the
// counts in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"hemlockknot/internal/protocol/refusal"
)

// reportInterval is how often tally hands its counts over.
const reportInterval = 500 * time.Millisecond

// Metrics holds the daemon's counters.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// New returns metrics with their own registry.
func New() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hemlockknot",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, registry: registry}
}

// Handler serves /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close hands over the last counts.
func (m *Metrics) Close() { _ = m.closer.Close() }

// Request counts a caller's request by service.
func (m *Metrics) Request(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("requests_total").Inc(1)
}

// Refused counts a refusal by its reason.
func (m *Metrics) Refused(reason refusal.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals_total").Inc(1)
}

// Retried counts a further try of a request by the reason of it.
func (m *Metrics) Retried(reason refusal.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries_total").Inc(1)
}

// ControlBytes counts the bytes of control traffic between daemons.
func (m *Metrics) ControlBytes(n int) {
	m.scope.Counter("control_bytes_total").Inc(int64(n))
}

// ProbeBytes counts the bytes of probes of engines.
func (m *Metrics) ProbeBytes(n int) {
	m.scope.Counter("probe_bytes_total").Inc(int64(n))
}

// PlatformCall counts a call of the platform's object API.
func (m *Metrics) PlatformCall(operation string) {
	m.scope.Tagged(map[string]string{"operation": operation}).Counter("platform_calls_total").Inc(1)
}

// ClaimsWritten counts a write of claims and the operations that share it.
func (m *Metrics) ClaimsWritten(operations int) {
	m.scope.Counter("claim_writes_total").Inc(1)
	m.scope.Counter("claim_operations_total").Inc(int64(operations))
}

// Replayed counts a recorded answer that was given to a repeat.
func (m *Metrics) Replayed() { m.scope.Counter("claim_replays_total").Inc(1) }

// Generation shows the generation of the document in force.
func (m *Metrics) Generation(generation uint64) {
	m.scope.Gauge("document_generation").Update(float64(generation))
}
