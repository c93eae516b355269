package measure

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockknot/internal/state/environment"
)

// The sizes of the slope measurements.
const (
	slopeDaemons      = 2
	slopeStreams      = 400
	slopeRequests     = 2000
	slopeWorkers      = 16
	slopeTokens       = 100 // of each long answer
	slopeLongAnswers  = 160
	slopeWorkspaces   = 4000
	slopeTokenTime    = time.Millisecond
	slopeStreamTokens = 100_000 // more than a stream can send meanwhile
	slopeStreamTime   = time.Second
)

// measureSlopes measures what one more stream, request, token and workspace
// costs the fleet's daemons together.
func measureSlopes(ctx context.Context, options Options, output io.Writer) error {
	options.Daemons = slopeDaemons
	report := reporter{output: output, scenario: "slopes", options: options, daemons: slopeDaemons, engines: options.Engines}
	for _, measure := range []func(context.Context, *fleet, reporter) error{slopeOfRequests, slopeOfStreams, slopeOfWorkspaces} {
		if err := slopeOnNewFleet(ctx, options, report, measure); err != nil {
			return err
		}
	}
	return nil
}

func slopeOnNewFleet(ctx context.Context, options Options, report reporter, measure func(context.Context, *fleet, reporter) error) error {
	options.TokenTime = slopeTokenTime
	f, err := startFleet(ctx, options, capacities(options.Engines), slopeDaemons)
	if err != nil {
		return err
	}
	defer f.stop()
	return measure(ctx, f, report)
}

// slopeOfRequests measures processor time: short answers give that of a request,
// and long ones then that of a token.
func slopeOfRequests(ctx context.Context, f *fleet, report reporter) error {
	short, err := f.cpuOf(ctx, slopeRequests, 1, report.options.Seed)
	if err != nil {
		return err
	}
	long, err := f.cpuOf(ctx, slopeLongAnswers, slopeTokens, report.options.Seed)
	if err != nil {
		return err
	}
	perToken := (long - short) / (slopeTokens - 1)
	if err := report.add(policyHemlockknot, "cpu_us_per_request", micros(short-perToken), Lower, nil); err != nil {
		return err
	}
	return report.add(policyHemlockknot, "cpu_us_per_token", micros(perToken), Lower, nil)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// cpuOf returns the daemons' processor time for each of a number of requests.
func (f *fleet) cpuOf(ctx context.Context, requests, tokens int, seed uint64) (time.Duration, error) {
	before, _, err := f.resources()
	if err != nil {
		return 0, err
	}
	var answered atomic.Int64
	where := newPicker(policyHemlockknot, f, seed)
	client := newCallerClient()
	defer client.CloseIdleConnections()
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(slopeWorkers)
	for n := range requests {
		group.Go(func() error { return sendShort(groupCtx, client, where, n, tokens, &answered) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	after, _, err := f.resources()
	return (after - before) / time.Duration(max(1, answered.Load())), err
}

func sendShort(ctx context.Context, client *http.Client, where picker, n, tokens int, answered *atomic.Int64) error {
	chat := tracedChat{name: fmt.Sprintf("slope-%d-%d", tokens, n)}
	address, done := where.pick(chat.name)
	defer done()
	received, err := send(ctx, client, address, chat.name, chat.messages(0), tokens)
	if err == nil && received.complete {
		answered.Add(1)
	}
	return err
}

// slopeOfStreams measures the memory of a stream that is open.
func slopeOfStreams(ctx context.Context, f *fleet, report reporter) error {
	_, before, err := f.resources()
	if err != nil {
		return err
	}
	where := newPicker(policyHemlockknot, f, report.options.Seed)
	client := newCallerClient()
	streams, cancel := context.WithCancel(ctx)
	group := new(errgroup.Group)
	for n := range slopeStreams {
		group.Go(func() error {
			chat := tracedChat{name: fmt.Sprintf("stream-%d", n)}
			address, done := where.pick(chat.name)
			defer done()
			// The end of the measurement breaks the stream off.
			_, _ = send(streams, client, address, chat.name, chat.messages(0), slopeStreamTokens)
			return nil
		})
	}
	err = pause(ctx, slopeStreamTime)
	running := 0
	if records, recordsErr := f.records(ctx); recordsErr == nil {
		for _, ofEngine := range records {
			running += runningAt(ofEngine, time.Now().UnixMilli())
		}
	}
	_, after, resourcesErr := f.resources()
	cancel()
	_ = group.Wait()
	if err := errors.Join(err, resourcesErr); err != nil {
		return fmt.Errorf("hold streams open: %w", err)
	}
	if running == 0 {
		return errors.New("hold streams open: no engine has started one")
	}
	if err := report.add(policyHemlockknot, "open_streams", float64(running), Higher, nil); err != nil {
		return err
	}
	return report.add(policyHemlockknot, "bytes_per_open_stream", float64(after-before)/float64(running), Lower, nil)
}

// slopeOfWorkspaces measures the memory of a workspace in the document.
func slopeOfWorkspaces(ctx context.Context, f *fleet, report reporter) error {
	_, before, err := f.resources()
	if err != nil {
		return err
	}
	for n := range slopeWorkspaces {
		name := fmt.Sprintf("workspace-%d", n)
		f.document.Workspaces = append(f.document.Workspaces, environment.Workspace{
			Name:       name,
			KeysSHA256: []string{environment.HashKey(name)},
		})
	}
	generation, err := f.publish(ctx)
	if err != nil {
		return err
	}
	if err := f.awaitGeneration(ctx, generation); err != nil {
		return err
	}
	_, after, err := f.resources()
	if err != nil {
		return err
	}
	perDaemon := float64(after-before) / slopeDaemons
	return report.add(policyHemlockknot, "bytes_per_workspace", perDaemon/slopeWorkspaces, Lower, nil)
}
