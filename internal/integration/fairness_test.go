package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
)

// API keys of the two workspaces.
const (
	surgeKey = "key-of-surge"
	deskKey  = "key-of-desk"
)

// startTwoWorkspaceFleet starts two daemons and two engines that two workspaces
// share equally.
func startTwoWorkspaceFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.document.Services = []environment.Service{
		{Name: "writer", Kind: environment.KindModel, Models: []string{"hk-small"}, QueueLength: 16},
	}
	f.document.Workspaces = []environment.Workspace{
		{Name: "surge", KeysSHA256: []string{environment.HashKey(surgeKey)}},
		{Name: "desk", KeysSHA256: []string{environment.HashKey(deskKey)}},
	}
	for _, name := range []string{"e1", "e2"} {
		definition := environment.Engine{Name: name, Service: "writer", Place: "place-a", Capacity: 8}
		f.addEngine(definition, "engine", "--token-time", "10ms")
	}
	generation := f.publish()
	for _, name := range []string{"d1", "d2"} {
		f.addDaemon(name, daemonOptions{failureDomain: "domain-a"})
	}
	f.awaitConverged(generation)
	return f
}

// startTime returns when an engine started the first recorded request of a chat.
func (f *fleet) startTime(chat string) time.Time {
	f.t.Helper()
	for _, target := range f.targets {
		for _, record := range engineRecords(f.t, target) {
			if record.FirstUserMessage == chat {
				return time.UnixMilli(record.StartMS)
			}
		}
	}
	f.t.Fatalf("no engine has started a request of chat %s", chat)
	return time.Time{}
}

// TestWorkspaceSurgeLeavesOthersTheirShare lets one workspace send more than twice
// as many concurrent requests as the engines have capacity for. Requests that
// another workspace sends one after another must still start promptly.
func TestWorkspaceSurgeLeavesOthersTheirShare(t *testing.T) {
	const (
		surgeCallers     = 46
		deskRequests     = 20
		startDelayTarget = 660 * time.Millisecond // target for the time to first token
		maxLateStarts    = deskRequests / 20      // 5 in 100 requests
	)
	f := startTwoWorkspaceFleet(t)
	daemons := []*process{f.daemons["d1"], f.daemons["d2"]}
	surge := startLoadGenerator(f, surgeCallers, daemons, func(caller, sequence int) chatRequest {
		chat := fmt.Sprintf("surge-%d-%d", caller, sequence)
		tokens := 10 + (caller*17+sequence*29)%40 // varied, so that requests do not end together
		return chatRequest{model: "hk-small", chat: chat, maxTokens: tokens, stream: true, key: surgeKey}
	})
	surge.awaitCompleted(f, surgeCallers)
	lateStarts := 0
	var slowestStart time.Duration
	for sequence := range deskRequests {
		request := chatRequest{model: "hk-small", chat: fmt.Sprintf("desk-%d", sequence), maxTokens: 2, stream: true, key: deskKey}
		sentAt := time.Now()
		result := request.send(context.Background(), daemons[sequence%len(daemons)])
		must.Nil(t, result.refusal)
		must.True(t, result.complete)
		startDelay := f.startTime(request.chat).Sub(sentAt)
		slowestStart = max(slowestStart, startDelay)
		if startDelay > startDelayTarget {
			lateStarts++
		}
	}
	surge.finish()
	t.Logf("slowest start %s, %d of %d late; the surge had %d complete responses and %d failures",
		slowestStart, lateStarts, deskRequests, surge.completed.Load(), len(surge.failures))
	must.LessEq(t, maxLateStarts, lateStarts)
	must.Greater(t, surgeCallers, int(surge.completed.Load()))
}
