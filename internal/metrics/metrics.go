// Package metrics records the daemon's metrics with tally and serves them in the
// Prometheus text format.
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

// reportInterval is how often tally reports its values to the Prometheus registry.
const reportInterval = 500 * time.Millisecond

// Metrics holds the daemon's counters and gauges.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	registry *prometheus.Registry
}

// New returns metrics that are registered in a registry of their own.
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

// Handler returns the handler of /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Close reports the last values and stops reporting.
func (m *Metrics) Close() { _ = m.closer.Close() }

// CountRequest counts a caller's request, by service.
func (m *Metrics) CountRequest(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("requests_total").Inc(1)
}

// CountRefusal counts a refused request, by the reason of the refusal.
func (m *Metrics) CountRefusal(reason refusal.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refusals_total").Inc(1)
}

// CountLimit counts a connection that a limit has ended or refused, by the place that accepted it and
// by reason.
func (m *Metrics) CountLimit(place, reason string) {
	m.scope.Tagged(map[string]string{"place": place, "reason": reason}).Counter("connections_limited_total").Inc(1)
}

// CountRetry counts an attempt that did not complete the answer to a request, by the
// reason for which it failed.
func (m *Metrics) CountRetry(reason refusal.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("retries_total").Inc(1)
}

// AddControlBytes adds n bytes to the control traffic between daemons.
func (m *Metrics) AddControlBytes(n int) {
	m.scope.Counter("control_bytes_total").Inc(int64(n))
}

// AddProbeBytes adds n bytes to the traffic of engine probes.
func (m *Metrics) AddProbeBytes(n int) {
	m.scope.Counter("probe_bytes_total").Inc(int64(n))
}

// CountPlatformCall counts a request to the platform's object API, by operation.
func (m *Metrics) CountPlatformCall(operation string) {
	m.scope.Tagged(map[string]string{"operation": operation}).Counter("platform_calls_total").Inc(1)
}

// CountClaimWrite counts one write of claims and the operations that it combines.
func (m *Metrics) CountClaimWrite(operations int) {
	m.scope.Counter("claim_writes_total").Inc(1)
	m.scope.Counter("claim_operations_total").Inc(int64(operations))
}

// CountReplay counts a stored answer that was sent in response to a duplicate request.
func (m *Metrics) CountReplay() { m.scope.Counter("claim_replays_total").Inc(1) }

// SetDocumentGeneration sets the gauge for the generation of the active environment
// document.
func (m *Metrics) SetDocumentGeneration(generation uint64) {
	m.scope.Gauge("document_generation").Update(float64(generation))
}
