// Command hemlockknot-measure measures daemons before stand-in engines and
// prints one JSON object a line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/measure"
)

func main() {
	app := kingpin.New("hemlockknot-measure", "Measures a small fleet of daemons before stand-in engines.")
	var options measure.Options
	app.Flag("seed", "Seed of the traces.").Default("7").Uint64Var(&options.Seed)
	app.Flag("programs", "Folder of the built programs.").Default("bin").StringVar(&options.Programs)
	app.Flag("daemons", "Number of daemons.").Default("4").IntVar(&options.Daemons)
	app.Flag("engines", "Number of engines.").Default("12").IntVar(&options.Engines)
	app.Flag("duration", "Length of each trace.").Default("60s").DurationVar(&options.Duration)
	app.Flag("rate", "Requests a second.").Default("100").Float64Var(&options.Rate)
	app.Flag("tokens", "Tokens of an answer.").Default("16").IntVar(&options.Tokens)
	app.Flag("token-time", "Time between tokens when an engine is idle.").Default("200ms").DurationVar(&options.TokenTime)
	app.Flag("cache-tokens", "Prompt tokens cached for each request of an engine's capacity.").Default("1000").IntVar(&options.CacheTokens)
	app.Flag("load-bound", "The service's load bound.").Default("1.25").Float64Var(&options.LoadBound)
	app.Flag("baselines", "Measure the baselines too.").Default("true").BoolVar(&options.Baselines)
	app.Flag("scenario", "Scenario to run; may be repeated; default: all.").EnumsVar(&options.Scenarios, measure.ScenarioNames()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := measure.Run(ctx, options, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-measure:", err)
		os.Exit(1)
	}
}
