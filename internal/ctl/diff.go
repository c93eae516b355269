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

// Kinds of changes.
const (
	changeAdded   = "added"
	changeRemoved = "removed"
	changeChanged = "changed"
)

// compareDocuments returns the changes between two documents. The earlier one may be
// nil.
func compareDocuments(before, after *environment.Document) []change {
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

// compareSection returns the changes between two lists of named entries.
func compareSection[T any](section string, before, after []T, name func(T) string) []change {
	var changes []change
	beforeByName := make(map[string]T)
	for _, entry := range before {
		beforeByName[name(entry)] = entry
	}
	for _, entry := range after {
		old, existed := beforeByName[name(entry)]
		delete(beforeByName, name(entry))
		if !existed {
			changes = append(changes, change{Kind: changeAdded, Section: section, Name: name(entry)})
			continue
		}
		changes = append(changes, compareFields(section, name(entry), old, entry)...)
	}
	for _, entry := range before {
		if _, removed := beforeByName[name(entry)]; removed {
			changes = append(changes, change{Kind: changeRemoved, Section: section, Name: name(entry)})
		}
	}
	return changes
}

// compareFields returns the changed fields of an entry.
func compareFields(section, name string, before, after any) []change {
	var changes []change
	old, updated := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if reflect.DeepEqual(old.Field(i).Interface(), updated.Field(i).Interface()) {
			continue
		}
		key, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("yaml"), ",")
		changes = append(changes, change{
			Kind: changeChanged, Section: section, Name: name, Field: key,
			From: formatValue(old.Field(i)), To: formatValue(updated.Field(i)),
		})
	}
	return changes
}

// formatValue returns a field's value as text, with its MarshalText method if it has
// one.
func formatValue(value reflect.Value) string {
	if text, ok := value.Interface().(interface{ MarshalText() ([]byte, error) }); ok {
		if encoded, err := text.MarshalText(); err == nil {
			return string(encoded)
		}
	}
	return fmt.Sprint(value.Interface())
}

// changesTable returns a table of changes.
func changesTable(title string, changes []change) *table {
	t := &table{title: title, header: []string{"change", "section", "name", "field", "from", "to"}}
	for _, c := range changes {
		t.addRow(c.Kind, c.Section, c.Name, c.Field, c.From, c.To)
	}
	if len(changes) == 0 {
		t.footer = "no differences"
	}
	return t
}
