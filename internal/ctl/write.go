package ctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rs/xid"

	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
	"hemlockknot/internal/state/revision"
)

// unsetGeneration is the value of a generation flag that the operator has not set.
const unsetGeneration = -1

// addWriteCommands adds the commands that modify environments.
func (c *command) addWriteCommands(env *kingpin.CmdClause, actions map[string]action) {
	apply := env.Command("apply", "Write a document to an environment.")
	applyEnv := environmentFlag(apply)
	applyFile := apply.Arg("file", "Document (YAML).").Required().String()
	applyIfGeneration := apply.Flag("if-generation", "Write only if the environment is at this generation (0: does not exist); default: the generation read before the write.").
		Default(fmt.Sprint(unsetGeneration)).Int64()
	actions[apply.FullCommand()] = func(ctx context.Context) error {
		return c.applyDocument(ctx, *applyEnv, *applyFile, *applyIfGeneration)
	}

	promote := env.Command("promote", "Copy an environment's document to another one.")
	promoteFrom := promote.Flag("from", "The environment to copy.").Default("trial").String()
	promoteTo := promote.Flag("to", "The environment to write.").Default(defaultEnvironment).String()
	fromGeneration := promote.Flag("from-generation", "Copy only this generation; default: the current one.").Default(fmt.Sprint(unsetGeneration)).Int64()
	seenGeneration := promote.Flag("seen-generation", "Write only if the written environment is at this generation (0: does not exist).").Required().Uint64()
	actions[promote.FullCommand()] = func(ctx context.Context) error {
		return c.promote(ctx, *promoteFrom, *fromGeneration, *promoteTo, *seenGeneration)
	}
}

// writeReport is the output of env apply and env promote.
type writeReport struct {
	Environment    string   `json:"environment"`
	SeenGeneration uint64   `json:"seen_generation"`
	Attempt        string   `json:"attempt"`
	Changes        []change `json:"changes,omitempty"`
	revision.Result
}

// applyDocument writes the document in a file to an environment.
func (c *command) applyDocument(ctx context.Context, name, file string, ifGeneration int64) error {
	document, text, err := readDocument(file)
	if err != nil {
		return err
	}
	if ifGeneration < unsetGeneration {
		return usagef("--if-generation: found %d, allowed: 0 or more", ifGeneration)
	}
	current, err := c.readEnvironment(ctx, name)
	if err != nil {
		return err
	}
	change := revision.Change{Environment: name, Document: text, SeenGeneration: current.Generation}
	if ifGeneration != unsetGeneration {
		change.SeenGeneration = uint64(ifGeneration)
	}
	return c.write(ctx, change, current, document)
}

// promote copies the document of one environment to another.
func (c *command) promote(ctx context.Context, from string, fromGeneration int64, to string, seenGeneration uint64) error {
	if from == to {
		return usagef("--from and --to name the same environment")
	}
	source, err := c.readEnvironment(ctx, from)
	if err != nil {
		return err
	}
	if fromGeneration != unsetGeneration && source.Generation != uint64(fromGeneration) {
		return &revision.ConflictError{Environment: from, Seen: uint64(fromGeneration), Present: source.Generation, Winner: source.Spec.Revision}
	}
	if source.Generation == 0 {
		return fmt.Errorf("the environment %s does not exist", from)
	}
	origin := fmt.Sprintf("%s generation %d", from, source.Generation)
	document, err := environment.ParseNamed(origin, []byte(source.Spec.Document))
	if err != nil {
		return err
	}
	current, err := c.readEnvironment(ctx, to)
	if err != nil {
		return err
	}
	change := revision.Change{Environment: to, Document: source.Spec.Document, SeenGeneration: seenGeneration}
	change.Revision.PromotedFrom = from
	change.Revision.PromotedGeneration = source.Generation
	return c.write(ctx, change, current, document)
}

// write applies a change to an environment and prints the result.
func (c *command) write(ctx context.Context, change revision.Change, current revision.Version, document *environment.Document) error {
	store, err := c.platformClient()
	if err != nil {
		return err
	}
	change.Revision.Attempt = xid.New().String()
	change.Revision.By = c.author
	change.Revision.At = time.Now().UTC().Truncate(time.Second)
	result, err := revision.Write(ctx, store, change)
	if err != nil {
		return wrapUnreachable(err)
	}
	report := writeReport{
		Environment:    change.Environment,
		SeenGeneration: change.SeenGeneration,
		Attempt:        change.Revision.Attempt,
		Result:         result,
	}
	// The replaced version is known only if it is the one that was read before the
	// write. An invalid current document cannot be compared.
	if current.Generation == change.SeenGeneration {
		report.Changes, _ = changesSince(change.Environment, current, document)
	}
	return c.print(report, c.writeReportTable(report))
}

func (c *command) writeReportTable(report writeReport) *table {
	t := &table{}
	if len(report.Changes) > 0 {
		t = changesTable(fmt.Sprintf("against %s generation %d", report.Environment, report.SeenGeneration), report.Changes)
	}
	t.footer = fmt.Sprintf("%s is at generation %d", report.Environment, report.Generation)
	switch {
	case report.Unchanged:
		t.footer = fmt.Sprintf("%s already has this document, at generation %d; nothing was written", report.Environment, report.Generation)
	case report.SupersededBy != nil:
		t.footer = fmt.Sprintf("%s was written as generation %d and has since been overwritten %s",
			report.Environment, report.Generation, revision.Describe(*report.SupersededBy))
	case report.AnswerLost:
		t.footer += " (the platform's response was lost; the write was confirmed by reading the environment)"
	}
	return t
}

// wrapUnreachable wraps an error of the platform as an unreachableError, unless the
// error is a known result of the write.
func wrapUnreachable(err error) error {
	var conflict *revision.ConflictError
	var unknown *revision.UnknownOutcomeError
	if errors.As(err, &conflict) || errors.As(err, &unknown) ||
		errors.Is(err, revision.ErrTooLarge) || errors.Is(err, platform.ErrRejected) {
		return err
	}
	return &unreachableError{err}
}
