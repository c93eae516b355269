// Package health keeps what a daemon knows about the state of engines, from
// the platform's lagging list, from probes and from the engines' own refusals.
// It is a state machine without I/O or clock.
package health

import (
	"time"

	"hemlockknot/internal/protocol/peerpb"
)

// State is the state of an engine.
type State uint32

// The states of an engine. An engine that nothing is known of counts as live.
const (
	Live    State = 0
	Leaving State = 1 // finishes its work and takes no more
	Down    State = 2 // does not answer
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Leaving:
		return "leaving"
	case Down:
		return "down"
	}
	return "unknown"
}

// Sources of findings.
const (
	SourcePlatform = "platform"
	SourceProbe    = "probe"
	SourceRefusal  = "refusal"
)

// Table holds the latest finding on each engine. It is not safe for concurrent
// use.
type Table struct {
	findings map[string]*peerpb.EngineFinding
}

// New returns a table that knows nothing.
func New() *Table {
	return &Table{findings: make(map[string]*peerpb.EngineFinding)}
}

// Note takes in this daemon's own finding.
func (t *Table) Note(engine string, state State, source string, now time.Time) {
	t.merge(&peerpb.EngineFinding{
		Engine:         engine,
		State:          uint32(state),
		ObservedUnixMs: uint64(now.UnixMilli()),
		Source:         source,
	})
}

// Merge takes in a peer's findings.
func (t *Table) Merge(findings []*peerpb.EngineFinding) {
	for _, finding := range findings {
		t.merge(finding)
	}
}

func (t *Table) merge(finding *peerpb.EngineFinding) {
	known := t.findings[finding.GetEngine()]
	if known == nil || finding.GetObservedUnixMs() > known.GetObservedUnixMs() {
		t.findings[finding.GetEngine()] = finding
	}
}

// State returns the state of an engine.
func (t *Table) State(engine string) State {
	return State(t.findings[engine].GetState())
}

// Takes reports whether an engine takes new work.
func (t *Table) Takes(engine string) bool { return t.State(engine) == Live }

// Findings returns what peers should know.
func (t *Table) Findings() []*peerpb.EngineFinding {
	findings := make([]*peerpb.EngineFinding, 0, len(t.findings))
	for _, finding := range t.findings {
		findings = append(findings, finding)
	}
	return findings
}
