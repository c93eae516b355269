// Package revision writes new versions of an environment to the platform. A write
// is conditional on the generation that its operator saw, so that exactly one of
// two concurrent writes succeeds. If the answer to a write is lost, the package
// reads the environment and looks for the attempt's id to find out whether the
// write took effect.
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
	// MaxEarlierRevisions is the maximum number of earlier revisions that an environment
	// object lists.
	MaxEarlierRevisions = 16
	// readBackInterval is the time between two reads that look for an attempt.
	readBackInterval = 200 * time.Millisecond
	// writeTimeout bounds the time for a write together with the reads that find
	// out its outcome.
	writeTimeout = 10 * time.Second
)

// Store is the part of the platform's client that this package uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	Create(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
	Update(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
}

// Version is a version of an environment. The zero value represents an environment
// that does not exist yet.
type Version struct {
	Generation uint64
	Spec       platform.EnvironmentSpec

	resourceVersion string
}

// Read returns the current version of an environment.
func Read(ctx context.Context, store Store, environment string) (Version, error) {
	object, err := store.Get(ctx, platform.KindEnvironments, environment)
	if errors.Is(err, platform.ErrNotFound) {
		return Version{}, nil
	}
	if err != nil {
		return Version{}, fmt.Errorf("read environment %s: %w", environment, err)
	}
	return decodeVersion(object)
}

func decodeVersion(object *platform.Object) (Version, error) {
	version := Version{
		Generation:      object.Metadata.Generation,
		resourceVersion: object.Metadata.ResourceVersion,
	}
	if err := json.Unmarshal(object.Spec, &version.Spec); err != nil {
		return version, fmt.Errorf("decode environment %s: %w", object.Metadata.Name, err)
	}
	return version, nil
}

// Change is a request to write a new version.
type Change struct {
	Environment    string
	Document       string
	SeenGeneration uint64 // generation on which the write is conditional; 0: the environment does not exist
	Revision       platform.Revision
}

// Result is the outcome of a successful write.
type Result struct {
	Generation uint64 `json:"generation"`
	// Unchanged reports that nothing was written, as the environment already had
	// the document.
	Unchanged bool `json:"unchanged"`
	// AnswerLost reports that the answer to the write was lost and that a later
	// read showed its effect.
	AnswerLost bool `json:"answer_lost"`
	// SupersededBy is the revision of the current version if that version is newer
	// than the written one.
	SupersededBy *platform.Revision `json:"superseded_by,omitempty"`
}

// ConflictError means that the environment does not have the generation that the
// operator saw. Nothing was changed.
type ConflictError struct {
	Environment string            `json:"environment"`
	Seen        uint64            `json:"seen_generation"`
	Present     uint64            `json:"present_generation"`
	Winner      platform.Revision `json:"winner"` // revision of the current version
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

// Describe returns a text that says who wrote a version, when, and from which
// source.
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

// UnknownOutcomeError means that a write may or may not have taken effect, and
// that the later reads did not show which.
type UnknownOutcomeError struct {
	Environment string
	Attempt     string
	Err         error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("write environment %s: the outcome of attempt %s is unknown: %v", e.Environment, e.Attempt, e.Err)
}

// Unwrap returns the errors that leave the outcome unknown.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }
