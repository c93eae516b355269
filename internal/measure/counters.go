package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Names of the daemons' counters. The prefixes end before the value of the label.
const (
	controlBytesCounter = "hemlockknot_control_bytes_total"
	probeBytesCounter   = "hemlockknot_probe_bytes_total"
	retriesPrefix       = `hemlockknot_retries_total{reason=`
	refusalsPrefix      = `hemlockknot_refusals_total{reason=`
)

// fetchCounters returns the counters summed over all daemons. A key is the counter's
// name with its labels.
func (f *fleet) fetchCounters(ctx context.Context) (map[string]float64, error) {
	sums := make(map[string]float64)
	for _, daemon := range f.daemons {
		url := "http://" + daemon.addresses["operators"] + "/metrics"
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return nil, err
		}
		response, err := f.client.Do(request)
		if err != nil {
			return nil, fmt.Errorf("read counters of daemon %s: %w", daemon.name, err)
		}
		addCounters(sums, response.Body)
		_ = response.Body.Close()
	}
	return sums, nil
}

// addCounters adds the samples in a Prometheus text exposition to the sums.
func addCounters(sums map[string]float64, text io.Reader) {
	scanner := bufio.NewScanner(text)
	for scanner.Scan() {
		name, value, ok := strings.Cut(scanner.Text(), " ")
		if !ok || strings.HasPrefix(name, "#") {
			continue
		}
		if parsed, err := strconv.ParseFloat(value, 64); err == nil {
			sums[name] += parsed
		}
	}
}
