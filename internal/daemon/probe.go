package daemon

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/state/environment"
)

// probeInterval is how often a home daemon probes each of its engines for its load.
const probeInterval = time.Second

// probeTarget is an engine to probe.
type probeTarget struct {
	engine     string
	address    string
	sameDomain bool // the engine is in this daemon's failure domain
}

// runProbes regularly probes the model engines whose home is this daemon.
func (d *Daemon) runProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, probe := range d.probeTargets() {
				go d.probe(ctx, probe)
			}
		}
	}
}

// probeTargets returns the model engines whose home is this daemon.
func (d *Daemon) probeTargets() []probeTarget {
	var probes []probeTarget
	d.loop.Do(func(state *control.State, now time.Time) {
		if state.Snapshot == nil {
			return
		}
		document := state.Snapshot.Document
		for i := range document.Engines {
			engine := &document.Engines[i]
			home := state.HomeOf(engine.Name, nil, now)
			if document.Service(engine.Service).Kind != environment.KindModel || home != state.Members.Self() {
				continue
			}
			probes = append(probes, probeTarget{
				engine:     engine.Name,
				address:    document.AddressFor(engine, d.settings.FailureDomain),
				sameDomain: document.FailureDomainOf(engine) == d.settings.FailureDomain,
			})
		}
	})
	return probes
}

// probe requests an engine's load report and records the result.
func (d *Daemon) probe(ctx context.Context, probe probeTarget) {
	report, err := d.prober.Load(ctx, probe.address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.log.Debug("probing engine failed", "step", "probe", "engine", probe.engine, "err", err)
	}
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Health.RecordProbe(probe.engine, report, probe.sameDomain, now)
		if report != nil {
			state.Admission.SetEngineReport(probe.engine, report.Running, now)
		}
	})
}
