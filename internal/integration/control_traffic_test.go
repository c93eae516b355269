package integration

import (
	"bufio"
	"flag"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
)

const (
	// measureDuration is how long the tests measure control traffic.
	measureDuration = 8 * time.Second
	// trafficBudget limits the control and probe traffic of one daemon in the fleet
	// of TestControlTrafficStaysInBudget, in bytes per second.
	trafficBudget = 4000
)

// metricSum returns the sum of a daemon's metric over all its labels.
func metricSum(t *testing.T, daemon *process, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + daemon.addresses["operators"] + "/metrics")
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	sum := 0.0
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) == 2 && (fields[0] == name || strings.HasPrefix(fields[0], name+"{")) {
			value, err := strconv.ParseFloat(fields[1], 64)
			must.NoError(t, err)
			sum += value
		}
	}
	return sum
}

// controlBytes returns the total control and probe bytes of all daemons so far.
func (f *fleet) controlBytes() (control, probes float64) {
	for _, daemon := range f.daemons {
		control += metricSum(f.t, daemon, "hemlockknot_control_bytes_total")
		probes += metricSum(f.t, daemon, "hemlockknot_probe_bytes_total")
	}
	return control, probes
}

// startScaledFleet starts a number of daemons, spread evenly over a number of failure
// domains, and two engines for each daemon.
func startScaledFleet(t *testing.T, daemons, domains int) *fleet {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.document.Places = nil
	for n := range domains {
		f.document.Places = append(f.document.Places, environment.Place{Name: fmt.Sprint("place-", n), FailureDomain: fmt.Sprint("domain-", n)})
	}
	for n := range 2 * daemons {
		f.addEngine(environment.Engine{
			Name: fmt.Sprint("engine-", n), Service: "writer", Place: fmt.Sprint("place-", n%domains), Capacity: 16,
		}, "engine")
	}
	generation := f.publish()
	for n := range daemons {
		f.addDaemon(fmt.Sprint("d", n), daemonOptions{failureDomain: fmt.Sprint("domain-", n%domains)})
	}
	f.awaitConverged(generation)
	return f
}

// measureControlTraffic returns the mean control and probe bytes per second of one
// daemon under a continuous load.
func (f *fleet) measureControlTraffic() (control, probes float64) {
	f.t.Helper()
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			default:
				f.checkAllDaemonsServe(fmt.Sprint("load-", n))
			}
		}
	}()
	// Skip the traffic of the start. The daemons update the counters every half
	// second.
	<-time.After(2 * time.Second)
	controlBefore, probesBefore := f.controlBytes()
	<-time.After(measureDuration) // the test counts the bytes during this time
	controlAfter, probesAfter := f.controlBytes()
	close(stop)
	<-done
	seconds := measureDuration.Seconds() * float64(len(f.daemons))
	return (controlAfter - controlBefore) / seconds, (probesAfter - probesBefore) / seconds
}

func TestControlTrafficStaysInBudget(t *testing.T) {
	const daemons, domains = 8, 4
	control, probes := startScaledFleet(t, daemons, domains).measureControlTraffic()
	t.Logf("%d daemons: %.0f control and %.0f probe bytes per second and daemon", daemons, control, probes)
	must.Less(t, float64(trafficBudget), control+probes)
}

// fleetSizes lists the numbers of daemons, in one failure domain, for which
// TestControlTrafficSlope measures the control traffic.
var fleetSizes = flag.String("control-sizes", "2,16", "comma-separated numbers of daemons to measure, smallest first")

// maxControlSlope limits the control traffic that each further daemon of a failure
// domain adds to every other daemon, in bytes per second: 10 KB for 43 daemons,
// less 2.5 KB for probes.
const maxControlSlope = 7500 / 43

// TestControlTrafficSlope measures how the control traffic of a daemon grows with the
// number of daemons in its failure domain.
func TestControlTrafficSlope(t *testing.T) {
	var sizes, rates []float64
	for _, text := range strings.Split(*fleetSizes, ",") {
		t.Run(text, func(t *testing.T) {
			daemons, err := strconv.Atoi(text)
			must.NoError(t, err)
			control, probes := startScaledFleet(t, daemons, 1).measureControlTraffic()
			t.Logf("%d daemons: %.0f control and %.0f probe bytes per second and daemon", daemons, control, probes)
			sizes, rates = append(sizes, float64(daemons)), append(rates, control)
		})
	}
	last := len(sizes) - 1
	slope := (rates[last] - rates[0]) / (sizes[last] - sizes[0])
	t.Logf("%.0f control bytes per second for each further daemon", slope)
	must.Less(t, maxControlSlope, slope)
}
