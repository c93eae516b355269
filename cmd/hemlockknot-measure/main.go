// Command hemlockknot-measure runs load scenarios on a small fleet of daemons with
// stand-in engines, and prints each result as a JSON object on its own line.
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
	app := kingpin.New("hemlockknot-measure", "Measures a small fleet of daemons with stand-in engines.")
	var options measure.Options
	app.Flag("seed", "Random seed of the request traces.").Default("7").Uint64Var(&options.Seed)
	app.Flag("programs", "Folder that contains the built programs.").Default("bin").StringVar(&options.BinDir)
	app.Flag("daemons", "Number of daemons.").Default("4").IntVar(&options.Daemons)
	app.Flag("engines", "Number of engines.").Default("12").IntVar(&options.Engines)
	app.Flag("duration", "Duration of each request trace.").Default("60s").DurationVar(&options.Duration)
	app.Flag("rate", "Requests per second.").Default("100").Float64Var(&options.Rate)
	app.Flag("tokens", "Tokens in each answer.").Default("16").IntVar(&options.AnswerTokens)
	app.Flag("token-time", "Time between tokens when an engine is idle.").Default("200ms").DurationVar(&options.TokenTime)
	app.Flag("cache-tokens", "Prompt tokens that an engine caches, per request of its capacity.").Default("1000").IntVar(&options.CacheTokens)
	app.Flag("load-bound", "Load bound of the service.").Default("1.25").Float64Var(&options.LoadBound)
	app.Flag("baselines", "Also measure the baseline policies.").Default("true").BoolVar(&options.Baselines)
	app.Flag("scenario", "Scenario to run; may be repeated; all scenarios if not given.").EnumsVar(&options.Scenarios, measure.ScenarioNames()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := measure.Run(ctx, options, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-measure:", err)
		os.Exit(1)
	}
}
