package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Parameters and bound of the latency scenario.
const (
	// latencyWorkers is 1, so that only one request runs at a time. On an otherwise
	// idle fleet, two concurrent requests may exceed the load bound; one of them then
	// spills to an engine that has not cached its context.
	latencyWorkers        = 1
	latencyChatsPerWorker = 120
	latencyTurnsPerChat   = 3
	latencyAnswerTokens   = 4
	latencyTokenTime      = 5 * time.Millisecond
	maxAddedMS            = 5.0 // at the 99th percentile, compared with a direct call
)

// firstTokenTimes collects the times to the first token, in milliseconds, by policy.
type firstTokenTimes struct {
	mu        sync.Mutex
	opening   map[string][]float64 // first turns of a chat
	returning map[string][]float64 // later turns
}

func (f *firstTokenTimes) add(policy string, turn int, result chatResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.returning
	if turn == 0 {
		times = f.opening
	}
	times[policy] = append(times[policy], float64(result.firstToken)/float64(time.Millisecond))
}

// measureLatency compares the time to the first token through the daemons with that
// of a direct call to an engine. The requests of the two kinds are interleaved.
func measureLatency(ctx context.Context, options Options, output io.Writer) error {
	options.TokenTime = latencyTokenTime
	f, err := startFleet(ctx, options, engineCapacities(options.Engines), options.Daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	times := &firstTokenTimes{opening: make(map[string][]float64), returning: make(map[string][]float64)}
	client := newCallerClient()
	pickers := map[string]addressPicker{
		policyHemlockknot:  newPicker(policyHemlockknot, f, options.Seed),
		policyBestPossible: newPicker(policyBestPossible, f, options.Seed),
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for worker := range latencyWorkers {
		group.Go(func() error { return runLatencyWorker(groupCtx, client, pickers, worker, times) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	report := reporter{output: output, scenario: "latency", options: options, daemons: options.Daemons, engines: options.Engines}
	if err := reportAddedLatency(report, "opening", times.opening); err != nil {
		return err
	}
	return reportAddedLatency(report, "returning", times.returning)
}

// runLatencyWorker sends chats through each picker, one request at a time. A turn is
// sent through every picker before the next turn.
func runLatencyWorker(ctx context.Context, client *http.Client, pickers map[string]addressPicker, worker int, times *firstTokenTimes) error {
	for n := range latencyChatsPerWorker {
		for turn := range latencyTurnsPerChat {
			for policy, picker := range pickers {
				chat := chatTrace{name: fmt.Sprintf("%s-%d-%d", policy, worker, n)}
				address, done := picker.pick(chat.name)
				result, err := sendChat(ctx, client, address, chat.name, chat.messages(turn), latencyAnswerTokens)
				done()
				if err != nil {
					return err
				}
				if !result.complete {
					return fmt.Errorf("chat %s: incomplete response with status %d", chat.name, result.status)
				}
				times.add(policy, turn, result)
			}
		}
	}
	return nil
}

// reportAddedLatency writes the quantiles of the direct times and of the times through
// the daemons, and the difference between the two.
func reportAddedLatency(report reporter, kind string, times map[string][]float64) error {
	for _, values := range times {
		slices.Sort(values)
	}
	for _, reported := range []struct {
		name  string
		q     float64
		limit *float64
	}{{"median", 0.5, nil}, {"p99", 0.99, bound(maxAddedMS)}} {
		direct := quantile(times[policyBestPossible], reported.q)
		throughDaemons := quantile(times[policyHemlockknot], reported.q)
		if err := report.add("direct", kind+"_first_token_ms_"+reported.name, direct, LowerIsBetter, nil); err != nil {
			return err
		}
		if err := report.add(policyHemlockknot, kind+"_first_token_ms_"+reported.name, throughDaemons, LowerIsBetter, nil); err != nil {
			return err
		}
		if err := report.add(policyHemlockknot, kind+"_added_ms_"+reported.name, throughDaemons-direct, LowerIsBetter, reported.limit); err != nil {
			return err
		}
	}
	return nil
}
