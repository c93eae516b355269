package main

import (
	_ "embed"
	"strings"
)

// The names of the users' platform.
//
//go:embed names.txt
var namesText string

var namer = newNamer()

func newNamer() *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(namesText) {
		if key, name, found := strings.Cut(strings.TrimSpace(line), "="); found && !strings.HasPrefix(line, "#") {
			pairs = append(pairs, "{"+key+"}", name)
		}
	}
	return strings.NewReplacer(pairs...)
}

// named replaces keys in braces by the names of the platform.
func named(text string) string { return namer.Replace(text) }
