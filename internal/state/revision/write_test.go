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

var errLost = errors.New("connection reset")

// step is what the store does with one call.
type step int

const (
	answer    step = iota
	loseAfter      // take effect, then lose the answer
	loseAway       // lose the call before it takes effect
	stale          // a read shows the first version
)

// scriptedStore holds one environment and follows a script of writes and reads;
// after its end it answers.
type scriptedStore struct {
	first, present platform.Object
	writes, reads  []step
	overtake       bool // another operator writes right after the first write
	applied        int  // own writes that took effect
}

func next(steps *[]step) step {
	if len(*steps) == 0 {
		return answer
	}
	head := (*steps)[0]
	*steps = (*steps)[1:]
	return head
}

func (s *scriptedStore) Get(context.Context, string, string) (*platform.Object, error) {
	switch next(&s.reads) {
	case loseAway, loseAfter:
		return nil, errLost
	case stale:
		return &s.first, nil
	}
	return &s.present, nil
}

func (s *scriptedStore) Create(context.Context, string, *platform.Object) (*platform.Object, error) {
	return nil, platform.ErrConflict
}

func (s *scriptedStore) Update(_ context.Context, _ string, object *platform.Object) (*platform.Object, error) {
	todo := next(&s.writes)
	if todo == loseAway {
		return nil, errLost
	}
	if object.Metadata.ResourceVersion != s.present.Metadata.ResourceVersion {
		return nil, platform.ErrConflict
	}
	s.put(object.Spec)
	s.applied++
	if s.overtake {
		s.overtake = false
		s.put(othersSpec(object.Spec))
	}
	if todo == loseAfter {
		return nil, errLost
	}
	return &s.present, nil
}

func (s *scriptedStore) put(spec json.RawMessage) {
	s.present.Spec = spec
	s.present.Metadata.Generation++
	s.present.Metadata.ResourceVersion = fmt.Sprint(s.present.Metadata.Generation)
}

// othersSpec is another operator's version on top of a spec.
func othersSpec(spec json.RawMessage) json.RawMessage {
	var below platform.EnvironmentSpec
	_ = json.Unmarshal(spec, &below)
	above := platform.EnvironmentSpec{Document: "other", Revision: platform.Revision{Generation: below.Revision.Generation + 1, Attempt: "other"}}
	above.Earlier = append([]platform.Revision{below.Revision}, below.Earlier...)
	encoded, _ := json.Marshal(above)
	return encoded
}

func TestWriteResolvesLostAnswers(t *testing.T) {
	const away = 100 // reads, more than the limit allows for
	cases := []struct {
		name          string
		writes, reads []step
		overtake      bool
		seen          uint64
		want          string // of the error; empty: written
		applied       int
	}{
		{name: "answered", applied: 1},
		{name: "effect and lost answer", writes: []step{loseAfter}, applied: 1},
		{name: "lost before its effect", writes: []step{loseAway}, applied: 1},
		{name: "lost twice", writes: []step{loseAway, loseAfter}, applied: 1},
		{name: "lost, then a stale read", writes: []step{loseAfter}, reads: []step{answer, stale, stale, stale}, applied: 1},
		{name: "lost, then the platform is away for a while", writes: []step{loseAfter}, reads: []step{answer, loseAway, loseAway}, applied: 1},
		{name: "lost and overtaken", writes: []step{loseAfter}, overtake: true, applied: 1},
		{name: "lost and the platform stays away", writes: []step{loseAfter}, reads: append([]step{answer}, repeat(loseAway, away)...),
			want: "outcome of attempt own is unknown", applied: 1},
		{name: "another version than the one seen", seen: 4, want: "conflict: production is at generation 5, not 4: written by asha"},
		{name: "a generation that is not there yet", seen: 6, want: "conflict: production is at generation 5, which is before 6: the number is wrong"},
		{name: "the seen one after a stale read", reads: []step{stale, answer}, applied: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newScriptedStore(c.writes, c.reads)
				store.overtake = c.overtake
				change := Change{Environment: "production", Document: "own", SeenGeneration: 5}
				if c.seen > 0 {
					change.SeenGeneration = c.seen
				}
				change.Revision.Attempt = "own"
				result, err := Write(context.Background(), store, change)
				must.Eq(t, c.applied, store.applied)
				if c.want != "" {
					must.ErrorContains(t, err, c.want)
					return
				}
				must.NoError(t, err)
				must.Eq(t, 6, result.Generation)
				must.Eq(t, c.overtake, result.SupersededBy != nil)
			})
		})
	}
}

func repeat(todo step, times int) []step {
	steps := make([]step, times)
	for i := range steps {
		steps[i] = todo
	}
	return steps
}

func newScriptedStore(writes, reads []step) *scriptedStore {
	object := func(generation uint64) platform.Object {
		spec, _ := json.Marshal(platform.EnvironmentSpec{Document: "before", Revision: platform.Revision{Generation: generation, Attempt: "earlier", By: "asha"}})
		return platform.Object{
			Metadata: platform.Metadata{Name: "production", ResourceVersion: fmt.Sprint(generation), Generation: generation},
			Spec:     spec,
		}
	}
	return &scriptedStore{first: object(4), present: object(5), writes: writes, reads: reads}
}

func TestTheLoserOfARaceIsToldWhoWon(t *testing.T) {
	store := newScriptedStore(nil, nil)
	raced := &racingStore{store}
	change := Change{Environment: "production", Document: "own", SeenGeneration: 5}
	change.Revision.Attempt = "own"
	_, err := Write(context.Background(), raced, change)
	var conflict *ConflictError
	must.ErrorAs[*ConflictError](t, err, &conflict)
	must.Eq(t, "other", conflict.Winner.Attempt)
	must.Eq(t, 0, store.applied)
}

// racingStore has another operator's write between the read and the write.
type racingStore struct{ *scriptedStore }

func (s *racingStore) Update(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error) {
	if s.present.Metadata.Generation == 5 {
		s.put(othersSpec(s.present.Spec))
	}
	return s.scriptedStore.Update(ctx, kind, object)
}
