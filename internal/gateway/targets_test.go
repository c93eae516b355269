package gateway

import (
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
)

// entry is an object of the list of targets that no one decodes here.
func entry(name string, revision int64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(`{}`)}
}

// mirror returns a list that no daemon uses.
func mirror() *targetList {
	return &targetList{entries: make(map[string]platform.Object), removed: make(map[string]int64)}
}

func names(changes []platform.Change) []string {
	var all []string
	for _, change := range changes {
		all = append(all, change.Object.Name)
	}
	return all
}

// A list shows a removal by what it lacks. A peer that knows the last change of
// those that are still there must be told all the same.
func TestRemovalThatAListShowsReachesPeers(t *testing.T) {
	list := mirror()
	const lastPut, removal = 7, 8
	list.set([]platform.Object{entry("a", lastPut)}, removal, false)
	changes, whole, until := list.since(lastPut)
	must.True(t, whole)
	must.Eq(t, []string{"a"}, names(changes))
	must.Eq(t, removal, until)
}

// The pages of a list are read one after another: a later page may show an entry
// as of a later revision than that from which all changes are still to come.
func TestLaterPageOfAListClaimsNoMoreThanTheFirst(t *testing.T) {
	list := mirror()
	const first = 7
	list.set([]platform.Object{entry("a", 5), entry("b", first+2)}, first, false)
	must.Eq(t, first, list.lastChange())
}

// The store's revision counts changes of other kinds too: an answer without
// changes confirms that nothing is missing.
func TestAnswerWithoutChangesConfirmsTheList(t *testing.T) {
	list := mirror()
	list.set(nil, 7, false)
	must.True(t, list.lacks(9))
	list.confirm(9)
	must.False(t, list.lacks(9))
	must.Eq(t, 7, list.lastChange())
}
