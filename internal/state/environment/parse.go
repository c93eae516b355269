package environment

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
)

// Parse reads and checks a document. The error joins everything that is wrong
// with it.
func Parse(text []byte) (*Document, error) {
	if len(text) > MaxBytes {
		return nil, fmt.Errorf("environment document: %d bytes, at most %d are allowed", len(text), MaxBytes)
	}
	document := new(Document)
	if err := yaml.UnmarshalWithOptions(text, document, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("environment document: %w", err)
	}
	if err := errors.Join(document.check()...); err != nil {
		return nil, err
	}
	document.build()
	return document, nil
}

// check returns everything that is wrong with the document.
func (d *Document) check() []error {
	var problems []error
	report := func(format string, args ...any) {
		problems = append(problems, fmt.Errorf(format, args...))
	}
	if d.Name == "" {
		report("name: missing")
	}
	places := make(map[string]bool)
	for i, place := range d.Places {
		if place.Name == "" || place.FailureDomain == "" {
			report("places[%d]: name and failure_domain are needed", i)
		}
		places[place.Name] = true
	}
	services := make(map[string]bool)
	for i, service := range d.Services {
		if service.Kind != KindModel && service.Kind != KindPlain {
			report("services[%d].kind: found %q, allowed are model and plain", i, service.Kind)
		}
		if service.LoadBound != 0 && service.LoadBound < 1 {
			report("services[%d].load_bound: found %g, at least 1 is allowed", i, service.LoadBound)
		}
		services[service.Name] = true
	}
	for i, engine := range d.Engines {
		if !services[engine.Service] {
			report("engines[%d].service: no service named %q", i, engine.Service)
		}
		if !places[engine.Place] {
			report("engines[%d].place: no place named %q", i, engine.Place)
		}
		if engine.Capacity < 1 {
			report("engines[%d].capacity: found %d, at least 1 is allowed", i, engine.Capacity)
		}
	}
	return problems
}
