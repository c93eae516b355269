package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/health"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/state/platform"
)

// firstEngine returns the engine of the service writer that rendezvous hashing
// ranks first for a chat.
func firstEngine(f *fleet, chat string) string {
	var candidates []ranking.Candidate
	for _, engine := range f.document.Engines {
		if engine.Service == "writer" {
			candidates = append(candidates, ranking.Candidate{Name: engine.Name, Weight: float64(engine.Capacity)})
		}
	}
	return ranking.Order(ranking.Hash("chat", "members", "writer", chat), candidates)[0]
}

// chatsWithFirstEngine returns the names of count chats whose first engine is the
// named engine.
func chatsWithFirstEngine(f *fleet, engineName string, count int) []string {
	var chats []string
	for n := 0; len(chats) < count; n++ {
		if chat := fmt.Sprintf("chat-%d", n); firstEngine(f, chat) == engineName {
			chats = append(chats, chat)
		}
	}
	return chats
}

// setHostStateAndWait writes the state of an engine's host to the platform's host
// list and waits until all daemons have the engine in the wanted state.
func setHostStateAndWait(f *fleet, engineName, hostState string, wantState health.State) {
	f.t.Helper()
	client := f.platformClient()
	spec, err := json.Marshal(platform.HostSpec{State: hostState})
	must.NoError(f.t, err)
	object := &platform.Object{Metadata: platform.Metadata{Name: engineName}, Spec: spec}
	if current, err := client.Get(context.Background(), platform.KindHosts, engineName); err == nil {
		object.Metadata.ResourceVersion = current.Metadata.ResourceVersion
		_, err = client.Update(context.Background(), platform.KindHosts, object)
		must.NoError(f.t, err)
	} else {
		_, err = client.Create(context.Background(), platform.KindHosts, object)
		must.NoError(f.t, err)
	}
	for name, daemon := range f.daemons {
		waitFor(f.t, convergenceTimeout, fmt.Sprintf("%s has engine %s in state %s", name, engineName, hostState), func() bool {
			status, err := daemonStatus(daemon)
			if err != nil {
				return false
			}
			for _, engine := range status.Engines {
				if engine.Name == engineName {
					return engine.State == uint32(wantState)
				}
			}
			return false
		})
	}
}

// awaitDirectoryEntries waits until the chat directories of all daemons together
// hold at least count chats. A directory records chats whose context is cached on
// another engine than their first engine.
func awaitDirectoryEntries(f *fleet, count int) {
	f.t.Helper()
	waitFor(f.t, convergenceTimeout, fmt.Sprintf("the chat directories hold %d chats", count), func() bool {
		known := 0
		for _, daemon := range f.daemons {
			status, err := daemonStatus(daemon)
			if err != nil {
				return false
			}
			known += status.ChatsKnown
		}
		return known >= count
	})
}

// spillChatCount is larger than the capacity of the smallest engine.
const spillChatCount = 20

// spillChats starts more chats at once than their first engine e2 admits, so that
// some spill to other engines. It returns the engine that served each chat; chats
// that were refused are absent.
func spillChats(t *testing.T, f *fleet) map[string]string {
	t.Helper()
	chats := chatsWithFirstEngine(f, "e2", spillChatCount)
	engines := make([]string, spillChatCount)
	var wg sync.WaitGroup
	for i, chat := range chats {
		wg.Go(func() {
			request := chatRequest{model: "hk-small", chat: chat, maxTokens: longResponseTokens, stream: true, key: testKey}
			result := request.send(context.Background(), f.daemons["d1"])
			if result.complete {
				engines[i] = result.engine()
			}
		})
	}
	wg.Wait()
	engineByChat := make(map[string]string)
	spilled := 0
	for i, chat := range chats {
		if engines[i] == "" {
			continue // refused while all engines were full
		}
		engineByChat[chat] = engines[i]
		if engines[i] != "e2" {
			spilled++
		}
	}
	must.Positive(t, spilled)
	awaitDirectoryEntries(f, spilled)
	return engineByChat
}

// mustReturnToWarmEngine sends a follow-up of each chat through a daemon and checks
// that the engine that served the chat before serves it from its cache.
func mustReturnToWarmEngine(t *testing.T, engineByChat map[string]string, daemon *process) {
	t.Helper()
	for chat, engineName := range engineByChat {
		request := chatRequest{model: "hk-small", chat: chat, turns: 2, maxTokens: 1, stream: true, key: testKey}
		result := request.send(context.Background(), daemon)
		must.True(t, result.complete)
		must.Eq(t, engineName, result.engine(), must.Sprintf("chat %s", chat))
		must.Positive(t, result.cachedTokens)
	}
}

