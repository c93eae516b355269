package gateway

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/brittle"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

const (
	// acceptProbeAfter is how long a brittle target may say nothing after a request before it is probed,
	// and acceptProbeInterval the time between two probes. Each probe is a connection, and most targets
	// say something sooner.
	acceptProbeAfter    = 100 * time.Millisecond
	acceptProbeInterval = 100 * time.Millisecond
	// acceptProbeTimeout is how long a target may take to answer such a probe: a sound one may be silent
	// for a second or so.
	acceptProbeTimeout = 2 * time.Second
)

// recordBrittle records whether a target has said in its answer to a request, which was sent at a
// time, that it is brittle, and how many rejections in a second it bears. It reports whether that is a
// change.
func (c *coordinator) recordBrittle(target *fleet.Target, isBrittle bool, rejections float64, sentAt time.Time) (changed bool) {
	c.do(func() {
		if isBrittle {
			changed = c.brittle.RecordBrittle(brittleTargetOf(target), rejections, time.Now())
			return
		}
		changed = c.brittle.RecordSound(brittleTargetOf(target), sentAt)
	})
	return changed
}

// recordRejection records that a target has rejected a request of this daemon, which was sent at a
// time, for lack of room. Load is what it has said of its load, nil if nothing.
func (c *coordinator) recordRejection(target *fleet.Target, sentAt time.Time, load *relay.LoadReport) {
	c.do(func() {
		now := time.Now()
		held, _ := c.placement.Load(target.ID, now)
		held-- // without the rejected request
		if load != nil {
			held = float64(load.Running + load.Waiting)
		}
		c.brittle.RecordRejection(brittleTargetOf(target), sentAt, held, now)
	})
}

// recordWritten records that a request, which was chosen a target at a time, has been written. It
// reports whether the target is brittle and has to accept the request before it gets another one.
func (c *coordinator) recordWritten(target *fleet.Target, sentAt time.Time) (awaited bool) {
	c.do(func() {
		if c.brittle.Any() {
			c.brittle.RecordWritten(brittleTargetOf(target), sentAt, time.Now())
			awaited = !c.settled(target, sentAt)
		}
	})
	return awaited
}

// recordAnswerBegun records that the answer to a request has begun.
func (c *coordinator) recordAnswerBegun(target *fleet.Target, sentAt time.Time) {
	c.do(func() {
		if c.brittle.Any() {
			c.brittle.RecordAnswer(brittleTargetOf(target), sentAt, time.Now())
		}
	})
}

// recordUnsent records that a request was not sent to a target after all.
func (c *coordinator) recordUnsent(target *fleet.Target, sentAt time.Time) {
	c.do(func() {
		if c.brittle.Any() {
			c.brittle.RecordNotAwaited(brittleTargetOf(target), sentAt)
		}
	})
}

// settled reports whether a target need not accept a request any more before it gets another one. The
// caller must run on the coordinator's goroutine.
func (c *coordinator) settled(target *fleet.Target, sentAt time.Time) bool {
	name := brittleTargetOf(target)
	if c.brittleTarget(target.ID) != name {
		c.brittle.RecordNotAwaited(name, sentAt) // it is not listed any more, and may be again
		return true
	}
	return c.brittle.Settled(name, sentAt, c.heardAt(target.ID), time.Now())
}

// awaitAccepted probes a brittle target to which a request has been written until the target has said
// something: until then it may still reject the request.
func (g *Gateway) awaitAccepted(target *fleet.Target, sentAt time.Time) {
	if !g.coordinator.recordWritten(target, sentAt) {
		return
	}
	go func() {
		for delay := acceptProbeAfter; ; delay = acceptProbeInterval {
			select {
			case <-g.coordinator.done:
				return
			case <-time.After(delay):
			}
			settled := true
			g.coordinator.do(func() { settled = g.coordinator.settled(target, sentAt) })
			if settled {
				return
			}
			g.probeAccepted(target)
		}
	}()
}

// probeAccepted probes a target and records whether it answers.
func (g *Gateway) probeAccepted(target *fleet.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), acceptProbeTimeout)
	defer cancel()
	probedAt := time.Now()
	answered := g.answersProbe(ctx, target)
	if answered {
		g.coordinator.do(func() { g.coordinator.brittle.RecordProbe(brittleTargetOf(target), probedAt, time.Now()) })
	}
	g.metrics.countAcceptProbe(answered)
}

