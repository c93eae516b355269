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

func TestTraceDependsOnlyOnItsSeed(t *testing.T) {
	trace := newTrace(testOptions, traceProfile{churn: true, skewed: true}, 4)
	must.Eq(t, trace.chats[0].turnTimes, newTrace(testOptions, traceProfile{churn: true, skewed: true}, 4).chats[0].turnTimes)
	must.Eq(t, trace.drains, newTrace(testOptions, traceProfile{churn: true, skewed: true}, 4).drains)
	other := testOptions
	other.Seed = 8
	must.NotEq(t, trace.chats[0].turnTimes, newTrace(other, traceProfile{}, 4).chats[0].turnTimes)
}

func TestTraceHasRequestedRate(t *testing.T) {
	turns := 0
	for _, chat := range newTrace(testOptions, traceProfile{}, 4).chats {
		turns += len(chat.turnTimes)
	}
	want := testOptions.Rate * testOptions.Duration.Seconds()
	must.Between(t, 0.8*want, float64(turns), 1.2*want)
}

func TestCacheReuseCountsOnlyReturningRequests(t *testing.T) {
	records := [][]engine.Record{
		{
			{FirstUserMessage: "a", StartMS: 1, PromptTokens: 100},
			{FirstUserMessage: "a", StartMS: 3, PromptTokens: 300, CachedTokens: 100}, // 200 tokens were reusable
			{FirstUserMessage: "b", StartMS: 4, PromptTokens: 50},
		},
		{{FirstUserMessage: "a", StartMS: 2, PromptTokens: 200, CachedTokens: 0}}, // 100 tokens were reusable
	}
	must.Eq(t, 100.0/300.0, cacheReuse(records))
}

func TestEvictionAwarenessGainCountsTokensOnOtherEngines(t *testing.T) {
	records := [][]engine.Record{
		{{FirstUserMessage: "a", StartMS: 1, PromptTokens: 100}},
		{
			{FirstUserMessage: "a", StartMS: 2, PromptTokens: 200},
			{FirstUserMessage: "a", StartMS: 3, PromptTokens: 300},                    // found nothing cached; the first engine held 100 tokens
			{FirstUserMessage: "a", StartMS: 4, PromptTokens: 400, CachedTokens: 300}, // found all 300 tokens of the previous request
		},
	}
	must.Eq(t, 100.0/600.0, evictionAwarenessGain(records))
}

func TestSkewExcludesDrainingEngines(t *testing.T) {
	startTime := time.UnixMilli(0)
	running := engine.Record{StartMS: 0, EndMS: 1_000_000}
	run := &replay{
		startTime: startTime,
		fleet:     &fleet{},
		drains:    []drainWindow{{engineIndex: 2, from: 0, until: time.Hour}},
		records:   [][]engine.Record{{running, running}, {running}, {running, running, running}},
	}
	for _, capacity := range []int{4, 4, 1} {
		run.fleet.engines = append(run.fleet.engines, &runningEngine{config: environment.Engine{Capacity: capacity}})
	}
	must.Eq(t, (2.0/4)/(3.0/8), run.skewAt(time.Second))
}

func TestAddCounters(t *testing.T) {
	sums := make(map[string]float64)
	text := "# HELP x y\nhemlockknot_control_bytes_total 5\nhemlockknot_retries_total{reason=\"engine_busy\"} 2\n"
	addCounters(sums, strings.NewReader(text))
	addCounters(sums, strings.NewReader(text))
	must.Eq(t, map[string]float64{controlBytesCounter: 10, retriesPrefix + `"engine_busy"}`: 4}, sums)
}
