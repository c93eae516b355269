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

// Limits of calls to daemons.
const (
	daemonTimeout        = 5 * time.Second
	maxResponseBytes     = 64 << 20
	maxErrorBytes        = 1 << 10
	maxConcurrentQueries = 32
)

// addDaemonCommands adds the commands that query daemons.
func (c *command) addDaemonCommands(app *kingpin.Application, actions map[string]action) {
	engines := app.Command("engines", "List the engines as seen by the first --daemon.")
	service := engines.Flag("service", "List only the engines of this service.").String()
	actions[engines.FullCommand()] = func(ctx context.Context) error { return c.listEngines(ctx, *service) }

	actions[app.Command("restrictions", "List the parts of prompts that are held back and the targets with a limit, as seen by each --daemon, the metrics address of a gateway.").FullCommand()] = c.listRestrictions

	explain := app.Command("explain", "Explain how a request was routed, or how a chat would be routed now.")
	requestID := explain.Arg("request", "The request's id (X-Request-Id); every --daemon is queried for it.").String()
	model := explain.Flag("model", "The model that the chat requests.").String()
	chat := explain.Flag("chat", "The chat's name.").String()
	workspace := explain.Flag("workspace", "The chat's workspace.").String()
	actions[explain.FullCommand()] = func(ctx context.Context) error {
		if *requestID != "" {
			return c.explainRequest(ctx, *requestID)
		}
		return c.explainChat(ctx, *model, *chat, *workspace)
	}
}

// daemonClient ignores the proxy settings of the process environment, because daemons
// are reached directly.
var daemonClient = &http.Client{Transport: &http.Transport{}}

// errNotFound means that a daemon answered, but does not have the requested item.
var errNotFound = errors.New("not found")

// queryDaemon sends a GET request to a daemon's operator port and decodes the JSON
// response.
func queryDaemon[T any](ctx context.Context, address, path string) (*T, error) {
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
		return nil, &unreachableError{fmt.Errorf("query daemon: %w", err)}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		err := fmt.Errorf("daemon %s: %s", address, strings.TrimSpace(string(text)))
		if response.StatusCode == http.StatusNotFound {
			return nil, fmt.Errorf("%w: %w", errNotFound, err)
		}
		return nil, &unreachableError{err}
	}
	value := new(T)
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(value); err != nil {
		return nil, &unreachableError{fmt.Errorf("daemon %s: decode response: %w", address, err)}
	}
	return value, nil
}

// forEachDaemon calls a function for each --daemon, with up to maxConcurrentQueries
// calls at a time, and waits for all of them.
func (c *command) forEachDaemon(call func(i int, address string)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentQueries)
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
		return "", usagef("--daemon or HEMLOCKKNOT_DAEMONS must be set")
	}
	return c.daemons[0], nil
}

func (c *command) listEngines(ctx context.Context, service string) error {
	address, err := c.firstDaemon()
	if err != nil {
		return err
	}
	status, err := queryDaemon[operator.Status](ctx, address, "/status")
	if err != nil {
		return err
	}
	t := &table{
		title:  fmt.Sprintf("as seen by %s, generation %d", status.Name, status.Generation),
		header: []string{"engine", "service", "state", "home", "in flight", "capacity"},
	}
	engines := []operator.EngineStatus{}
	for _, engine := range status.Engines {
		if service == "" || engine.Service == service {
			engines = append(engines, engine)
			t.addRow(engine.Name, engine.Service, engine.StateName, engine.Home, engine.InFlight, engine.Capacity)
		}
	}
	return c.print(engines, t)
}
