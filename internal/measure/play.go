package measure

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockknot/internal/standin/engine"
)

// retryPause is how long a caller waits after a refusal.
const retryPause = 50 * time.Millisecond

// played is what came of a trace under one policy.
type played struct {
	fleet       *fleet
	begun       time.Time
	records     [][]engine.Record // by engine
	absences    []absence
	duration    time.Duration
	requests    int64              // answered whole
	refused     int64              // tries that were refused
	refusedLate int64              // of them, after the warm-up
	failed      int64              // requests that were not answered
	counters    map[string]float64 // of the daemons, summed
}

// play runs a trace through a policy on the fleet.
func play(ctx context.Context, f *fleet, policy string, traced trace, options Options) (*played, error) {
	run := &played{fleet: f, begun: time.Now(), absences: traced.absences, duration: traced.duration}
	where := newPicker(policy, f, options.Seed)
	client := newCallerClient()
	defer client.CloseIdleConnections()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return run.churn(groupCtx, where) })
	for _, chat := range traced.chats {
		group.Go(func() error { return run.playChat(groupCtx, client, where, chat, options) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var err error
	if run.records, err = f.records(ctx); err != nil {
		return nil, err
	}
	run.counters, err = f.counters(ctx)
	return run, err
}

// churn takes engines away and brings them back.
func (p *played) churn(ctx context.Context, where picker) error {
	for _, away := range p.absences {
		if err := pause(ctx, time.Until(p.begun.Add(away.from))); err != nil {
			return err
		}
		where.setLive(away.engine, false)
		if err := p.fleet.leave(ctx, away.engine, away.cleared); err != nil {
			return err
		}
		if err := pause(ctx, time.Until(p.begun.Add(away.until))); err != nil {
			return err
		}
		if err := p.fleet.comeBack(ctx, away.engine); err != nil {
			return err
		}
		where.setLive(away.engine, true)
	}
	return nil
}

func (p *played) playChat(ctx context.Context, client *http.Client, where picker, chat tracedChat, options Options) error {
	for turn, at := range chat.turns {
		if err := pause(ctx, time.Until(p.begun.Add(at))); err != nil {
			return err
		}
		if time.Since(p.begun) > p.duration {
			return nil // an earlier turn was answered too late
		}
		if err := p.playTurn(ctx, client, where, chat, turn, options); err != nil {
			return err
		}
	}
	return nil
}

// playTurn sends a turn until it is taken.
func (p *played) playTurn(ctx context.Context, client *http.Client, where picker, chat tracedChat, turn int, options Options) error {
	for {
		address, done := where.pick(chat.name)
		received, err := send(ctx, client, address, chat.name, chat.messages(turn), options.Tokens)
		done()
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil || (received.status == http.StatusOK && !received.complete):
			atomic.AddInt64(&p.failed, 1)
			return nil
		case received.complete:
			atomic.AddInt64(&p.requests, 1)
			return nil
		}
		p.countRefused()
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
}

func (p *played) countRefused() {
	atomic.AddInt64(&p.refused, 1)
	if time.Since(p.begun) > warmUp {
		atomic.AddInt64(&p.refusedLate, 1)
	}
}
