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

// The sizes of the operations measurements.
const (
	configurationChanges = 5
	configurationBound   = 15.0 // seconds
	slowPlatformDelay    = 1000 // milliseconds for each call
	leavingGrace         = 3 * time.Second
	leavingWindow        = 10 * time.Second
	leavingWarmUp        = 5 * time.Second
)

// measureConfiguration measures how long a change takes to be in force at every
// daemon, with the platform as usual and slow.
func measureConfiguration(ctx context.Context, options Options, output io.Writer) error {
	f, err := startFleet(ctx, options, capacities(options.Engines), options.Daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	report := reporter{output: output, scenario: "configuration", options: options, daemons: options.Daemons, engines: options.Engines}
	for _, platform := range []struct {
		metric string
		fault  standin.Fault
	}{
		{"seconds_to_force", standin.Fault{}},
		{"seconds_to_force_slow_platform", standin.Fault{DelayMS: slowPlatformDelay}},
	} {
		if err := f.setPlatformFault(ctx, platform.fault); err != nil {
			return err
		}
		slowest, err := f.changeConfiguration(ctx)
		if err != nil {
			return err
		}
		if err := report.add(policyHemlockknot, platform.metric, slowest.Seconds(), Lower, bound(configurationBound)); err != nil {
			return err
		}
	}
	return nil
}

// changeConfiguration makes changes and returns the longest time from a write's
// answer until the last daemon has the change in force.
func (f *fleet) changeConfiguration(ctx context.Context) (time.Duration, error) {
	var slowest time.Duration
	for n := range configurationChanges {
		f.document.Workspaces = append(f.document.Workspaces, environment.Workspace{
			Name: fmt.Sprintf("workspace-%d-%d", len(f.document.Workspaces), n),
		})
		generation, err := f.publish(ctx)
		if err != nil {
			return 0, err
		}
		begun := time.Now()
		if err := f.awaitGeneration(ctx, generation); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(begun))
	}
	return slowest, nil
}

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
		return fmt.Errorf("set fault of the platform: %w", err)
	}
	return response.Body.Close()
}

// measureLeaving counts the requests that an engine starts more than the grace
// after the platform's list says that it is leaving. The engine itself refuses
// nothing.
func measureLeaving(ctx context.Context, options Options, output io.Writer) error {
	f, err := startFleet(ctx, options, capacities(options.Engines), options.Daemons)
	if err != nil {
		return err
	}
	defer f.stop()
	options.Duration = leavingWarmUp + leavingWindow
	traced := newTrace(options, shape{}, options.Engines)
	const leaver = 0
	var left time.Time
	group, groupCtx := errgroup.WithContext(ctx)
	var run *played
	group.Go(func() error {
		var err error
		run, err = play(groupCtx, f, policyHemlockknot, traced, options)
		return err
	})
	group.Go(func() error {
		if err := pause(groupCtx, leavingWarmUp); err != nil {
			return err
		}
		left = time.Now()
		return f.setHost(groupCtx, leaver, "leaving")
	})
	if err := group.Wait(); err != nil {
		return err
	}
	early, late := 0, 0
	for _, record := range run.records[leaver] {
		switch started := time.UnixMilli(record.StartMS); {
		case started.After(left.Add(leavingGrace)):
			late++
		case started.Before(left):
			early++
		}
	}
	report := reporter{output: output, scenario: "leaving", options: options, daemons: options.Daemons, engines: options.Engines}
	if err := report.add(policyHemlockknot, "requests_before_leaving", float64(early), Higher, nil); err != nil {
		return err
	}
	return report.add(policyHemlockknot, "requests_after_grace", float64(late), Lower, bound(0))
}
