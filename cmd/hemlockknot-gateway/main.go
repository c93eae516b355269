// Command hemlockknot-gateway runs the router daemon on a host of the users'
// platform.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/eventlog"
	"hemlockknot/internal/gateway"
	"hemlockknot/platform"
)

// gcPercent keeps the heap small, because memory is the most expensive resource of
// the hosts.
const gcPercent = 40

// collectorShare is the part of the host's memory above which the collector runs more often, so that
// garbage of heads and bodies can't exhaust the rest. The rest holds the program itself, of some 15 MB,
// and what is allocated while the collector runs.
const collectorShare = 5.0 / 8

func main() {
	app := kingpin.New("hemlockknot-gateway", "Router daemon for hosts of the users' platform.")
	app.HelpFlag.Short('h')
	run := app.Command("run", "Run the daemon.").Default()
	settings := run.Flag("settings", "Path of the platform's settings file.").Envar(platform.SettingsPathEnvVar).Required().String()
	metricsPort := run.Flag("metrics-port", "Port of the metrics endpoint; 0 disables it.").Default("0").Int()
	check := app.Command("check", "Check a settings file and exit.")
	checkFile := check.Arg("file", "Path of the platform's settings file.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		exitOnError(runDaemon(*settings, *metricsPort))
	case check.FullCommand():
		_, err := platform.LoadSettings(*checkFile)
		exitOnError(err)
		fmt.Println("ok")
	}
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-gateway:", err)
		os.Exit(1)
	}
}

func runDaemon(path string, metricsPort int) error {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP) // first, because an unhandled SIGHUP ends the process
	debug.SetGCPercent(gcPercent)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.MaxMemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MaxMemoryBytes) * collectorShare))
	}
	eventLog := eventlog.New(os.Stdout, "host", settings.Host)
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() { eventLog.Run(logCtx); close(logDone) }()
	defer func() { stopLog(); <-logDone }()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := gateway.New(settings, eventLog)
	if err != nil {
		return err
	}
	loadSettings := func() (platform.Settings, error) { return platform.LoadSettings(path) }
	go daemon.WatchSettings(ctx, loadSettings, reloadSignals)
	return daemon.Run(ctx, metricsAddress(settings.IP, metricsPort))
}

// metricsAddress returns the listen address of the metrics endpoint, or an empty
// string if port is 0.
func metricsAddress(ip string, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, fmt.Sprint(port))
}
