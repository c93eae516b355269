package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
	"hemlockknot/internal/state/settings"
)

const examplesDir = "../../examples"

func TestExamplesAreValidAndOfTheStatedSizes(t *testing.T) {
	cases := []struct {
		file       string
		places     []string
		engines    map[string]int // number of engines by service
		workspaces int
	}{
		{"cooperative.yaml", []string{"veraval", "porbandar", "mangrol", "okha"}, map[string]int{"sheet-writer": 20, "ledger-desk": 4}, 10},
		{"sui-mehran.yaml", []string{"lhr-a", "lhr-b", "lhr-c"}, map[string]int{"hk-model": 12, "quote-app": 3}, 10},
	}
	documents := 0
	for _, c := range cases {
		text, err := os.ReadFile(filepath.Join(examplesDir, c.file))
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
	_, err := settings.Load(filepath.Join(examplesDir, "hemlockknotd.yaml"))
	must.NoError(t, err)
	files, err := filepath.Glob(filepath.Join(examplesDir, "*.yaml"))
	must.NoError(t, err)
	must.Len(t, documents+1, files)
}

func TestOperationsPageNamesEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	must.NoError(t, err)
	for _, documented := range []reflect.Type{reflect.TypeFor[settings.Settings](), reflect.TypeFor[environment.Document]()} {
		for _, key := range yamlKeys(documented) {
			must.StrContains(t, string(page), "`"+key+"`")
		}
	}
}

// yamlKeys returns the YAML keys of a struct type and of all struct types nested
// in it, directly or as slice elements.
func yamlKeys(typ reflect.Type) []string {
	for typ.Kind() == reflect.Slice {
		typ = typ.Elem()
	}
	if typ.Kind() != reflect.Struct {
		return nil
	}
	var keys []string
	for i := range typ.NumField() {
		if key := typ.Field(i).Tag.Get("yaml"); key != "" {
			keys = append(append(keys, key), yamlKeys(typ.Field(i).Type)...)
		}
	}
	return keys
}

func TestSuiMehranRepeatableCallsAndPriorities(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examplesDir, "sui-mehran.yaml"))
	must.NoError(t, err)
	document, err := environment.Parse(text)
	must.NoError(t, err)
	quotes := document.Service("quote-app")
	must.True(t, quotes.IsRepeatable("GET", "/quotes/status/17"))
	must.False(t, quotes.IsRepeatable("POST", "/quotes/deposits"))
	must.Greater(t, document.Class("draft").Priority, document.Class("surveyor").Priority)
	must.Greater(t, document.Class("overnight").Priority, document.Class("draft").Priority)
}

func TestDaemonChecksItsSettingsBeforeItStarts(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	must.NoError(t, os.WriteFile(bad, []byte("name: d1\ncolour: red\nlisten: {callers: here}\n"), 0o600))
	good := filepath.Join(examplesDir, "hemlockknotd.yaml")
	cases := []struct {
		args []string
		env  string
		want string // substring of the output; empty: exit code 0
	}{
		{args: []string{"check", good}},
		{args: []string{"check", bad}, want: bad + ":2: colour: found an unknown key"},
		{args: []string{"run", "--config", bad}, want: bad + ":3: listen.callers: found \"here\""},
		{args: []string{"run", "--config", good, "--log-level", "loud"}, want: "flag --log-level: log_level: found \"loud\""},
		{args: []string{"run", "--config", good}, env: "HEMLOCKKNOT_LISTEN_PEERS=here", want: "listen.peers: found \"here\""},
	}
	for _, c := range cases {
		cmd := exec.Command(filepath.Join(binaryDir, "hemlockknotd"), c.args...)
		cmd.Env = append(os.Environ(), c.env)
		output, _ := cmd.CombinedOutput()
		must.Eq(t, c.want != "", cmd.ProcessState.ExitCode() == 1, must.Sprint(c.args, string(output)))
		must.StrContains(t, string(output), c.want)
	}
}
