package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// reportInterval is how often tally reports its counts to the Prometheus registry.
const reportInterval = 5 * time.Second

// latencyBuckets are the upper bounds of the latency histogram's buckets.
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

// handler serves the metrics in the Prometheus format.
func (c *counters) handler() http.Handler {
	return promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{})
}

// countRequest counts a request by its result and records the time to the first byte
// of the response, unless that is 0.
func (c *counters) countRequest(result string, firstByte time.Duration) {
	c.scope.Tagged(map[string]string{"result": result}).Counter("requests_total").Inc(1)
	if firstByte > 0 {
		c.scope.Histogram("first_byte_seconds", latencyBuckets).RecordDuration(firstByte)
	}
}

// countUnanswered counts a request whose handler ended without a response, by reason.
func (c *counters) countUnanswered(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("unanswered_requests_total").Inc(1)
}

// countClosedConnection counts a connection of a caller that the daemon closed, by reason.
func (c *counters) countClosedConnection(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_connections_closed_total").Inc(1)
}

// countLimit counts a connection that a limit has ended or refused, by the place that accepted it and by
// reason.
func (c *counters) countLimit(place, reason string) {
	c.scope.Tagged(map[string]string{"place": place, "reason": reason}).Counter("connections_limited_total").Inc(1)
}

// countRefusal counts a request that the daemon itself rejected or refused, by reason.
func (c *counters) countRefusal(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("refusals_total").Inc(1)
}

// countTargetRefusal counts a response by which a target asks for no requests for a time.
func (c *counters) countTargetRefusal() { c.scope.Counter("target_refusals_total").Inc(1) }

// countAcceptProbe counts a probe of a brittle target by which a daemon hears whether the target is
// silent.
func (c *counters) countAcceptProbe(answered bool) {
	c.scope.Tagged(map[string]string{"answered": strconv.FormatBool(answered)}).Counter("brittle_probes_total").Inc(1)
}

// countBrittleRejection counts a request that a brittle target has rejected.
func (c *counters) countBrittleRejection() { c.scope.Counter("brittle_rejections_total").Inc(1) }

// countPromptWait counts a request that was held back while its session's prompt was read.
func (c *counters) countPromptWait() { c.scope.Counter("prompt_waits_total").Inc(1) }

// countRoomWait counts a request that waited for a target with room, by how that ended.
func (c *counters) countRoomWait(end string, waited time.Duration) {
	c.scope.Tagged(map[string]string{"end": end}).Counter("room_waits_total").Inc(1)
	c.scope.Counter("room_wait_ms_total").Inc(waited.Milliseconds())
}

// countLimitChange counts a change of the limit that a target names.
func (c *counters) countLimitChange() { c.scope.Counter("target_limit_changes_total").Inc(1) }

// countCold counts a request that was moved to another target than its session's, or refused, as
// cold targets took no more requests.
func (c *counters) countCold(action string) {
	c.scope.Tagged(map[string]string{"action": action}).Counter("cold_requests_total").Inc(1)
}

// countHeldPart counts a part of prompts that is held back because engines crash on it.
func (c *counters) countHeldPart() { c.scope.Counter("held_parts_total").Inc(1) }

// countHeldRequest counts a request that is held back because targets crash on it.
func (c *counters) countHeldRequest() { c.scope.Counter("held_requests_total").Inc(1) }

// countRetry counts a retry by the reason for which the previous attempt failed.
func (c *counters) countRetry(reason string) {
	c.scope.Tagged(map[string]string{"reason": reason}).Counter("retries_total").Inc(1)
}

// countHedge counts hedges: that have begun, and whose answers were used.
func (c *counters) countHedge(event string) {
	c.scope.Tagged(map[string]string{"event": event}).Counter("hedges_total").Inc(1)
}

// countEjection counts the ejection of a target.
func (c *counters) countEjection() { c.scope.Counter("ejections_total").Inc(1) }

// countDomainCut counts how often a failure domain has been found to be cut off.
func (c *counters) countDomainCut() { c.scope.Counter("domain_cuts_total").Inc(1) }

// countUnreachedService counts how often no target of a service has been reached.
func (c *counters) countUnreachedService() { c.scope.Counter("unreached_services_total").Inc(1) }

// countForward counts an attempt that was made by way of another daemon, by its outcome.
func (c *counters) countForward(outcome string) {
	c.scope.Tagged(map[string]string{"outcome": outcome}).Counter("forwarded_requests_total").Inc(1)
}

// countStoreCall counts a call of the store by its verb.
func (c *counters) countStoreCall(verb string) {
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_calls_total").Inc(1)
}

// countDial counts a connection opened to a target.
func (c *counters) countDial() { c.scope.Counter("connections_opened_total").Inc(1) }

// countBadEntry counts a configuration or a target entry that cannot be decoded.
func (c *counters) countBadEntry() { c.scope.Counter("bad_entries_total").Inc(1) }

// countPeerBytes counts bytes sent to and received from peers by this daemon's calls.
func (c *counters) countPeerBytes(n int) { c.scope.Counter("peer_bytes_total").Inc(int64(n)) }

// countPeerFailure counts a failed exchange with a peer.
func (c *counters) countPeerFailure() { c.scope.Counter("peer_failures_total").Inc(1) }
