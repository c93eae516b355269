package control

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// BenchmarkPlan measures Plan for a service with 1,600 engines.
func BenchmarkPlan(b *testing.B) {
	var text strings.Builder
	text.WriteString("name: production\nplaces: [{name: here, failure_domain: one}]\nservices: [{name: writer, kind: model}]\nengines:\n")
	for n := range 1600 {
		fmt.Fprintf(&text, "  - {name: e%d, service: writer, place: here, address: \"127.0.0.1:%d\", capacity: 8}\n", n, n+1)
	}
	document, err := environment.Parse([]byte(text.String()))
	must.NoError(b, err)
	state := New(&peerpb.Member{Name: "d1", FailureDomain: "one"}).state
	state.Snapshot = &Snapshot{Generation: 1, Document: document}
	state.Admission.SetDocument(document)
	chat := uint64(0)
	for b.Loop() {
		chat++
		must.NotEq(b, "", state.Plan("writer", chat, false).FirstEngine)
	}
}
