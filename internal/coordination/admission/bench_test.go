package admission

import (
	"fmt"
	"testing"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// BenchmarkAdmit measures admission at the planned maximum size of the fleet.
func BenchmarkAdmit(b *testing.B) {
	const (
		services          = 3
		enginesPerService = 1600
		daemons           = 470
		capacity          = 250
		inFlight          = 130
	)
	text := "name: bench\nplaces: [{name: a, failure_domain: a}]\nservices:\n"
	for serviceIndex := range services {
		text += fmt.Sprintf("  - {name: s%d, kind: model}\n", serviceIndex)
	}
	text += "engines:\n"
	for i := range services * enginesPerService {
		text += fmt.Sprintf("  - {name: e%d, service: s%d, place: a, address: \"127.0.0.1:%d\", capacity: %d}\n", i, i%services, i+1, capacity)
	}
	document, err := environment.Parse([]byte(text))
	if err != nil {
		b.Fatal(err)
	}
	controller := New(func(string) bool { return true })
	controller.SetDocument(document)
	loads := make([][]*peerpb.DaemonLoad, 2) // two copies of the same counts, merged in turn
	for copyIndex := range loads {
		loads[copyIndex] = make([]*peerpb.DaemonLoad, daemons)
		for i := range daemons {
			loads[copyIndex][i] = &peerpb.DaemonLoad{Daemon: fmt.Sprintf("d%d", i)}
		}
		for i := range services * enginesPerService {
			count := &peerpb.EngineCount{Engine: fmt.Sprintf("e%d", i), InFlight: inFlight}
			loads[copyIndex][i%daemons].Counts = append(loads[copyIndex][i%daemons].Counts, count)
		}
	}
	controller.MergeLoads("self", loads[0], epoch)
	controller.Tick(epoch)
	b.Run("admit and release", func(b *testing.B) {
		for b.Loop() {
			decision, _ := controller.Admit(Request{Engine: "e7", Workspace: "w", Deadline: epoch.Add(time.Second)}, epoch)
			controller.Release(decision.Ticket, epoch)
		}
	})
	b.Run("refuse with a less loaded engine", func(b *testing.B) {
		controller.SetEngineReport("e7", capacity, epoch)
		for b.Loop() {
			controller.Admit(Request{Engine: "e7", Workspace: "w", Deadline: epoch.Add(time.Second)}, epoch)
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			controller.Tick(epoch)
		}
	})
	b.Run("merge the counts of all peers", func(b *testing.B) {
		sequence := uint64(0)
		for b.Loop() {
			sequence++
			update := loads[sequence%2]
			for _, load := range update {
				load.Sequence = sequence
			}
			controller.MergeLoads("self", update, epoch)
		}
	})
}
