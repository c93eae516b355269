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

// firstEngine returns the engine that ranks first for a named chat of the small
// fleet's model.
func firstEngine(f *fleet, chat string) string {
	var candidates []ranking.Candidate
	for _, engine := range f.document.Engines {
		if engine.Service == "writer" {
			candidates = append(candidates, ranking.Candidate{Name: engine.Name, Weight: float64(engine.Capacity)})
		}
	}
	return ranking.Order(ranking.Hash("chat", "members", "writer", chat), candidates)[0]
}

// chatsOf returns the names of chats whose first engine is the one named.
func chatsOf(f *fleet, engineName string, count int) []string {
	var chats []string
	for n := 0; len(chats) < count; n++ {
		if chat := fmt.Sprintf("chat-%d", n); firstEngine(f, chat) == engineName {
			chats = append(chats, chat)
		}
	}
	return chats
}

// publishHostState writes what the platform's host list says about an engine,
// and waits until all daemons know.
func publishHostState(f *fleet, engineName, text string, state health.State) {
	f.t.Helper()
	client := f.platformClient()
	spec, err := json.Marshal(platform.HostSpec{State: text})
	must.NoError(f.t, err)
	object := &platform.Object{Metadata: platform.Metadata{Name: engineName}, Spec: spec}
	if present, err := client.Get(context.Background(), platform.KindHosts, engineName); err == nil {
		object.Metadata.ResourceVersion = present.Metadata.ResourceVersion
		_, err = client.Update(context.Background(), platform.KindHosts, object)
		must.NoError(f.t, err)
	} else {
		_, err = client.Create(context.Background(), platform.KindHosts, object)
		must.NoError(f.t, err)
	}
	for name, daemon := range f.daemons {
		waitFor(f.t, settleLimit, fmt.Sprintf("%s sees %s as %s", name, engineName, text), func() bool {
			status, err := daemonStatus(daemon)
			if err != nil {
				return false
			}
			for _, engine := range status.Engines {
				if engine.Name == engineName {
					return engine.State == uint32(state)
				}
			}
			return false
		})
	}
}

