package gateway

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"hemlockknot/internal/metrics/exposition"
)

// reportInterval is how often tally hands its counts over.
const reportInterval = 2 * time.Second

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// counters are the daemon's metrics.
type counters struct {
	scope  tally.Scope
	report *exposition.Reporter
}

func newCounters() *counters {
	reporter := exposition.NewReporter()
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hemlockknot",
		Separator:              "_",
		Reporter:               reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &counters{scope: scope, report: reporter}
}

func (c *counters) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", c.report)
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

// storeCall counts a call of the platform's store.
func (c *counters) storeCall(verb string) {
	c.scope.Tagged(map[string]string{"verb": verb}).Counter("store_calls_total").Inc(1)
}

// dialed counts a new connection to a target.
func (c *counters) dialed() { c.scope.Counter("connections_opened_total").Inc(1) }

// badEntry counts an object of the store that could not be read.
func (c *counters) badEntry() { c.scope.Counter("bad_entries_total").Inc(1) }
