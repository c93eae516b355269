// Package revision writes versions of an environment to the platform. A write is
// conditional on the generation that its operator saw, so that of two operators
// who race exactly one wins, and a write whose answer is lost is resolved by
// reading back and looking for the attempt's own id.
package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"hemlockknot/internal/state/platform"
)

const (
	// KeptRevisions is how many earlier revisions an environment object holds.
	KeptRevisions = 16
	// readBackInterval is the pause between reads that look for a lost answer.
	readBackInterval = 200 * time.Millisecond
	// readBackLimit bounds how long a lost answer is looked for.
	readBackLimit = 10 * time.Second
)

// Store is the part of the platform's client that writing needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	Create(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
	Update(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
}

// Version is one version of an environment; the zero value stands for an
// environment that does not exist yet.
type Version struct {
	Generation uint64
	Spec       platform.EnvironmentSpec

	resourceVersion string
}

// Read returns the present version of an environment.
func Read(ctx context.Context, store Store, environment string) (Version, error) {
	object, err := store.Get(ctx, platform.KindEnvironments, environment)
	if errors.Is(err, platform.ErrNotFound) {
		return Version{}, nil
	}
	if err != nil {
		return Version{}, fmt.Errorf("read environment %s: %w", environment, err)
	}
	return decode(object)
}

func decode(object *platform.Object) (Version, error) {
	version := Version{
		Generation:      object.Metadata.Generation,
		resourceVersion: object.Metadata.ResourceVersion,
	}
	if err := json.Unmarshal(object.Spec, &version.Spec); err != nil {
		return version, fmt.Errorf("decode environment %s: %w", object.Metadata.Name, err)
	}
	return version, nil
}

// Change is a new version that is to be written.
type Change struct {
	Environment    string
	Document       string
	SeenGeneration uint64 // of the version that the operator saw; 0: none
	Revision       platform.Revision
}

// Result is what became of a write.
type Result struct {
	Generation uint64 `json:"generation"`
	// Unchanged says that the environment had that document already, so that
	// nothing was written.
	Unchanged bool `json:"unchanged"`
	// AnswerLost says that the write's answer was lost and that its effect was
	// found by reading back.
	AnswerLost bool `json:"answer_lost"`
	// SupersededBy is the present version, if it is no longer the written one.
	SupersededBy *platform.Revision `json:"superseded_by,omitempty"`
}

// ConflictError says that the environment has another version than the operator
// saw. Nothing was changed.
type ConflictError struct {
	Environment string            `json:"environment"`
	Seen        uint64            `json:"seen_generation"`
	Present     uint64            `json:"present_generation"`
	Winner      platform.Revision `json:"winner"` // who wrote the present version
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Present < e.Seen {
		return fmt.Sprintf("conflict: %s is at generation %d, which is before %d: the number is wrong, or the platform's reads are stale; nothing was changed",
			e.Environment, e.Present, e.Seen)
	}
	return fmt.Sprintf("conflict: %s is at generation %d, not %d: written %s; nothing was changed",
		e.Environment, e.Present, e.Seen, Describe(e.Winner))
}

// Describe says in words where a version comes from.
func Describe(revision platform.Revision) string {
	if revision.Attempt == "" {
		return "by an unknown tool"
	}
	text := fmt.Sprintf("by %s at %s", revision.By, revision.At.Format(time.RFC3339))
	if revision.PromotedFrom != "" {
		text += fmt.Sprintf(", promoted from %s generation %d", revision.PromotedFrom, revision.PromotedGeneration)
	}
	return text + " (attempt " + revision.Attempt + ")"
}

// UnknownOutcomeError says that a write may or may not have taken effect, and
// that the platform could not be asked.
type UnknownOutcomeError struct {
	Environment string
	Attempt     string
	Err         error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write environment %s: the outcome of attempt %s is unknown: %v", e.Environment, e.Attempt, e.Err)
}

// Unwrap returns the last error of the platform.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
