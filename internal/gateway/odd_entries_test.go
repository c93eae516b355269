package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// oddSpecs returns entries of another writer. Each has an address at which no target is.
func oddSpecs() map[string]string {
	const deep = 200_000
	nested := strings.Repeat("[", deep) + strings.Repeat("]", deep)
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"desk","address":%q,"zone":"north","version":"v1","slots":%s,"state":"ready","coldLeftMs":0,"seq":1%s}`, address, slots, more)
	}
	return map[string]string{
		"deeply nested":               nested,
		"deeply nested field":         entry("127.0.0.1:1", "8", `,"models":`+nested),
		"large":                       entry("127.0.0.1:1", "8", `,"models":"`+strings.Repeat("x", 900_000)+`"`),
		"port out of range":           entry("127.0.0.1:99999", "8", ""),
		"port far out of range":       entry("127.0.0.1:99999999999999999999", "8", ""),
		"no port":                     entry("127.0.0.1", "8", ""),
		"name in place of an address": entry("runner.example:80", "8", ""),
		"number too large":            entry("127.0.0.1:1", "1e999", ""),
		"whole number too large":      entry("127.0.0.1:1", "99999999999999999999", ""),
		"start time too large":        entry("127.0.0.1:1", "8", `,"born":1e300`),
		"negative number":             entry("127.0.0.1:1", "-8", ""),
		"missing fields":              `{"service":"desk","address":"127.0.0.1:1","zone":"north","state":"ready"}`,
		"fields of other types":       `{"service":["desk"],"address":1,"zone":{},"version":2,"slots":"8","state":true,"coldLeftMs":"","seq":[]}`,
		"unreadable text":             "\"\xff\xfe\"",
		"no JSON":                     "nothing",
	}
}

// Guards against daemons that end, or follow the list no longer, because of one entry of another
// writer (second report of issue 34): it names no target, and the others hold. The entry is there
// when a daemon starts, or comes while it runs, in the list of targets or among other kinds.
func TestOddEntriesOfOtherWritersDoNotAffectOthers(t *testing.T) {
	for name, spec := range oddSpecs() {
		for _, kind := range []string{platform.KindTargets, platform.KindDocument, kindVersions, kindOrigins} {
			t.Run(kind+", "+name, func(t *testing.T) {
				f, _, desks := prepareFixture(t, defaultRetryExtra)
				f.store.PutRaw(kind, "a-odd", []byte(spec)) // before the others in the list
				f.start()
				must.Eq(t, 4, f.rosterSize())
				must.Eq(t, http.StatusOK, f.readStatus("at-start", standin.WorkspaceKey))

				f.store.PutRaw(kind, "b-odd", []byte(spec)) // by a watch
				added := f.addTarget("desk-c", "desk", false)
				for _, desk := range desks {
					f.store.Put(platform.KindTargets, desk.ID, desk.Spec("desk", "north", "draining"))
				}
				f.eventually(func() bool { return f.rosterSize() == 5 })
				f.eventually(func() bool {
					return f.readStatus("while-running", standin.WorkspaceKey) == http.StatusOK && countRuns("while-running", added) > 0
				})
				f.store.Put(platform.KindDocument, platform.DocumentName, standin.Document(2, "new-key"))
				f.eventually(func() bool { return f.readStatus("new-configuration", "new-key") == http.StatusOK })

				second := f.startPeer(closedAddress(t)) // gets the list from the first one
				must.Eq(t, 5, second.rosterSize())
				must.Eq(t, http.StatusOK, second.readStatus("at-a-peer", "new-key"))
			})
		}
	}
}
