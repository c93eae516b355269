// Package ctl implements the commands of hemlockknotctl, the operators' command-line
// tool. It calls the platform's object API and the operator ports of the daemons.
package ctl

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/state/platform"
)

// defaultTimeout is the default time limit of a whole command.
const defaultTimeout = 30 * time.Second

// command holds the flags and output streams of one run of the tool.
type command struct {
	platformURL string
	daemons     []string
	output      string
	timeout     time.Duration
	author      string

	stdout io.Writer
	stderr io.Writer
}

// action runs the selected command.
type action func(ctx context.Context) error

// Run runs the tool and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	c := &command{stdout: stdout, stderr: stderr}
	app := kingpin.New("hemlockknotctl", "Manages environments and explains how daemons route requests.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	c.addGlobalFlags(app)
	actions := make(map[string]action)
	c.addEnvironmentCommands(app, actions)
	c.addDaemonCommands(app, actions)
	selected, err := app.Parse(args)
	if err != nil {
		return c.reportError(&usageError{err})
	}
	if c.timeout <= 0 {
		return c.reportError(usagef("--timeout: found %s, allowed: more than 0s", c.timeout))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	if err := actions[selected](ctx); err != nil {
		return c.reportError(err)
	}
	return ExitOK
}

func (c *command) addGlobalFlags(app *kingpin.Application) {
	app.Flag("platform", "URL of the platform's object API.").Envar("HEMLOCKKNOT_PLATFORM_URL").StringVar(&c.platformURL)
	app.Flag("daemon", "Operator address of a daemon (host:port); may be repeated.").Envar("HEMLOCKKNOT_DAEMONS").StringsVar(&c.daemons)
	app.Flag("output", "Output format.").Short('o').Default("table").EnumVar(&c.output, "table", "json")
	app.Flag("timeout", "Time limit of the whole command.").Default(defaultTimeout.String()).DurationVar(&c.timeout)
	app.Flag("by", "Author recorded with a change.").Envar("HEMLOCKKNOT_OPERATOR").Default(defaultAuthor()).StringVar(&c.author)
}

// defaultAuthor returns the user and the host that the tool runs on, as USER@HOST.
func defaultAuthor() string {
	host, err := os.Hostname()
	if err != nil {
		host = "unknown-host"
	}
	user := os.Getenv("USER")
	if user == "" {
		user = "unknown"
	}
	return user + "@" + host
}

// platformClient returns a client for the platform's object API.
func (c *command) platformClient() (*platform.Client, error) {
	if c.platformURL == "" {
		return nil, usagef("--platform or HEMLOCKKNOT_PLATFORM_URL must be set")
	}
	return platform.NewClient(c.platformURL, noopCallCounter{}), nil
}

// noopCallCounter is a platform.CallCounter that discards all counts.
type noopCallCounter struct{}

// CountPlatformCall implements platform.CallCounter.
func (noopCallCounter) CountPlatformCall(string) {}
