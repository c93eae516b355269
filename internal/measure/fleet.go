package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"hemlockknot/internal/standin/engine"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
	"hemlockknot/internal/transport/operator"
)

// Properties of the measured environment.
const (
	environmentName = "production"
	serviceName     = "writer"
	workspaceName   = "members"
	workspaceKey    = "key-of-members"
	failureDomain   = "domain-a"
	settleTimeout   = 15 * time.Second // for all daemons to reach a generation, and for each HTTP request
)

// fleet is a running system of engines, daemons and a platform. A fleet for a
// baseline policy has engines only.
type fleet struct {
	binDir   string // of the built programs
	dir      string // temporary, holds the daemons' settings files
	platform *process
	engines  []*runningEngine
	daemons  []*process
	document environment.Document
	client   *http.Client
}

// runningEngine is a stand-in engine and its entry in the document.
type runningEngine struct {
	*process
	config environment.Engine
}

// startFleet starts an engine for each capacity. If daemons is not 0, it also starts
// a platform and that many daemons.
func startFleet(ctx context.Context, options Options, capacities []int, daemonCount int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "hemlockknot-measure-")
	if err != nil {
		return nil, err
	}
	f := &fleet{binDir: options.BinDir, dir: dir, client: &http.Client{Timeout: settleTimeout}}
	f.document = environment.Document{
		Name:       environmentName,
		Places:     []environment.Place{{Name: "place-a", FailureDomain: failureDomain}},
		Services:   []environment.Service{{Name: serviceName, Kind: environment.KindModel, LoadBound: options.LoadBound}},
		Workspaces: []environment.Workspace{{Name: workspaceName, KeysSHA256: []string{environment.HashKey(workspaceKey)}}},
	}
	if err := f.startProcesses(ctx, options, capacities, daemonCount); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// startProcesses starts the engines before the platform, as the document lists their
// addresses, and returns once every daemon has the document in force.
func (f *fleet) startProcesses(ctx context.Context, options Options, capacities []int, daemonCount int) error {
	for i, capacity := range capacities {
		if err := f.addEngine(ctx, fmt.Sprintf("e%02d", i+1), capacity, options); err != nil {
			return err
		}
	}
	if daemonCount == 0 {
		return nil
	}
	var err error
	if f.platform, err = startProcess(ctx, f.binDir, "platform", "hemlockknot-standin", "platform"); err != nil {
		return err
	}
	if _, err := f.publishDocument(ctx); err != nil {
		return err
	}
	for i := range daemonCount {
		if err := f.addDaemon(ctx, fmt.Sprintf("d%02d", i+1)); err != nil {
			return err
		}
	}
	return f.awaitGeneration(ctx, 1)
}

// addEngine starts a stand-in engine and adds it to the document.
func (f *fleet) addEngine(ctx context.Context, name string, capacity int, options Options) error {
	proc, err := startProcess(ctx, f.binDir, name, "hemlockknot-standin", "engine",
		"--capacity", fmt.Sprint(capacity),
		"--cache-tokens", fmt.Sprint(capacity*options.CacheTokens),
		"--token-time", options.TokenTime.String(),
		"--prefill-time", prefillTime.String())
	if err != nil {
		return err
	}
	config := environment.Engine{
		Name:     name,
		Service:  serviceName,
		Place:    "place-a",
		Address:  proc.addresses["address"],
		Capacity: capacity,
	}
	f.engines = append(f.engines, &runningEngine{process: proc, config: config})
	f.document.Engines = append(f.document.Engines, config)
	return nil
}

