package integration

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// testKey is the bearer key of the workspace that most tests use.
const testKey = "key-of-members"

// startSmallFleet starts three engines and one plain service in two failure
// domains, with two daemons.
func startSmallFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.describeSmallFleet()
	f.addSmallEngines()
	generation := f.publish()
	f.addDaemon("d1", daemonOptions{failureDomain: "domain-a"})
	f.addDaemon("d2", daemonOptions{failureDomain: "domain-b"})
	f.awaitSettled(generation)
	return f
}

// describeSmallFleet writes the small fleet's document but for its engines.
func (f *fleet) describeSmallFleet() {
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

// addSmallEngines starts the small fleet's targets.
func (f *fleet) addSmallEngines() {
	f.addEngine(environment.Engine{Name: "e1", Service: "writer", Place: "place-a", Capacity: 16}, "engine")
	f.addEngine(environment.Engine{Name: "e2", Service: "writer", Place: "place-a", Capacity: 8}, "engine")
	f.addEngine(environment.Engine{Name: "e3", Service: "writer", Place: "place-b", Capacity: 16}, "engine")
	f.addEngine(environment.Engine{Name: "l1", Service: "ledger", Place: "place-a", Capacity: 16}, "service")
}

func TestOneRequestGoesAllTheWay(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "prawn-prices", maxTokens: 8, stream: true, key: testKey}

	first := request.send(context.Background(), f.daemons["d1"])
	must.NoError(t, first.err)
	must.True(t, first.complete)
	must.Eq(t, wholeText(request.chat, request.maxTokens), first.text)

	request.turns = 2
	again := request.send(context.Background(), f.daemons["d2"])
	must.True(t, again.complete)
	must.Eq(t, first.engine(), again.engine())
	must.Positive(t, again.cached)

	whole := request
	whole.stream = false
	answered := whole.send(context.Background(), f.daemons["d1"])
	must.Eq(t, http.StatusOK, answered.status)
	must.StrContains(t, answered.text, wholeText(request.chat, request.maxTokens))
}

func TestPlainServiceIsRoutedByPath(t *testing.T) {
	f := startSmallFleet(t)
	header := http.Header{"Authorization": {"Bearer " + testKey}}
	for _, daemon := range f.daemons {
		booked := call(context.Background(), daemon, http.MethodPost, "/ledger/bookings", header, "one box")
		must.NoError(t, booked.err)
		must.Eq(t, http.StatusOK, booked.status)
		must.StrContains(t, booked.text, "one box")
	}
	must.Len(t, 2, serviceRecords(t, f.engines["l1"]))
}

func TestUnknownKeyReachesNoTarget(t *testing.T) {
	f := startSmallFleet(t)
	request := chatRequest{model: "hk-small", chat: "stranger", maxTokens: 8, stream: true, key: "wrong"}
	refused := request.send(context.Background(), f.daemons["d1"])
	must.Eq(t, http.StatusUnauthorized, refused.status)
	must.NotNil(t, refused.refusal)
	must.Eq(t, refusal.UnknownKey, refused.refusal.Code)
	must.Eq(t, "not_run", refused.refusal.Outcome)
	for _, name := range []string{"e1", "e2", "e3"} {
		must.Len(t, 0, engineRecords(t, f.engines[name]))
	}
}
