package measure

import (
	"cmp"
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
	var cached, reusable int
	for _, requests := range byChat(records) {
		for i := 1; i < len(requests); i++ {
			known := min(requests[i].PromptTokens, requests[i-1].PromptTokens)
			reusable += known
			cached += min(requests[i].CachedTokens, known)
		}
	}
	return float64(cached) / float64(max(1, reusable))
}

// served is a record with its engine.
type served struct {
	engine.Record
	engine int
}

// byChat returns each chat's requests in the order of their start.
func byChat(records [][]engine.Record) map[string][]served {
	chats := make(map[string][]served)
	for i, ofEngine := range records {
		for _, record := range ofEngine {
			chats[record.Chat] = append(chats[record.Chat], served{record, i})
		}
	}
	for _, requests := range chats {
		slices.SortStableFunc(requests, func(a, b served) int { return cmp.Compare(a.StartMS, b.StartMS) })
	}
	return chats
}

// evictionGain is the most that reuse could rise if the directory knew of every
// eviction at once: a request that returned to its last engine and found nothing
// would then find all that any other engine has ever held of its chat.
func evictionGain(records [][]engine.Record) float64 {
	var gained, reusable int
	for _, requests := range byChat(records) {
		held := make(map[int]int) // prompt tokens by engine
		for i, request := range requests {
			if i > 0 {
				last := requests[i-1]
				reusable += min(request.PromptTokens, last.PromptTokens)
				if last.engine == request.engine && request.CachedTokens == 0 {
					gained += mostElsewhere(held, request.engine)
				}
			}
			held[request.engine] = request.PromptTokens
		}
	}
	return float64(gained) / float64(max(1, reusable))
}

func mostElsewhere(held map[int]int, here int) int {
	most := 0
	for engine, tokens := range held {
		if engine != here {
			most = max(most, tokens)
		}
	}
	return most
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
