package ctl

import (
	"fmt"
	"reflect"
	"strings"

	"hemlockknot/internal/state/environment"
)

// change is one difference between two documents.
type change struct {
	Kind    string `json:"kind"` // added, removed or changed
	Section string `json:"section"`
	Name    string `json:"name,omitempty"`
	Field   string `json:"field,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
}

// The kinds of changes.
const (
	changeAdded   = "added"
	changeRemoved = "removed"
	changeChanged = "changed"
)

// compare returns what distinguishes a document from an earlier one, which may
// be nil.
func compare(before, after *environment.Document) []change {
	if before == nil {
		before = new(environment.Document)
	}
	changes := []change{}
	if before.Name != after.Name {
		changes = append(changes, change{Kind: changeChanged, Section: "name", From: before.Name, To: after.Name})
	}
	changes = append(changes, compareSection("places", before.Places, after.Places, func(e environment.Place) string { return e.Name })...)
	changes = append(changes, compareSection("services", before.Services, after.Services, func(e environment.Service) string { return e.Name })...)
	changes = append(changes, compareSection("engines", before.Engines, after.Engines, func(e environment.Engine) string { return e.Name })...)
	changes = append(changes, compareSection("workspaces", before.Workspaces, after.Workspaces, func(e environment.Workspace) string { return e.Name })...)
	return append(changes, compareSection("classes", before.Classes, after.Classes, func(e environment.Class) string { return e.Name })...)
}

// compareSection compares two lists of named entries.
func compareSection[T any](section string, before, after []T, name func(T) string) []change {
	var changes []change
	earlier := make(map[string]T)
	for _, entry := range before {
		earlier[name(entry)] = entry
	}
	for _, entry := range after {
		old, existed := earlier[name(entry)]
		delete(earlier, name(entry))
		if !existed {
			changes = append(changes, change{Kind: changeAdded, Section: section, Name: name(entry)})
			continue
		}
		changes = append(changes, compareFields(section, name(entry), old, entry)...)
	}
	for _, entry := range before {
		if _, left := earlier[name(entry)]; left {
			changes = append(changes, change{Kind: changeRemoved, Section: section, Name: name(entry)})
		}
	}
	return changes
}

func compareFields(section, name string, before, after any) []change {
	var changes []change
	old, next := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if reflect.DeepEqual(old.Field(i).Interface(), next.Field(i).Interface()) {
			continue
		}
		key, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("yaml"), ",")
		changes = append(changes, change{
			Kind: changeChanged, Section: section, Name: name, Field: key,
			From: describeValue(old.Field(i)), To: describeValue(next.Field(i)),
		})
	}
	return changes
}

func describeValue(value reflect.Value) string {
	if text, ok := value.Interface().(interface{ MarshalText() ([]byte, error) }); ok {
		if encoded, err := text.MarshalText(); err == nil {
			return string(encoded)
		}
	}
	return fmt.Sprint(value.Interface())
}

// changeTable shows changes to people.
func changeTable(title string, changes []change) *table {
	shown := &table{title: title, header: []string{"change", "section", "name", "field", "from", "to"}}
	for _, c := range changes {
		shown.add(c.Kind, c.Section, c.Name, c.Field, c.From, c.To)
	}
	if len(changes) == 0 {
		shown.footer = "no differences"
	}
	return shown
}
