package objects_test

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/state/objects"
)

func TestRevisionsAreOrderedByEraFirst(t *testing.T) {
	rising := []Revision{{}, {0, 5}, {1, 2}, {1, 3}, {2, 0}}
	must.True(t, slices.IsSortedFunc(rising, Revision.Compare))
	for i, later := range rising[1:] {
		must.True(t, later.After(rising[i]))
		must.False(t, rising[i].After(later))
		must.Eq(t, later, Later(rising[i], later))
		must.Eq(t, later, Later(later, rising[i]))
	}
}
