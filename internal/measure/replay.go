package measure

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockknot/internal/standin/engine"
)

// retryDelay is how long a caller waits after a refusal before it tries again.
const retryDelay = 50 * time.Millisecond

// replay is one run of a trace under a policy, with its results.
type replay struct {
	fleet              *fleet
	startTime          time.Time
	records            [][]engine.Record // by engine
	drains             []drainWindow
	duration           time.Duration
	completed          int64              // requests that received a complete answer
	refusedAttempts    int64              // attempts that were refused and then retried
	refusedAfterWarmUp int64              // those of refusedAttempts made after warmUp
	failed             int64              // requests that received no answer or an incomplete one
	counters           map[string]float64 // summed over the daemons
}

// replayTrace sends the requests of a trace to the fleet under a policy.
func replayTrace(ctx context.Context, f *fleet, policy string, trace requestTrace, options Options) (*replay, error) {
	r := &replay{fleet: f, startTime: time.Now(), drains: trace.drains, duration: trace.duration}
	picker := newPicker(policy, f, options.Seed)
	client := newCallerClient()
	defer client.CloseIdleConnections()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.applyDrains(groupCtx, picker) })
	for _, chat := range trace.chats {
		group.Go(func() error { return r.replayChat(groupCtx, client, picker, chat, options) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var err error
	if r.records, err = f.fetchRecords(ctx); err != nil {
		return nil, err
	}
	r.counters, err = f.fetchCounters(ctx)
	return r, err
}

// applyDrains drains and restores engines at the times of the trace.
func (r *replay) applyDrains(ctx context.Context, picker addressPicker) error {
	for _, drain := range r.drains {
		if err := sleep(ctx, time.Until(r.startTime.Add(drain.from))); err != nil {
			return err
		}
		picker.setLive(drain.engineIndex, false)
		if err := r.fleet.drainEngine(ctx, drain.engineIndex, drain.clearCache); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(r.startTime.Add(drain.until))); err != nil {
			return err
		}
		if err := r.fleet.restoreEngine(ctx, drain.engineIndex); err != nil {
			return err
		}
		picker.setLive(drain.engineIndex, true)
	}
	return nil
}

// replayChat sends the turns of a chat, each at its time but not before the
// previous turn has ended.
func (r *replay) replayChat(ctx context.Context, client *http.Client, picker addressPicker, chat chatTrace, options Options) error {
	for turn, at := range chat.turnTimes {
		if err := sleep(ctx, time.Until(r.startTime.Add(at))); err != nil {
			return err
		}
		if time.Since(r.startTime) > r.duration {
			return nil // an earlier turn ended after the end of the trace
		}
		if err := r.replayTurn(ctx, client, picker, chat, turn, options); err != nil {
			return err
		}
	}
	return nil
}

// replayTurn sends a turn, and retries it for as long as it is refused.
func (r *replay) replayTurn(ctx context.Context, client *http.Client, picker addressPicker, chat chatTrace, turn int, options Options) error {
	for {
		address, done := picker.pick(chat.name)
		result, err := sendChat(ctx, client, address, chat.name, chat.messages(turn), options.AnswerTokens)
		done()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil || (result.status == http.StatusOK && !result.complete):
			atomic.AddInt64(&r.failed, 1)
			return nil
		case result.complete:
			atomic.AddInt64(&r.completed, 1)
			return nil
		}
		r.countRefusal()
		if err := sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
}

func (r *replay) countRefusal() {
	atomic.AddInt64(&r.refusedAttempts, 1)
	if time.Since(r.startTime) > warmUp {
		atomic.AddInt64(&r.refusedAfterWarmUp, 1)
	}
}
