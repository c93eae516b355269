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

// What every measured environment has.
const (
	environmentName = "production"
	serviceName     = "writer"
	workspaceName   = "members"
	workspaceKey    = "key-of-members"
	failureDomain   = "domain-a"
	settleLimit     = 15 * time.Second
)

// fleet is a running system: a platform, engines and daemons, the last of which
// a baseline has none.
type fleet struct {
	programs string
	dir      string
	platform *process
	engines  []*runningEngine
	daemons  []*process
	document environment.Document
	client   *http.Client
}

// runningEngine is a stand-in engine.
type runningEngine struct {
	*process
	described environment.Engine
}

// startFleet starts engines with the given capacities and, unless there are no
// daemons, a platform and the daemons.
func startFleet(ctx context.Context, options Options, capacities []int, daemons int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "hemlockknot-measure-")
	if err != nil {
		return nil, err
	}
	f := &fleet{programs: options.Programs, dir: dir, client: &http.Client{Timeout: settleLimit}}
	f.document = environment.Document{
		Name:       environmentName,
		Places:     []environment.Place{{Name: "place-a", FailureDomain: failureDomain}},
		Services:   []environment.Service{{Name: serviceName, Kind: environment.KindModel, LoadBound: options.LoadBound}},
		Workspaces: []environment.Workspace{{Name: workspaceName, KeysSHA256: []string{environment.HashKey(workspaceKey)}}},
	}
	if err := f.startAll(ctx, options, capacities, daemons); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) startAll(ctx context.Context, options Options, capacities []int, daemons int) error {
	for i, capacity := range capacities {
		if err := f.addEngine(ctx, fmt.Sprintf("e%02d", i+1), capacity, options); err != nil {
			return err
		}
	}
	if daemons == 0 {
		return nil
	}
	var err error
	if f.platform, err = startProcess(ctx, f.programs, "platform", "hemlockknot-standin", "platform"); err != nil {
		return err
	}
	if _, err := f.publish(ctx); err != nil {
		return err
	}
	for i := range daemons {
		if err := f.addDaemon(ctx, fmt.Sprintf("d%02d", i+1)); err != nil {
			return err
		}
	}
	return f.awaitGeneration(ctx, 1)
}

func (f *fleet) addEngine(ctx context.Context, name string, capacity int, options Options) error {
	started, err := startProcess(ctx, f.programs, name, "hemlockknot-standin", "engine",
		"--capacity", fmt.Sprint(capacity),
		"--cache-tokens", fmt.Sprint(capacity*options.CacheTokens),
		"--token-time", options.TokenTime.String(),
		"--prefill-time", prefillTime.String())
	if err != nil {
		return err
	}
	described := environment.Engine{
		Name:     name,
		Service:  serviceName,
		Place:    "place-a",
		Address:  started.addresses["address"],
		Capacity: capacity,
	}
	f.engines = append(f.engines, &runningEngine{process: started, described: described})
	f.document.Engines = append(f.document.Engines, described)
	return nil
}

func (f *fleet) addDaemon(ctx context.Context, name string) error {
	text := fmt.Sprintf("name: %s\nplace: place-a\nfailure_domain: %s\nenvironment: %s\nplatform:\n  url: http://%s\n",
		name, failureDomain, environmentName, f.platform.addresses["address"])
	text += "listen:\n  callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\nlog_level: info\n"
	if len(f.daemons) > 0 {
		text += "bootstrap_peers: [" + f.daemons[0].addresses["peers"] + "]\n"
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	daemon, err := startProcess(ctx, f.programs, name, "hemlockknotd", "run", "--config", path)
	if err != nil {
		return err
	}
	f.daemons = append(f.daemons, daemon)
	return nil
}

// stop ends the fleet's processes.
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
	return platform.NewClient("http://"+f.platform.addresses["address"], uncounted{})
}

type uncounted struct{}

func (uncounted) PlatformCall(string) {}

// publish writes the fleet's document and returns its generation.
func (f *fleet) publish(ctx context.Context) (uint64, error) {
	text, err := yaml.Marshal(f.document)
	if err != nil {
		return 0, fmt.Errorf("encode document: %w", err)
	}
	spec := platform.EnvironmentSpec{Document: string(text)}
	return f.put(ctx, platform.KindEnvironments, environmentName, spec)
}

// put creates or updates an object and returns its generation.
func (f *fleet) put(ctx context.Context, kind, name string, spec any) (uint64, error) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return 0, fmt.Errorf("encode %s %s: %w", kind, name, err)
	}
	client := f.platformClient()
	object := &platform.Object{Metadata: platform.Metadata{Name: name}, Spec: encoded}
	present, err := client.Get(ctx, kind, name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		object, err = client.Create(ctx, kind, object)
	case err == nil:
		object.Metadata.ResourceVersion = present.Metadata.ResourceVersion
		object, err = client.Update(ctx, kind, object)
	}
	if err != nil {
		return 0, fmt.Errorf("write %s %s: %w", kind, name, err)
	}
	return object.Metadata.Generation, nil
}

// awaitGeneration waits until all daemons know each other and have a document in
// force that is at least as new.
func (f *fleet) awaitGeneration(ctx context.Context, generation uint64) error {
	const pollInterval = 20 * time.Millisecond
	deadline := time.Now().Add(settleLimit)
	for _, daemon := range f.daemons {
		for {
			status, err := getJSON[operator.Status](ctx, f.client, "http://"+daemon.addresses["operators"]+"/status")
			if err == nil && status.Generation >= generation && len(status.Members) == len(f.daemons) {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("daemon %s does not have generation %d after %s", daemon.name, generation, settleLimit)
			}
			if err := pause(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// leave makes an engine drain; cleared says that its cache is lost meanwhile.
// Where there are daemons, the platform's host list says so too.
func (f *fleet) leave(ctx context.Context, index int, cleared bool) error {
	if err := f.setFault(ctx, index, engine.Fault{Draining: true, ClearCache: cleared}); err != nil {
		return err
	}
	return f.setHost(ctx, index, "leaving")
}

// comeBack makes an engine take work again.
func (f *fleet) comeBack(ctx context.Context, index int) error {
	if err := f.setFault(ctx, index, engine.Fault{}); err != nil {
		return err
	}
	return f.setHost(ctx, index, "live")
}

func (f *fleet) setHost(ctx context.Context, index int, state string) error {
	if f.platform == nil {
		return nil
	}
	_, err := f.put(ctx, platform.KindHosts, f.engines[index].described.Name, platform.HostSpec{State: state})
	return err
}

func (f *fleet) setFault(ctx context.Context, index int, fault engine.Fault) error {
	body, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	url := "http://" + f.engines[index].described.Address + "/standin/fault"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return fmt.Errorf("set fault of %s: %w", f.engines[index].name, err)
	}
	return response.Body.Close()
}

// records returns each engine's own records.
func (f *fleet) records(ctx context.Context) ([][]engine.Record, error) {
	all := make([][]engine.Record, len(f.engines))
	group, ctx := errgroup.WithContext(ctx)
	for i, target := range f.engines {
		group.Go(func() error {
			records, err := getJSON[[]engine.Record](ctx, f.client, "http://"+target.described.Address+"/standin/records")
			all[i] = records
			return err
		})
	}
	return all, group.Wait()
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

// pause waits, or returns early with the context's error.
func pause(ctx context.Context, duration time.Duration) error {
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