// addDaemon starts a daemon that uses the first daemon as its bootstrap peer.
func (f *fleet) addDaemon(ctx context.Context, name string) error {
	settings := fmt.Sprintf("name: %s\nplace: place-a\nfailure_domain: %s\nenvironment: %s\nplatform:\n  url: http://%s\n",
		name, failureDomain, environmentName, f.platform.addresses["address"])
	settings += "listen:\n  callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\nlog_level: info\n"
	if len(f.daemons) > 0 {
		settings += "bootstrap_peers: [" + f.daemons[0].addresses["peers"] + "]\n"
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	daemon, err := startProcess(ctx, f.binDir, name, "hemlockknotd", "run", "--config", path)
	if err != nil {
		return err
	}
	f.daemons = append(f.daemons, daemon)
	return nil
}

// stop kills the fleet's processes and removes its directory.
func (f *fleet) stop() {
	for _, daemon := range f.daemons {
		daemon.kill()
	}
	for _, engine := range f.engines {
		engine.kill()
	}
	if f.platform != nil {
		f.platform.kill()
	}
	_ = os.RemoveAll(f.dir)
}

func (f *fleet) platformClient() *platform.Client {
	return platform.NewClient("http://"+f.platform.addresses["address"], noopCallCounter{})
}

// noopCallCounter discards the platform client's call counts.
type noopCallCounter struct{}

func (noopCallCounter) CountPlatformCall(string) {}

// publishDocument writes the fleet's document to the platform and returns its
// generation.
func (f *fleet) publishDocument(ctx context.Context) (uint64, error) {
	text, err := yaml.Marshal(f.document)
	if err != nil {
		return 0, fmt.Errorf("encode document: %w", err)
	}
	spec := platform.EnvironmentSpec{Document: string(text)}
	return f.putObject(ctx, platform.KindEnvironments, environmentName, spec)
}

// putObject creates or updates a platform object and returns its generation.
func (f *fleet) putObject(ctx context.Context, kind, name string, spec any) (uint64, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return 0, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	client := f.platformClient()
	object := &platform.Object{Metadata: platform.Metadata{Name: name}, Spec: encoded}
	existing, err := client.Get(ctx, kind, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		object, err = client.Create(ctx, kind, object)
	case err == nil:
		object.Metadata.ResourceVersion = existing.Metadata.ResourceVersion
		object, err = client.Update(ctx, kind, object)
	}
	if err != nil {
		return 0, fmt.Errorf("write %s %s: %w", kind, name, err)
	}
	return object.Metadata.Generation, nil
}

// awaitGeneration waits until every daemon lists all daemons as members and has a
// document of at least the given generation in force.
func (f *fleet) awaitGeneration(ctx context.Context, generation uint64) error {
	const pollInterval = 20 * time.Millisecond
	deadline := time.Now().Add(settleTimeout)
	for _, daemon := range f.daemons {
		for {
			status, err := getJSON[operator.Status](ctx, f.client, "http://"+daemon.addresses["operators"]+"/status")
			if err == nil && status.Generation >= generation && len(status.Members) == len(f.daemons) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s did not reach generation %d within %s", daemon.name, generation, settleTimeout)
			}
			if err := sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// drainEngine makes an engine refuse new requests, and empties its cache if
// clearCache is set. If the fleet has a platform, drainEngine also marks the engine's
// host as leaving there.
func (f *fleet) drainEngine(ctx context.Context, index int, clearCache bool) error {
	if err := f.setEngineFault(ctx, index, engine.Fault{Draining: true, ClearCache: clearCache}); err != nil {
		return err
	}
	return f.setHostState(ctx, index, "leaving")
}

// restoreEngine makes a drained engine accept requests again and marks its host as
// live on the platform, if there is one.
func (f *fleet) restoreEngine(ctx context.Context, index int) error {
	if err := f.setEngineFault(ctx, index, engine.Fault{}); err != nil {
		return err
	}
	return f.setHostState(ctx, index, "live")
}

// setHostState sets the state of an engine's host on the platform, if there is one.
func (f *fleet) setHostState(ctx context.Context, index int, state string) error {
	if f.platform == nil {
		return nil
	}
	_, err := f.putObject(ctx, platform.KindHosts, f.engines[index].config.Name, platform.HostSpec{State: state})
	return err
}

// setEngineFault replaces the fault that a stand-in engine simulates.
func (f *fleet) setEngineFault(ctx context.Context, index int, fault engine.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	url := "http://" + f.engines[index].config.Address + "/standin/fault"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("set fault of engine %s: %w", f.engines[index].name, err)
	}
	return response.Body.Close()
}

// fetchRecords returns the requests that each engine recorded, indexed like
// f.engines.
func (f *fleet) fetchRecords(ctx context.Context) ([][]engine.Record, error) {
	byEngine := make([][]engine.Record, len(f.engines))
	group, ctx := errgroup.WithContext(ctx)
	for i, target := range f.engines {
		group.Go(func() error {
			records, err := getJSON[[]engine.Record](ctx, f.client, "http://"+target.config.Address+"/standin/records")
			byEngine[i] = records
			return err
		})
	}
	return byEngine, group.Wait()
}

func getJSON[T any](ctx context.Context, client *http.Client, url string) (T, error) {
	var value T
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return value, err
	}
	response, err := client.Do(request)
	if err != nil {
		return value, err
	}
	defer func() { _ = response.Body.Close() }()
	return value, json.NewDecoder(response.Body).Decode(&value)
}

// sleep waits for the duration, or returns the context's error once the context ends.
func sleep(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
