package measure

import (
	"cmp"
	"slices"
	"time"

	"hemlockknot/internal/standin/engine"
)

// Sampling of the skew. Samples start after the warm-up.
const (
	skewSampleInterval = 50 * time.Millisecond
	warmUp             = 20 * time.Second
)

// cacheReuse returns the share of reusable prompt tokens that were served from a
// cache. The reusable tokens of a request are those that the previous request of the
// same chat already had; a chat's first request has none.
func cacheReuse(records [][]engine.Record) float64 {
	var cached, reusable int
	for _, chatRecords := range recordsByChat(records) {
		for i := 1; i < len(chatRecords); i++ {
			reusableTokens := min(chatRecords[i].PromptTokens, chatRecords[i-1].PromptTokens)
			reusable += reusableTokens
			cached += min(chatRecords[i].CachedTokens, reusableTokens)
		}
	}
	return float64(cached) / float64(max(1, reusable))
}

// engineRecord is a request's record and the index of the engine that served it.
type engineRecord struct {
	engine.Record
	engineIndex int
}

// recordsByChat returns the requests of each chat in the order of their start, keyed
// by the chat's first user message.
func recordsByChat(records [][]engine.Record) map[string][]engineRecord {
	chats := make(map[string][]engineRecord)
	for i, ofEngine := range records {
		for _, record := range ofEngine {
			chats[record.FirstUserMessage] = append(chats[record.FirstUserMessage], engineRecord{record, i})
		}
	}
	for _, chatRecords := range chats {
		slices.SortStableFunc(chatRecords, func(a, b engineRecord) int { return cmp.Compare(a.StartMS, b.StartMS) })
	}
	return chats
}

// evictionAwarenessGain returns an upper bound on how much cacheReuse could rise if
// the chat directory learned of every eviction at once. It assumes that a request which
// returned to the chat's last engine and found nothing cached would instead find the
// most tokens that any other engine ever cached for the chat.
func evictionAwarenessGain(records [][]engine.Record) float64 {
	var gain, reusable int
	for _, chatRecords := range recordsByChat(records) {
		tokensByEngine := make(map[int]int) // prompt tokens of the chat's last request, by engine index
		for i, record := range chatRecords {
			if i > 0 {
				previous := chatRecords[i-1]
				reusable += min(record.PromptTokens, previous.PromptTokens)
				if previous.engineIndex == record.engineIndex && record.CachedTokens == 0 {
					gain += maxTokensElsewhere(tokensByEngine, record.engineIndex)
				}
			}
			tokensByEngine[record.engineIndex] = record.PromptTokens
		}
	}
	return float64(gain) / float64(max(1, reusable))
}

// maxTokensElsewhere returns the largest token count of the engines other than the
// excluded one.
func maxTokensElsewhere(tokensByEngine map[int]int, excluded int) int {
	largest := 0
	for engine, tokens := range tokensByEngine {
		if engine != excluded {
			largest = max(largest, tokens)
		}
	}
	return largest
}

// skewSamples returns the sorted skews at the sample times with running requests.
func (r *replay) skewSamples() []float64 {
	var samples []float64
	for at := warmUp; at < r.duration; at += skewSampleInterval {
		if ratio := r.skewAt(at); ratio > 0 {
			samples = append(samples, ratio)
		}
	}
	slices.Sort(samples)
	return samples
}

// skewAt returns the utilization of the busiest engine divided by that of all
// engines together, at a time from the start of the replay, or 0 if no requests are
// running. Utilization is the number of running requests per capacity. Draining
// engines are excluded.
func (r *replay) skewAt(at time.Duration) float64 {
	unixMS := r.startTime.Add(at).UnixMilli()
	var maxUtilization, totalRunning, totalCapacity float64
	for i, records := range r.records {
		if r.isDraining(i, at) {
			continue
		}
		running := float64(runningAt(records, unixMS))
		engineCapacity := float64(r.fleet.engines[i].config.Capacity)
		totalRunning += running
		totalCapacity += engineCapacity
		maxUtilization = max(maxUtilization, running/engineCapacity)
	}
	if totalRunning == 0 {
		return 0
	}
	return maxUtilization / (totalRunning / totalCapacity)
}

func (r *replay) isDraining(engine int, at time.Duration) bool {
	return slices.ContainsFunc(r.drains, func(drain drainWindow) bool {
		return drain.engineIndex == engine && at >= drain.from && at < drain.until
	})
}

// runningAt counts the requests that were running at a Unix time in milliseconds.
func runningAt(records []engine.Record, unixMS int64) int {
	running := 0
	for _, record := range records {
		if record.StartMS <= unixMS && (record.EndMS == 0 || record.EndMS > unixMS) {
			running++
		}
	}
	return running
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
