package integration

import (
	"context"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/standin/engine"
)

// longResponseTokens makes a stream last long enough to inject a failure into it.
const longResponseTokens = 200

// homeDaemonName returns the name of an engine's home daemon according to a
// daemon's status.
func homeDaemonName(t *testing.T, daemon *process, engineName string) string {
	t.Helper()
	status, err := daemonStatus(daemon)
	must.NoError(t, err)
	for _, engine := range status.Engines {
		if engine.Name == engineName {
			return engine.Home
		}
	}
	t.Fatalf("daemon status does not list engine %s", engineName)
	return ""
}

// otherDaemon returns any daemon of the fleet except the named one.
func (f *fleet) otherDaemon(name string) *process {
	for other, daemon := range f.daemons {
		if other != name {
			return daemon
		}
	}
	return nil
}

// warmChatEngine sends a short request of a chat, so that an engine caches its
// context. It returns the names of the engine and of the engine's home daemon,
// and another daemon to use as entry daemon.
func (f *fleet) warmChatEngine(request chatRequest) (engineName, home string, entry *process) {
	f.t.Helper()
	request.maxTokens = 1
	result := request.send(context.Background(), f.daemons["d1"])
	must.True(f.t, result.complete)
	engineName = result.engine()
	home = homeDaemonName(f.t, f.daemons["d1"], engineName)
	return engineName, home, f.otherDaemon(home)
}

// streamThrough starts a long stream through the entry daemon, calls onStarted
// once the engine has started it, and returns the result of the stream.
func (f *fleet) streamThrough(request chatRequest, entry *process, engineName string, onStarted func()) callResult {
	f.t.Helper()
	request.maxTokens = longResponseTokens
	startedBefore := len(engineRecords(f.t, f.targets[engineName]))
	done := make(chan callResult, 1)
	go func() { done <- request.send(context.Background(), entry) }()
	waitFor(f.t, convergenceTimeout, "the engine starts the stream", func() bool {
		return len(engineRecords(f.t, f.targets[engineName])) > startedBefore
	})
	onStarted()
	return <-done
}

// TestStreamSurvivesHomeDaemonFailure kills, freezes or stops the home daemon of a
// stream's engine. The caller must receive the complete text, and the engine must not
// run the request a second time.
func TestStreamSurvivesHomeDaemonFailure(t *testing.T) {
	for _, failure := range []struct {
		name   string
		inject func(home *process)
	}{
		{"killed", func(home *process) { home.kill() }},
		{"frozen", func(home *process) { home.freeze() }},
		{"stopped gracefully", func(home *process) { home.signal(syscall.SIGTERM) }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			f := startSmallFleet(t)
			request := chatRequest{model: "hk-small", chat: "squid-sheet", stream: true, key: testKey}
			engineName, home, entry := f.warmChatEngine(request)
			result := f.streamThrough(request, entry, engineName, func() { failure.inject(f.daemons[home]) })
			must.NoError(t, result.err)
			must.True(t, result.complete)
			must.Eq(t, expectedText(request.chat, longResponseTokens), result.text)
			must.Len(t, 2, engineRecords(t, f.targets[engineName]))
		})
	}
}

func TestStreamSurvivesLostEngineConnection(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "pomfret-sheet", stream: true, key: testKey}
	engineName, _, entry := f.warmChatEngine(request)
	setFault(t, f.targets[engineName], engine.Fault{AbortStreams: 1})
	result := f.streamThrough(request, entry, engineName, func() {})
	must.True(t, result.complete)
	must.Eq(t, expectedText(request.chat, longResponseTokens), result.text)
}

func TestGracefulStopCompletesRunningStreams(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "okha-rates", stream: true, key: testKey}
	engineName, _, entry := f.warmChatEngine(request)
	result := f.streamThrough(request, entry, engineName, func() { entry.signal(syscall.SIGTERM) })
	must.True(t, result.complete)
	must.Eq(t, expectedText(request.chat, longResponseTokens), result.text)
	waitFor(t, convergenceTimeout, "the stopped daemon exits", entry.hasExited)
	must.NoError(t, entry.waitErr)
	must.True(t, entry.logged("stopped"))
	waitFor(t, convergenceTimeout, "the other daemon removes the stopped one from its members", func() bool {
		status, err := daemonStatus(f.otherDaemon(entry.name))
		return err == nil && len(status.Members) == 1
	})
}
