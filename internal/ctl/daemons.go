package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/transport/operator"
)

// Limits of a call to a daemon.
const (
	daemonTimeout    = 5 * time.Second
	maxDaemonAnswer  = 64 << 20
	maxErrorAnswer   = 1 << 10
	maxDaemonsAtOnce = 32
)

// addDaemons adds the commands that ask daemons.
func (c *command) addDaemons(app *kingpin.Application, actions map[string]action) {
	engines := app.Command("engines", "List the engines as the first --daemon sees them.")
	service := engines.Flag("service", "Only this service's engines.").String()
	actions[engines.FullCommand()] = func(ctx context.Context) error { return c.engines(ctx, *service) }

	explain := app.Command("explain", "Say why a request went where it went, or where a chat would go now.")
	request := explain.Arg("request", "The request's id (X-Request-Id); asked of every --daemon.").String()
	model := explain.Flag("model", "The model that the chat asks for.").String()
	chat := explain.Flag("chat", "The chat's name.").String()
	workspace := explain.Flag("workspace", "The chat's workspace.").String()
	actions[explain.FullCommand()] = func(ctx context.Context) error {
		if *request != "" {
			return c.explainRequest(ctx, *request)
		}
		return c.explainChat(ctx, *model, *chat, *workspace)
	}
}

// daemonClient takes no proxy from the environment: daemons are reached directly.
var daemonClient = &http.Client{Transport: &http.Transport{}}

// errNotKnown says that a daemon answered that it does not know what was asked.
var errNotKnown = errors.New("not known")

// ask gets a value from a daemon's operators' port.
func ask[T any](ctx context.Context, address, path string) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, daemonTimeout)
	defer cancel()
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address+path, nil)
	if err != nil {
		return nil, usagef("--daemon: %v", err)
	}
	response, err := daemonClient.Do(request)
	if err != nil {
		return nil, &unreachableError{fmt.Errorf("ask daemon: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorAnswer))
		err := fmt.Errorf("daemon %s: %s", address, strings.TrimSpace(string(text)))
		if response.StatusCode == http.StatusNotFound {
			return nil, fmt.Errorf("%w: %w", errNotKnown, err)
		}
		return nil, &unreachableError{err}
	}
	value := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxDaemonAnswer)).Decode(value); err != nil {
		return nil, &unreachableError{fmt.Errorf("daemon %s: decode answer: %w", address, err)}
	}
	return value, nil
}

// askAll calls a function for each --daemon, some at a time.
func (c *command) askAll(call func(i int, address string)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxDaemonsAtOnce)
	for i, address := range c.daemons {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			call(i, address)
		})
	}
	group.Wait()
}

func (c *command) firstDaemon() (string, error) {
	if len(c.daemons) == 0 {
		return "", usagef("--daemon or HEMLOCKKNOT_DAEMONS is needed")
	}
	return c.daemons[0], nil
}

func (c *command) engines(ctx context.Context, service string) error {
	address, err := c.firstDaemon()
	if err != nil {
		return err
	}
	status, err := ask[operator.Status](ctx, address, "/status")
	if err != nil {
		return err
	}
	shown := &table{
		title:  fmt.Sprintf("as %s sees them, generation %d", status.Name, status.Generation),
		header: []string{"engine", "service", "state", "home", "in flight", "capacity"},
	}
	engines := []operator.EngineStatus{}
	for _, engine := range status.Engines {
		if service == "" || engine.Service == service {
			engines = append(engines, engine)
			shown.add(engine.Name, engine.Service, engine.StateName, engine.Home, engine.InFlight, engine.Capacity)
		}
	}
	return c.print(engines, shown)
}
