package gateway

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Many requests are in progress when a planned stop cuts them: each is answered in time.
func TestStopAnswersManyRequestsThatItCuts(t *testing.T) {
	const number = 2400
	f, writers, desks := prepareFixture(t, defaultRetryExtra)
	targets := append(writers[:], desks[:]...)
	f.store.Put(platform.KindDocument, platform.DocumentName, standin.DocumentWithTimes(2, longTimeout, longTimeout))
	setPaces(targets...)
	f.start()
	f.daemon.stopGrace.Store(int64(userGrace))
	ends := make([]callerEnd, number)
	calls := make([]standin.CallerRequest, number)
	var ended sync.WaitGroup
	for i := range number {
		calls[i] = newCall(allKinds[i%2], never, fmt.Sprint("cut-", i)) // no streams: these may be aborted
		caller, err := dialRaw(f.daemon.callerListener.Addr().String())
		must.NoError(t, err)
		ended.Go(func() {
			ends[i] = caller.exchange(standin.RequestText(calls[i], http11), time.Now().Add(longTimeout))
			_ = caller.conn.Close()
		})
	}
	f.within(setupTimeout, func() bool { return f.daemon.callers.Requests() == number })
	signalled := time.Now()
	f.stop()
	err := <-f.stopped
	took := time.Since(signalled)
	f.stopped <- err
	ended.Wait()
	must.NoError(t, err)
	must.Less(t, userGrace, took)
	faults := make(map[string]int)
	var first, last time.Duration
	for i, end := range ends {
		if fault := end.fault(calls[i], countRuns(calls[i].ID, targets...), false); fault != "" {
			faults[fault]++
			continue
		}
		at := end.at.Sub(signalled)
		last = max(last, at)
		if first == 0 || at < first {
			first = at
		}
	}
	t.Logf("answered from %s to %s after the signal", first, last)
	for fault, count := range faults {
		t.Errorf("%d of %d: %s", count, number, fault)
	}
}
