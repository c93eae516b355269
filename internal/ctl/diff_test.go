package ctl

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/environment"
)

func TestCompareFindsWhatWasAddedRemovedAndChanged(t *testing.T) {
	before := &environment.Document{
		Name:    "a",
		Engines: []environment.Engine{{Name: "e1", Capacity: 8}, {Name: "e2"}},
		Classes: []environment.Class{{Name: "gate", Deadline: environment.Duration(2 * time.Second)}},
	}
	after := &environment.Document{
		Name:    "b",
		Engines: []environment.Engine{{Name: "e3"}, {Name: "e1", Capacity: 16}},
		Classes: []environment.Class{{Name: "gate", Deadline: environment.Duration(time.Second)}},
	}
	must.Eq(t, []change{
		{Kind: changeChanged, Section: "name", From: "a", To: "b"},
		{Kind: changeAdded, Section: "engines", Name: "e3"},
		{Kind: changeChanged, Section: "engines", Name: "e1", Field: "capacity", From: "8", To: "16"},
		{Kind: changeRemoved, Section: "engines", Name: "e2"},
		{Kind: changeChanged, Section: "classes", Name: "gate", Field: "deadline", From: "2s", To: "1s"},
	}, compareDocuments(before, after))
	must.Len(t, 0, compareDocuments(before, before))
}
