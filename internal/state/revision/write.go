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

// ErrTooLarge says that an environment does not fit the platform.
var ErrTooLarge = errors.New("the environment is too large for the platform")

// errStale says that the platform shows an older version than one that is known
// to exist.
var errStale = errors.New("the platform's reads are stale")

// writer brings one change to the platform.
type writer struct {
	store  Store
	change Change
	base   Version
	object *platform.Object // the same for each try, and so conditional on base
	lost   error            // why the answer to a try is unknown
}

// Write makes the change if the environment still has the generation that the
// operator saw. The error is a *ConflictError if not, and an
// *UnknownOutcomeError if it cannot be found out.
func Write(ctx context.Context, store Store, change Change) (Result, error) {
	base, err := readSeen(ctx, store, change)
	if err != nil {
		return Result{}, err
	}
	if base.Generation > 0 && base.Spec.Document == change.Document {
		return Result{Generation: base.Generation, Unchanged: true}, nil
	}
	object, err := encode(change, base)
	if err != nil {
		return Result{}, err
	}
	w := &writer{store: store, change: change, base: base, object: object}
	return w.write(ctx)
}

// readSeen reads the version that the operator saw. A read that shows an older
// one may be stale, and is made again.
func readSeen(ctx context.Context, store Store, change Change) (Version, error) {
	var present Version
	const reads = 5
	for range reads {
		var err error
		present, err = Read(ctx, store, change.Environment)
		if err != nil {
			return present, err
		}
		if present.Generation >= change.SeenGeneration {
			break
		}
		pause(ctx)
	}
	if present.Generation != change.SeenGeneration {
		return present, conflict(change, present)
	}
	return present, nil
}

func conflict(change Change, present Version) *ConflictError {
	return &ConflictError{
		Environment: change.Environment,
		Seen:        change.SeenGeneration,
		Present:     present.Generation,
		Winner:      present.Spec.Revision,
	}
}

// encode returns the object to write. The platform gives it the generation after
// the base's, as the write is conditional on the base.
func encode(change Change, base Version) (*platform.Object, error) {
	spec := platform.EnvironmentSpec{Document: change.Document, Revision: change.Revision}
	spec.Revision.Generation = base.Generation + 1
	if base.Spec.Revision.Attempt != "" {
		spec.Earlier = append(spec.Earlier, base.Spec.Revision)
	}
	spec.Earlier = append(spec.Earlier, base.Spec.Earlier...)
	spec.Earlier = spec.Earlier[:min(len(spec.Earlier), KeptRevisions)]
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

func (w *writer) write(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackLimit)
	defer cancel()
	for {
		written, err := w.try(ctx)
		if err == nil {
			return Result{Generation: written.Metadata.Generation}, nil
		}
		if errors.Is(err, platform.ErrRejected) {
			return Result{}, err
		}
		if !errors.Is(err, platform.ErrConflict) {
			w.lost = err
		}
		result, err := w.readBack(ctx, errors.Is(err, platform.ErrConflict))
		if !errors.Is(err, errNotWritten) {
			return result, err
		}
	}
}

func (w *writer) try(ctx context.Context) (*platform.Object, error) {
	if w.base.Generation == 0 {
		return w.store.Create(ctx, platform.KindEnvironments, w.object)
	}
	return w.store.Update(ctx, platform.KindEnvironments, w.object)
}

// errNotWritten says that the environment still has the base version, so that
// the same conditional write may be tried again: at most one try can succeed.
var errNotWritten = errors.New("the write has not taken effect")

// readBack finds out what became of a try. If the platform has refused it, the
// base is gone, and a read that still shows it is stale.
func (w *writer) readBack(ctx context.Context, refused bool) (Result, error) {
	for {
		present, err := Read(ctx, w.store, w.change.Environment)
		switch {
		case err == nil && present.Generation > w.base.Generation:
			return w.judge(present)
		case err == nil && !refused:
			pause(ctx)
			if ctx.Err() == nil {
				return Result{}, errNotWritten
			}
		case err == nil:
			err = errStale
		}
		if ctx.Err() != nil {
			return Result{}, w.unknown(err)
		}
		pause(ctx)
	}
}

// judge looks for the attempt in the version that is there now and in the
// earlier ones that it lists.
func (w *writer) judge(present Version) (Result, error) {
	attempt := w.change.Revision.Attempt
	result := Result{Generation: w.base.Generation + 1, AnswerLost: w.lost != nil}
	if present.Spec.Revision.Attempt == attempt {
		return result, nil
	}
	isOwn := func(r platform.Revision) bool { return r.Attempt == attempt }
	if slices.ContainsFunc(present.Spec.Earlier, isOwn) {
		result.SupersededBy = &present.Spec.Revision
		return result, nil
	}
	if w.lost != nil && !w.listed(present) {
		return Result{}, w.unknown(errors.New("the environment no longer lists the revision in question"))
	}
	return Result{}, conflict(w.change, present)
}

// listed reports whether a version names the one that followed the base.
func (w *writer) listed(present Version) bool {
	next := w.base.Generation + 1
	if present.Generation == next {
		return true
	}
	return slices.ContainsFunc(present.Spec.Earlier, func(r platform.Revision) bool { return r.Generation == next })
}

func (w *writer) unknown(err error) error {
	if w.lost != nil {
		err = errors.Join(w.lost, err)
	}
	return &UnknownOutcomeError{Environment: w.change.Environment, Attempt: w.change.Revision.Attempt, Err: err}
}

func pause(ctx context.Context) {
	timer := time.NewTimer(readBackInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