// brittleTargetOf returns the name of a target's incarnation in the brittle tracker.
func brittleTargetOf(target *fleet.Target) brittle.Target {
	return brittle.Target{Incarnation: target.IncarnationHash(), Service: target.Service}
}

// brittleTarget returns the name of a target's incarnation in the brittle tracker. The caller
// must run on the coordinator's goroutine.
func (c *coordinator) brittleTarget(id string) brittle.Target {
	if c.incarnations == nil {
		members := c.roster.Members()
		c.incarnations = make(map[string]brittle.Target, len(members))
		for _, member := range members {
			c.incarnations[member.Target.ID] = brittleTargetOf(member.Target)
		}
	}
	return c.incarnations[id]
}

// brittleReports returns the services with brittle targets to tell another daemon of, and those
// whose targets have answered since without saying that they are.
func (c *coordinator) brittleReports() (reports []brittle.Report, sound []brittle.SoundReport) {
	c.do(func() {
		now := time.Now()
		reports, sound = c.brittle.Reports(brittlePerExchange, now), c.brittle.SoundReports(soundPerExchange, now)
	})
	return reports, sound
}

// mergeBrittle records of which services another daemon has heard that their targets are
// brittle, or are so no more. It returns those whose targets all count as sound since.
func (c *coordinator) mergeBrittle(reports []brittle.Report, sound []brittle.SoundReport) (over []string) {
	if len(reports)+len(sound) > 0 {
		c.do(func() {
			c.brittle.Merge(reports, time.Now())
			over = c.brittle.MergeSound(sound, time.Now())
		})
	}
	return over
}

// mergeBrittle merges the services with brittle targets in a peer's state.
func (p *peers) mergeBrittle(remote *peerpb.MeshState) {
	for _, service := range p.gateway.coordinator.mergeBrittle(decodeBrittle(remote), decodeSound(remote)) {
		p.gateway.log.Info("targets are not brittle any more", "service", service, "source", "peer")
	}
}

// encodeBrittle adds the services with brittle targets to the state that is sent to a peer.
func encodeBrittle(state *peerpb.MeshState, reports []brittle.Report) {
	for _, report := range reports {
		state.BrittleServices = append(state.BrittleServices, report.Service)
		state.BorneRejectionsMilli = append(state.BorneRejectionsMilli, uint32(report.Rejections*perMilli))
		state.BrittleAgesMs = append(state.BrittleAgesMs, uint32(report.Age.Milliseconds()))
	}
}

// decodeBrittle returns the services with brittle targets in a peer's state.
func decodeBrittle(remote *peerpb.MeshState) []brittle.Report {
	reports := make([]brittle.Report, min(len(remote.GetBrittleServices()), len(remote.GetBorneRejectionsMilli()), len(remote.GetBrittleAgesMs())))
	for i := range reports {
		reports[i] = brittle.Report{
			Service:    remote.GetBrittleServices()[i],
			Rejections: float64(remote.GetBorneRejectionsMilli()[i]) / perMilli,
			Age:        time.Duration(remote.GetBrittleAgesMs()[i]) * time.Millisecond,
		}
	}
	return reports
}

// encodeSound adds the services whose targets were brittle to the state that is sent to a peer.
func encodeSound(state *peerpb.MeshState, reports []brittle.SoundReport) {
	for _, report := range reports {
		state.SoundServices = append(state.SoundServices, report.Service)
		state.SoundBrittleAgesMs = append(state.SoundBrittleAgesMs, uint32(report.BrittleAge.Milliseconds()))
		state.SoundAgesMs = append(state.SoundAgesMs, uint32(report.SoundAge.Milliseconds()))
	}
}

// decodeSound returns the services whose targets were brittle in a peer's state.
func decodeSound(remote *peerpb.MeshState) []brittle.SoundReport {
	reports := make([]brittle.SoundReport, min(len(remote.GetSoundServices()), len(remote.GetSoundBrittleAgesMs()), len(remote.GetSoundAgesMs())))
	for i := range reports {
		reports[i] = brittle.SoundReport{
			Service:    remote.GetSoundServices()[i],
			BrittleAge: time.Duration(remote.GetSoundBrittleAgesMs()[i]) * time.Millisecond,
			SoundAge:   time.Duration(remote.GetSoundAgesMs()[i]) * time.Millisecond,
		}
	}
	return reports
}