// TestSpilledChatReturnsToItsWarmEngine overloads one engine through one daemon
// and sends the follow-ups through the other daemon.
func TestSpilledChatReturnsToItsWarmEngine(t *testing.T) {
	f := startSmallFleet(t)
	engineByChat := spillChats(t, f)
	mustReturnToWarmEngine(t, engineByChat, f.daemons["d2"])
}

// TestSpilledChatReturnsAfterHomeDaemonChanges adds a daemon that becomes the home
// daemon of the chats' first engine. The chat directory must move to the new daemon.
func TestSpilledChatReturnsAfterHomeDaemonChanges(t *testing.T) {
	f := startSmallFleet(t)
	engineByChat := spillChats(t, f)
	spilled := 0
	for _, engineName := range engineByChat {
		if engineName != "e2" {
			spilled++
		}
	}
	successor := successorHomeName("e2", "d1")
	f.addDaemon(successor, daemonOptions{failureDomain: "domain-a"})
	f.awaitConverged(1)
	must.Eq(t, successor, homeDaemonName(t, f.daemons["d2"], "e2"))
	waitFor(t, convergenceTimeout, "the new home daemon's directory holds the chats", func() bool {
		status, err := daemonStatus(f.daemons[successor])
		return err == nil && status.ChatsKnown >= spilled
	})
	mustReturnToWarmEngine(t, engineByChat, f.daemons["d2"])
}

// TestGracefulStopHandsOverChatDirectory stops the home daemon of the chats'
// first engine. The stop delay is 0, so that the directory must be handed over
// during the stop and cannot move as it does between running daemons.
func TestGracefulStopHandsOverChatDirectory(t *testing.T) {
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	stopping := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", extraYAML: "limits:\n  stop_delay: 0s\n"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.awaitConverged(generation)
	must.Eq(t, "d1", homeDaemonName(t, f.daemons["d2"], "e2"))
	engineByChat := spillChats(t, f)

	stopping.signal(syscall.SIGTERM)
	waitFor(t, convergenceTimeout, "the stopping daemon exits", stopping.hasExited)
	delete(f.daemons, "d1")
	mustReturnToWarmEngine(t, engineByChat, f.daemons["d2"])
}

// successorHomeName returns a name that ranks before the current home daemon for an
// engine, so that a new daemon of that name in the same failure domain becomes the
// engine's home daemon.
func successorHomeName(engineName, home string) string {
	for n := 3; ; n++ {
		name := fmt.Sprintf("d%d", n)
		candidates := []ranking.Candidate{{Name: home, Weight: 1}, {Name: name, Weight: 1}}
		if ranking.Order(ranking.Hash("home", engineName), candidates)[0] == name {
			return name
		}
	}
}

// TestChatStaysOnWarmEngineWhenFirstEngineReturns marks an engine as leaving and
// then as live again. A chat that continued on another engine in between must stay
// there, and a chat without requests in between must return to its first engine.
func TestChatStaysOnWarmEngineWhenFirstEngineReturns(t *testing.T) {
	f := startSmallFleet(t)
	chats := chatsWithFirstEngine(f, "e1", 2)
	movingChat := chatRequest{model: "hk-small", chat: chats[0], maxTokens: 1, stream: true, key: testKey}
	idleChat := chatRequest{model: "hk-small", chat: chats[1], maxTokens: 1, stream: true, key: testKey}
	must.Eq(t, "e1", movingChat.send(context.Background(), f.daemons["d1"]).engine())
	must.Eq(t, "e1", idleChat.send(context.Background(), f.daemons["d1"]).engine())

	setHostStateAndWait(f, "e1", "leaving", health.Leaving)
	movingChat.turns = 1
	whileLeaving := movingChat.send(context.Background(), f.daemons["d1"])
	must.True(t, whileLeaving.complete)
	must.NotEq(t, "e1", whileLeaving.engine())
	awaitDirectoryEntries(f, 1)

	setHostStateAndWait(f, "e1", "live", health.Live)
	for _, daemon := range f.daemons {
		movingChat.turns++
		afterReturn := movingChat.send(context.Background(), daemon)
		must.True(t, afterReturn.complete)
		must.Eq(t, whileLeaving.engine(), afterReturn.engine())
		must.Positive(t, afterReturn.cachedTokens)
	}
	idleChat.turns = 1
	idleResult := idleChat.send(context.Background(), f.daemons["d2"])
	must.Eq(t, "e1", idleResult.engine())
	must.Positive(t, idleResult.cachedTokens)
}
