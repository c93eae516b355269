package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"hemlockknot/internal/protocol/targetapi"
)

// The stand-in's cache events are late and have gaps, as those of real engines.
const (
	eventLag     = time.Second
	eventGap     = 10 // of so many events one is lost
	eventsKept   = 4096
	eventsAnswer = 256 // events in one answer at most
)

// eventLog holds the latest cache events.
type eventLog struct {
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	targetapi.CacheEvent
	at time.Time
}

// removed notes the prefixes that the cache has evicted.
func (l *eventLog) removed(prefixes []uint64, now time.Time) {
	for _, prefix := range prefixes {
		l.sequence++
		if l.sequence%eventGap == 0 {
			continue
		}
		event := targetapi.CacheEvent{Sequence: l.sequence, Kind: targetapi.CacheRemoved, Prefix: fmt.Sprintf("%016x", prefix)}
		l.events = append(l.events, timedEvent{event, now})
	}
	if excess := len(l.events) - eventsKept; excess > 0 {
		l.events = append(l.events[:0], l.events[excess:]...)
	}
}

// after returns the events after a sequence number that are old enough to be
// published.
func (l *eventLog) after(sequence uint64, now time.Time) []targetapi.CacheEvent {
	events := []targetapi.CacheEvent{}
	for _, event := range l.events {
		if event.Sequence <= sequence {
			continue
		}
		if now.Sub(event.at) < eventLag || len(events) == eventsAnswer {
			break
		}
		events = append(events, event.CacheEvent)
	}
	return events
}

// cacheEvents answers with the events after the sequence number that the reader
// names.
func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.events.after(after, time.Now()))
}
