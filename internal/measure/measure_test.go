package measure

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/standin/engine"
	"hemlockknot/internal/state/environment"
)

var testOptions = Options{Seed: 7, Duration: time.Minute, Rate: 50}

func TestTraceDependsOnItsSeedOnly(t *testing.T) {
	made := newTrace(testOptions, shape{churn: true, skewed: true}, 4)
	must.Eq(t, made.chats[0].turns, newTrace(testOptions, shape{churn: true, skewed: true}, 4).chats[0].turns)
	must.Eq(t, made.absences, newTrace(testOptions, shape{churn: true, skewed: true}, 4).absences)
	other := testOptions
	other.Seed = 8
	must.NotEq(t, made.chats[0].turns, newTrace(other, shape{}, 4).chats[0].turns)
}

func TestTraceHasTheRateItIsAskedFor(t *testing.T) {
	turns := 0
	for _, chat := range newTrace(testOptions, shape{}, 4).chats {
		turns += len(chat.turns)
	}
	wanted := testOptions.Rate * testOptions.Duration.Seconds()
	must.Between(t, 0.8*wanted, float64(turns), 1.2*wanted)
}

func TestReuseCountsReturningRequestsOnly(t *testing.T) {
	records := [][]engine.Record{
		{
			{Chat: "a", StartMS: 1, PromptTokens: 100},
			{Chat: "a", StartMS: 3, PromptTokens: 300, CachedTokens: 100}, // 200 were known
			{Chat: "b", StartMS: 4, PromptTokens: 50},
		},
		{{Chat: "a", StartMS: 2, PromptTokens: 200, CachedTokens: 0}}, // 100 were known
	}
	must.Eq(t, 100.0/300.0, reuse(records))
}

func TestEvictionGainCountsWhatOtherEnginesHeld(t *testing.T) {
	records := [][]engine.Record{
		{{Chat: "a", StartMS: 1, PromptTokens: 100}},
		{
			{Chat: "a", StartMS: 2, PromptTokens: 200},
			{Chat: "a", StartMS: 3, PromptTokens: 300},                    // found nothing: 100 were at the first engine
			{Chat: "a", StartMS: 4, PromptTokens: 400, CachedTokens: 300}, // found all
		},
	}
	must.Eq(t, 100.0/600.0, evictionGain(records))
}

func TestSkewPassesOverEnginesThatAreAway(t *testing.T) {
	begun := time.UnixMilli(0)
	running := engine.Record{StartMS: 0, EndMS: 1_000_000}
	run := &played{
		begun:    begun,
		fleet:    &fleet{},
		absences: []absence{{engine: 2, from: 0, until: time.Hour}},
		records:  [][]engine.Record{{running, running}, {running}, {running, running, running}},
	}
	for _, capacity := range []int{4, 4, 1} {
		run.fleet.engines = append(run.fleet.engines, &runningEngine{described: environment.Engine{Capacity: capacity}})
	}
	must.Eq(t, (2.0/4)/(3.0/8), run.skewAt(time.Second))
}

func TestAddCounters(t *testing.T) {
	sums := make(map[string]float64)
	text := "# HELP x y\nhemlockknot_control_bytes_total 5\nhemlockknot_retries_total{reason=\"engine_busy\"} 2\n"
	addCounters(sums, strings.NewReader(text))
	addCounters(sums, strings.NewReader(text))
	must.Eq(t, map[string]float64{controlBytes: 10, retriesPrefix + `"engine_busy"}`: 4}, sums)
}
