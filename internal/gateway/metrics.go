package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// reportInterval is how often tally hands its counts over.
const reportInterval = 5 * time.Second

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// counters are the daemon's metrics.
type counters struct {
	scope    tally.Scope
	registry *prom.Registry
}

func newCounters() *counters {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hemlockknot",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &counters{scope: scope, registry: registry}
}

func (c *counters) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
	return mux
}

// answered counts a request by its result and notes how long it took to the
// first byte of the answer.
func (c *counters) answered(result string, firstByte time.Duration) {
	c.scope.Tagged(map[string]string{"result": result}).Counter("requests_total").Inc(1)
	if firstByte > 0 {
		c.scope.Histogram("first_byte_seconds", latencyBuckets).RecordDuration(firstByte)
	}
}

// refused counts a refusal of the daemon's own by its reason.
func (c *counters) refused(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals_total").Inc(1)
}

// retried counts a further try by the reason of it.
func (c *counters) retried(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("retries_total").Inc(1)
}

// ejected counts a target that is left alone for a while.
func (c *counters) ejected() { c.scope.Counter("ejections_total").Inc(1) }

// domainCut counts a failure domain that has fallen silent.
func (c *counters) domainCut() { c.scope.Counter("domain_cuts_total").Inc(1) }

func (c *counters) storeCall(verb string) {
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_calls_total").Inc(1)
}

func (c *counters) dialed() { c.scope.Counter("connections_opened_total").Inc(1) }

func (c *counters) badEntry() { c.scope.Counter("bad_entries_total").Inc(1) }

// peerBytes counts the bytes of exchanges with other daemons.
func (c *counters) peerBytes(n int) { c.scope.Counter("peer_bytes_total").Inc(int64(n)) }

// peerFailed counts an exchange that a peer did not answer.
func (c *counters) peerFailed() { c.scope.Counter("peer_failures_total").Inc(1) }
