// Package health tracks the state of engines from three sources: probes, refusals by
// the engines, and the platform's list of hosts, which lags behind. It is a state
// machine without I/O or clock.
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

// The states of an engine. An engine without findings counts as live.
const (
	Live    State = 0
	Leaving State = 1 // finishes its requests and accepts no new ones
	Down    State = 2 // does not answer probes
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

// Sources of findings. A finding is a state of an engine that a source has reported.
const (
	SourcePlatform = "platform"
	SourceProbe    = "probe"
	SourceRefusal  = "refusal"
	// sourceOutsideProbe is a probe from another failure domain than the engine's.
	// Its findings are not sent to peers: a network partition between the domains
	// must not make an engine unavailable in its own.
	sourceOutsideProbe = "probe from outside"
)

// Lifetimes of findings, and the number of failed probes that makes an engine down.
const (
	// MaxReportAge is the greatest age of the load report in a probe's response. A
	// probe that comes at most this long after a refusal does not end the refusal, as
	// its load report may be older than the refusal.
	MaxReportAge = 3 * time.Second
	// RefusalLifetime is how long an engine's refusal holds if no probe ends it.
	RefusalLifetime = 10 * time.Second
	// outsideProbeLifetime is how long the finding of a probe from another failure
	// domain holds.
	outsideProbeLifetime = 3 * time.Second
	// failedProbesUntilDown is the number of consecutive failed probes after which an
	// engine is down.
	failedProbesUntilDown = 2
)

// Table holds the latest finding of each source on each engine. A finding of one
// source never replaces that of another, so that a stale list of the platform does
// not hide what the engine itself has reported. It is not safe for concurrent use.
type Table struct {
	findings     map[findingKey]*peerpb.EngineFinding
	states       map[string]State // combined from all sources; live engines are absent
	failedProbes map[string]int   // consecutive failed probes by engine
	now          time.Time        // latest time passed in
	changed      bool             // whether a state has changed since the last ChangedSinceLastCall
}

type findingKey struct {
	engine string
	source string
}

// New returns a table without findings.
func New() *Table {
	return &Table{findings: make(map[findingKey]*peerpb.EngineFinding), states: make(map[string]State), failedProbes: make(map[string]int)}
}

// RecordFinding records a finding of this daemon. It ignores a live state unless the
// source's last finding was another state or a refusal holds. The finding gets a
// later timestamp than every known finding of the same source on the engine, so that
// it replaces them even if the daemons' clocks differ.
func (t *Table) RecordFinding(engine string, state State, source string, now time.Time) {
	t.advanceClock(now)
	known := t.findings[findingKey{engine, source}]
	if state == Live && State(known.GetState()) == Live && !t.refusalHolds(engine) {
		return // peers already assume that the engine is live
	}
	observed := max(uint64(now.UnixMilli()), known.GetObservedUnixMs()+1)
	t.mergeFinding(newFinding(engine, state, source, observed))
}

// RecordProbe records the result of a probe: the engine's load report, or nil if the
// probe failed. The parameter inside says whether the engine is in this daemon's
// failure domain.
func (t *Table) RecordProbe(engine string, report *targetapi.LoadReport, inside bool, now time.Time) {
	source := sourceOutsideProbe
	if inside {
		source = SourceProbe
	}
	if report == nil {
		t.failedProbes[engine]++
		if t.failedProbes[engine] >= failedProbesUntilDown {
			t.RecordFinding(engine, Down, source, now)
		}
		return
	}
	delete(t.failedProbes, engine)
	state := Live
	if report.Draining {
		state = Leaving
	}
	t.RecordFinding(engine, state, source, now)
}

// RecordPlatformState records the state of an engine in the platform's list of hosts.
// These findings are ordered by the resource version of the list entry, so that a
// stale read has no effect.
func (t *Table) RecordPlatformState(engine string, state State, version uint64) {
	t.mergeFinding(newFinding(engine, state, SourcePlatform, version))
}

// newFinding returns the protocol message for a finding. The number observed orders
// the findings of one source on one engine.
func newFinding(engine string, state State, source string, observed uint64) *peerpb.EngineFinding {
	return &peerpb.EngineFinding{Engine: engine, State: uint32(state), ObservedUnixMs: observed, Source: source}
}

// MergeFindings records the findings that a peer has sent.
func (t *Table) MergeFindings(findings []*peerpb.EngineFinding) {
	for _, finding := range findings {
		t.mergeFinding(finding)
	}
}

// mergeFinding records a finding unless it or a later one of the same source is
// already known.
func (t *Table) mergeFinding(finding *peerpb.EngineFinding) {
	key := findingKey{finding.GetEngine(), finding.GetSource()}
	known := t.findings[key]
	if known != nil && finding.GetObservedUnixMs() <= known.GetObservedUnixMs() {
		return
	}
	t.findings[key] = finding
	t.updateState(finding.GetEngine())
}

// Tick updates the states of engines whose refusals, or findings of probes from
// another failure domain, have expired.
func (t *Table) Tick(now time.Time) {
	t.advanceClock(now)
	for engine := range t.states {
		t.updateState(engine)
	}
}

// advanceClock sets the time of the table, unless it would go back.
func (t *Table) advanceClock(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// updateState computes an engine's state from the findings of all sources. The
// highest state wins; a refusal counts as leaving.
func (t *Table) updateState(engine string) {
	previous := t.states[engine]
	state := max(t.findingState(engine, SourceProbe), t.findingState(engine, SourcePlatform), t.outsideProbeState(engine))
	if state == Live && t.refusalHolds(engine) {
		state = Leaving
	}
	if state == Live {
		delete(t.states, engine)
	} else {
		t.states[engine] = state
	}
	t.changed = t.changed || state != previous
}

// findingState returns the state in a source's latest finding.
func (t *Table) findingState(engine, source string) State {
	return State(t.findings[findingKey{engine, source}].GetState())
}

// outsideProbeState returns the state in the latest finding of this daemon's own
// probes from another failure domain, or Live if that finding has expired.
func (t *Table) outsideProbeState(engine string) State {
	finding := t.findings[findingKey{engine, sourceOutsideProbe}]
	if t.now.Sub(time.UnixMilli(int64(finding.GetObservedUnixMs()))) > outsideProbeLifetime {
		return Live
	}
	return State(finding.GetState())
}

// refusalHolds reports whether an engine's refusal still holds: it has not expired,
// and no probe that came late enough after the refusal has found the engine live.
func (t *Table) refusalHolds(engine string) bool {
	refusal := t.findings[findingKey{engine, SourceRefusal}]
	if State(refusal.GetState()) == Live {
		return false
	}
	refusedAt := time.UnixMilli(int64(refusal.GetObservedUnixMs()))
	probe := t.findings[findingKey{engine, SourceProbe}]
	probedAt := time.UnixMilli(int64(probe.GetObservedUnixMs()))
	if probe != nil && State(probe.GetState()) == Live && probedAt.Sub(refusedAt) > MaxReportAge {
		return false
	}
	return t.now.Sub(refusedAt) <= RefusalLifetime
}

// State returns the state of an engine.
func (t *Table) State(engine string) State { return t.states[engine] }

// IsAvailable reports whether an engine accepts new requests.
func (t *Table) IsAvailable(engine string) bool { return t.State(engine) == Live }

// ChangedSinceLastCall reports whether any engine's state has changed since the last
// call of this method.
func (t *Table) ChangedSinceLastCall() bool {
	changed := t.changed
	t.changed = false
	return changed
}

// Findings returns the findings to send to peers.
func (t *Table) Findings() []*peerpb.EngineFinding {
	findings := make([]*peerpb.EngineFinding, 0, len(t.findings))
	for key, finding := range t.findings {
		if key.source == sourceOutsideProbe {
			continue
		}
		findings = append(findings, finding)
	}
	return findings
}

// Digest returns a hash of the findings to send to peers. Two tables with the same
// findings have the same digest.
func (t *Table) Digest() uint64 {
	var digest uint64
	for key, finding := range t.findings {
		if key.source == sourceOutsideProbe {
			continue
		}
		digest ^= ranking.Hash(key.engine, key.source, strconv.FormatUint(finding.GetObservedUnixMs(), 10))
	}
	return digest
}
