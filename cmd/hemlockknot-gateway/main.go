// Command hemlockknot-gateway is the daemon on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"hemlockknot/internal/eventlog"
	"hemlockknot/internal/gateway"
	"hemlockknot/platform"
)

// The standard library's flags are used, as kingpin's templates take a tenth of
// the daemon's memory.
// gcPercent keeps the heap small, as memory is the dearest resource of the hosts.
const gcPercent = 40

func main() {
	run := flag.NewFlagSet("run", flag.ExitOnError)
	settings := run.String("settings", os.Getenv(platform.SettingsVariable), "the platform's settings file")
	metricsPort := run.Int("metrics-port", 0, "port of the metrics; 0: none")
	command, arguments := "", []string(nil)
	if len(os.Args) > 1 {
		command, arguments = os.Args[1], os.Args[2:]
	}
	switch {
	case command == "run":
		_ = run.Parse(arguments) // exits on an error
		exitOn(runDaemon(*settings, *metricsPort))
	case command == "check" && len(arguments) == 1:
		_, err := platform.LoadSettings(arguments[0])
		exitOn(err)
		fmt.Println("ok")
	default:
		fmt.Fprintln(os.Stderr, "usage: hemlockknot-gateway run [--settings FILE] [--metrics-port PORT] | check FILE")
		os.Exit(2)
	}
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-gateway:", err)
		os.Exit(1)
	}
}

func runDaemon(path string, metricsPort int) error {
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
	return gateway.New(settings, lines).Run(ctx, metricsAddress(settings.IP, metricsPort))
}

func metricsAddress(ip string, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(ip, fmt.Sprint(port))
}
