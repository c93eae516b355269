package integration

import (
	"context"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
)

// Bounds of a chat that crashes each engine that begins to answer it, as the users of the
// other platform set them: three crashes show it, and three more runs may follow.
const (
	crashesBeforeVerdict = 3
	maxRunsAfterVerdict  = 3
)

// A chat that crashes its engine returns again and again, at any daemon.
func TestChatThatCrashesItsEngineIsHeldBack(t *testing.T) {
	const (
		fatalChat = "fatal chat"
		engines   = 10
	)
	f := newFleet(t)
	f.setSmallFleetDocument()
	for i := range engines {
		definition := environment.Engine{Name: fmt.Sprintf("e%d", i+1), Service: "writer", Place: "place-a", Capacity: 16}
		f.addEngine(definition, "engine", "--crash-on", fatalChat)
	}
	f.addEngine(environment.Engine{Name: "l1", Service: "ledger", Place: "place-a", Capacity: 16}, "service")
	generation := f.publish()
	names := []string{"d1", "d2", "d3"}
	for _, name := range names {
		f.addDaemon(name, daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitConverged(generation)
	sound := chatRequest{model: "hk-small", chat: "sound chat", stream: true, key: testKey, maxTokens: 2}
	must.True(t, sound.send(context.Background(), f.daemons["d1"]).complete)
	for i := range 2 * engines {
		fatal := chatRequest{model: "hk-small", chat: fatalChat, stream: true, key: testKey, maxTokens: 2}
		must.False(t, fatal.send(context.Background(), f.daemons[names[i%len(names)]]).complete)
		for _, engineName := range f.exitedTargets() {
			for _, name := range names {
				waitFor(t, leavingDetectionLimit, name+" detects the crash", func() bool { return f.engineStateAt(f.daemons[name], engineName) != 0 })
			}
		}
	}
	must.LessEq(t, crashesBeforeVerdict+maxRunsAfterVerdict, len(f.exitedTargets()))
}

// exitedTargets returns the names of the targets whose processes have ended.
func (f *fleet) exitedTargets() []string {
	var exited []string
	for name, target := range f.targets {
		select {
		case <-target.exited:
			exited = append(exited, name)
		default:
		}
	}
	return exited
}
