package ctl

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"hemlockknot/internal/state/platform"
	"hemlockknot/internal/state/revision"
	"hemlockknot/internal/transport/operator"
)

// environmentStatus is the answer to env status.
type environmentStatus struct {
	Environment string             `json:"environment"`
	Generation  uint64             `json:"generation"` // at the platform; 0 if it does not exist
	Revision    *platform.Revision `json:"revision,omitempty"`
	Error       string             `json:"error,omitempty"` // of the platform
	Daemons     []daemonVersion    `json:"daemons"`
	// InForce says that the platform and all daemons asked have one generation.
	InForce bool `json:"in_force"`
}

// daemonVersion is what one daemon has in force.
type daemonVersion struct {
	Address     string `json:"address"`
	Name        string `json:"name,omitempty"`
	Environment string `json:"environment,omitempty"`
	Generation  uint64 `json:"generation"`
	Ready       bool   `json:"ready"`
	Error       string `json:"error,omitempty"`
}

// statusInterval is the pause between the reads of env status --wait.
const statusInterval = 200 * time.Millisecond

// status prints what is known even if the platform or a daemon does not answer,
// and then ends with that error.
func (c *command) status(ctx context.Context, name string, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	shown, present, err := c.readStatus(ctx, name)
	for !shown.InForce && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(statusInterval)
		shown, present, err = c.readStatus(ctx, name)
	}
	if printErr := c.print(shown, statusTable(shown, present)); printErr != nil {
		return printErr
	}
	if err == nil && wait > 0 && !shown.InForce {
		return fmt.Errorf("%s generation %d is not in force at every daemon after %s", name, shown.Generation, wait)
	}
	return err
}

// readStatus asks the platform and all daemons.
func (c *command) readStatus(ctx context.Context, name string) (environmentStatus, revision.Version, error) {
	shown := environmentStatus{Environment: name, Daemons: make([]daemonVersion, len(c.daemons))}
	present, platformErr := c.readEnvironment(ctx, name)
	if platformErr != nil {
		shown.Error = platformErr.Error()
	}
	shown.Generation = present.Generation
	if present.Generation > 0 {
		shown.Revision = &present.Spec.Revision
	}
	failures := make([]error, len(c.daemons))
	c.askAll(func(i int, address string) {
		shown.Daemons[i], failures[i] = versionAt(ctx, address, name)
	})
	shown.InForce = inForce(shown)
	return shown, present, cmp.Or(platformErr, cmp.Or(failures...))
}

func versionAt(ctx context.Context, address, environment string) (daemonVersion, error) {
	version := daemonVersion{Address: address}
	status, err := ask[operator.Status](ctx, address, "/status")
	if err != nil {
		version.Error = err.Error()
		return version, err
	}
	version.Name = status.Name
	version.Environment = status.Environment
	version.Generation = status.Generation
	version.Ready = status.Ready
	if status.Environment != environment {
		version.Error = "serves another environment"
	}
	return version, nil
}

func inForce(status environmentStatus) bool {
	if status.Error != "" || status.Generation == 0 {
		return false
	}
	for _, daemon := range status.Daemons {
		if daemon.Error != "" || daemon.Generation != status.Generation {
			return false
		}
	}
	return true
}

func statusTable(status environmentStatus, present revision.Version) *table {
	shown := &table{header: []string{"daemon", "address", "environment", "generation", "ready", "error"}}
	switch {
	case status.Error != "":
		shown.title = fmt.Sprintf("%s: the platform does not answer: %s", status.Environment, status.Error)
	case status.Generation == 0:
		shown.title = status.Environment + " does not exist"
	default:
		shown.title = fmt.Sprintf("%s is at generation %d, written %s",
			status.Environment, status.Generation, revision.Describe(present.Spec.Revision))
	}
	for _, daemon := range status.Daemons {
		shown.add(daemon.Name, daemon.Address, daemon.Environment, daemon.Generation, daemon.Ready, daemon.Error)
	}
	if status.InForce && len(status.Daemons) > 0 {
		shown.footer = "in force at every daemon asked"
	}
	return shown
}
