package daemon

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/state/environment"
)

// probeInterval is how often a home daemon asks each of its engines for its load.
const probeInterval = time.Second

// probe is one engine to be asked.
type probe struct {
	engine  string
	address string
	inside  bool // the engine is in this daemon's failure domain
}

// runProbes asks the model engines whose home this daemon is for their load.
func (d *Daemon) runProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, probe := range d.probes() {
				go d.probe(ctx, probe)
			}
		}
	}
}

// probes returns the engines whose home this daemon is.
func (d *Daemon) probes() []probe {
	var probes []probe
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
			probes = append(probes, probe{
				engine:  engine.Name,
				address: document.AddressFor(engine, d.settings.FailureDomain),
				inside:  document.FailureDomainOf(engine) == d.settings.FailureDomain,
			})
		}
	})
	return probes
}

func (d *Daemon) probe(ctx context.Context, probe probe) {
	report, err := d.prober.Load(ctx, probe.address)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		d.log.Debug("engine does not report", "step", "probe", "engine", probe.engine, "err", err)
	}
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Health.NoteProbe(probe.engine, report, probe.inside, now)
		if report != nil {
			state.Admission.SetReport(probe.engine, report.Running, now)
		}
	})
}
