package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"hemlockknot/internal/standin/engine"
	"hemlockknot/internal/standin/service"
	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
	"hemlockknot/internal/transport/operator"
)

// environmentName is the environment that the test daemons serve by default.
const environmentName = "production"

// convergenceTimeout limits how long a fleet may take to converge after a change.
// The specified limit for a configuration change is 15 s.
const convergenceTimeout = 15 * time.Second

// fleet is a running system under test: a platform stand-in, targets and daemons.
type fleet struct {
	t        *testing.T
	platform *process
	targets  map[string]*process // model engines and plain services, by engine name
	daemons  map[string]*process
	document environment.Document
}

// newFleet starts a platform stand-in that stores no environment yet.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	return &fleet{
		t:        t,
		platform: startProcess(t, "platform", "hemlockknot-standin", "platform"),
		targets:  make(map[string]*process),
		daemons:  make(map[string]*process),
		document: environment.Document{Name: environmentName},
	}
}

// addEngine starts a stand-in of a kind, engine or service, and adds it to the
// fleet's document. The caller publishes the document.
func (f *fleet) addEngine(definition environment.Engine, kind string, flags ...string) *process {
	f.t.Helper()
	args := append([]string{kind}, flags...)
	if kind == "engine" {
		args = append(args, "--capacity", fmt.Sprint(definition.Capacity))
	}
	target := startProcess(f.t, definition.Name, "hemlockknot-standin", args...)
	definition.Address = target.addresses["address"]
	f.targets[definition.Name] = target
	f.document.Engines = append(f.document.Engines, definition)
	return target
}

// publish writes the fleet's document to the platform and returns its
// generation.
func (f *fleet) publish() uint64 {
	f.t.Helper()
	return f.publishDocument(string(f.documentText()))
}

// documentText returns the fleet's document as YAML.
func (f *fleet) documentText() []byte {
	f.t.Helper()
	text, err := yaml.Marshal(f.document)
	if err != nil {
		f.t.Fatal(err)
	}
	return text
}

// publishDocument creates or updates the environment object with a document text
// and returns its generation.
func (f *fleet) publishDocument(text string) uint64 {
	f.t.Helper()
	client := f.platformClient()
	spec, err := json.Marshal(platform.EnvironmentSpec{Document: text})
	if err != nil {
		f.t.Fatal(err)
	}
	object := &platform.Object{Metadata: platform.Metadata{Name: environmentName}, Spec: spec}
	current, err := client.Get(context.Background(), platform.KindEnvironments, environmentName)
	if err != nil {
		object, err = client.Create(context.Background(), platform.KindEnvironments, object)
	} else {
		object.Metadata.ResourceVersion = current.Metadata.ResourceVersion
		object, err = client.Update(context.Background(), platform.KindEnvironments, object)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return object.Metadata.Generation
}

func (f *fleet) platformClient() *platform.Client {
	return platform.NewClient("http://"+f.platform.addresses["address"], noopCounter{})
}

// noopCounter discards the platform client's call counts.
type noopCounter struct{}

func (noopCounter) CountPlatformCall(string) {}

// daemonOptions are the daemon settings that tests vary.
type daemonOptions struct {
	failureDomain    string
	environment      string   // default: environmentName
	platform         string   // address; default: the fleet's platform
	advertisePeers   string   // address for daemons of the same failure domain
	advertiseOutside string   // address for daemons of other failure domains
	bootstrap        []string // default: the peer addresses of the daemons added before
	extraYAML        string   // appended to the settings file
}

// addDaemon writes a settings file, starts a daemon with it and adds the daemon to
// the fleet.
func (f *fleet) addDaemon(name string, options daemonOptions) *process {
	f.t.Helper()
	if options.platform == "" {
		options.platform = f.platform.addresses["address"]
	}
	if options.environment == "" {
		options.environment = environmentName
	}
	if options.bootstrap == nil {
		for _, daemon := range f.daemons {
			options.bootstrap = append(options.bootstrap, daemon.addresses["peers"])
		}
	}
	text := fmt.Sprintf("name: %s\nplace: %s\nfailure_domain: %s\nenvironment: %s\nplatform:\n  url: http://%s\n",
		name, options.failureDomain, options.failureDomain, options.environment, options.platform)
	text += "listen:\n  callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\nlog_level: debug\n"
	if options.advertisePeers != "" {
		text += "advertise_peers: " + options.advertisePeers + "\n"
	}
	if options.advertiseOutside != "" {
		text += "advertise_outside: " + options.advertiseOutside + "\n"
	}
	text += "bootstrap_peers:\n"
	for _, address := range options.bootstrap {
		text += "  - " + address + "\n"
	}
	if len(options.bootstrap) == 0 {
		text += "  []\n"
	}
	path := filepath.Join(f.t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(text+options.extraYAML), 0o600); err != nil {
		f.t.Fatal(err)
	}
	daemon := startProcess(f.t, name, "hemlockknotd", "run", "--config", path)
	f.daemons[name] = daemon
	return daemon
}

// awaitConverged waits until every daemon lists as many members as the fleet has
// daemons, and has applied the generation or a later one.
func (f *fleet) awaitConverged(generation uint64) {
	f.t.Helper()
	for name, daemon := range f.daemons {
		waitFor(f.t, convergenceTimeout, fmt.Sprintf("%s has applied generation %d and lists %d members", name, generation, len(f.daemons)), func() bool {
			status, err := daemonStatus(daemon)
			return err == nil && status.Generation >= generation && len(status.Members) == len(f.daemons)
		})
	}
}

// daemonStatus reads a daemon's status from its operators' port.
func daemonStatus(daemon *process) (operator.Status, error) {
	return getJSON[operator.Status]("http://" + daemon.addresses["operators"] + "/status")
}

// engineRecords returns the requests that an engine stand-in has started.
func engineRecords(t *testing.T, target *process) []engine.Record {
	t.Helper()
	records, err := getJSON[[]engine.Record]("http://" + target.addresses["address"] + "/standin/records")
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// serviceRecords returns the calls that a service stand-in has run.
func serviceRecords(t *testing.T, target *process) []service.Record {
	t.Helper()
	records, err := getJSON[[]service.Record]("http://" + target.addresses["address"] + "/standin/records")
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// setFault replaces the faults that a stand-in injects.
func setFault(t *testing.T, target *process, fault any) {
	t.Helper()
	body, err := json.Marshal(fault)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+target.addresses["address"]+"/standin/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// statusTimeout limits a request to a daemon's operators' port or to a stand-in's
// test controls.
const statusTimeout = 5 * time.Second

// getJSON fetches a URL and decodes its JSON body.
func getJSON[T any](url string) (T, error) {
	var value T
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Get(url)
	if err != nil {
		return value, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return value, err
	}
	return value, json.Unmarshal(body, &value)
}
