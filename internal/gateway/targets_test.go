package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
)

// targetObject returns an entry of the list of targets. Its content is not decoded in
// these tests.
func targetObject(name string, revision int64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(`{}`)}
}

// emptyTargetList returns a list without a daemon.
func emptyTargetList() *targetList {
	return &targetList{entries: make(map[string]platform.Object), removals: make(map[string]int64)}
}

func changeNames(changes []platform.Change) []string {
	var names []string
	for _, change := range changes {
		names = append(names, change.Object.Name)
	}
	return names
}

// A full list shows a removal only by the absence of the entry. A peer that knows the
// last change of the remaining entries must still be sent the removal.
func TestRemovalShownByAFullListReachesPeers(t *testing.T) {
	list := emptyTargetList()
	const lastPut, removal = 7, 8
	list.replaceEntries([]platform.Object{targetObject("a", lastPut)}, removal, false)
	changes, full, until := list.changesSince(lastPut)
	must.True(t, full)
	must.Eq(t, []string{"a"}, changeNames(changes))
	must.Eq(t, removal, until)
}

// The pages of a list are read one after another, and the watch starts from the
// revision of the first page. An entry on a later page may have a higher revision, but
// the list is not complete up to that one.
func TestListIsKnownUpToTheRevisionOfItsFirstPage(t *testing.T) {
	list := emptyTargetList()
	const firstPage = 7
	list.replaceEntries([]platform.Object{targetObject("a", 5), targetObject("b", firstPage+2)}, firstPage, false)
	must.Eq(t, firstPage, list.revision())
}

// The store's revision also counts changes of other kinds of objects. A response without
// changes confirms that no change of the list is missing up to its revision.
func TestAnswerWithoutChangesConfirmsTheList(t *testing.T) {
	list := emptyTargetList()
	list.replaceEntries(nil, 7, false)
	must.True(t, list.isBehind(9))
	list.confirmRevision(9)
	must.False(t, list.isBehind(9))
	must.Eq(t, 7, list.revision())
}
