// Command hemlockknot-gateway is the daemon on the users' platform.
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

// gcPercent keeps the heap small, as memory is the dearest resource of the hosts.
const gcPercent = 40

func main() {
	app := kingpin.New("hemlockknot-gateway", "Router daemon on the platform's machines.")
	app.HelpFlag.Short('h')
	run := app.Command("run", "Run the daemon.").Default()
	settings := run.Flag("settings", "The platform's settings file.").Envar(platform.SettingsVariable).Required().String()
	metricsPort := run.Flag("metrics-port", "Port of the metrics; 0: none.").Default("0").Int()
	check := app.Command("check", "Check a settings file and exit.")
	checked := check.Arg("file", "The platform's settings file.").Required().String()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case run.FullCommand():
		exitOn(runDaemon(*settings, *metricsPort))
	case check.FullCommand():
		_, err := platform.LoadSettings(*checked)
		exitOn(err)
		fmt.Println("ok")
	}
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-gateway:", err)
		os.Exit(1)
	}
}

func runDaemon(path string, metricsPort int) error {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP) // before all else: without it the signal ends the process
	debug.SetGCPercent(gcPercent)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	lines := eventlog.New(os.Stdout, "host", settings.Host)
	logging, stopLogging := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() { lines.Run(logging); close(written) }()
	defer func() { stopLogging(); <-written }()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := gateway.New(settings, lines)
	if err != nil {
		return err
	}
	load := func() (platform.Settings, error) { return platform.LoadSettings(path) }
	go daemon.FollowSettings(ctx, load, changed)
	return daemon.Run(ctx, metricsAddress(settings.IP, metricsPort))
}

func metricsAddress(ip string, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, fmt.Sprint(port))
}
