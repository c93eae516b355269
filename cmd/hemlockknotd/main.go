// Command hemlockknotd runs the router daemon. Each entry host runs one.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"hemlockknot/internal/daemon"
	"hemlockknot/internal/state/settings"
)

func main() {
	app := kingpin.New("hemlockknotd", "Router daemon for fleets of model engines and plain services.")
	run := app.Command("run", "Run the daemon.").Default()
	runFile := run.Flag("config", "Settings file (YAML).").Envar("HEMLOCKKNOT_CONFIG").Required().String()
	overrides := overrideFlags(run)
	check := app.Command("check", "Check a settings file and exit.")
	checkFile := check.Arg("file", "Settings file (YAML).").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		exitOnError(runDaemon(*runFile, overrides()))
	case check.FullCommand():
		_, err := settings.Load(*checkFile)
		exitOnError(err)
		fmt.Println("ok")
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknotd:", err)
		os.Exit(1)
	}
}

func runDaemon(path string, overrides []settings.Override) error {
	config, err := settings.Load(path, overrides...)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(config.LogLevel)
	if err != nil {
		return fmt.Errorf("log_level: %w", err)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{
		Level:           level,
		ReportTimestamp: true,
		Formatter:       log.JSONFormatter,
		Fields:          []any{"daemon", config.Name},
	})
	process, err := daemon.New(config, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Stop handling signals after the first, so that a second one ends the process
	// immediately.
	context.AfterFunc(ctx, stop)
	return process.Run(ctx)
}
