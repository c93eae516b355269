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
	// controlWindow is how long control traffic is measured.
	controlWindow = 8 * time.Second
	// controlBudget is what a daemon of today's fleets may spend, in bytes a second.
	controlBudget = 4000
)

// counter returns the sum of a daemon's counters of a name.
func counter(t *testing.T, daemon *process, name string) float64 {
	t.Helper()
	response, err := http.Get("http://" + daemon.listening["operators"] + "/metrics")
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

// controlBytes returns the control and probe bytes of all daemons so far.
func (f *fleet) controlBytes() (control, probes float64) {
	for _, daemon := range f.daemons {
		control += counter(f.t, daemon, "hemlockknot_control_bytes_total")
		probes += counter(f.t, daemon, "hemlockknot_probe_bytes_total")
	}
	return control, probes
}

// startWideFleet starts a fleet of daemons in failure domains with two engines
// for each daemon.
func startWideFleet(t *testing.T, daemons, domains int) *fleet {
	f := newFleet(t)
	f.describeSmallFleet()
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
	f.awaitSettled(generation)
	return f
}

// measureControl returns the control and probe bytes a second of a daemon while
// requests run all the time.
func (f *fleet) measureControl() (control, probes float64) {
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
				f.serveEverywhere(fmt.Sprint("load-", n))
			}
		}
	}()
	// Counters are renewed every half second; what a start costs is left out.
	<-time.After(2 * time.Second)
	controlBefore, probesBefore := f.controlBytes()
	<-time.After(controlWindow) // the bytes of a stretch of time are what is measured
	controlAfter, probesAfter := f.controlBytes()
	close(stop)
	<-done
	seconds := controlWindow.Seconds() * float64(len(f.daemons))
	return (controlAfter - controlBefore) / seconds, (probesAfter - probesBefore) / seconds
}

func TestControlTrafficStaysInBudget(t *testing.T) {
	const daemons, domains = 8, 4
	control, probes := startWideFleet(t, daemons, domains).measureControl()
	t.Logf("%d daemons: %.0f control and %.0f probe bytes a second for each", daemons, control, probes)
	must.Less(t, float64(controlBudget), control+probes)
}

// controlSizes are the fleets, in one failure domain, over which
// TestControlTrafficSlope measures.
var controlSizes = flag.String("control-sizes", "2,16", "sizes of fleets to measure, smallest first")

// controlSlope is what each further daemon of a failure domain may cost the
// others, in bytes a second: 10 KB for 43 daemons, less 2.5 KB for probes.
const controlSlope = 7500 / 43

func TestControlTrafficSlope(t *testing.T) {
	var sizes, rates []float64
	for _, text := range strings.Split(*controlSizes, ",") {
		t.Run(text, func(t *testing.T) {
			daemons, err := strconv.Atoi(text)
			must.NoError(t, err)
			control, probes := startWideFleet(t, daemons, 1).measureControl()
			t.Logf("%d daemons: %.0f control and %.0f probe bytes a second for each", daemons, control, probes)
			sizes, rates = append(sizes, float64(daemons)), append(rates, control)
		})
	}
	last := len(sizes) - 1
	slope := (rates[last] - rates[0]) / (sizes[last] - sizes[0])
	t.Logf("%.0f bytes a second for each further daemon", slope)
	must.Less(t, controlSlope, slope)
}
