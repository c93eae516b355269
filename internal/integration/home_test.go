package integration

import (
	"context"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/standin/engine"
)

// longAnswer is enough tokens for a test to act while they stream.
const longAnswer = 200

// homeOf returns the home daemon of an engine as another daemon sees it.
func homeOf(t *testing.T, daemon *process, engineName string) string {
	t.Helper()
	status, err := daemonStatus(daemon)
	must.NoError(t, err)
	for _, engine := range status.Engines {
		if engine.Name == engineName {
			return engine.Home
		}
	}
	t.Fatalf("engine %s is unknown", engineName)
	return ""
}

// otherDaemon returns a daemon of the fleet with another name.
func (f *fleet) otherDaemon(name string) *process {
	for other, daemon := range f.daemons {
		if other != name {
			return daemon
		}
	}
	return nil
}

// warmChat serves a short request of a chat and returns its engine, the engine's
// home daemon's name and another daemon.
func (f *fleet) warmChat(request chatRequest) (engineName, home string, entry *process) {
	f.t.Helper()
	request.maxTokens = 1
	served := request.send(context.Background(), f.daemons["d1"])
	must.True(f.t, served.complete)
	engineName = served.engine()
	home = homeOf(f.t, f.daemons["d1"], engineName)
	return engineName, home, f.otherDaemon(home)
}

// streamThrough starts a long stream at entry, and calls act once the engine has
// started it.
func (f *fleet) streamThrough(request chatRequest, entry *process, engineName string, act func()) answer {
	f.t.Helper()
	request.maxTokens = longAnswer
	before := len(engineRecords(f.t, f.engines[engineName]))
	done := make(chan answer, 1)
	go func() { done <- request.send(context.Background(), entry) }()
	waitFor(f.t, settleLimit, "the engine starts the stream", func() bool {
		return len(engineRecords(f.t, f.engines[engineName])) > before
	})
	act()
	return <-done
}

func TestStreamOutlivesItsHome(t *testing.T) {
	for _, failure := range []struct {
		name string
		act  func(home *process)
	}{
		{"killed", func(home *process) { home.kill() }},
		{"frozen", func(home *process) { home.freeze() }},
		{"stopped gracefully", func(home *process) { home.signal(syscall.SIGTERM) }},
	} {
		t.Run(failure.name, func(t *testing.T) {
			f := startSmallFleet(t)
			request := chatRequest{model: "hk-small", chat: "squid-sheet", stream: true, key: testKey}
			engineName, home, entry := f.warmChat(request)
			received := f.streamThrough(request, entry, engineName, func() { failure.act(f.daemons[home]) })
			must.NoError(t, received.err)
			must.True(t, received.complete)
			must.Eq(t, wholeText(request.chat, longAnswer), received.text)
			must.Len(t, 2, engineRecords(t, f.engines[engineName]))
		})
	}
}

func TestStreamOutlivesACutToTheEngine(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "pomfret-sheet", stream: true, key: testKey}
	engineName, _, entry := f.warmChat(request)
	setFault(t, f.engines[engineName], engine.Fault{CutStreams: 1})
	received := f.streamThrough(request, entry, engineName, func() {})
	must.True(t, received.complete)
	must.Eq(t, wholeText(request.chat, longAnswer), received.text)
}

func TestPlannedStopCutsNothingOff(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "okha-rates", stream: true, key: testKey}
	engineName, _, entry := f.warmChat(request)
	received := f.streamThrough(request, entry, engineName, func() { entry.signal(syscall.SIGTERM) })
	must.True(t, received.complete)
	must.Eq(t, wholeText(request.chat, longAnswer), received.text)
	waitFor(t, settleLimit, "the stopped daemon ends", entry.hasExited)
	must.NoError(t, entry.waitErr)
	must.True(t, entry.logged("stopped"))
	waitFor(t, settleLimit, "the other daemon knows", func() bool {
		status, err := daemonStatus(f.otherDaemon(entry.name))
		return err == nil && len(status.Members) == 1
	})
}
