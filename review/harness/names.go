package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"
	"text/template"
)

// The names and formats of the users' platform.
var (
	//go:embed names.txt
	namesText string
	//go:embed settings.txt
	settingsText string
	//go:embed entry.txt
	entryText string
	//go:embed config.txt
	configText string
)

var names = parseNames(namesText)

func parseNames(text string) map[string]string {
	parsed := make(map[string]string)
	for line := range strings.Lines(text) {
		if key, value, found := strings.Cut(strings.TrimSpace(line), "="); found {
			parsed[key] = value
		}
	}
	return parsed
}

// named returns a name of the platform. It must be listed.
func named(key string) string {
	value := names[key]
	if value == "" {
		panic("no name " + key)
	}
	return value
}

// fill returns a format with its values.
func fill(format string, values any) []byte {
	encode := func(value any) (string, error) {
		encoded, err := json.Marshal(value)
		return string(encoded), err
	}
	var filled bytes.Buffer
	if err := template.Must(template.New("").Funcs(template.FuncMap{"json": encode}).Parse(format)).Execute(&filled, values); err != nil {
		panic(err)
	}
	return filled.Bytes()
}

// head returns lines of a message: names and values in turn.
func head(pairs ...string) string {
	var text strings.Builder
	for i := 0; i+1 < len(pairs); i += 2 {
		text.WriteString(named(pairs[i]) + ": " + pairs[i+1] + "\r\n")
	}
	return text.String()
}
