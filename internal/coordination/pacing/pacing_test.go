package pacing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/pacing"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/routing"
)

var (
	draft = &routing.Route{Kind: routing.Stream, Objective: 600 * time.Millisecond, PauseLimit: 300 * time.Millisecond}
	read  = &routing.Route{Kind: routing.Idempotent, Objective: 300 * time.Millisecond}
	long  = relay.Call{PromptTokens: 30_000}
)

// An engine reads 85 tokens in a millisecond; a long prompt's reading must not be
// taken for silence.
func TestReadingIsNotSilence(t *testing.T) {
	must.Greater(t, 600*time.Millisecond+30_000/85*time.Millisecond, FirstByte(draft, long))
	must.Greater(t, 30_000/85*time.Millisecond, Pause(draft))
}

func TestSecondTargetIsTriedBeforeTheCallerLeaves(t *testing.T) {
	// Callers leave after four objectives, or eight pauses.
	must.Less(t, 4*draft.Objective, FirstByte(draft, relay.Call{PromptTokens: 12_000}))
	must.Less(t, 8*draft.PauseLimit, Pause(draft))
	must.Less(t, read.Objective, FirstByte(read, relay.Call{}))
}

func TestNothingIsSilenceWithoutAnObjective(t *testing.T) {
	must.Greater(t, time.Minute, FirstByte(&routing.Route{}, long))
	must.Greater(t, time.Minute, Pause(&routing.Route{}))
}

func TestComeBack(t *testing.T) {
	for range 100 {
		must.Between(t, 100*time.Millisecond, ComeBack(Full, 10*time.Second), 150*time.Millisecond)
		must.Between(t, time.Second, ComeBack(Gone, 10*time.Second), 1500*time.Millisecond)
		must.LessEq(t, 200*time.Millisecond, ComeBack(Gone, 600*time.Millisecond), must.Sprint("callers honour a third of their time"))
	}
}
