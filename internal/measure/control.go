package measure

import (
	"context"
	"io"
	"time"
)

// The sizes of the control measurements.
const (
	controlWindow     = 15 * time.Second
	controlBytesBound = 4096.0 // a second for each daemon
	cpuBound          = 1.9    // percent of a core
	memoryBound       = 128.0  // megabytes
	megabyte          = 1 << 20
)

// controlFleetSizes are the fleet sizes that show the slope.
var controlFleetSizes = []int{2, 4, 8}

// measureControl measures control and probe traffic, processor time and memory
// of a daemon, at rest and under traffic, over the size of the fleet.
func measureControl(ctx context.Context, options Options, output io.Writer) error {
	for _, daemons := range controlFleetSizes {
		if err := measureControlOf(ctx, options, daemons, output); err != nil {
			return err
		}
	}
	return nil
}

func measureControlOf(ctx context.Context, options Options, daemons int, output io.Writer) error {
	f, err := startFleet(ctx, options, capacities(options.Engines), daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	report := reporter{output: output, scenario: "control", options: options, daemons: daemons, engines: options.Engines}
	idle, err := f.usage(ctx, func() error { return pause(ctx, controlWindow) })
	if err != nil {
		return err
	}
	options.Duration = controlWindow
	traced := newTrace(options, shape{}, options.Engines)
	busy, err := f.usage(ctx, func() error {
		_, err := play(ctx, f, policyHemlockknot, traced, options)
		return err
	})
	if err != nil {
		return err
	}
	return reportUsage(report, idle, busy)
}

// usage is what a daemon has used on average.
type usage struct {
	controlBytes float64 // a second
	probeBytes   float64 // a second
	cpu          float64 // percent of a core
	memory       float64 // megabytes at the end
}

// usage measures the daemons while a function runs.
func (f *fleet) usage(ctx context.Context, act func() error) (usage, error) {
	before, err := f.counters(ctx)
	if err != nil {
		return usage{}, err
	}
	cpuBefore, _, err := f.resources()
	if err != nil {
		return usage{}, err
	}
	begun := time.Now()
	if err := act(); err != nil {
		return usage{}, err
	}
	seconds := time.Since(begun).Seconds() * float64(len(f.daemons))
	after, err := f.counters(ctx)
	if err != nil {
		return usage{}, err
	}
	cpuAfter, memory, err := f.resources()
	if err != nil {
		return usage{}, err
	}
	const percent = 100
	return usage{
		controlBytes: (after[controlBytes] - before[controlBytes]) / seconds,
		probeBytes:   (after[probeBytes] - before[probeBytes]) / seconds,
		cpu:          (cpuAfter - cpuBefore).Seconds() / seconds * percent,
		memory:       float64(memory) / megabyte / float64(len(f.daemons)),
	}, nil
}

func reportUsage(report reporter, idle, busy usage) error {
	for _, row := range []struct {
		metric string
		value  float64
		limit  *float64
	}{
		{"idle_control_bytes_per_s", idle.controlBytes, nil},
		{"idle_probe_bytes_per_s", idle.probeBytes, nil},
		{"idle_cpu_percent", idle.cpu, bound(cpuBound)},
		{"idle_memory_mb", idle.memory, bound(memoryBound)},
		{"busy_control_bytes_per_s", busy.controlBytes, nil},
		{"busy_probe_bytes_per_s", busy.probeBytes, nil},
		{"busy_control_and_probe_bytes_per_s", busy.controlBytes + busy.probeBytes, bound(controlBytesBound)},
		{"busy_cpu_percent", busy.cpu, nil},
		{"busy_memory_mb", busy.memory, nil},
	} {
		if err := report.add(policyHemlockknot, row.metric, row.value, Lower, row.limit); err != nil {
			return err
		}
	}
	return nil
}
