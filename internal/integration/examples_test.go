package integration

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/settings"
)

const examplesFolder = "../../examples"

func TestExamplesAreValidAndOfTheStatedSizes(t *testing.T) {
	cases := []struct {
		file       string
		places     []string
		engines    map[string]int // by service
		workspaces int
	}{
		{"cooperative.yaml", []string{"veraval", "porbandar", "mangrol", "okha"}, map[string]int{"sheet-writer": 20, "ledger-desk": 4}, 10},
		{"sui-mehran.yaml", []string{"lhr-a", "lhr-b", "lhr-c"}, map[string]int{"hk-model": 12, "quote-app": 3}, 10},
	}
	documents := 0
	for _, c := range cases {
		text, err := os.ReadFile(filepath.Join(examplesFolder, c.file))
		must.NoError(t, err)
		document, err := environment.ParseNamed(c.file, text)
		must.NoError(t, err)
		documents++
		var places []string
		for _, place := range document.Places {
			places = append(places, place.Name)
		}
		must.Eq(t, c.places, places)
		for service, count := range c.engines {
			must.Len(t, count, document.EnginesOf(service))
		}
		must.Len(t, c.workspaces, document.Workspaces)
		for _, workspace := range document.Workspaces {
			must.NotNil(t, document.WorkspaceByKey("example-key-of-"+workspace.Name))
		}
	}
	_, err := settings.Load(filepath.Join(examplesFolder, "hemlockknotd.yaml"))
	must.NoError(t, err)
	files, err := filepath.Glob(filepath.Join(examplesFolder, "*.yaml"))
	must.NoError(t, err)
	must.Len(t, documents+1, files)
}

func TestSuiMehranCallsAndUrgency(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examplesFolder, "sui-mehran.yaml"))
	must.NoError(t, err)
	document, err := environment.Parse(text)
	must.NoError(t, err)
	quotes := document.Service("quote-app")
	must.True(t, quotes.MayRepeat("GET", "/quotes/status/17"))
	must.False(t, quotes.MayRepeat("POST", "/quotes/deposits"))
	must.Greater(t, document.Class("draft").Priority, document.Class("surveyor").Priority)
	must.Greater(t, document.Class("overnight").Priority, document.Class("draft").Priority)
}
