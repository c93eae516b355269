package measure

import (
	"context"
	"io"
	"time"
)

// Duration and bounds of the control measurements.
const (
	controlDuration          = 15 * time.Second
	maxControlBytesPerSecond = 4096.0  // control and probe traffic of a daemon under load
	maxCPUPercent            = 1.9     // of a core, used by an idle daemon
	maxMemoryMB              = 128.0   // resident memory of an idle daemon
	megabyte                 = 1 << 20 // bytes
)

// controlFleetSizes are the numbers of daemons to measure. Several sizes show how
// the cost per daemon grows with the fleet.
var controlFleetSizes = []int{2, 4, 8}

// measureControl measures the control and probe traffic, processor time and memory
// of a daemon, idle and under load, for each size of the fleet.
func measureControl(ctx context.Context, options Options, output io.Writer) error {
	for _, daemonCount := range controlFleetSizes {
		if err := measureControlAtSize(ctx, options, daemonCount, output); err != nil {
			return err
		}
	}
	return nil
}

// measureControlAtSize measures a fleet with the given number of daemons.
func measureControlAtSize(ctx context.Context, options Options, daemonCount int, output io.Writer) error {
	f, err := startFleet(ctx, options, engineCapacities(options.Engines), daemonCount)
	if err != nil {
		return err
	}
	defer f.stop()
	report := reporter{output: output, scenario: "control", options: options, daemons: daemonCount, engines: options.Engines}
	idle, err := f.measureUsage(ctx, func() error { return sleep(ctx, controlDuration) })
	if err != nil {
		return err
	}
	options.Duration = controlDuration
	trace := newTrace(options, traceProfile{}, options.Engines)
	busy, err := f.measureUsage(ctx, func() error {
		_, err := replayTrace(ctx, f, policyHemlockknot, trace, options)
		return err
	})
	if err != nil {
		return err
	}
	return reportUsage(report, idle, busy)
}

// daemonUsage is the mean resource usage per daemon.
type daemonUsage struct {
	controlBytesPerSecond float64
	probeBytesPerSecond   float64
	cpuPercent            float64 // of a core
	memoryMB              float64 // at the end of the measurement
}

// measureUsage returns the daemons' mean usage while run executes.
func (f *fleet) measureUsage(ctx context.Context, run func() error) (daemonUsage, error) {
	before, err := f.fetchCounters(ctx)
	if err != nil {
		return daemonUsage{}, err
	}
	cpuBefore, _, err := f.daemonResources()
	if err != nil {
		return daemonUsage{}, err
	}
	start := time.Now()
	if err := run(); err != nil {
		return daemonUsage{}, err
	}
	daemonSeconds := time.Since(start).Seconds() * float64(len(f.daemons))
	after, err := f.fetchCounters(ctx)
	if err != nil {
		return daemonUsage{}, err
	}
	cpuAfter, memory, err := f.daemonResources()
	if err != nil {
		return daemonUsage{}, err
	}
	const percent = 100
	return daemonUsage{
		controlBytesPerSecond: (after[controlBytesCounter] - before[controlBytesCounter]) / daemonSeconds,
		probeBytesPerSecond:   (after[probeBytesCounter] - before[probeBytesCounter]) / daemonSeconds,
		cpuPercent:            (cpuAfter - cpuBefore).Seconds() / daemonSeconds * percent,
		memoryMB:              float64(memory) / megabyte / float64(len(f.daemons)),
	}, nil
}

func reportUsage(report reporter, idle, busy daemonUsage) error {
	for _, row := range []struct {
		metric string
		value  float64
		limit  *float64
	}{
		{"idle_control_bytes_per_s", idle.controlBytesPerSecond, nil},
		{"idle_probe_bytes_per_s", idle.probeBytesPerSecond, nil},
		{"idle_cpu_percent", idle.cpuPercent, bound(maxCPUPercent)},
		{"idle_memory_mb", idle.memoryMB, bound(maxMemoryMB)},
		{"busy_control_bytes_per_s", busy.controlBytesPerSecond, nil},
		{"busy_probe_bytes_per_s", busy.probeBytesPerSecond, nil},
		{"busy_control_and_probe_bytes_per_s", busy.controlBytesPerSecond + busy.probeBytesPerSecond, bound(maxControlBytesPerSecond)},
		{"busy_cpu_percent", busy.cpuPercent, nil},
		{"busy_memory_mb", busy.memoryMB, nil},
	} {
		if err := report.add(policyHemlockknot, row.metric, row.value, LowerIsBetter, row.limit); err != nil {
			return err
		}
	}
	return nil
}
