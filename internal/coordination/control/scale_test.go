package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// The fleet size of the capacity target. The number of workspaces has no effect on
// placement.
const (
	targetDaemons = 470
	targetEngines = 4800
	targetModels  = 3
	targetDomains = 11
)

// targetSizeDocument returns an environment document of the target size.
func targetSizeDocument() []byte {
	var text strings.Builder
	text.WriteString("name: target\nplaces:\n")
	for domain := range targetDomains {
		fmt.Fprintf(&text, "  - {name: p%d, failure_domain: f%d}\n", domain, domain)
	}
	text.WriteString("services:\n")
	for model := range targetModels {
		fmt.Fprintf(&text, "  - {name: s%d, kind: model}\n", model)
	}
	text.WriteString("engines:\n")
	for engine := range targetEngines {
		fmt.Fprintf(&text, "  - {name: e%d, service: s%d, place: p%d, address: \"10.0.%d.%d:80\", capacity: %d}\n",
			engine, engine%targetModels, engine%targetDomains, engine/250, engine%250, 100+engine%150)
	}
	return []byte(text.String())
}

// newTargetSizeState returns the state of a daemon in a fleet of the target size.
func newTargetSizeState(t testing.TB) *State {
	t.Helper()
	document, err := environment.Parse(targetSizeDocument())
	must.NoError(t, err)
	loop := New(&peerpb.Member{Name: "d0", FailureDomain: "f0", Incarnation: 1})
	now := time.Now()
	var members []*peerpb.Member
	for daemon := 1; daemon < targetDaemons; daemon++ {
		members = append(members, &peerpb.Member{
			Name: fmt.Sprintf("d%d", daemon), Address: "10.1.0.1:80",
			FailureDomain: fmt.Sprintf("f%d", daemon%targetDomains), Incarnation: 1, Heartbeat: 1,
		})
	}
	loop.state.Members.MergeEntries(members, now)
	loop.state.Snapshot = &Snapshot{Generation: 1, Document: document}
	loop.state.Admission.SetDocument(document)
	return loop.state
}

// BenchmarkPlaceAtTarget measures the time that the control goroutine spends on
// placing one request in a fleet of the target size.
func BenchmarkPlaceAtTarget(b *testing.B) {
	state := newTargetSizeState(b)
	now := time.Now()
	for chat := uint64(1); b.Loop(); chat++ {
		plan := state.Plan("s1", chat*0x9e3779b97f4a7c15, false)
		must.NotNil(b, state.HomeOf(plan.Engines[0], nil, now))
	}
}
