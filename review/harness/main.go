// Command harness shows faults of the router daemon: it starts real daemons on loopback
// addresses before stand-ins of the users' store, targets and clients, and judges by what
// these have seen.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// Bounds of the users' sheet of smc-quotes.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
)

// repositoryRoot is the folder with target/.
var repositoryRoot string

// run is one run of a case.
type run struct {
	*record
	trouble bool
	folder  string
	ports   ports
	store   *store

	mu      sync.Mutex
	daemons []*daemon
}

// cases by name, which their files add. Each returns whether the rule was broken.
var cases = make(map[string]func(*run) (broken bool, err error))

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return couldNotRun
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		return fail(err)
	}
	repositoryRoot = filepath.Dir(filepath.Dir(folder))
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	r := &run{record: rec, trouble: os.Getenv("TROUBLE") != "0", folder: temporary}
	defer r.endAll()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		r.endAll()
		_ = os.RemoveAll(temporary)
		os.Exit(couldNotRun)
	}()
	if r.ports, err = freePorts(); err != nil {
		return fail(err)
	}
	if r.store, err = newStore("127.21.0.1"); err != nil {
		return fail(err)
	}
	r.logf("case %s, disruption %t", os.Args[1], r.trouble)
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.sayf("could not run: %v", err)
		return couldNotRun
	case broken:
		r.sayf("the rule was BROKEN")
		return ruleBroken
	}
	r.sayf("the rule held")
	return ruleHeld
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return couldNotRun
}

// addDaemon describes a machine. Its process is started by the case.
func (r *run) addDaemon(name, zone, ip string, seeds ...string) *daemon {
	d := &daemon{name: name, zone: zone, ip: ip, ports: r.ports, storeAddress: r.store.address, seeds: seeds, folder: r.folder}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = append(r.daemons, d)
	return d
}

// endAll ends all processes that were started.
func (r *run) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.daemons {
		d.kill()
	}
}

// startFleet starts three machines, one in each zone, and waits until all are ready.
func (r *run) startFleet() ([]*daemon, error) {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.21.%d.1:%d", i+1, r.ports.control))
	}
	var fleet []*daemon
	for i, zone := range zones {
		fleet = append(fleet, r.addDaemon(fmt.Sprintf("front-%s-1", zone), zone, fmt.Sprintf("127.21.%d.1", i+1), seeds...))
	}
	for _, d := range fleet {
		if err := d.start(true); err != nil {
			return nil, err
		}
	}
	for _, d := range fleet {
		if err := d.awaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

var zones = []string{"lhr-a", "lhr-b", "lhr-c"}

// routeSpec is a route of a configuration.
type routeSpec struct {
	Name, Prefix, Kind, Service string
	Attempts                    int
	Resumable                   bool
}

// route returns a route of a configuration.
func route(routeName, prefix, kind, service string, attempts int, resumable bool) routeSpec {
	return routeSpec{routeName, prefix, kind, service, attempts, resumable}
}

// writeConfig writes a configuration. When it returns, the store has acknowledged it.
func (r *run) writeConfig(version int, routes ...routeSpec) {
	var services []string
	for _, spec := range routes {
		if !slices.Contains(services, spec.Service) {
			services = append(services, spec.Service)
		}
	}
	r.store.put("config", "main", json.RawMessage(fill(configText, map[string]any{"Version": version, "Host": host, "Routes": routes, "Services": services})))
	r.logf("configuration %d is acknowledged", version)
}
