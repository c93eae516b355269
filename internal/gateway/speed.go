package gateway

import (
	"net/http"
	"time"

	"hemlockknot/internal/coordination/speed"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/relay"
)

const (
	// minGapSample is the time for which the events of a stream are counted until their
	// mean distance is recorded, and minGapEvents is how many it takes.
	minGapSample = 500 * time.Millisecond
	minGapEvents = 4
	// minWaitShare is the part of that time that the daemon must have waited for the target:
	// otherwise the caller may have been the slow one.
	minWaitShare = 0.7
	// slumpsPerExchange is how many targets that have become slow, or are no longer, an
	// exchange reports, if it has fewer loads than it may. They take the place of slumpLoads loads
	// and one for each: a report has 8 bytes and a load 7, and the three fields take 9.
	slumpsPerExchange = 4
	slumpLoads        = 2
	// maxSlumpPercent is the largest percentage that takes two bytes in a message.
	maxSlumpPercent = 1<<14 - 1
)

// recordFirstEvent records how long a target has taken to the first event of a stream, or for a whole
// answer. It leaves out streams of which it is not known how much of the prompt the target had to
// read. Nothing is recorded if the target reports no work time.
func (g *Gateway) recordFirstEvent(a *targetAttempt) {
	if !a.reportsWorkTime || a.position.begun || a.answer.buffered != nil || a.answer.response.Status >= http.StatusMultipleChoices {
		return
	}
	observation := speed.Observation{Kind: speed.WholeAnswer, Class: a.route.Name, Duration: time.Since(a.chosenAt)}
	if a.answer.stream != nil {
		if a.choice.NewSession {
			return
		}
		observation.Kind, observation.Tokens = speed.FirstEvent, a.call.PromptTokens
		if count := len(a.call.Parts); count > 1 {
			observation.Tokens = a.call.Parts[count-1].Tokens
		}
	}
	g.coordinator.recordDuration(a.choice.Target.ID, observation)
}

// recordGap records an event of a stream, or its end, for the time between its events.
func (g *Gateway) recordGap(a *targetAttempt, isEvent bool, err error) {
	if gap := a.answer.stream.gaps.endWait(isEvent, err != nil); gap > 0 {
		g.coordinator.recordDuration(a.choice.Target.ID, speed.Observation{Kind: speed.EventGap, Class: a.route.Name, Duration: gap})
	}
}

// gapMeter measures the mean time between the events of a stream.
type gapMeter struct {
	waitingSince time.Time // zero while it does not measure
	since        time.Time // begin of the sample; zero: none has begun
	waited       time.Duration
	events       int
}

// beginWait begins to wait for an event, if the stream is measured.
func (m *gapMeter) beginWait(measured bool) {
	if measured {
		m.waitingSince = time.Now()
		if m.since.IsZero() {
			m.since = m.waitingSince
		}
	}
}

// endWait ends the wait. It returns the mean time between the events of a sample that is complete, 0
// if none is.
func (m *gapMeter) endWait(isEvent, ended bool) time.Duration {
	if m.waitingSince.IsZero() {
		return 0
	}
	now := time.Now()
	if isEvent {
		m.events++
		m.waited += now.Sub(m.waitingSince)
	}
	m.waitingSince = time.Time{}
	total := now.Sub(m.since)
	if m.events < minGapEvents || total < minGapSample && !ended {
		return 0
	}
	gap := m.waited / time.Duration(m.events)
	if float64(m.waited) < minWaitShare*float64(total) {
		gap = 0
	}
	*m = gapMeter{}
	return gap
}

// recordDuration records how long a target has taken for a part of an answer, with the load that it is
// estimated to have.
func (c *coordinator) recordDuration(id string, observation speed.Observation) {
	c.do(func() {
		now := time.Now()
		if target := c.placement.Speeds().Target(id); target != nil {
			observation.Load, _ = c.placement.Load(id, now)
			target.Record(observation, now)
		}
	})
}

// recordNoRoom records that a target has rejected a request as it holds too many.
func (c *coordinator) recordNoRoom(id string, load relay.LoadReport) {
	c.do(func() {
		if target := c.placement.Speeds().Target(id); target != nil {
			target.RecordRejection(float64(load.Running+load.Waiting), time.Now())
		}
	})
}

// addSlumps adds the targets that have lately become slow, or are no longer, to the state for a peer, in the
// place of some loads that the state does not have. They never displace a load: without the fullest
// targets' loads, daemons send more to these than the load bound allows.
func (p *peers) addSlumps(state *peerpb.MeshState, freeLoads int, now time.Time) {
	count := min(slumpsPerExchange, freeLoads-slumpLoads)
	if count <= 0 {
		return
	}
	var reports []speed.Report
	p.gateway.coordinator.do(func() { reports = p.gateway.coordinator.placement.Speeds().Slumps(count, now) })
	encodeSlumps(state, reports)
}

// encodeSlumps adds reports of slow targets to the state for a peer.
func encodeSlumps(state *peerpb.MeshState, reports []speed.Report) {
	for _, report := range reports {
		state.SlumpTargets = append(state.SlumpTargets, report.TargetHash)
		state.SlumpPercents = append(state.SlumpPercents, uint32(min(report.Percent, maxSlumpPercent)))
		state.SlumpAgesMs = append(state.SlumpAgesMs, uint32(report.Age.Milliseconds()))
	}
}

// decodeSlumps returns the reports of slow targets in a peer's state.
func decodeSlumps(remote *peerpb.MeshState) []speed.Report {
	count := min(len(remote.GetSlumpTargets()), len(remote.GetSlumpPercents()), len(remote.GetSlumpAgesMs()))
	reports := make([]speed.Report, count)
	for i := range reports {
		reports[i] = speed.Report{
			TargetHash: remote.GetSlumpTargets()[i],
			Percent:    int(remote.GetSlumpPercents()[i]),
			Age:        time.Duration(remote.GetSlumpAgesMs()[i]) * time.Millisecond,
		}
	}
	return reports
}

// mergeSlumps records the slow targets of which another daemon has heard.
func (c *coordinator) mergeSlumps(reports []speed.Report) {
	if len(reports) > 0 {
		c.do(func() { c.placement.Speeds().Merge(reports, time.Now()) })
	}
}
