package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
)

// Keys of the workspaces of the fairness test.
const (
	surgeKey = "key-of-surge"
	deskKey  = "key-of-desk"
)

// startSharedFleet starts two daemons before two engines that two workspaces
// share evenly.
func startSharedFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.describeSmallFleet()
	f.document.Services = []environment.Service{
		{Name: "writer", Kind: environment.KindModel, Models: []string{"hk-small"}, QueueLength: 16},
	}
	f.document.Workspaces = []environment.Workspace{
		{Name: "surge", KeysSHA256: []string{environment.HashKey(surgeKey)}},
		{Name: "desk", KeysSHA256: []string{environment.HashKey(deskKey)}},
	}
	for _, name := range []string{"e1", "e2"} {
		described := environment.Engine{Name: name, Service: "writer", Place: "place-a", Capacity: 8}
		f.addEngine(described, "engine", "--token-time", "10ms")
	}
	generation := f.publish()
	for _, name := range []string{"d1", "d2"} {
		f.addDaemon(name, daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitSettled(generation)
	return f
}

// startOf returns when an engine started a chat's request.
func (f *fleet) startOf(chat string) time.Time {
	f.t.Helper()
	for _, target := range f.engines {
		for _, record := range engineRecords(f.t, target) {
			if record.Chat == chat {
				return time.UnixMilli(record.StartMS)
			}
		}
	}
	f.t.Fatalf("no engine has started %s", chat)
	return time.Time{}
}

// One workspace sends more than twice what the engines hold, all the time. The
// other sends one request after another.
func TestPromiseSurgeLeavesOthersTheirShare(t *testing.T) {
	const (
		surgeCallers = 46
		deskRequests = 20
		startTarget  = 660 * time.Millisecond // for the first token
		lateAllowed  = deskRequests / 20      // 5 in 100
	)
	f := startSharedFleet(t)
	daemons := []*process{f.daemons["d1"], f.daemons["d2"]}
	surge := startCallers(f, surgeCallers, daemons, func(caller, number int) chatRequest {
		chat := fmt.Sprintf("surge-%d-%d", caller, number)
		tokens := 10 + (caller*17+number*29)%40 // so that they do not end together
		return chatRequest{model: "hk-small", chat: chat, maxTokens: tokens, stream: true, key: surgeKey}
	})
	surge.await(f, surgeCallers)
	late := 0
	var slowest time.Duration
	for number := range deskRequests {
		request := chatRequest{model: "hk-small", chat: fmt.Sprintf("desk-%d", number), maxTokens: 2, stream: true, key: deskKey}
		sent := time.Now()
		received := request.send(context.Background(), daemons[number%len(daemons)])
		must.Nil(t, received.refusal)
		must.True(t, received.complete)
		waited := f.startOf(request.chat).Sub(sent)
		slowest = max(slowest, waited)
		if waited > startTarget {
			late++
		}
	}
	surge.finish()
	t.Logf("slowest start %s, %d of %d late; the surge had %d answers and %d refusals",
		slowest, late, deskRequests, surge.served.Load(), len(surge.failures))
	must.LessEq(t, lateAllowed, late)
	must.Greater(t, surgeCallers, int(surge.served.Load()))
}
