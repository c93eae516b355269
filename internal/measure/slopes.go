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

// Parameters of the slope measurements.
const (
	slopeDaemons          = 2
	slopeStreams          = 400
	slopeShortRequests    = 2000 // with an answer of one token
	slopeWorkers          = 16   // requests at a time
	slopeLongAnswerTokens = 100  // of each long answer
	slopeLongRequests     = 160  // with a long answer
	slopeWorkspaces       = 4000
	slopeTokenTime        = time.Millisecond
	slopeStreamTokens     = 100_000 // more than a stream sends before it is cancelled
	slopeStreamDuration   = time.Second
)

// measureSlopes measures the marginal cost of a request, token, open stream and
// workspace. The cost of a workspace is that for one daemon; the others are for all
// daemons together.
func measureSlopes(ctx context.Context, options Options, output io.Writer) error {
	options.Daemons = slopeDaemons
	report := reporter{output: output, scenario: "slopes", options: options, daemons: slopeDaemons, engines: options.Engines}
	for _, measurement := range []func(context.Context, *fleet, reporter) error{measureRequestCPU, measureStreamMemory, measureWorkspaceMemory} {
		if err := measureOnNewFleet(ctx, options, report, measurement); err != nil {
			return err
		}
	}
	return nil
}

// measureOnNewFleet runs a measurement on a fleet started for it.
func measureOnNewFleet(ctx context.Context, options Options, report reporter, measurement func(context.Context, *fleet, reporter) error) error {
	options.TokenTime = slopeTokenTime
	f, err := startFleet(ctx, options, engineCapacities(options.Engines), slopeDaemons)
	if err != nil {
		return err
	}
	defer f.stop()
	return measurement(ctx, f, report)
}

// measureRequestCPU measures the processor time per request and per answer token. It
// compares requests whose answers have one token with requests whose answers are long.
func measureRequestCPU(ctx context.Context, f *fleet, report reporter) error {
	shortAnswer, err := f.cpuPerRequest(ctx, slopeShortRequests, 1, report.options.Seed)
	if err != nil {
		return err
	}
	longAnswer, err := f.cpuPerRequest(ctx, slopeLongRequests, slopeLongAnswerTokens, report.options.Seed)
	if err != nil {
		return err
	}
	perToken := (longAnswer - shortAnswer) / (slopeLongAnswerTokens - 1)
	if err := report.add(policyHemlockknot, "cpu_us_per_request", microseconds(shortAnswer-perToken), LowerIsBetter, nil); err != nil {
		return err
	}
	return report.add(policyHemlockknot, "cpu_us_per_token", microseconds(perToken), LowerIsBetter, nil)
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// cpuPerRequest sends a number of requests and returns the processor time of all
// daemons together per completed request.
func (f *fleet) cpuPerRequest(ctx context.Context, requests, answerTokens int, seed uint64) (time.Duration, error) {
	before, _, err := f.daemonResources()
	if err != nil {
		return 0, err
	}
	var completed atomic.Int64
	picker := newPicker(policyHemlockknot, f, seed)
	client := newCallerClient()
	defer client.CloseIdleConnections()
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(slopeWorkers)
	for n := range requests {
		group.Go(func() error { return sendSlopeRequest(groupCtx, client, picker, n, answerTokens, &completed) })
	}
	if err := group.Wait(); err != nil {
		return 0, err
	}
	after, _, err := f.daemonResources()
	return (after - before) / time.Duration(max(1, completed.Load())), err
}

// sendSlopeRequest sends the first request of a new chat and counts it if its response
// is complete.
func sendSlopeRequest(ctx context.Context, client *http.Client, picker addressPicker, index, answerTokens int, completed *atomic.Int64) error {
	chat := chatTrace{name: fmt.Sprintf("slope-%d-%d", answerTokens, index)}
	address, done := picker.pick(chat.name)
	defer done()
	result, err := sendChat(ctx, client, address, chat.name, chat.messages(0), answerTokens)
	if err == nil && result.complete {
		completed.Add(1)
	}
	return err
}

// measureStreamMemory measures the memory of an open stream in all daemons together.
func measureStreamMemory(ctx context.Context, f *fleet, report reporter) error {
	_, before, err := f.daemonResources()
	if err != nil {
		return err
	}
	picker := newPicker(policyHemlockknot, f, report.options.Seed)
	client := newCallerClient()
	streamsCtx, cancelStreams := context.WithCancel(ctx)
	group := new(errgroup.Group)
	for n := range slopeStreams {
		group.Go(func() error {
			chat := chatTrace{name: fmt.Sprintf("stream-%d", n)}
			address, done := picker.pick(chat.name)
			defer done()
			// The stream is cancelled at the end of the measurement, so sendChat
			// returns an error.
			_, _ = sendChat(streamsCtx, client, address, chat.name, chat.messages(0), slopeStreamTokens)
			return nil
		})
	}
	err = sleep(ctx, slopeStreamDuration)
	running := 0
	if records, recordsErr := f.fetchRecords(ctx); recordsErr == nil {
		for _, ofEngine := range records {
			running += runningAt(ofEngine, time.Now().UnixMilli())
		}
	}
	_, after, resourcesErr := f.daemonResources()
	cancelStreams()
	_ = group.Wait()
	if err := errors.Join(err, resourcesErr); err != nil {
		return fmt.Errorf("hold streams open: %w", err)
	}
	if running == 0 {
		return errors.New("hold streams open: no engine has started a stream")
	}
	if err := report.add(policyHemlockknot, "open_streams", float64(running), HigherIsBetter, nil); err != nil {
		return err
	}
	return report.add(policyHemlockknot, "bytes_per_open_stream", float64(after-before)/float64(running), LowerIsBetter, nil)
}

// measureWorkspaceMemory measures the memory that a workspace in the document takes in
// one daemon.
func measureWorkspaceMemory(ctx context.Context, f *fleet, report reporter) error {
	_, before, err := f.daemonResources()
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
	generation, err := f.publishDocument(ctx)
	if err != nil {
		return err
	}
	if err := f.awaitGeneration(ctx, generation); err != nil {
		return err
	}
	_, after, err := f.daemonResources()
	if err != nil {
		return err
	}
	perDaemon := float64(after-before) / slopeDaemons
	return report.add(policyHemlockknot, "bytes_per_workspace", perDaemon/slopeWorkspaces, LowerIsBetter, nil)
}
