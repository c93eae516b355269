// Command hemlockknot-standin runs simple stand-ins for the platform, model engines
// and plain services. Tests and the demo use them.
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

// crashExitStatus is the exit status of an engine that --crash-on ends.
const crashExitStatus = 3

func main() {
	app := kingpin.New("hemlockknot-standin", "Stand-ins for the platform, engines and services.")
	listen := app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
	app.Command("platform", "Serve the platform's object API.")
	app.Command("service", "Serve as a plain service.")
	engineCommand := app.Command("engine", "Serve as a model engine.")
	var config engine.Config
	engineCommand.Flag("capacity", "Requests that run concurrently.").Default("16").IntVar(&config.Capacity)
	engineCommand.Flag("cache-tokens", "Prompt tokens that the cache holds.").Default("100000").IntVar(&config.CacheTokens)
	engineCommand.Flag("token-time", "Time between tokens when the engine is idle.").Default("5ms").DurationVar(&config.TokenInterval)
	engineCommand.Flag("prefill-time", "Time per 1,000 prompt tokens that are not cached.").Default("50ms").DurationVar(&config.PrefillTime)
	engineCommand.Flag("load-lag", "Maximum age of the load report.").Default("500ms").DurationVar(&config.LoadReportAge)
	crashOn := engineCommand.Flag("crash-on", "First user message of requests at which the process exits.").String()
	engineCommand.Flag("tokens", "Tokens in an answer if the request sets no maximum.").Default("16").IntVar(&config.DefaultMaxTokens)

	askCommand := app.Command("ask", "Send a chat request to a daemon and print the answer.")
	var request client.Request
	askCommand.Flag("base-url", "URL of the daemon's callers' port, with /v1.").Required().StringVar(&request.BaseURL)
	askCommand.Flag("key", "Bearer key of the workspace.").Required().StringVar(&request.APIKey)
	askCommand.Flag("model", "Model.").Required().StringVar(&request.Model)
	askCommand.Flag("chat", "Name of the chat.").Required().StringVar(&request.Chat)
	messages := askCommand.Arg("messages", "Messages of the chat: the user's and the model's in turn.").Required().Strings()

	var handler http.Handler
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case "ask":
		exitOnError(sendChat(request, *messages))
		return
	case "platform":
		handler = platform.New().Handler()
	case "service":
		handler = service.New().Handler()
	case "engine":
		if *crashOn != "" {
			config.OnChat = func(message string) {
				if message == *crashOn {
					os.Exit(crashExitStatus)
				}
			}
		}
		handler = engine.New(config).Handler()
	}
	exitOnError(serveHTTP(*listen, handler))
}

func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "hemlockknot-standin:", err)
		os.Exit(1)
	}
}

// sendChat sends one chat request, and prints the answer, the engine that produced
// it and how many prompt tokens were cached.
func sendChat(request client.Request, messages []string) error {
	for turn, text := range messages {
		role := "user"
		if turn%2 == 1 {
			role = "assistant"
		}
		request.Messages = append(request.Messages, client.Message{Role: role, Content: text})
	}
	answer, err := client.Complete(context.Background(), request, os.Stdout)
	if err != nil {
		return err
	}
	fmt.Printf("\n  chat %s: engine %s, %d of %d prompt tokens were cached\n",
		request.Chat, answer.Engine, answer.CachedTokens, answer.PromptTokens)
	return nil
}

// serveHTTP serves HTTP at an address until the process receives SIGTERM or SIGINT.
func serveHTTP(address string, handler http.Handler) error {
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