// awaitChatsKnown waits until the fleet's directories hold that many chats.
func awaitChatsKnown(f *fleet, count int) {
	f.t.Helper()
	waitFor(f.t, settleLimit, fmt.Sprintf("the directories hold %d chats", count), func() bool {
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

// crowd is more chats than the smallest engine's capacity.
const crowd = 20

// spillChats opens more chats at once than their first engine, e2, can take, and
// returns them with the engines that served them.
func spillChats(t *testing.T, f *fleet) map[string]string {
	t.Helper()
	chats := chatsOf(f, "e2", crowd)
	engines := make([]string, crowd)
	var group sync.WaitGroup
	for i, chat := range chats {
		group.Go(func() {
			request := chatRequest{model: "hk-small", chat: chat, maxTokens: longAnswer, stream: true, key: testKey}
			served := request.send(context.Background(), f.daemons["d1"])
			if served.complete {
				engines[i] = served.engine()
			}
		})
	}
	group.Wait()
	served := make(map[string]string)
	elsewhere := 0
	for i, chat := range chats {
		if engines[i] == "" {
			continue // refused while all were full
		}
		served[chat] = engines[i]
		if engines[i] != "e2" {
			elsewhere++
		}
	}
	must.Positive(t, elsewhere)
	awaitChatsKnown(f, elsewhere)
	return served
}

// mustFindWarm lets each chat return through a daemon and wants it at the engine
// that served it before, with its context.
func mustFindWarm(t *testing.T, served map[string]string, daemon *process) {
	t.Helper()
	for chat, engineName := range served {
		request := chatRequest{model: "hk-small", chat: chat, turns: 2, maxTokens: 1, stream: true, key: testKey}
		again := request.send(context.Background(), daemon)
		must.True(t, again.complete)
		must.Eq(t, engineName, again.engine(), must.Sprintf("chat %s", chat))
		must.Positive(t, again.cached)
	}
}

// TestSpilledChatReturnsToItsWarmEngine overloads one engine through one daemon
// and lets every chat return through the other daemon.
func TestSpilledChatReturnsToItsWarmEngine(t *testing.T) {
	f := startSmallFleet(t)
	served := spillChats(t, f)
	mustFindWarm(t, served, f.daemons["d2"])
}

// TestSpilledChatIsFoundAfterItsHomeHasMoved lets a further daemon take over as
// home of the chats' first engine.
func TestSpilledChatIsFoundAfterItsHomeHasMoved(t *testing.T) {
	f := startSmallFleet(t)
	served := spillChats(t, f)
	known := 0
	for _, engineName := range served {
		if engineName != "e2" {
			known++
		}
	}
	successor := successorName("e2", "d1")
	f.addDaemon(successor, daemonOptions{failureDomain: "domain-a"})
	f.awaitSettled(1)
	must.Eq(t, successor, homeOf(t, f.daemons["d2"], "e2"))
	waitFor(t, settleLimit, "the new home knows the chats", func() bool {
		status, err := daemonStatus(f.daemons[successor])
		return err == nil && status.ChatsKnown >= known
	})
	mustFindWarm(t, served, f.daemons["d2"])
}

// TestPlannedStopHandsTheDirectoryOver stops the home of the chats' first engine,
// with no time for the entries to move on as they do between running daemons.
func TestPlannedStopHandsTheDirectoryOver(t *testing.T) {
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	generation := f.publish()
	stopping := f.addDaemon("d1", daemonOptions{failureDomain: "domain-a", extra: "limits:\n  stop_delay: 0s\n"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.awaitSettled(generation)
	must.Eq(t, "d1", homeOf(t, f.daemons["d2"], "e2"))
	served := spillChats(t, f)

	stopping.signal(syscall.SIGTERM)
	waitFor(t, settleLimit, "the daemon has stopped", stopping.hasExited)
	delete(f.daemons, "d1")
	mustFindWarm(t, served, f.daemons["d2"])
}

// successorName returns the name of a daemon that takes over an engine's home
// from a daemon of the same failure domain.
func successorName(engineName, home string) string {
	for n := 3; ; n++ {
		name := fmt.Sprintf("d%d", n)
		candidates := []ranking.Candidate{{Name: home, Weight: 1}, {Name: name, Weight: 1}}
		if ranking.Order(ranking.Hash("home", engineName), candidates)[0] == name {
			return name
		}
	}
}

// TestChatStaysWhereItIsWarmWhenItsEngineComesBack takes an engine away and
// brings it back: a chat that went on elsewhere stays there, and one that did
// not return meanwhile is found where it was.
func TestChatStaysWhereItIsWarmWhenItsEngineComesBack(t *testing.T) {
	f := startSmallFleet(t)
	chats := chatsOf(f, "e1", 2)
	moving := chatRequest{model: "hk-small", chat: chats[0], maxTokens: 1, stream: true, key: testKey}
	resting := chatRequest{model: "hk-small", chat: chats[1], maxTokens: 1, stream: true, key: testKey}
	must.Eq(t, "e1", moving.send(context.Background(), f.daemons["d1"]).engine())
	must.Eq(t, "e1", resting.send(context.Background(), f.daemons["d1"]).engine())

	publishHostState(f, "e1", "leaving", health.Leaving)
	moving.turns = 1
	interim := moving.send(context.Background(), f.daemons["d1"])
	must.True(t, interim.complete)
	must.NotEq(t, "e1", interim.engine())
	awaitChatsKnown(f, 1)

	publishHostState(f, "e1", "live", health.Live)
	for _, daemon := range f.daemons {
		moving.turns++
		again := moving.send(context.Background(), daemon)
		must.True(t, again.complete)
		must.Eq(t, interim.engine(), again.engine())
		must.Positive(t, again.cached)
	}
	resting.turns = 1
	rested := resting.send(context.Background(), f.daemons["d2"])
	must.Eq(t, "e1", rested.engine())
	must.Positive(t, rested.cached)
}
