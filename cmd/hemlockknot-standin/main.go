// Command hemlockknot-standin serves small stand-ins for the platform, model
// engines and plain services, for tests and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	"hemlockknot/internal/standin/client"
	"hemlockknot/internal/standin/engine"
	"hemlockknot/internal/standin/platform"
	"hemlockknot/internal/standin/service"
)

func main() {
	app := kingpin.New("hemlockknot-standin", "Stand-ins for the platform, engines and services.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	app.Command("platform", "The platform's object API.")
	app.Command("service", "A plain service.")
	model := app.Command("engine", "A model engine.")
	var config engine.Config
	model.Flag("capacity", "Requests that run at once.").Default("16").IntVar(&config.Capacity)
	model.Flag("cache-tokens", "Prompt tokens that the cache holds.").Default("100000").IntVar(&config.CacheTokens)
	model.Flag("token-time", "Time between tokens when idle.").Default("5ms").DurationVar(&config.TokenTime)
	model.Flag("prefill-time", "Time for each 1,000 prompt tokens that are not cached.").Default("50ms").DurationVar(&config.PrefillTime)
	model.Flag("load-lag", "Age of the load report.").Default("500ms").DurationVar(&config.LoadLag)
	model.Flag("tokens", "Tokens of an answer whose request names no number.").Default("16").IntVar(&config.DefaultToken)

	ask := app.Command("ask", "Ask a model through a daemon, as a caller does.")
	var question client.Request
	ask.Flag("base-url", "The daemon's callers' port with /v1.").Required().StringVar(&question.BaseURL)
	ask.Flag("key", "Bearer key.").Required().StringVar(&question.Key)
	ask.Flag("model", "Model.").Required().StringVar(&question.Model)
	ask.Flag("chat", "The chat's name.").Required().StringVar(&question.Chat)
	texts := ask.Arg("messages", "The conversation: questions and answers in turn.").Required().Strings()

	var handler http.Handler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case "ask":
		exitOn(askModel(question, *texts))
		return
	case "platform":
		handler = platform.New().Handler()
	case "service":
		handler = service.New().Handler()
	case "engine":
		handler = engine.New(config).Handler()
	}
	exitOn(serve(*listen, handler))
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-standin:", err)
		os.Exit(1)
	}
}

// askModel asks one question and prints the answer and where it came from.
func askModel(question client.Request, texts []string) error {
	for turn, text := range texts {
		role := "user"
		if turn%2 == 1 {
			role = "assistant"
		}
		question.Messages = append(question.Messages, client.Message{Role: role, Content: text})
	}
	answer, err := client.Ask(context.Background(), question, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("\n  chat %s: engine %s, %d of %d prompt tokens were cached\n",
		question.Chat, answer.Engine, answer.CachedTokens, answer.PromptTokens)
	return nil
}

// serve answers until the process is told to end.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	logger := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.JSONFormatter, ReportTimestamp: true})
	logger.Info("listening", "address", listener.Addr().String())
	const headerTimeout = 5 * time.Second
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
