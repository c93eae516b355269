package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/platform"
)

// ErrTooLarge means that an environment object exceeds the platform's size limit.
var ErrTooLarge = errors.New("the environment is too large for the platform")

// errStaleRead means that a read returned an older version than one that is known
// to exist.
var errStaleRead = errors.New("the platform returned a stale version of the environment")

// writer writes one change to the platform.
type writer struct {
	store         Store
	change        Change
	base          Version          // the version that the change replaces
	object        *platform.Object // the same for each write call, so that all are conditional on base
	lostAnswerErr error            // the last error of a write call that may have taken effect
}

// Write writes the change if the environment still has the generation that the
// operator saw. Otherwise the error is a *ConflictError. If the outcome of the
// write cannot be found out, the error is an *UnknownOutcomeError.
func Write(ctx context.Context, store Store, change Change) (Result, error) {
	base, err := readSeenVersion(ctx, store, change)
	if err != nil {
		return Result{}, err
	}
	if base.Generation > 0 && base.Spec.Document == change.Document {
		return Result{Generation: base.Generation, Unchanged: true}, nil
	}
	object, err := encodeObject(change, base)
	if err != nil {
		return Result{}, err
	}
	w := &writer{store: store, change: change, base: base, object: object}
	return w.write(ctx)
}

// readSeenVersion returns the current version, which must be the one that the
// operator saw. A read that returns an older version may be stale and is repeated.
func readSeenVersion(ctx context.Context, store Store, change Change) (Version, error) {
	var current Version
	const maxReads = 5
	for range maxReads {
		var err error
		current, err = Read(ctx, store, change.Environment)
		if err != nil {
			return current, err
		}
		if current.Generation >= change.SeenGeneration {
			break
		}
		waitBeforeRead(ctx)
	}
	if current.Generation != change.SeenGeneration {
		return current, newConflictError(change, current)
	}
	return current, nil
}

func newConflictError(change Change, current Version) *ConflictError {
	return &ConflictError{
		Environment: change.Environment,
		Seen:        change.SeenGeneration,
		Present:     current.Generation,
		Winner:      current.Spec.Revision,
	}
}

// encodeObject returns the object to write. As the write is conditional on base, the
// platform assigns the generation after that of base.
func encodeObject(change Change, base Version) (*platform.Object, error) {
	spec := platform.EnvironmentSpec{Document: change.Document, Revision: change.Revision}
	spec.Revision.Generation = base.Generation + 1
	if base.Spec.Revision.Attempt != "" {
		spec.Earlier = append(spec.Earlier, base.Spec.Revision)
	}
	spec.Earlier = append(spec.Earlier, base.Spec.Earlier...)
	spec.Earlier = spec.Earlier[:min(len(spec.Earlier), MaxEarlierRevisions)]
	encoded, err := json.Marshal(spec)
	if err != nil {
		return nil, fmt.Errorf("encode environment %s: %w", change.Environment, err)
	}
	if len(encoded) > environment.MaxBytes {
		return nil, fmt.Errorf("%w: %d bytes with its revisions, at most %d are allowed", ErrTooLarge, len(encoded), environment.MaxBytes)
	}
	return &platform.Object{
		Metadata: platform.Metadata{Name: change.Environment, ResourceVersion: base.resourceVersion},
		Spec:     encoded,
	}, nil
}

// write repeats the conditional write until its outcome is known or writeTimeout
// has passed.
func (w *writer) write(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		written, err := w.sendWrite(ctx)
		if err == nil {
			return Result{Generation: written.Metadata.Generation}, nil
		}
		if errors.Is(err, platform.ErrRejected) {
			return Result{}, err
		}
		if !errors.Is(err, platform.ErrConflict) {
			w.lostAnswerErr = err
		}
		result, err := w.readBack(ctx, errors.Is(err, platform.ErrConflict))
		if !errors.Is(err, errNotWritten) {
			return result, err
		}
	}
}

// sendWrite makes one write call.
func (w *writer) sendWrite(ctx context.Context) (*platform.Object, error) {
	if w.base.Generation == 0 {
		return w.store.Create(ctx, platform.KindEnvironments, w.object)
	}
	return w.store.Update(ctx, platform.KindEnvironments, w.object)
}

// errNotWritten means that the environment still has the base version, so that the
// same conditional write can be repeated: at most one write call can succeed.
var errNotWritten = errors.New("the write has not taken effect")

// readBack reads the environment until the outcome of a write call is known. After
// a conflict the base version is no longer current, so that a read that returns it
// is stale.
func (w *writer) readBack(ctx context.Context, conflicted bool) (Result, error) {
	for {
		current, err := Read(ctx, w.store, w.change.Environment)
		switch {
		case err == nil && current.Generation > w.base.Generation:
			return w.resultFrom(current)
		case err == nil && !conflicted:
			waitBeforeRead(ctx)
			if ctx.Err() == nil {
				return Result{}, errNotWritten
			}
		case err == nil:
			err = errStaleRead
		}
		if ctx.Err() != nil {
			return Result{}, w.unknownOutcome(err)
		}
		waitBeforeRead(ctx)
	}
}

// resultFrom returns the outcome of the write given the current version: it looks
// for the attempt's id in this version and in the earlier ones that it lists.
func (w *writer) resultFrom(current Version) (Result, error) {
	attempt := w.change.Revision.Attempt
	result := Result{Generation: w.base.Generation + 1, AnswerLost: w.lostAnswerErr != nil}
	if current.Spec.Revision.Attempt == attempt {
		return result, nil
	}
	isOwn := func(r platform.Revision) bool { return r.Attempt == attempt }
	if slices.ContainsFunc(current.Spec.Earlier, isOwn) {
		result.SupersededBy = &current.Spec.Revision
		return result, nil
	}
	if w.lostAnswerErr != nil && !w.listsNextRevision(current) {
		return Result{}, w.unknownOutcome(errors.New("the environment no longer lists the revision that followed the base version"))
	}
	return Result{}, newConflictError(w.change, current)
}

// listsNextRevision reports whether the current version is, or lists, the revision
// that followed the base version.
func (w *writer) listsNextRevision(current Version) bool {
	next := w.base.Generation + 1
	if current.Generation == next {
		return true
	}
	return slices.ContainsFunc(current.Spec.Earlier, func(r platform.Revision) bool { return r.Generation == next })
}

// unknownOutcome returns an *UnknownOutcomeError with err and the error of the
// write call.
func (w *writer) unknownOutcome(err error) error {
	if w.lostAnswerErr != nil {
		err = errors.Join(w.lostAnswerErr, err)
	}
	return &UnknownOutcomeError{Environment: w.change.Environment, Attempt: w.change.Revision.Attempt, Err: err}
}

func waitBeforeRead(ctx context.Context) {
	timer := time.NewTimer(readBackInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
