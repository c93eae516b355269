package engine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestCacheEventsAreLateAndHaveGaps(t *testing.T) {
	var log eventLog
	start := time.Unix(1_000_000, 0)
	log.addRemoved(make([]uint64, lostEventInterval+1), start)
	must.Len(t, 0, log.publishedAfter(0, start))
	published := log.publishedAfter(0, start.Add(publishDelay))
	must.Len(t, lostEventInterval, published)
	must.Eq(t, lostEventInterval+1, published[lostEventInterval-1].Sequence)
	must.Len(t, 1, log.publishedAfter(lostEventInterval, start.Add(publishDelay)))
	log.addRemoved(make([]uint64, 2*maxStoredEvents), start)
	must.Eq(t, maxStoredEvents, len(log.events))
	must.Len(t, maxEventsPerResponse, log.publishedAfter(0, start.Add(publishDelay)))
}
