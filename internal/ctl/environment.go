package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/revision"
)

// defaultEnvironment is the environment that commands use if no flag names another.
const defaultEnvironment = "production"

// addEnvironmentCommands adds the commands that manage environments.
func (c *command) addEnvironmentCommands(app *kingpin.Application, actions map[string]action) {
	env := app.Command("env", "Manage environments and their documents.")

	validate := env.Command("validate", "Check a document and report every error.")
	validateFile := validate.Arg("file", "Document (YAML).").Required().String()
	actions[validate.FullCommand()] = func(context.Context) error { return c.validate(*validateFile) }

	diff := env.Command("diff", "Show what a document would change.")
	diffEnv := environmentFlag(diff)
	diffFile := diff.Arg("file", "Document (YAML).").Required().String()
	actions[diff.FullCommand()] = func(ctx context.Context) error { return c.diff(ctx, *diffEnv, *diffFile) }

	status := env.Command("status", "Show an environment's version and the one in force at each --daemon.")
	statusEnv := environmentFlag(status)
	wait := status.Flag("wait", "Maximum time to wait until the version is in force at each --daemon.").Duration()
	actions[status.FullCommand()] = func(ctx context.Context) error { return c.status(ctx, *statusEnv, *wait) }

	c.addWriteCommands(env, actions)
}

func environmentFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("environment", "The environment's name.").Default(defaultEnvironment).String()
}

// readDocument parses a document file and also returns its text.
func readDocument(file string) (*environment.Document, string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, "", fmt.Errorf("read document: %w", err)
	}
	document, err := environment.ParseNamed(file, text)
	return document, string(text), err
}

// documentSummary is the output of env validate.
type documentSummary struct {
	Name       string `json:"name"`
	Places     int    `json:"places"`
	Services   int    `json:"services"`
	Engines    int    `json:"engines"`
	Workspaces int    `json:"workspaces"`
}

func (c *command) validate(file string) error {
	document, _, err := readDocument(file)
	if err != nil {
		return err
	}
	summary := documentSummary{
		Name:       document.Name,
		Places:     len(document.Places),
		Services:   len(document.Services),
		Engines:    len(document.Engines),
		Workspaces: len(document.Workspaces),
	}
	return c.print(summary, &table{footer: fmt.Sprintf("%s is valid: %d places, %d services, %d engines, %d workspaces",
		file, summary.Places, summary.Services, summary.Engines, summary.Workspaces)})
}

// environmentDiff is the output of env diff.
type environmentDiff struct {
	Environment string   `json:"environment"`
	Generation  uint64   `json:"generation"`
	Changes     []change `json:"changes"`
}

func (c *command) diff(ctx context.Context, name, file string) error {
	document, _, err := readDocument(file)
	if err != nil {
		return err
	}
	current, err := c.readEnvironment(ctx, name)
	if err != nil {
		return err
	}
	changes, err := changesSince(name, current, document)
	if err != nil {
		return err
	}
	title := fmt.Sprintf("against %s generation %d", name, current.Generation)
	return c.print(environmentDiff{name, current.Generation, changes}, changesTable(title, changes))
}

// changesSince returns the changes from an environment's current version to a
// document.
func changesSince(name string, current revision.Version, document *environment.Document) ([]change, error) {
	if current.Generation == 0 {
		return compareDocuments(nil, document), nil
	}
	origin := fmt.Sprintf("%s generation %d", name, current.Generation)
	before, err := environment.ParseNamed(origin, []byte(current.Spec.Document))
	if err != nil {
		return nil, err
	}
	return compareDocuments(before, document), nil
}

// readEnvironment reads an environment's current version from the platform.
func (c *command) readEnvironment(ctx context.Context, name string) (revision.Version, error) {
	store, err := c.platformClient()
	if err != nil {
		return revision.Version{}, err
	}
	version, err := revision.Read(ctx, store, name)
	if err != nil {
		return version, &unreachableError{err}
	}
	return version, nil
}
