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

// The sizes of the latency measurement.
const (
	// One request at a time: two at once may exceed the load bound of a fleet
	// at rest, and the spilled one then pays for its cold context.
	latencyWorkers   = 1
	latencyChats     = 120 // of each worker
	latencyTurns     = 3
	latencyTokens    = 4
	latencyTokenTime = 5 * time.Millisecond
	addedTimeBound   = 5.0 // milliseconds
)

// firstTokens collects times to the first token in milliseconds.
type firstTokens struct {
	mu       sync.Mutex
	openings map[string][]float64 // by policy
	returns  map[string][]float64
}

func (f *firstTokens) add(policy string, turn int, received outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	into := f.returns
	if turn == 0 {
		into = f.openings
	}
	into[policy] = append(into[policy], float64(received.firstToken)/float64(time.Millisecond))
}

// measureLatency compares the time to the first token through the daemons with
// that straight to an engine, request by request in turn.
func measureLatency(ctx context.Context, options Options, output io.Writer) error {
	options.TokenTime = latencyTokenTime
	f, err := startFleet(ctx, options, capacities(options.Engines), options.Daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	times := &firstTokens{openings: make(map[string][]float64), returns: make(map[string][]float64)}
	client := newCallerClient()
	pickers := map[string]picker{
		policyHemlockknot: newPicker(policyHemlockknot, f, options.Seed),
		policyBest:        newPicker(policyBest, f, options.Seed),
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for worker := range latencyWorkers {
		group.Go(func() error { return latencyWorker(groupCtx, client, pickers, worker, times) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	report := reporter{output: output, scenario: "latency", options: options, daemons: options.Daemons, engines: options.Engines}
	if err := reportAdded(report, "opening", times.openings); err != nil {
		return err
	}
	return reportAdded(report, "returning", times.returns)
}

func latencyWorker(ctx context.Context, client *http.Client, pickers map[string]picker, worker int, times *firstTokens) error {
	for n := range latencyChats {
		for turn := range latencyTurns {
			for policy, where := range pickers {
				chat := tracedChat{name: fmt.Sprintf("%s-%d-%d", policy, worker, n)}
				address, done := where.pick(chat.name)
				received, err := send(ctx, client, address, chat.name, chat.messages(turn), latencyTokens)
				done()
				if err != nil {
					return err
				}
				if !received.complete {
					return fmt.Errorf("chat %s: status %d", chat.name, received.status)
				}
				times.add(policy, turn, received)
			}
		}
	}
	return nil
}

func reportAdded(report reporter, kind string, times map[string][]float64) error {
	for _, values := range times {
		slices.Sort(values)
	}
	for _, quantileOf := range []struct {
		name  string
		q     float64
		limit *float64
	}{{"median", 0.5, nil}, {"p99", 0.99, bound(addedTimeBound)}} {
		direct := quantile(times[policyBest], quantileOf.q)
		through := quantile(times[policyHemlockknot], quantileOf.q)
		if err := report.add("direct", kind+"_first_token_ms_"+quantileOf.name, direct, Lower, nil); err != nil {
			return err
		}
		if err := report.add(policyHemlockknot, kind+"_first_token_ms_"+quantileOf.name, through, Lower, nil); err != nil {
			return err
		}
		if err := report.add(policyHemlockknot, kind+"_added_ms_"+quantileOf.name, through-direct, Lower, quantileOf.limit); err != nil {
			return err
		}
	}
	return nil
}
