package gateway

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/protocol/restrictions"
)

func TestRestrictionsShowWhatIsHeldBackAndWhy(t *testing.T) {
	f, writers, _ := newFixture(t)
	c := f.daemon.coordinator
	request := quarantine.Request{Prompt: []relay.PromptPart{{ID: fatalPart}, {ID: "own"}}}
	for _, target := range c.domainTargets("north") {
		c.recordCrash(target, []brokenRequest{{request: request, progress: quarantine.HeadersSent}})
		if target.ID == writers[0].ID {
			c.recordLimit(target, 2.5)
		}
	}
	recorder := httptest.NewRecorder()
	f.daemon.adminHandler().ServeHTTP(recorder, httptest.NewRequest("GET", restrictions.Path, nil))
	var current restrictions.Restrictions
	must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &current))
	must.Eq(t, "front-1", current.Host)
	must.Len(t, 1, current.Parts)
	must.Eq(t, 4, current.Parts[0].Crashes)
	must.Len(t, 4, current.Parts[0].Engines)
	must.True(t, current.Parts[0].TrialIsHere)
	must.Positive(t, current.Parts[0].TrialInMs)
	must.Len(t, 1, current.Targets)
	must.Eq(t, writers[0].ID, current.Targets[0].Target)
	must.Eq(t, 2.5, current.Targets[0].PerS)
}
