package environment

import (
	"fmt"
	"time"

	"hemlockknot/internal/state/address"
	"hemlockknot/internal/state/strictyaml"
)

// Limits of the values in a document.
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
	// MaxNameLength bounds the name of every entry in bytes, as names are sent with
	// each request.
	MaxNameLength = 100
)

// checker validates a decoded document and reports each problem to source. Its
// maps hold the names of the entries that were checked so far, by section.
type checker struct {
	document       *Document
	source         *strictyaml.Source
	placeNames     map[string]bool
	serviceNames   map[string]bool
	engineNames    map[string]bool
	workspaceNames map[string]bool
	classNames     map[string]bool
}

func newChecker(document *Document, source *strictyaml.Source) *checker {
	return &checker{
		document:       document,
		source:         source,
		placeNames:     make(map[string]bool),
		serviceNames:   make(map[string]bool),
		engineNames:    make(map[string]bool),
		workspaceNames: make(map[string]bool),
		classNames:     make(map[string]bool),
	}
}

func (c *checker) check() {
	if c.document.Name == "" {
		c.source.ReportMissing("the environment's name", "name")
	}
	c.checkPlaces()
	c.checkServices()
	c.checkEngines()
	c.checkClasses()
	c.checkWorkspaces()
}

// checkName checks the name of entry i of a section and adds the name to
// usedNames.
func (c *checker) checkName(usedNames map[string]bool, name, section string, i int) {
	switch {
	case name == "":
		c.source.ReportMissing("a name", section, i, "name")
	case len(name) > MaxNameLength || !isName(name):
		allowed := fmt.Sprintf("at most %d letters, digits, dots, dashes and underscores", MaxNameLength)
		c.source.ReportInvalid(name, allowed, section, i, "name")
	case usedNames[name]:
		c.source.ReportInvalid(name, "a name that no other entry of "+section+" has", section, i, "name")
	}
	usedNames[name] = true
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

// checkReference checks that a name is in validNames, the names of the entries
// of another section.
func (c *checker) checkReference(validNames map[string]bool, name, section string, path ...any) {
	if name == "" {
		c.source.ReportMissing("the name of an entry of "+section, path...)
		return
	}
	if !validNames[name] {
		c.source.ReportInvalid(name, "the name of an entry of "+section, path...)
	}
}

// checkRange checks that a value lies between minimum and maximum, inclusive.
func checkRange[T int | int32 | float64 | time.Duration](c *checker, value, minimum, maximum T, path ...any) {
	if !(value >= minimum && value <= maximum) { // true for NaN as well
		c.source.ReportInvalid(value, fmt.Sprintf("%v to %v", minimum, maximum), path...)
	}
}

// checkOptionalRange is checkRange for a value that may be left out, in which case
// it is 0.
func checkOptionalRange[T int | int32 | float64 | time.Duration](c *checker, value, minimum, maximum T, path ...any) {
	if value != 0 {
		checkRange(c, value, minimum, maximum, path...)
	}
}

func (c *checker) checkPlaces() {
	if len(c.document.Places) == 0 {
		c.source.ReportMissing("at least one place", "places")
	}
	for i, place := range c.document.Places {
		c.checkName(c.placeNames, place.Name, "places", i)
		if place.FailureDomain == "" {
			c.source.ReportMissing("a failure domain's name", "places", i, "failure_domain")
		}
	}
}

func (c *checker) checkEngines() {
	engineByAddress := make(map[string]string)
	for i, engine := range c.document.Engines {
		c.checkName(c.engineNames, engine.Name, "engines", i)
		c.checkReference(c.serviceNames, engine.Service, "services", "engines", i, "service")
		c.checkReference(c.placeNames, engine.Place, "places", "engines", i, "place")
		checkRange(c, engine.Capacity, 1, MaxCapacity, "engines", i, "capacity")
		c.checkAddress(engine.Address, true, "engines", i, "address")
		c.checkAddress(engine.OutsideAddress, false, "engines", i, "outside_address")
		if other, used := engineByAddress[engine.Address]; used && engine.Address != "" {
			c.source.ReportInvalid(engine.Address, fmt.Sprintf("an address that engine %q does not have", other), "engines", i, "address")
		}
		engineByAddress[engine.Address] = engine.Name
	}
}

func (c *checker) checkAddress(value string, required bool, path ...any) {
	switch {
	case value == "" && required:
		c.source.ReportMissing(address.DialFormat, path...)
	case value != "" && !address.ValidDial(value):
		c.source.ReportInvalid(value, address.DialFormat, path...)
	}
}

func (c *checker) checkClasses() {
	for i, class := range c.document.Classes {
		c.checkName(c.classNames, class.Name, "classes", i)
		checkRange(c, class.Priority, MinPriority, MaxPriority, "classes", i, "priority")
		checkOptionalRange(c, time.Duration(class.Deadline), MinDeadline, MaxDeadline, "classes", i, "deadline")
	}
}

func (c *checker) checkWorkspaces() {
	workspaceByKey := make(map[string]string)
	for i, workspace := range c.document.Workspaces {
		c.checkName(c.workspaceNames, workspace.Name, "workspaces", i)
		checkOptionalRange(c, workspace.Share, 0, MaxShare, "workspaces", i, "share")
		checkOptionalRange(c, workspace.MaxInFlight, 0, MaxInFlight, "workspaces", i, "max_in_flight")
		if workspace.Class != "" {
			c.checkReference(c.classNames, workspace.Class, "classes", "workspaces", i, "class")
		}
		c.checkKeys(workspaceByKey, workspace, i)
	}
}
