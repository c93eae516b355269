package integration

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// testKey is the API key of the workspace that most tests use.
const testKey = "key-of-members"

// startSmallFleet starts three engines, one plain service and two daemons in two
// failure domains.
func startSmallFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.setSmallFleetDocument()
	f.addSmallFleetTargets()
	generation := f.publish()
	f.addDaemon("d1", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.awaitConverged(generation)
	return f
}

// setSmallFleetDocument sets the places, services and workspaces of the fleet's
// document.
func (f *fleet) setSmallFleetDocument() {
	f.document.Places = []environment.Place{
		{Name: "place-a", FailureDomain: "domain-a"},
		{Name: "place-b", FailureDomain: "domain-b"},
	}
	f.document.Services = []environment.Service{
		{Name: "writer", Kind: environment.KindModel, Models: []string{"hk-small"}},
		{Name: "ledger", Kind: environment.KindPlain, Path: "/ledger/", Repeatable: []environment.CallPattern{
			{Method: http.MethodGet, Path: "/ledger/*"},
		}},
	}
	f.document.Workspaces = []environment.Workspace{{Name: "members", KeysSHA256: []string{environment.HashKey(testKey)}}}
}

// addSmallFleetTargets starts three engines and one plain service and adds them to
// the fleet's document.
func (f *fleet) addSmallFleetTargets() {
	f.addEngine(environment.Engine{Name: "e1", Service: "writer", Place: "place-a", Capacity: 16}, "engine")
	f.addEngine(environment.Engine{Name: "e2", Service: "writer", Place: "place-a", Capacity: 8}, "engine")
	f.addEngine(environment.Engine{Name: "e3", Service: "writer", Place: "place-b", Capacity: 16}, "engine")
	f.addEngine(environment.Engine{Name: "l1", Service: "ledger", Place: "place-a", Capacity: 16}, "service")
}

// TestChatIsServedEndToEnd checks that both daemons serve a streamed chat, that a
// follow-up through another daemon reaches the engine that has cached the chat's
// context, and that a request without streaming gets the same text.
func TestChatIsServedEndToEnd(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "prawn-prices", maxTokens: 8, stream: true, key: testKey}

	first := request.send(context.Background(), f.daemons["d1"])
	must.NoError(t, first.err)
	must.True(t, first.complete)
	must.Eq(t, expectedText(request.chat, request.maxTokens), first.text)

	request.turns = 2
	followUp := request.send(context.Background(), f.daemons["d2"])
	must.True(t, followUp.complete)
	must.Eq(t, first.engine(), followUp.engine())
	must.Positive(t, followUp.cachedTokens)

	unstreamed := request
	unstreamed.stream = false
	unstreamedResult := unstreamed.send(context.Background(), f.daemons["d1"])
	must.Eq(t, http.StatusOK, unstreamedResult.status)
	must.StrContains(t, unstreamedResult.text, expectedText(request.chat, request.maxTokens))
}

func TestPlainServiceIsRoutedByPath(t *testing.T) {
	f := startSmallFleet(t)
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	for _, daemon := range f.daemons {
		result := call(context.Background(), daemon, http.MethodPost, "/ledger/bookings", header, "one box")
		must.NoError(t, result.err)
		must.Eq(t, http.StatusOK, result.status)
		must.StrContains(t, result.text, "one box")
	}
	must.Len(t, 2, serviceRecords(t, f.targets["l1"]))
}

func TestUnknownKeyReachesNoTarget(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "stranger", maxTokens: 8, stream: true, key: "wrong"}
	result := request.send(context.Background(), f.daemons["d1"])
	must.Eq(t, http.StatusUnauthorized, result.status)
	must.NotNil(t, result.refusal)
	must.Eq(t, refusal.UnknownKey, result.refusal.Code)
	must.Eq(t, "not_run", result.refusal.Outcome)
	for _, name := range []string{"e1", "e2", "e3"} {
		must.Len(t, 0, engineRecords(t, f.targets[name]))
	}
}
