package measure

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// prefillTime is the stand-ins' time for 1,000 prompt tokens not in the cache.
const prefillTime = 100 * time.Millisecond

// Options are the sizes of a run.
type Options struct {
	Seed        uint64
	Programs    string // folder of the programs
	Daemons     int
	Engines     int
	Duration    time.Duration // of each scenario
	Rate        float64       // requests a second
	Tokens      int           // of an answer
	TokenTime   time.Duration // between tokens, when an engine is idle
	CacheTokens int           // prompt tokens that an engine caches for each request of its capacity
	LoadBound   float64
	Scenarios   []string // empty: all
	Baselines   bool     // measure the baselines too
}

// shape is the kind of a trace.
type shape struct {
	churn  bool
	skewed bool
}

// scenario is one measurement.
type scenario struct {
	name string
	run  func(ctx context.Context, options Options, output io.Writer) error
}

var scenarios = []scenario{
	{"churn", placement("churn", shape{churn: true})},
	{"steady", placement("steady", shape{})},
	{"skewed", placement("skewed", shape{skewed: true})},
	{"latency", measureLatency},
	{"control", measureControl},
	{"configuration", measureConfiguration},
	{"leaving", measureLeaving},
	{"slopes", measureSlopes},
}

// ScenarioNames returns the names of all scenarios.
func ScenarioNames() []string {
	var names []string
	for _, scenario := range scenarios {
		names = append(names, scenario.name)
	}
	return names
}

// Run measures the scenarios and writes their rows.
func Run(ctx context.Context, options Options, output io.Writer) error {
	for _, scenario := range scenarios {
		if len(options.Scenarios) > 0 && !slices.Contains(options.Scenarios, scenario.name) {
			continue
		}
		if err := scenario.run(ctx, options, output); err != nil {
			return fmt.Errorf("scenario %s: %w", scenario.name, err)
		}
	}
	return nil
}

// unevenCapacities are those of engines of uneven age.
var unevenCapacities = []int{48, 72, 96, 144}

func capacities(engines int) []int {
	var all []int
	for i := range engines {
		all = append(all, unevenCapacities[i%len(unevenCapacities)])
	}
	return all
}

// Targets of placement.
const (
	reuseOfBestBound = 0.97
	skewBound        = 1.25
	skewQuantile     = 0.99
)

// placement measures cache reuse and skew under every policy, on the same trace.
func placement(name string, shape shape) func(context.Context, Options, io.Writer) error {
	return func(ctx context.Context, options Options, output io.Writer) error {
		policies := []string{policyHemlockknot}
		if options.Baselines {
			policies = append(slices.Clone(baselines), policyHemlockknot)
		}
		traced := newTrace(options, shape, options.Engines)
		runs := make([]*played, len(policies))
		group, ctx := errgroup.WithContext(ctx)
		for i, policy := range policies {
			group.Go(func() error {
				var err error
				runs[i], err = playOnNewFleet(ctx, policy, traced, options)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		report := reporter{output: output, scenario: name, options: options, daemons: options.Daemons, engines: options.Engines}
		return reportPlacement(report, policies, runs)
	}
}

func playOnNewFleet(ctx context.Context, policy string, traced trace, options Options) (*played, error) {
	daemons := 0
	if policy == policyHemlockknot {
		daemons = options.Daemons
	}
	f, err := startFleet(ctx, options, capacities(options.Engines), daemons)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	return play(ctx, f, policy, traced, options)
}

func reportPlacement(report reporter, policies []string, runs []*played) error {
	var best float64
	for i, policy := range policies {
		run := runs[i]
		value := reuse(run.records)
		if policy == policyBest {
			best = value
		}
		var skewLimit *float64
		if policy == policyHemlockknot {
			skewLimit = bound(skewBound)
		}
		if err := report.add(policy, "cache_reuse", value, Higher, nil); err != nil {
			return err
		}
		if err := report.add(policy, "cache_reuse_most_gain_by_evictions", evictionGain(run.records), Lower, nil); err != nil {
			return err
		}
		samples := run.skew()
		if err := report.add(policy, "skew_p99", quantile(samples, skewQuantile), Lower, skewLimit); err != nil {
			return err
		}
		if err := reportCounts(report, policy, run, samples); err != nil {
			return err
		}
		if policy == policyHemlockknot && best > 0 {
			if err := report.add(policy, "cache_reuse_of_best", value/best, Higher, bound(reuseOfBestBound)); err != nil {
				return err
			}
		}
	}
	return nil
}

func reportCounts(report reporter, policy string, run *played, samples []float64) error {
	if err := report.add(policy, "skew_median", quantile(samples, 0.5), Lower, nil); err != nil {
		return err
	}
	if err := report.add(policy, "requests", float64(run.requests), Higher, nil); err != nil {
		return err
	}
	if err := report.add(policy, "refused_tries", float64(run.refused), Lower, nil); err != nil {
		return err
	}
	if err := report.add(policy, "refused_tries_after_warm_up", float64(run.refusedLate), Lower, nil); err != nil {
		return err
	}
	for _, prefix := range []string{retriesPrefix, refusalsPrefix} {
		if err := reportReasons(report, policy, run, prefix); err != nil {
			return err
		}
	}
	return report.add(policy, "failed_requests", float64(run.failed), Lower, nil)
}

// reportReasons writes a counter's values by reason.
func reportReasons(report reporter, policy string, run *played, prefix string) error {
	metric := strings.TrimSuffix(strings.TrimPrefix(prefix, "hemlockknot_"), "_total{reason=")
	for _, name := range slices.Sorted(maps.Keys(run.counters)) {
		reason, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if err := report.add(policy, metric+"_"+strings.Trim(reason, `"}`), run.counters[name], Lower, nil); err != nil {
			return err
		}
	}
	return nil
}
