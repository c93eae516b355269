package engine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	var log eventLog
	start := time.Unix(1_000_000, 0)
	log.removed(make([]uint64, eventGap+1), start)
	must.Len(t, 0, log.after(0, start))
	published := log.after(0, start.Add(eventLag))
	must.Len(t, eventGap, published)
	must.Eq(t, eventGap+1, published[eventGap-1].Sequence)
	must.Len(t, 1, log.after(eventGap, start.Add(eventLag)))
	log.removed(make([]uint64, 2*eventsKept), start)
	must.Eq(t, eventsKept, len(log.events))
	must.Len(t, eventsAnswer, log.after(0, start.Add(eventLag)))
}
