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

// prefillTime is how long a stand-in engine takes to process 1,000 prompt tokens
// that are not in its cache.
const prefillTime = 100 * time.Millisecond

// Options configures a run.
type Options struct {
	Seed         uint64
	BinDir       string // directory of the built programs
	Daemons      int
	Engines      int
	Duration     time.Duration // of each trace
	Rate         float64       // requests per second
	AnswerTokens int           // per answer
	TokenTime    time.Duration // between tokens on an idle engine
	CacheTokens  int           // prompt tokens that an engine caches per request of its capacity
	LoadBound    float64
	Scenarios    []string // empty: all scenarios
	Baselines    bool     // also measure the baseline policies
}

// traceProfile selects the optional load patterns of a trace.
type traceProfile struct {
	churn  bool // engines drain and return during the trace
	skewed bool // many callers share a few chats
}

// scenario is a named set of measurements.
type scenario struct {
	name string
	run  func(ctx context.Context, options Options, output io.Writer) error
}

var scenarios = []scenario{
	{"churn", placementScenario("churn", traceProfile{churn: true})},
	{"steady", placementScenario("steady", traceProfile{})},
	{"skewed", placementScenario("skewed", traceProfile{skewed: true})},
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

// Run runs the selected scenarios in order and writes their rows as JSON, one per line.
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

// mixedCapacities are the capacities, in concurrent requests, of engines that
// differ in age.
var mixedCapacities = []int{48, 72, 96, 144}

// engineCapacities returns a capacity for each engine, cycling through
// mixedCapacities.
func engineCapacities(count int) []int {
	var capacities []int
	for i := range count {
		capacities = append(capacities, mixedCapacities[i%len(mixedCapacities)])
	}
	return capacities
}

// Bounds of the placement scenarios.
const (
	minReuseOfBest = 0.97 // share of the cache reuse of policyBestPossible
	maxSkew        = 1.25 // busiest engine's utilization over the mean, at skewQuantile
	skewQuantile   = 0.99
)

// placementScenario returns a scenario that replays one trace under every policy,
// each on a fleet of its own, and measures cache reuse and skew.
func placementScenario(name string, profile traceProfile) func(context.Context, Options, io.Writer) error {
	return func(ctx context.Context, options Options, output io.Writer) error {
		policies := []string{policyHemlockknot}
		if options.Baselines {
			policies = append(slices.Clone(baselines), policyHemlockknot)
		}
		trace := newTrace(options, profile, options.Engines)
		replays := make([]*replay, len(policies))
		group, ctx := errgroup.WithContext(ctx)
		for i, policy := range policies {
			group.Go(func() error {
				var err error
				replays[i], err = replayOnNewFleet(ctx, policy, trace, options)
				return err
			})
		}
		if err := group.Wait(); err != nil {
			return err
		}
		report := reporter{output: output, scenario: name, options: options, daemons: options.Daemons, engines: options.Engines}
		return reportPlacement(report, policies, replays)
	}
}

// replayOnNewFleet replays a trace on a fleet started for it. Only the hemlockknot
// policy needs daemons.
func replayOnNewFleet(ctx context.Context, policy string, trace requestTrace, options Options) (*replay, error) {
	daemonCount := 0
	if policy == policyHemlockknot {
		daemonCount = options.Daemons
	}
	f, err := startFleet(ctx, options, engineCapacities(options.Engines), daemonCount)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	return replayTrace(ctx, f, policy, trace, options)
}

// reportPlacement writes the rows of each policy's replay. The best possible policy
// precedes the hemlockknot policy in policies, so its reuse is known by then.
func reportPlacement(report reporter, policies []string, replays []*replay) error {
	var bestReuse float64
	for i, policy := range policies {
		run := replays[i]
		reuse := cacheReuse(run.records)
		if policy == policyBestPossible {
			bestReuse = reuse
		}
		var skewBound *float64
		if policy == policyHemlockknot {
			skewBound = bound(maxSkew)
		}
		if err := report.add(policy, "cache_reuse", reuse, HigherIsBetter, nil); err != nil {
			return err
		}
		if err := report.add(policy, "cache_reuse_most_gain_by_evictions", evictionAwarenessGain(run.records), LowerIsBetter, nil); err != nil {
			return err
		}
		skews := run.skewSamples()
		if err := report.add(policy, "skew_p99", quantile(skews, skewQuantile), LowerIsBetter, skewBound); err != nil {
			return err
		}
		if err := reportRequestCounts(report, policy, run, skews); err != nil {
			return err
		}
		if policy == policyHemlockknot && bestReuse > 0 {
			if err := report.add(policy, "cache_reuse_of_best", reuse/bestReuse, HigherIsBetter, bound(minReuseOfBest)); err != nil {
				return err
			}
		}
	}
	return nil
}

// reportRequestCounts writes the median skew, the request counts and the daemons'
// retries and refusals by reason.
func reportRequestCounts(report reporter, policy string, run *replay, skews []float64) error {
	if err := report.add(policy, "skew_median", quantile(skews, 0.5), LowerIsBetter, nil); err != nil {
		return err
	}
	if err := report.add(policy, "requests", float64(run.completed), HigherIsBetter, nil); err != nil {
		return err
	}
	if err := report.add(policy, "refused_tries", float64(run.refusedAttempts), LowerIsBetter, nil); err != nil {
		return err
	}
	if err := report.add(policy, "refused_tries_after_warm_up", float64(run.refusedAfterWarmUp), LowerIsBetter, nil); err != nil {
		return err
	}
	for _, prefix := range []string{retriesPrefix, refusalsPrefix} {
		if err := reportCounterByReason(report, policy, run, prefix); err != nil {
			return err
		}
	}
	return report.add(policy, "failed_requests", float64(run.failed), LowerIsBetter, nil)
}

// reportCounterByReason writes one row for each reason label of a counter. prefix is
// the counter's name up to the value of the label.
func reportCounterByReason(report reporter, policy string, run *replay, prefix string) error {
	metric := strings.TrimSuffix(strings.TrimPrefix(prefix, "hemlockknot_"), "_total{reason=")
	for _, name := range slices.Sorted(maps.Keys(run.counters)) {
		reason, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		if err := report.add(policy, metric+"_"+strings.Trim(reason, `"}`), run.counters[name], LowerIsBetter, nil); err != nil {
			return err
		}
	}
	return nil
}
