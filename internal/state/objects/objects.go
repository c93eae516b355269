// Package objects defines the objects of the platform's store and the revisions that
// order its states.
package objects

import (
	"cmp"
	"encoding/json"
)

// Revision identifies a state of the platform's store. The zero value is before all
// states.
//
// The store may be restored from a copy. Its revision numbers then go back and are
// given out again, so numbers of different eras say nothing about each other.
type Revision struct {
	Era    int64 // rises with each restore of the store; 0 if the store names none
	Number int64 // rises with each change within an era
}

// Compare returns a negative number if r is before other, 0 if both are equal, and a
// positive number otherwise.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// After reports whether r is after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Later returns the later one of two revisions.
func Later(a, b Revision) Revision {
	if a.After(b) {
		return a
	}
	return b
}

// Object is an object in the store.
type Object struct {
	Name     string
	Revision int64 // number of the object's last change, in the era of the list or change that contains it
	Spec     json.RawMessage
}

// Change says that an object was written or deleted.
type Change struct {
	Object  Object
	Deleted bool
}
