package admission

import (
	"fmt"
	"testing"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/environment"
)

// BenchmarkAdmit admits and releases at the size that the fleet is to grow to.
func BenchmarkAdmit(b *testing.B) {
	const (
		services         = 3
		enginesOfService = 1600
		daemons          = 470
		capacity         = 250
		inFlight         = 130
	)
	text := "name: bench\nplaces: [{name: a, failure_domain: a}]\nservices:\n"
	for s := range services {
		text += fmt.Sprintf("  - {name: s%d, kind: model}\n", s)
	}
	text += "engines:\n"
	for i := range services * enginesOfService {
		text += fmt.Sprintf("  - {name: e%d, service: s%d, place: a, address: \"127.0.0.1:%d\", capacity: %d}\n", i, i%services, i+1, capacity)
	}
	document, err := environment.Parse([]byte(text))
	if err != nil {
		b.Fatal(err)
	}
	control := New(func(string) bool { return true })
	control.SetDocument(document)
	loads := make([][]*peerpb.DaemonLoad, 2) // the same counts at two times
	for time := range loads {
		loads[time] = make([]*peerpb.DaemonLoad, daemons)
		for i := range daemons {
			loads[time][i] = &peerpb.DaemonLoad{Daemon: fmt.Sprintf("d%d", i)}
		}
		for i := range services * enginesOfService {
			count := &peerpb.EngineCount{Engine: fmt.Sprintf("e%d", i), InFlight: inFlight}
			loads[time][i%daemons].Counts = append(loads[time][i%daemons].Counts, count)
		}
	}
	control.MergeLoads("self", loads[0], epoch)
	control.Tick(epoch)
	b.Run("admit and release", func(b *testing.B) {
		for b.Loop() {
			decision, _ := control.Admit(Request{Engine: "e7", Workspace: "w", Deadline: epoch.Add(time.Second)}, epoch)
			control.Release(decision.Ticket, epoch)
		}
	})
	b.Run("refuse with a better engine", func(b *testing.B) {
		control.SetReport("e7", capacity, epoch)
		for b.Loop() {
			control.Admit(Request{Engine: "e7", Workspace: "w", Deadline: epoch.Add(time.Second)}, epoch)
		}
	})
	b.Run("tick", func(b *testing.B) {
		for b.Loop() {
			control.Tick(epoch)
		}
	})
	b.Run("merge all peers' counts", func(b *testing.B) {
		sequence := uint64(0)
		for b.Loop() {
			sequence++
			news := loads[sequence%2]
			for _, load := range news {
				load.Sequence = sequence
			}
			control.MergeLoads("self", news, epoch)
		}
	})
}
