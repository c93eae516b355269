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

// environmentName is the environment that the test daemons serve.
const environmentName = "production"

// settleLimit bounds how long a fleet takes to agree after a change; the stated
// target for a configuration change is 15 s.
const settleLimit = 15 * time.Second

// fleet is a running system: a platform, targets and daemons.
type fleet struct {
	t        *testing.T
	platform *process
	engines  map[string]*process // and plain services, by engine name
	daemons  map[string]*process
	document environment.Document
}

// newFleet starts a platform with no environment.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	return &fleet{
		t:        t,
		platform: start(t, "platform", "hemlockknot-standin", "platform"),
		engines:  make(map[string]*process),
		daemons:  make(map[string]*process),
		document: environment.Document{Name: environmentName},
	}
}

// addEngine starts a target for the document's next version.
func (f *fleet) addEngine(described environment.Engine, kind string, flags ...string) *process {
	f.t.Helper()
	args := append([]string{kind}, flags...)
	if kind == "engine" {
		args = append(args, "--capacity", fmt.Sprint(described.Capacity))
	}
	target := start(f.t, described.Name, "hemlockknot-standin", args...)
	described.Address = target.listening["address"]
	f.engines[described.Name] = target
	f.document.Engines = append(f.document.Engines, described)
	return target
}

// publish writes the fleet's document to the platform and returns its
// generation.
func (f *fleet) publish() uint64 {
	f.t.Helper()
	return f.publishText(string(f.documentText()))
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

func (f *fleet) publishText(text string) uint64 {
	f.t.Helper()
	client := f.platformClient()
	spec, err := json.Marshal(platform.EnvironmentSpec{Document: text})
	if err != nil {
		f.t.Fatal(err)
	}
	object := &platform.Object{Metadata: platform.Metadata{Name: environmentName}, Spec: spec}
	present, err := client.Get(context.Background(), platform.KindEnvironments, environmentName)
	if err != nil {
		object, err = client.Create(context.Background(), platform.KindEnvironments, object)
	} else {
		object.Metadata.ResourceVersion = present.Metadata.ResourceVersion
		object, err = client.Update(context.Background(), platform.KindEnvironments, object)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return object.Metadata.Generation
}

func (f *fleet) platformClient() *platform.Client {
	return platform.NewClient("http://"+f.platform.listening["address"], uncounted{})
}

type uncounted struct{}

func (uncounted) PlatformCall(string) {}

// daemonOptions are the settings of a test daemon that tests vary.
type daemonOptions struct {
	failureDomain string
	environment   string   // default: environmentName
	platform      string   // address; default: the fleet's platform
	advertise     string   // see outside; for daemons of the same domain
	outside       string   // address for daemons of other domains
	bootstrap     []string // default: the peer addresses of the daemons so far
	extra         string   // further YAML
}

// addDaemon starts a daemon.
func (f *fleet) addDaemon(name string, options daemonOptions) *process {
	f.t.Helper()
	if options.platform == "" {
		options.platform = f.platform.listening["address"]
	}
	if options.environment == "" {
		options.environment = environmentName
	}
	if options.bootstrap == nil {
		for _, daemon := range f.daemons {
			options.bootstrap = append(options.bootstrap, daemon.listening["peers"])
		}
	}
	text := fmt.Sprintf("name: %s\nplace: %s\nfailure_domain: %s\nenvironment: %s\nplatform:\n  url: http://%s\n",
		name, options.failureDomain, options.failureDomain, options.environment, options.platform)
	text += "listen:\n  callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\nlog_level: debug\n"
	if options.advertise != "" {
		text += "advertise_peers: " + options.advertise + "\n"
	}
	if options.outside != "" {
		text += "advertise_outside: " + options.outside + "\n"
	}
	text += "bootstrap_peers:\n"
	for _, address := range options.bootstrap {
		text += "  - " + address + "\n"
	}
	if len(options.bootstrap) == 0 {
		text += "  []\n"
	}
	path := filepath.Join(f.t.TempDir(), name+".yaml")
	if err := os.WriteFile(path, []byte(text+options.extra), 0o600); err != nil {
		f.t.Fatal(err)
	}
	daemon := start(f.t, name, "hemlockknotd", "run", "--config", path)
	f.daemons[name] = daemon
	return daemon
}

// awaitSettled waits until all daemons know each other and have the generation
// in force.
func (f *fleet) awaitSettled(generation uint64) {
	f.t.Helper()
	for name, daemon := range f.daemons {
		waitFor(f.t, settleLimit, fmt.Sprintf("%s has generation %d and knows %d daemons", name, generation, len(f.daemons)), func() bool {
			status, err := daemonStatus(daemon)
			return err == nil && status.Generation >= generation && len(status.Members) == len(f.daemons)
		})
	}
}

// daemonStatus asks a daemon's operator port.
func daemonStatus(daemon *process) (operator.Status, error) {
	return getJSON[operator.Status]("http://" + daemon.listening["operators"] + "/status")
}

func engineRecords(t *testing.T, target *process) []engine.Record {
	t.Helper()
	records, err := getJSON[[]engine.Record]("http://" + target.listening["address"] + "/standin/records")
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func serviceRecords(t *testing.T, target *process) []service.Record {
	t.Helper()
	records, err := getJSON[[]service.Record]("http://" + target.listening["address"] + "/standin/records")
	if err != nil {
		t.Fatal(err)
	}
	return records
}

// setFault makes a stand-in misbehave.
func setFault(t *testing.T, target *process, fault any) {
	t.Helper()
	body, err := json.Marshal(fault)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post("http://"+target.listening["address"]+"/standin/fault", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
}

// reportTimeout bounds a read of a test control or a status.
const reportTimeout = 5 * time.Second

func getJSON[T any](url string) (T, error) {
	var value T
	client := http.Client{Timeout: reportTimeout}
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
