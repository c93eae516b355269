package gateway

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Guards against daemons that end, or follow the list no longer, because of one entry of another
// writer (second report of issue 34): it names no target, and the others hold. The entry is there
// when a daemon starts, or comes while it runs, in the list of targets or among other kinds.
func TestOddEntriesOfOtherWritersDoNotAffectOthers(t *testing.T) {
	for name, spec := range standin.OddSpecs("desk", "north") {
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
