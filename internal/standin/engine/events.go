package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hemlockknot/internal/protocol/targetapi"
)

// Limits of the cache events, which are delayed and have gaps like those of real
// engines.
const (
	publishDelay         = time.Second
	lostEventInterval    = 10 // one of this many events is lost
	maxStoredEvents      = 4096
	maxEventsPerResponse = 256
)

// eventLog holds the most recent cache events.
type eventLog struct {
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	targetapi.CacheEvent
	addedAt time.Time
}

// addRemoved adds events for prefixes that the cache has evicted.
func (l *eventLog) addRemoved(prefixes []uint64, now time.Time) {
	for _, prefix := range prefixes {
		l.sequence++
		if l.sequence%lostEventInterval == 0 {
			continue
		}
		event := targetapi.CacheEvent{Sequence: l.sequence, Kind: targetapi.CacheEventRemoved, Prefix: fmt.Sprintf("%016x", prefix)}
		l.events = append(l.events, timedEvent{event, now})
	}
	if excess := len(l.events) - maxStoredEvents; excess > 0 {
		l.events = append(l.events[:0], l.events[excess:]...)
	}
}

// publishedAfter returns the events after a sequence number that are at least
// publishDelay old, up to maxEventsPerResponse of them.
func (l *eventLog) publishedAfter(sequence uint64, now time.Time) []targetapi.CacheEvent {
	events := []targetapi.CacheEvent{}
	for _, event := range l.events {
		if event.Sequence <= sequence {
			continue
		}
		if now.Sub(event.addedAt) < publishDelay || len(events) == maxEventsPerResponse {
			break
		}
		events = append(events, event.CacheEvent)
	}
	return events
}

// handleCacheEvents responds with the events after the sequence number in the query.
func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.events.publishedAfter(sequence, time.Now()))
}
