package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/standin/engine"
)

func TestShortStreamIsNeverCalledComplete(t *testing.T) {
	for _, fault := range []engine.Fault{{CutStreams: 10}, {EndEarly: 10}, {WrongIDs: 1}} {
		f := startSmallFleet(t)
		request := chatRequest{model: "hk-small", chat: "mangrol-sheet", stream: true, key: testKey}
		engineName, _, entry := f.warmChat(request)
		setFault(t, f.engines[engineName], fault)
		request.maxTokens = longAnswer
		received := request.send(context.Background(), entry)
		if received.complete {
			must.Eq(t, wholeText(request.chat, longAnswer), received.text)
			continue
		}
		must.NotNil(t, received.refusal)
		must.Eq(t, refusal.AnswerIncomplete, received.refusal.Code)
		must.Eq(t, "unknown", received.refusal.Outcome)
	}
}

func TestEngineLostInMidStreamIsSaid(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "veraval-sheet", stream: true, key: testKey}
	engineName, _, entry := f.warmChat(request)
	request.maxTokens = longAnswer
	request.onToken = func(n int) {
		if n == 3 {
			f.engines[engineName].kill()
		}
	}
	received := request.send(context.Background(), entry)
	must.False(t, received.complete)
	must.NotNil(t, received.refusal)
	must.Eq(t, refusal.AnswerIncomplete, received.refusal.Code)
}

func TestStalledEngineIsLeftBeforeTheFirstToken(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "gate-quote", stream: true, key: testKey}
	engineName, _, entry := f.warmChat(request)
	f.engines[engineName].freeze()
	request.maxTokens = 8
	received := request.send(context.Background(), entry)
	must.True(t, received.complete)
	must.Eq(t, wholeText(request.chat, 8), received.text)
	must.NotEq(t, engineName, received.engine())
}

func TestEngineStopsWorkWhenTheCallerIsGone(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "hung-up", stream: true, key: testKey}
	engineName, _, entry := f.warmChat(request)
	ctx, hangUp := context.WithCancel(context.Background())
	request.maxTokens = 100 * longAnswer
	done := make(chan answer, 1)
	go func() { done <- request.send(ctx, entry) }()
	waitFor(t, settleLimit, "the engine starts", func() bool {
		return len(engineRecords(t, f.engines[engineName])) == 2
	})
	hangUp()
	must.False(t, (<-done).complete)
	waitFor(t, settleLimit, "the engine cancels", func() bool {
		return engineRecords(t, f.engines[engineName])[1].Cancelled
	})
}

// TestStreamOutlivesTwoHomes loses a stream's home, then the home that resumed
// it, while the engine's connection breaks in between.
func TestStreamOutlivesTwoHomes(t *testing.T) {
	f := startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d4", daemonOptions{failureDomain: "domain-b"})
	f.awaitSettled(1)
	request := chatRequest{model: "hk-small", chat: "two-homes", stream: true, key: testKey}
	request.maxTokens = 1
	served := request.send(context.Background(), f.daemons["d1"])
	must.True(t, served.complete)
	engineName := served.engine()
	first := homeOf(t, f.daemons["d1"], engineName)
	entry, second := f.entryAndNextHome(first)

	request.maxTokens = 4 * longAnswer
	request.onToken = func(n int) {
		switch n {
		case 3:
			f.daemons[first].kill()
		case longAnswer:
			setFault(t, f.engines[engineName], engine.Fault{CutStreams: 1})
			f.daemons[second].freeze()
		}
	}
	received := request.send(context.Background(), entry)
	must.NoError(t, received.err)
	must.True(t, received.complete)
	must.Eq(t, wholeText(request.chat, request.maxTokens), received.text)
	must.Len(t, 2, engineRecords(t, f.engines[engineName]))
}

// entryAndNextHome returns a daemon that is neither the engine's home nor its
// next home, and the next home: the other daemon of the engine's domain.
func (f *fleet) entryAndNextHome(home string) (*process, string) {
	f.t.Helper()
	domains := map[string]string{"d1": "a", "d2": "b", "d3": "a", "d4": "b"}
	var entry *process
	var next string
	for name, daemon := range f.daemons {
		switch {
		case name == home:
		case domains[name] == domains[home]:
			next = name
		default:
			entry = daemon
		}
	}
	return entry, next
}
