package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/platform"
)

var errConnectionReset = errors.New("connection reset")

// callOutcome is the outcome of one call to the store.
type callOutcome int

const (
	succeed    callOutcome = iota
	loseAnswer             // the call takes effect, but returns an error
	loseCall               // the call returns an error and has no effect
	staleRead              // the read returns the initial version
)

// scriptedStore holds one environment. The outcomes of its calls are taken from
// writes and reads; later calls succeed.
type scriptedStore struct {
	initial, current platform.Object
	writes, reads    []callOutcome
	competingWrite   bool // another operator writes immediately after the first write
	appliedWrites    int  // calls of Update that took effect
}

// nextOutcome removes and returns the first outcome, or succeed if none is left.
func nextOutcome(outcomes *[]callOutcome) callOutcome {
	if len(*outcomes) == 0 {
		return succeed
	}
	first := (*outcomes)[0]
	*outcomes = (*outcomes)[1:]
	return first
}

func (s *scriptedStore) Get(context.Context, string, string) (*platform.Object, error) {
	switch nextOutcome(&s.reads) {
	case loseCall, loseAnswer:
		return nil, errConnectionReset
	case staleRead:
		return &s.initial, nil
	}
	return &s.current, nil
}

func (s *scriptedStore) Create(context.Context, string, *platform.Object) (*platform.Object, error) {
	return nil, platform.ErrConflict
}

func (s *scriptedStore) Update(_ context.Context, _ string, object *platform.Object) (*platform.Object, error) {
	outcome := nextOutcome(&s.writes)
	if outcome == loseCall {
		return nil, errConnectionReset
	}
	if object.Metadata.ResourceVersion != s.current.Metadata.ResourceVersion {
		return nil, platform.ErrConflict
	}
	s.putSpec(object.Spec)
	s.appliedWrites++
	if s.competingWrite {
		s.competingWrite = false
		s.putSpec(competingSpec(object.Spec))
	}
	if outcome == loseAnswer {
		return nil, errConnectionReset
	}
	return &s.current, nil
}

func (s *scriptedStore) putSpec(spec json.RawMessage) {
	s.current.Spec = spec
	s.current.Metadata.Generation++
	s.current.Metadata.ResourceVersion = fmt.Sprint(s.current.Metadata.Generation)
}

// competingSpec returns the spec of a version that another operator writes after
// the one with the given spec.
func competingSpec(spec json.RawMessage) json.RawMessage {
	var base platform.EnvironmentSpec
	_ = json.Unmarshal(spec, &base)
	competing := platform.EnvironmentSpec{Document: "other", Revision: platform.Revision{Generation: base.Revision.Generation + 1, Attempt: "other"}}
	competing.Earlier = append([]platform.Revision{base.Revision}, base.Earlier...)
	encoded, _ := json.Marshal(competing)
	return encoded
}

func TestWriteResolvesLostAnswers(t *testing.T) {
	const manyReads = 100 // more than fit into writeTimeout
	cases := []struct {
		name           string
		writes, reads  []callOutcome
		competingWrite bool
		seenGeneration uint64
		wantErr        string // part of the error; empty: success
		wantApplied    int
	}{
		{name: "answered", wantApplied: 1},
		{name: "answer lost", writes: []callOutcome{loseAnswer}, wantApplied: 1},
		{name: "call lost", writes: []callOutcome{loseCall}, wantApplied: 1},
		{name: "call lost, then answer lost", writes: []callOutcome{loseCall, loseAnswer}, wantApplied: 1},
		{name: "answer lost, then stale reads", writes: []callOutcome{loseAnswer}, reads: []callOutcome{succeed, staleRead, staleRead, staleRead}, wantApplied: 1},
		{name: "answer lost, then platform unavailable for a short time", writes: []callOutcome{loseAnswer}, reads: []callOutcome{succeed, loseCall, loseCall}, wantApplied: 1},
		{name: "answer lost and superseded by a competing write", writes: []callOutcome{loseAnswer}, competingWrite: true, wantApplied: 1},
		{name: "answer lost, then platform unavailable", writes: []callOutcome{loseAnswer}, reads: append([]callOutcome{succeed}, repeatOutcome(loseCall, manyReads)...),
			wantErr: "outcome of attempt own is unknown", wantApplied: 1},
		{name: "seen generation is not the current one", seenGeneration: 4, wantErr: "conflict: production is at generation 5, not 4: written by asha"},
		{name: "seen generation does not exist yet", seenGeneration: 6, wantErr: "conflict: production is at generation 5, which is before 6: the number is wrong"},
		{name: "stale read before the write", reads: []callOutcome{staleRead, succeed}, wantApplied: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newScriptedStore(c.writes, c.reads)
				store.competingWrite = c.competingWrite
				change := Change{Environment: "production", Document: "own", SeenGeneration: 5}
				if c.seenGeneration > 0 {
					change.SeenGeneration = c.seenGeneration
				}
				change.Revision.Attempt = "own"
				result, err := Write(context.Background(), store, change)
				must.Eq(t, c.wantApplied, store.appliedWrites)
				if c.wantErr != "" {
					must.ErrorContains(t, err, c.wantErr)
					return
				}
				must.NoError(t, err)
				must.Eq(t, 6, result.Generation)
				must.Eq(t, c.competingWrite, result.SupersededBy != nil)
			})
		})
	}
}

func repeatOutcome(outcome callOutcome, times int) []callOutcome {
	outcomes := make([]callOutcome, times)
	for i := range outcomes {
		outcomes[i] = outcome
	}
	return outcomes
}

// newScriptedStore returns a store whose environment has generation 5; stale reads
// return generation 4.
func newScriptedStore(writes, reads []callOutcome) *scriptedStore {
	newObject := func(generation uint64) platform.Object {
		spec, _ := json.Marshal(platform.EnvironmentSpec{Document: "before", Revision: platform.Revision{Generation: generation, Attempt: "earlier", By: "asha"}})
		return platform.Object{
			Metadata: platform.Metadata{Name: "production", ResourceVersion: fmt.Sprint(generation), Generation: generation},
			Spec:     spec,
		}
	}
	return &scriptedStore{initial: newObject(4), current: newObject(5), writes: writes, reads: reads}
}

func TestConflictErrorNamesTheWinner(t *testing.T) {
	store := newScriptedStore(nil, nil)
	racing := &racingStore{store}
	change := Change{Environment: "production", Document: "own", SeenGeneration: 5}
	change.Revision.Attempt = "own"
	_, err := Write(context.Background(), racing, change)
	var conflict *ConflictError
	must.ErrorAs[*ConflictError](t, err, &conflict)
	must.Eq(t, "other", conflict.Winner.Attempt)
	must.Eq(t, 0, store.appliedWrites)
}

// racingStore applies another operator's write between the read and the write of
// the tested change.
type racingStore struct{ *scriptedStore }

func (s *racingStore) Update(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error) {
	if s.current.Metadata.Generation == 5 {
		s.putSpec(competingSpec(s.current.Spec))
	}
	return s.scriptedStore.Update(ctx, kind, object)
}
