// Package health keeps what a daemon knows about the state of engines, from
// the platform's lagging list, from probes and from the engines' own refusals.
// It is a state machine without I/O or clock.
package health

import (
	"strconv"
	"time"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/targetapi"
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
	// sourceOutside is a probe from another failure domain than the engine's. A
	// cut between the domains must not take an engine out of use in its own, so
	// peers are not told.
	sourceOutside = "probe from outside"
)

// Lifetimes of findings.
const (
	// ReportLag is how old an engine's load report may be: a probe overrules a
	// refusal only if it came that much later.
	ReportLag = 3 * time.Second
	// RefusalLifetime is how long an engine's refusal holds if no probe speaks for
	// or against it.
	RefusalLifetime = 10 * time.Second
	// outsideLifetime is how long a probe from outside holds.
	outsideLifetime = 3 * time.Second
	// probesUntilDown is how many probes in a row fail before an engine is down.
	probesUntilDown = 2
)

// Table holds the latest finding of each source on each engine. A finding of one
// source never replaces that of another, so that a late list cannot hide what
// the engine itself has said. It is not safe for concurrent use.
type Table struct {
	findings map[key]*peerpb.EngineFinding
	states   map[string]State // the combined ones that are not Live
	failures map[string]int   // probes in a row without an answer
	now      time.Time        // of the last tick
	changed  bool
}

type key struct {
	engine string
	source string
}

// New returns a table that knows nothing.
func New() *Table {
	return &Table{findings: make(map[key]*peerpb.EngineFinding), states: make(map[string]State), failures: make(map[string]int)}
}

// Note takes in this daemon's own finding; that an engine is live is news only
// after a finding that says otherwise. The finding is ordered after every finding of
// the same source that this daemon knows, whatever the daemons' clocks say.
func (t *Table) Note(engine string, state State, source string, now time.Time) {
	t.advance(now)
	known := t.findings[key{engine, source}]
	if state == Live && State(known.GetState()) == Live && !t.refused(engine) {
		return // nothing new to tell the peers
	}
	observed := max(uint64(now.UnixMilli()), known.GetObservedUnixMs()+1)
	t.merge(finding(engine, state, source, observed))
}

// NoteProbe takes in an engine's report to this daemon, nil if none came. Inside
// says that the engine is in this daemon's failure domain.
func (t *Table) NoteProbe(engine string, report *targetapi.Load, inside bool, now time.Time) {
	source := sourceOutside
	if inside {
		source = SourceProbe
	}
	if report == nil {
		t.failures[engine]++
		if t.failures[engine] >= probesUntilDown {
			t.Note(engine, Down, source, now)
		}
		return
	}
	delete(t.failures, engine)
	state := Live
	if report.Draining {
		state = Leaving
	}
	t.Note(engine, state, source, now)
}

// NoteListed takes in the platform's list. Its findings are ordered by the
// entries' resource versions, so that a stale read changes nothing.
func (t *Table) NoteListed(engine string, state State, version uint64) {
	t.merge(finding(engine, state, SourcePlatform, version))
}

func finding(engine string, state State, source string, observed uint64) *peerpb.EngineFinding {
	return &peerpb.EngineFinding{Engine: engine, State: uint32(state), ObservedUnixMs: observed, Source: source}
}

// Merge takes in a peer's findings.
func (t *Table) Merge(findings []*peerpb.EngineFinding) {
	for _, finding := range findings {
		t.merge(finding)
	}
}

func (t *Table) merge(finding *peerpb.EngineFinding) {
	key := key{finding.GetEngine(), finding.GetSource()}
	known := t.findings[key]
	if known != nil && finding.GetObservedUnixMs() <= known.GetObservedUnixMs() {
		return
	}
	t.findings[key] = finding
	t.combine(finding.GetEngine())
}

// Tick lets old refusals lapse.
func (t *Table) Tick(now time.Time) {
	t.advance(now)
	for engine := range t.states {
		t.combine(engine)
	}
}

func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// combine works out an engine's state from all sources.
func (t *Table) combine(engine string) {
	before := t.states[engine]
	state := max(t.of(engine, SourceProbe), t.of(engine, SourcePlatform), t.outside(engine))
	if state == Live && t.refused(engine) {
		state = Leaving
	}
	if state == Live {
		delete(t.states, engine)
	} else {
		t.states[engine] = state
	}
	t.changed = t.changed || state != before
}

func (t *Table) of(engine, source string) State {
	return State(t.findings[key{engine, source}].GetState())
}

// outside returns what this daemon's own probes from outside have found lately.
func (t *Table) outside(engine string) State {
	finding := t.findings[key{engine, sourceOutside}]
	if t.now.Sub(time.UnixMilli(int64(finding.GetObservedUnixMs()))) > outsideLifetime {
		return Live
	}
	return State(finding.GetState())
}

// refused reports whether an engine's refusal still holds: no probe that came
// late enough has found the engine live, and it is not too old.
func (t *Table) refused(engine string) bool {
	refusal := t.findings[key{engine, SourceRefusal}]
	if State(refusal.GetState()) == Live {
		return false
	}
	at := time.UnixMilli(int64(refusal.GetObservedUnixMs()))
	probe := t.findings[key{engine, SourceProbe}]
	probed := time.UnixMilli(int64(probe.GetObservedUnixMs()))
	if probe != nil && State(probe.GetState()) == Live && probed.Sub(at) > ReportLag {
		return false
	}
	return t.now.Sub(at) <= RefusalLifetime
}

// State returns the state of an engine.
func (t *Table) State(engine string) State { return t.states[engine] }

// Takes reports whether an engine takes new work.
func (t *Table) Takes(engine string) bool { return t.State(engine) == Live }

// TakeChanged reports whether an engine's state has changed since the last call.
func (t *Table) TakeChanged() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// Findings returns what peers should know.
func (t *Table) Findings() []*peerpb.EngineFinding {
	findings := make([]*peerpb.EngineFinding, 0, len(t.findings))
	for key, finding := range t.findings {
		if key.source == sourceOutside {
			continue
		}
		findings = append(findings, finding)
	}
	return findings
}

// Digest is equal in two tables that hold the same findings.
func (t *Table) Digest() uint64 {
	var digest uint64
	for key, finding := range t.findings {
		if key.source == sourceOutside {
			continue
		}
		digest ^= ranking.Hash(key.engine, key.source, strconv.FormatUint(finding.GetObservedUnixMs(), 10))
	}
	return digest
}
