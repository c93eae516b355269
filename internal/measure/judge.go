package measure

import (
	"slices"
	"time"

	"hemlockknot/internal/standin/engine"
)

const (
	sampleInterval = 50 * time.Millisecond
	warmUp         = 20 * time.Second
)

// reuse returns the returning requests' cached prompt tokens by the tokens that
// could have been cached: those that the same chat's request before had.
func reuse(records [][]engine.Record) float64 {
	chats := make(map[string][]engine.Record)
	for _, ofEngine := range records {
		for _, record := range ofEngine {
			chats[record.Chat] = append(chats[record.Chat], record)
		}
	}
	var cached, reusable int
	for _, requests := range chats {
		slices.SortFunc(requests, func(a, b engine.Record) int { return int(a.StartMS - b.StartMS) })
		for i := 1; i < len(requests); i++ {
			known := min(requests[i].PromptTokens, requests[i-1].PromptTokens)
			reusable += known
			cached += min(requests[i].CachedTokens, known)
		}
	}
	return float64(cached) / float64(max(1, reusable))
}

// skew returns, sample by sample, the busiest live engine's load over the mean
// load of the live engines, both by capacity.
func (p *played) skew() []float64 {
	var samples []float64
	for at := warmUp; at < p.duration; at += sampleInterval {
		if ratio := p.skewAt(at); ratio > 0 {
			samples = append(samples, ratio)
		}
	}
	slices.Sort(samples)
	return samples
}

func (p *played) skewAt(at time.Duration) float64 {
	moment := p.begun.Add(at).UnixMilli()
	var busiest, load, capacity float64
	for i, records := range p.records {
		if p.away(i, at) {
			continue
		}
		running := float64(runningAt(records, moment))
		own := float64(p.fleet.engines[i].described.Capacity)
		load += running
		capacity += own
		busiest = max(busiest, running/own)
	}
	if load == 0 {
		return 0
	}
	return busiest / (load / capacity)
}

func (p *played) away(engine int, at time.Duration) bool {
	return slices.ContainsFunc(p.absences, func(a absence) bool {
		return a.engine == engine && at >= a.from && at < a.until
	})
}

func runningAt(records []engine.Record, moment int64) int {
	running := 0
	for _, record := range records {
		if record.StartMS <= moment && (record.EndMS == 0 || record.EndMS > moment) {
			running++
		}
	}
	return running
}

// quantile returns a quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
