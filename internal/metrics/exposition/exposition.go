// Package exposition shows tally's metrics in the Prometheus text format. The
// client library of Prometheus does the same, but takes a third of a small
// daemon's memory.
package exposition

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Reporter implements tally.StatsReporter and http.Handler.
type Reporter struct {
	mu     sync.Mutex
	values map[string]float64 // by the name and labels of the series
}

// NewReporter returns a reporter without series.
func NewReporter() *Reporter {
	return &Reporter{values: make(map[string]float64)}
}

// ServeHTTP writes all series.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = io.WriteString(w, r.text())
}

func (r *Reporter) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	series := make([]string, 0, len(r.values))
	for name := range r.values {
		series = append(series, name)
	}
	slices.Sort(series)
	var text strings.Builder
	for _, name := range series {
		fmt.Fprintf(&text, "%s %s\n", name, strconv.FormatFloat(r.values[name], 'g', -1, 64))
	}
	return text.String()
}

func (r *Reporter) add(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[labelled(name, tags)] += value
}

// labelled returns a series' name with its labels in order.
func labelled(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}
	labels := make([]string, 0, len(tags))
	for key, value := range tags {
		labels = append(labels, fmt.Sprintf("%s=%q", key, value))
	}
	slices.Sort(labels)
	return name + "{" + strings.Join(labels, ",") + "}"
}

// ReportCounter implements tally.StatsReporter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.add(name, tags, float64(value))
}

// ReportGauge implements tally.StatsReporter.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[labelled(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.add(name+"_sum", tags, interval.Seconds())
	r.add(name+"_count", tags, 1)
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper float64, samples int64) {
	r.samples(name, tags, buckets.AsValues(), upper, samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, buckets tally.Buckets, _, upper time.Duration, samples int64) {
	var bounds []float64
	for _, bound := range buckets.AsDurations() {
		bounds = append(bounds, bound.Seconds())
	}
	limit := upper.Seconds()
	if upper == math.MaxInt64 {
		limit = math.Inf(1)
	}
	r.samples(name, tags, bounds, limit, samples)
}

// samples adds to all buckets from the one whose upper bound is given, as the
// format counts them cumulatively.
func (r *Reporter) samples(name string, tags map[string]string, bounds []float64, upper float64, samples int64) {
	for _, bound := range append(slices.Clone(bounds), math.Inf(1)) {
		labels := map[string]string{"le": strconv.FormatFloat(bound, 'g', -1, 64)}
		for key, value := range tags {
			labels[key] = value
		}
		added := 0.0
		if bound >= upper {
			added = float64(samples)
		}
		r.add(name+"_bucket", labels, added)
	}
	r.add(name+"_count", tags, float64(samples))
}

// Capabilities implements tally.StatsReporter.
func (r *Reporter) Capabilities() tally.Capabilities { return capabilities{} }

// Flush implements tally.StatsReporter.
func (r *Reporter) Flush() {}

type capabilities struct{}

func (capabilities) Reporting() bool { return true }
func (capabilities) Tagging() bool   { return true }
