package environment

import (
	"fmt"
	"time"

	"hemlockknot/internal/state/address"
	"hemlockknot/internal/state/strictyaml"
)

// Ranges of a document's values.
const (
	MinLoadBound   = 1.0
	MaxLoadBound   = 1000.0
	MaxQueueLength = 10_000
	MaxCapacity    = 100_000
	MaxShare       = 1_000_000.0
	MaxInFlight    = 1_000_000
	MinPriority    = 0
	MaxPriority    = 7
	MinDeadline    = 10 * time.Millisecond
	MaxDeadline    = 24 * time.Hour
	// MaxNameLength bounds every name, as names travel with each request.
	MaxNameLength = 100
)

// checker reports everything that is wrong with a document.
type checker struct {
	document   *Document
	source     *strictyaml.Source
	places     map[string]bool
	services   map[string]bool
	engines    map[string]bool
	workspaces map[string]bool
	classes    map[string]bool
}

func newChecker(document *Document, source *strictyaml.Source) *checker {
	return &checker{
		document:   document,
		source:     source,
		places:     make(map[string]bool),
		services:   make(map[string]bool),
		engines:    make(map[string]bool),
		workspaces: make(map[string]bool),
		classes:    make(map[string]bool),
	}
}

func (c *checker) check() {
	if c.document.Name == "" {
		c.source.Missing("the environment's name", "name")
	}
	c.checkPlaces()
	c.checkServices()
	c.checkEngines()
	c.checkClasses()
	c.checkWorkspaces()
}

// name checks the name of a section's entry and notes it as taken.
func (c *checker) name(taken map[string]bool, name, section string, i int) {
	switch {
	case name == "":
		c.source.Missing("a name", section, i, "name")
	case len(name) > MaxNameLength || !isName(name):
		allowed := fmt.Sprintf("at most %d letters, digits, dots, dashes and underscores", MaxNameLength)
		c.source.Report(name, allowed, section, i, "name")
	case taken[name]:
		c.source.Report(name, "a name that no other entry of "+section+" has", section, i, "name")
	}
	taken[name] = true
}

func isName(text string) bool {
	for _, r := range text {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case r == '.' || r == '-' || r == '_':
		default:
			return false
		}
	}
	return text != ""
}

// reference checks that a name is that of an entry of another section.
func (c *checker) reference(known map[string]bool, name, target string, path ...any) {
	if name == "" {
		c.source.Missing("the name of an entry of "+target, path...)
		return
	}
	if !known[name] {
		c.source.Report(name, "the name of an entry of "+target, path...)
	}
}

// inRange checks a number or a duration.
func inRange[T int | int32 | float64 | time.Duration](c *checker, value, lowest, highest T, path ...any) {
	if !(value >= lowest && value <= highest) { // a float that is no number fails too
		c.source.Report(value, fmt.Sprintf("%v to %v", lowest, highest), path...)
	}
}

// optional is inRange for a value that may be left out.
func optional[T int | int32 | float64 | time.Duration](c *checker, value, lowest, highest T, path ...any) {
	if value != 0 {
		inRange(c, value, lowest, highest, path...)
	}
}

func (c *checker) checkPlaces() {
	if len(c.document.Places) == 0 {
		c.source.Missing("at least one place", "places")
	}
	for i, place := range c.document.Places {
		c.name(c.places, place.Name, "places", i)
		if place.FailureDomain == "" {
			c.source.Missing("a failure domain's name", "places", i, "failure_domain")
		}
	}
}

func (c *checker) checkEngines() {
	addresses := make(map[string]string)
	for i, engine := range c.document.Engines {
		c.name(c.engines, engine.Name, "engines", i)
		c.reference(c.services, engine.Service, "services", "engines", i, "service")
		c.reference(c.places, engine.Place, "places", "engines", i, "place")
		inRange(c, engine.Capacity, 1, MaxCapacity, "engines", i, "capacity")
		c.address(engine.Address, true, "engines", i, "address")
		c.address(engine.OutsideAddress, false, "engines", i, "outside_address")
		if other, used := addresses[engine.Address]; used && engine.Address != "" {
			c.source.Report(engine.Address, fmt.Sprintf("an address that engine %q does not have", other), "engines", i, "address")
		}
		addresses[engine.Address] = engine.Name
	}
}

func (c *checker) address(text string, needed bool, path ...any) {
	switch {
	case text == "" && needed:
		c.source.Missing(address.Allowed, path...)
	case text != "" && !address.Valid(text):
		c.source.Report(text, address.Allowed, path...)
	}
}

func (c *checker) checkClasses() {
	for i, class := range c.document.Classes {
		c.name(c.classes, class.Name, "classes", i)
		inRange(c, class.Priority, MinPriority, MaxPriority, "classes", i, "priority")
		optional(c, time.Duration(class.Deadline), MinDeadline, MaxDeadline, "classes", i, "deadline")
	}
}

func (c *checker) checkWorkspaces() {
	keys := make(map[string]string)
	for i, workspace := range c.document.Workspaces {
		c.name(c.workspaces, workspace.Name, "workspaces", i)
		optional(c, workspace.Share, 0, MaxShare, "workspaces", i, "share")
		optional(c, workspace.MaxInFlight, 0, MaxInFlight, "workspaces", i, "max_in_flight")
		if workspace.Class != "" {
			c.reference(c.classes, workspace.Class, "classes", "workspaces", i, "class")
		}
		c.checkKeys(keys, workspace, i)
	}
}
