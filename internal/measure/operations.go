package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	standin "hemlockknot/internal/standin/platform"
	"hemlockknot/internal/state/environment"
)

// Parameters and bounds of the configuration and leaving scenarios.
const (
	documentChanges          = 5
	maxDocumentUpdateSeconds = 15.0 // until a change is in force at every daemon
	slowPlatformDelayMS      = 1000 // added to each call
	leavingGracePeriod       = 3 * time.Second
	leavingDuration          = 10 * time.Second // from the marking of the host as leaving until the end of the trace
	leavingWarmUp            = 5 * time.Second  // from the start of the trace until that marking
)

// measureConfiguration measures how long a change of the environment document takes to
// be in force at every daemon, with a normal and with a slow platform.
func measureConfiguration(ctx context.Context, options Options, output io.Writer) error {
	f, err := startFleet(ctx, options, engineCapacities(options.Engines), options.Daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	report := reporter{output: output, scenario: "configuration", options: options, daemons: options.Daemons, engines: options.Engines}
	for _, platformCase := range []struct {
		metric string
		fault  standin.Fault
	}{
		{"seconds_to_force", standin.Fault{}},
		{"seconds_to_force_slow_platform", standin.Fault{DelayMS: slowPlatformDelayMS}},
	} {
		if err := f.setPlatformFault(ctx, platformCase.fault); err != nil {
			return err
		}
		slowest, err := f.slowestDocumentUpdate(ctx)
		if err != nil {
			return err
		}
		if err := report.add(policyHemlockknot, platformCase.metric, slowest.Seconds(), LowerIsBetter, bound(maxDocumentUpdateSeconds)); err != nil {
			return err
		}
	}
	return nil
}

// slowestDocumentUpdate writes several changes of the environment document and
// returns the longest time from the response to a write until the change is in force
// at every daemon.
func (f *fleet) slowestDocumentUpdate(ctx context.Context) (time.Duration, error) {
	var slowest time.Duration
	for n := range documentChanges {
		f.document.Workspaces = append(f.document.Workspaces, environment.Workspace{
			Name: fmt.Sprintf("workspace-%d-%d", len(f.document.Workspaces), n),
		})
		generation, err := f.publishDocument(ctx)
		if err != nil {
			return 0, err
		}
		start := time.Now()
		if err := f.awaitGeneration(ctx, generation); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(start))
	}
	return slowest, nil
}

// setPlatformFault replaces the fault that the stand-in platform simulates.
func (f *fleet) setPlatformFault(ctx context.Context, fault standin.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	url := "http://" + f.platform.addresses["address"] + "/standin/fault"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("set fault of platform: %w", err)
	}
	return response.Body.Close()
}

// measureLeaving counts the requests that an engine starts more than
// leavingGracePeriod after the platform marks its host as leaving. The engine itself
// keeps accepting requests, so the daemons alone must stop sending to it.
func measureLeaving(ctx context.Context, options Options, output io.Writer) error {
	f, err := startFleet(ctx, options, engineCapacities(options.Engines), options.Daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	options.Duration = leavingWarmUp + leavingDuration
	trace := newTrace(options, traceProfile{}, options.Engines)
	const leavingEngine = 0
	var leftAt time.Time
	group, groupCtx := errgroup.WithContext(ctx)
	var result *replay
	group.Go(func() error {
		var err error
		result, err = replayTrace(groupCtx, f, policyHemlockknot, trace, options)
		return err
	})
	group.Go(func() error {
		if err := sleep(groupCtx, leavingWarmUp); err != nil {
			return err
		}
		leftAt = time.Now()
		return f.setHostState(groupCtx, leavingEngine, "leaving")
	})
	if err := group.Wait(); err != nil {
		return err
	}
	beforeLeaving, afterGracePeriod := 0, 0
	for _, record := range result.records[leavingEngine] {
		switch started := time.UnixMilli(record.StartMS); {
		case started.After(leftAt.Add(leavingGracePeriod)):
			afterGracePeriod++
		case started.Before(leftAt):
			beforeLeaving++
		}
	}
	report := reporter{output: output, scenario: "leaving", options: options, daemons: options.Daemons, engines: options.Engines}
	if err := report.add(policyHemlockknot, "requests_before_leaving", float64(beforeLeaving), HigherIsBetter, nil); err != nil {
		return err
	}
	return report.add(policyHemlockknot, "requests_after_grace", float64(afterGracePeriod), LowerIsBetter, bound(0))
}
