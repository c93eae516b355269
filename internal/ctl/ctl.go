// Package ctl holds the commands of hemlockknotctl, the operators' tool. It
// speaks to the platform's object API and to the daemons' operators' ports.
package ctl

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/state/platform"
)

// defaultTimeout bounds a whole command.
const defaultTimeout = 30 * time.Second

// command is one run of the tool.
type command struct {
	platformURL string
	daemons     []string
	output      string
	timeout     time.Duration
	by          string

	stdout io.Writer
	stderr io.Writer
}

// action does what a command line asks for.
type action func(ctx context.Context) error

// Run runs the tool and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) ExitCode {
	c := &command{stdout: stdout, stderr: stderr}
	app := kingpin.New("hemlockknotctl", "Drives environments and explains what daemons do.")
	app.UsageWriter(stdout)
	app.ErrorWriter(stderr)
	app.HelpFlag.Short('h')
	c.globalFlags(app)
	actions := make(map[string]action)
	c.addEnvironment(app, actions)
	c.addDaemons(app, actions)
	selected, err := app.Parse(args)
	if err != nil {
		return c.fail(&usageError{err})
	}
	if c.timeout <= 0 {
		return c.fail(usagef("--timeout: found %s, allowed: more than 0s", c.timeout))
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	if err := actions[selected](ctx); err != nil {
		return c.fail(err)
	}
	return ExitOK
}

func (c *command) globalFlags(app *kingpin.Application) {
	app.Flag("platform", "URL of the platform's object API.").Envar("HEMLOCKKNOT_PLATFORM_URL").StringVar(&c.platformURL)
	app.Flag("daemon", "Operators' address of a daemon (host:port); may be repeated.").Envar("HEMLOCKKNOT_DAEMONS").StringsVar(&c.daemons)
	app.Flag("output", "Form of the output.").Short('o').Default("table").EnumVar(&c.output, "table", "json")
	app.Flag("timeout", "Time limit of the whole command.").Default(defaultTimeout.String()).DurationVar(&c.timeout)
	app.Flag("by", "Who makes a change; recorded with it.").Envar("HEMLOCKKNOT_OPERATOR").Default(login()).StringVar(&c.by)
}

// login names the user and the host that the tool runs on.
func login() string {
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

// store returns a client of the platform.
func (c *command) store() (*platform.Client, error) {
	if c.platformURL == "" {
		return nil, usagef("--platform or HEMLOCKKNOT_PLATFORM_URL is needed")
	}
	return platform.NewClient(c.platformURL, uncounted{}), nil
}

// uncounted is a platform.CallCounter that counts nothing.
type uncounted struct{}

// PlatformCall implements platform.CallCounter.
func (uncounted) PlatformCall(string) {}
