package ctl

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/revision"
)

// defaultEnvironment is what commands work on if nothing else is said.
const defaultEnvironment = "production"

// addEnvironment adds the commands on environments.
func (c *command) addEnvironment(app *kingpin.Application, actions map[string]action) {
	env := app.Command("env", "Environments and their documents.")

	validate := env.Command("validate", "Check a document and report every error.")
	validateFile := validate.Arg("file", "Document (YAML).").Required().String()
	actions[validate.FullCommand()] = func(context.Context) error { return c.validate(*validateFile) }

	diff := env.Command("diff", "Show what a document would change.")
	diffEnv := environmentFlag(diff)
	diffFile := diff.Arg("file", "Document (YAML).").Required().String()
	actions[diff.FullCommand()] = func(ctx context.Context) error { return c.diff(ctx, *diffEnv, *diffFile) }

	status := env.Command("status", "Show an environment's version and the one in force at each --daemon.")
	statusEnv := environmentFlag(status)
	wait := status.Flag("wait", "Wait this long at most until the version is in force at each --daemon.").Duration()
	actions[status.FullCommand()] = func(ctx context.Context) error { return c.status(ctx, *statusEnv, *wait) }

	c.addWrites(env, actions)
}

func environmentFlag(clause *kingpin.CmdClause) *string {
	return clause.Flag("environment", "The environment's name.").Default(defaultEnvironment).String()
}

func loadDocument(file string) (*environment.Document, string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, "", fmt.Errorf("read document: %w", err)
	}
	document, err := environment.ParseNamed(file, text)
	return document, string(text), err
}

// summary is the answer to env validate.
type summary struct {
	Name       string `json:"name"`
	Places     int    `json:"places"`
	Services   int    `json:"services"`
	Engines    int    `json:"engines"`
	Workspaces int    `json:"workspaces"`
}

func (c *command) validate(file string) error {
	document, _, err := loadDocument(file)
	if err != nil {
		return err
	}
	counted := summary{
		Name:       document.Name,
		Places:     len(document.Places),
		Services:   len(document.Services),
		Engines:    len(document.Engines),
		Workspaces: len(document.Workspaces),
	}
	return c.print(counted, &table{footer: fmt.Sprintf("%s is valid: %d places, %d services, %d engines, %d workspaces",
		file, counted.Places, counted.Services, counted.Engines, counted.Workspaces)})
}

// difference is the answer to env diff.
type difference struct {
	Environment string   `json:"environment"`
	Generation  uint64   `json:"generation"`
	Changes     []change `json:"changes"`
}

func (c *command) diff(ctx context.Context, name, file string) error {
	document, _, err := loadDocument(file)
	if err != nil {
		return err
	}
	present, err := c.readEnvironment(ctx, name)
	if err != nil {
		return err
	}
	changes, err := changesOf(name, present, document)
	if err != nil {
		return err
	}
	title := fmt.Sprintf("against %s generation %d", name, present.Generation)
	return c.print(difference{name, present.Generation, changes}, changeTable(title, changes))
}

// changesOf compares a document with an environment's present version.
func changesOf(name string, present revision.Version, document *environment.Document) ([]change, error) {
	if present.Generation == 0 {
		return compare(nil, document), nil
	}
	origin := fmt.Sprintf("%s generation %d", name, present.Generation)
	before, err := environment.ParseNamed(origin, []byte(present.Spec.Document))
	if err != nil {
		return nil, err
	}
	return compare(before, document), nil
}

func (c *command) readEnvironment(ctx context.Context, name string) (revision.Version, error) {
	store, err := c.store()
	if err != nil {
		return revision.Version{}, err
	}
	version, err := revision.Read(ctx, store, name)
	if err != nil {
		return version, &unreachableError{err}
	}
	return version, nil
}
