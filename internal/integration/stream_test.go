package integration

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/standin/engine"
)

// TestTruncatedStreamIsNeverReportedComplete makes engines break streams, end them
// without the terminal event or send mismatched responses. The caller must receive the
// complete text or an error.
func TestTruncatedStreamIsNeverReportedComplete(t *testing.T) {
	for _, fault := range []engine.Fault{{AbortStreams: 10}, {TruncateStreams: 10}, {WrongRequestIDs: 1}} {
		f := startSmallFleet(t)
		request := chatRequest{model: "hk-small", chat: "mangrol-sheet", stream: true, key: testKey}
		engineName, _, entry := f.warmChatEngine(request)
		setFault(t, f.targets[engineName], fault)
		request.maxTokens = longResponseTokens
		result := request.send(context.Background(), entry)
		if result.complete {
			must.Eq(t, expectedText(request.chat, longResponseTokens), result.text)
			continue
		}
		must.NotNil(t, result.refusal)
		must.Eq(t, refusal.AnswerIncomplete, result.refusal.Code)
		must.Eq(t, "unknown", result.refusal.Outcome)
	}
}

func TestEngineLossMidStreamIsReported(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "veraval-sheet", stream: true, key: testKey}
	engineName, _, entry := f.warmChatEngine(request)
	request.maxTokens = longResponseTokens
	request.onToken = func(n int) {
		if n == 3 {
			f.targets[engineName].kill()
		}
	}
	result := request.send(context.Background(), entry)
	must.False(t, result.complete)
	must.NotNil(t, result.refusal)
	must.Eq(t, refusal.AnswerIncomplete, result.refusal.Code)
}

// TestStalledEngineIsReplacedBeforeFirstToken freezes the engine of a chat. The next
// request gets no token from it and must move to another engine.
func TestStalledEngineIsReplacedBeforeFirstToken(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "gate-quote", stream: true, key: testKey}
	engineName, _, entry := f.warmChatEngine(request)
	f.targets[engineName].freeze()
	request.maxTokens = 8
	result := request.send(context.Background(), entry)
	must.True(t, result.complete)
	must.Eq(t, expectedText(request.chat, 8), result.text)
	must.NotEq(t, engineName, result.engine())
}

func TestEngineCancelsWhenCallerDisconnects(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "hung-up", stream: true, key: testKey}
	engineName, _, entry := f.warmChatEngine(request)
	ctx, disconnect := context.WithCancel(context.Background())
	request.maxTokens = 100 * longResponseTokens
	done := make(chan callResult, 1)
	go func() { done <- request.send(ctx, entry) }()
	waitFor(t, convergenceTimeout, "the engine starts the stream", func() bool {
		return len(engineRecords(t, f.targets[engineName])) == 2
	})
	disconnect()
	must.False(t, (<-done).complete)
	waitFor(t, convergenceTimeout, "the engine cancels the request", func() bool {
		return engineRecords(t, f.targets[engineName])[1].Cancelled
	})
}

// TestStreamSurvivesTwoHomeDaemonFailures kills the home daemon of a stream's engine.
// After the next home daemon has resumed the stream, the test breaks the engine's
// connection and freezes that daemon. The caller must receive the complete text.
func TestStreamSurvivesTwoHomeDaemonFailures(t *testing.T) {
	f := startSmallFleet(t)
	f.addDaemon("d3", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d4", daemonOptions{failureDomain: "domain-b"})
	f.awaitConverged(1)
	request := chatRequest{model: "hk-small", chat: "two-homes", stream: true, key: testKey}
	request.maxTokens = 1
	warmUp := request.send(context.Background(), f.daemons["d1"])
	must.True(t, warmUp.complete)
	engineName := warmUp.engine()
	firstHome := homeDaemonName(t, f.daemons["d1"], engineName)
	entry, secondHome := f.entryAndNextHome(firstHome)

	request.maxTokens = 4 * longResponseTokens
	request.onToken = func(n int) {
		switch n {
		case 3:
			f.daemons[firstHome].kill()
		case longResponseTokens:
			setFault(t, f.targets[engineName], engine.Fault{AbortStreams: 1})
			f.daemons[secondHome].freeze()
		}
	}
	result := request.send(context.Background(), entry)
	must.NoError(t, result.err)
	must.True(t, result.complete)
	must.Eq(t, expectedText(request.chat, request.maxTokens), result.text)
	must.Len(t, 2, engineRecords(t, f.targets[engineName]))
}

// entryAndNextHome returns an entry daemon in the other failure domain than the home
// daemon, and the name of the other daemon in the home daemon's failure domain,
// which is the next home daemon.
func (f *fleet) entryAndNextHome(home string) (*process, string) {
	f.t.Helper()
	domains := map[string]string{"d1": "a", "d2": "b", "d3": "a", "d4": "b"}
	var entry *process
	var nextHome string
	for name, daemon := range f.daemons {
		switch {
		case name == home:
		case domains[name] == domains[home]:
			nextHome = name
		default:
			entry = daemon
		}
	}
	return entry, nextHome
}
