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

// anyGeneration stands for a generation that the operator has not named.
const anyGeneration = -1

// addWrites adds the commands that change environments.
func (c *command) addWrites(env *kingpin.CmdClause, actions map[string]action) {
	apply := env.Command("apply", "Write a document to an environment.")
	applyEnv := environmentFlag(apply)
	applyFile := apply.Arg("file", "Document (YAML).").Required().String()
	applySeen := apply.Flag("if-generation", "Write only if the environment is at this generation (0: does not exist); default: the one read first.").
		Default(fmt.Sprint(anyGeneration)).Int64()
	actions[apply.FullCommand()] = func(ctx context.Context) error {
		return c.apply(ctx, *applyEnv, *applyFile, *applySeen)
	}

	promote := env.Command("promote", "Copy an environment's document to another one.")
	from := promote.Flag("from", "The environment to copy.").Default("trial").String()
	to := promote.Flag("to", "The environment to write.").Default(defaultEnvironment).String()
	fromSeen := promote.Flag("from-generation", "Copy only this generation; default: the present one.").Default(fmt.Sprint(anyGeneration)).Int64()
	seen := promote.Flag("seen-generation", "The generation of the written environment that you saw (0: does not exist).").Required().Uint64()
	actions[promote.FullCommand()] = func(ctx context.Context) error {
		return c.promote(ctx, *from, *fromSeen, *to, *seen)
	}
}

// written is the answer to env apply and env promote.
type written struct {
	Environment    string   `json:"environment"`
	SeenGeneration uint64   `json:"seen_generation"`
	Attempt        string   `json:"attempt"`
	Changes        []change `json:"changes,omitempty"`
	revision.Result
}

func (c *command) apply(ctx context.Context, name, file string, seen int64) error {
	document, text, err := loadDocument(file)
	if err != nil {
		return err
	}
	if seen < anyGeneration {
		return usagef("--if-generation: found %d, allowed: 0 or more", seen)
	}
	present, err := c.readEnvironment(ctx, name)
	if err != nil {
		return err
	}
	change := revision.Change{Environment: name, Document: text, SeenGeneration: present.Generation}
	if seen != anyGeneration {
		change.SeenGeneration = uint64(seen)
	}
	return c.write(ctx, change, present, document)
}

func (c *command) promote(ctx context.Context, from string, fromSeen int64, to string, seen uint64) error {
	if from == to {
		return usagef("--from and --to name the same environment")
	}
	source, err := c.readEnvironment(ctx, from)
	if err != nil {
		return err
	}
	if fromSeen != anyGeneration && source.Generation != uint64(fromSeen) {
		return &revision.ConflictError{Environment: from, Seen: uint64(fromSeen), Present: source.Generation, Winner: source.Spec.Revision}
	}
	if source.Generation == 0 {
		return fmt.Errorf("the environment %s does not exist", from)
	}
	origin := fmt.Sprintf("%s generation %d", from, source.Generation)
	document, err := environment.ParseNamed(origin, []byte(source.Spec.Document))
	if err != nil {
		return err
	}
	present, err := c.readEnvironment(ctx, to)
	if err != nil {
		return err
	}
	change := revision.Change{Environment: to, Document: source.Spec.Document, SeenGeneration: seen}
	change.Revision.PromotedFrom = from
	change.Revision.PromotedGeneration = source.Generation
	return c.write(ctx, change, present, document)
}

// write makes a change and prints what became of it.
func (c *command) write(ctx context.Context, change revision.Change, present revision.Version, document *environment.Document) error {
	store, err := c.store()
	if err != nil {
		return err
	}
	change.Revision.Attempt = xid.New().String()
	change.Revision.By = c.by
	change.Revision.At = time.Now().UTC().Truncate(time.Second)
	result, err := revision.Write(ctx, store, change)
	if err != nil {
		return asUnreachable(err)
	}
	report := written{
		Environment:    change.Environment,
		SeenGeneration: change.SeenGeneration,
		Attempt:        change.Revision.Attempt,
		Result:         result,
	}
	// What the write replaced is known only if it was the version read above; a
	// present document that is not valid has no comparable parts.
	if present.Generation == change.SeenGeneration {
		report.Changes, _ = changesOf(change.Environment, present, document)
	}
	return c.print(report, c.writtenTable(report))
}

func (c *command) writtenTable(report written) *table {
	shown := &table{}
	if len(report.Changes) > 0 {
		shown = changeTable(fmt.Sprintf("against %s generation %d", report.Environment, report.SeenGeneration), report.Changes)
	}
	shown.footer = fmt.Sprintf("%s is at generation %d", report.Environment, report.Generation)
	switch {
	case report.Unchanged:
		shown.footer = fmt.Sprintf("%s has this document already, at generation %d; nothing was written", report.Environment, report.Generation)
	case report.SupersededBy != nil:
		shown.footer = fmt.Sprintf("%s was written as generation %d, and since then again %s",
			report.Environment, report.Generation, revision.Describe(*report.SupersededBy))
	case report.AnswerLost:
		shown.footer += " (the platform's answer was lost; found by reading back)"
	}
	return shown
}

// asUnreachable marks an error of the platform that is not already an outcome of
// the write.
func asUnreachable(err error) error {
	var conflict *revision.ConflictError
	var unknown *revision.UnknownOutcomeError
	if errors.As(err, &conflict) || errors.As(err, &unknown) ||
		errors.Is(err, revision.ErrTooLarge) || errors.Is(err, platform.ErrRejected) {
		return err
	}
	return &unreachableError{err}
}
