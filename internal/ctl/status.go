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

// environmentStatus is the output of env status.
type environmentStatus struct {
	Environment string             `json:"environment"`
	Generation  uint64             `json:"generation"` // on the platform; 0 if the environment does not exist
	Revision    *platform.Revision `json:"revision,omitempty"`
	Error       string             `json:"error,omitempty"` // of the call to the platform
	Daemons     []daemonVersion    `json:"daemons"`
	// InForce is true if the platform and all queried daemons have the same
	// generation.
	InForce bool `json:"in_force"`
}

// daemonVersion is the document version in force at one daemon.
type daemonVersion struct {
	Address     string `json:"address"`
	Name        string `json:"name,omitempty"`
	Environment string `json:"environment,omitempty"`
	Generation  uint64 `json:"generation"`
	Ready       bool   `json:"ready"`
	Error       string `json:"error,omitempty"`
}

// statusPollInterval is the pause between two polls of env status --wait.
const statusPollInterval = 200 * time.Millisecond

// status prints the status of an environment. It polls for at most the time wait
// until the version is in force at every daemon. If the platform or a daemon does
// not answer, it prints the rest and returns the error.
func (c *command) status(ctx context.Context, name string, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	status, current, err := c.readStatus(ctx, name)
	for !status.InForce && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(statusPollInterval)
		status, current, err = c.readStatus(ctx, name)
	}
	if printErr := c.print(status, statusTable(status, current)); printErr != nil {
		return printErr
	}
	if err == nil && wait > 0 && !status.InForce {
		return fmt.Errorf("%s generation %d is not in force at every daemon after %s", name, status.Generation, wait)
	}
	return err
}

// readStatus queries the platform and all daemons.
func (c *command) readStatus(ctx context.Context, name string) (environmentStatus, revision.Version, error) {
	status := environmentStatus{Environment: name, Daemons: make([]daemonVersion, len(c.daemons))}
	current, platformErr := c.readEnvironment(ctx, name)
	if platformErr != nil {
		status.Error = platformErr.Error()
	}
	status.Generation = current.Generation
	if current.Generation > 0 {
		status.Revision = &current.Spec.Revision
	}
	daemonErrs := make([]error, len(c.daemons))
	c.forEachDaemon(func(i int, address string) {
		status.Daemons[i], daemonErrs[i] = readDaemonVersion(ctx, address, name)
	})
	status.InForce = inForceEverywhere(status)
	return status, current, cmp.Or(platformErr, cmp.Or(daemonErrs...))
}

// readDaemonVersion queries a daemon for the document version that it has in force.
func readDaemonVersion(ctx context.Context, address, environment string) (daemonVersion, error) {
	version := daemonVersion{Address: address}
	status, err := queryDaemon[operator.Status](ctx, address, "/status")
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

// inForceEverywhere reports whether the platform and all queried daemons have the
// same generation.
func inForceEverywhere(status environmentStatus) bool {
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

func statusTable(status environmentStatus, current revision.Version) *table {
	t := &table{header: []string{"daemon", "address", "environment", "generation", "ready", "error"}}
	switch {
	case status.Error != "":
		t.title = fmt.Sprintf("%s: the platform does not answer: %s", status.Environment, status.Error)
	case status.Generation == 0:
		t.title = status.Environment + " does not exist"
	default:
		t.title = fmt.Sprintf("%s is at generation %d, written %s",
			status.Environment, status.Generation, revision.Describe(current.Spec.Revision))
	}
	for _, daemon := range status.Daemons {
		t.addRow(daemon.Name, daemon.Address, daemon.Environment, daemon.Generation, daemon.Ready, daemon.Error)
	}
	if status.InForce && len(status.Daemons) > 0 {
		t.footer = "in force at every queried daemon"
	}
	return t
}
