package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Callers open connections, use and keep them at any moment of a planned stop with a short grace.
func TestStopWithAShortGraceAnswersWhatItHasRead(t *testing.T) {
	for _, grace := range []time.Duration{8 * time.Second, 2 * time.Second, 500 * time.Millisecond} {
		t.Run(grace.String(), func(t *testing.T) {
			f, writers, desks := prepareFixture(t, defaultRetryExtra)
			targets := append(writers[:], desks[:]...)
			for _, target := range targets {
				target.SetPace("some", 30*time.Millisecond, 30*time.Millisecond)
				target.SetPace(slow, slowTime, slowTime)
			}
			f.start()
			f.daemon.stopGrace.Store(int64(grace))
			address := f.daemon.callerListener.Addr().String()
			var mu sync.Mutex
			faults, ends := make(map[string]int), make(map[string]int)
			stop := make(chan struct{})
			var ended sync.WaitGroup
			for i := range 64 {
				ended.Go(func() {
					var caller *rawCaller
					for n := 0; ; n++ {
						select {
						case <-stop:
							return
						default:
						}
						kept := caller != nil
						if caller == nil {
							var err error
							if caller, err = dialRaw(address); errors.Is(err, syscall.ECONNREFUSED) {
								return
							} else if err != nil {
								continue
							}
						}
						element := []string{quick, "some", "some", slow}[(i+n)%4]
						call := newCall(allKinds[(i/4+n)%4], element, fmt.Sprintf("s-%d-%d", i, n))
						end := caller.exchange(standin.RequestText(call, http11), time.Now().Add(longTimeout))
						runs := countRuns(call.ID, targets...)
						fault := end.fault(call, runs, true)
						mu.Lock()
						ends[fmt.Sprint(kept, " ", end.status)]++
						if fault != "" {
							faults[fmt.Sprintf("kept %t runs %d %s: %s", kept, runs, call.Path, fault)]++
						}
						mu.Unlock()
						if end.err != nil || end.closes || (i+n)%3 == 0 {
							_ = caller.conn.Close()
							caller = nil
						}
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			signalled := time.Now()
			f.stop()
			err := <-f.stopped
			took := time.Since(signalled)
			f.stopped <- err
			close(stop)
			ended.Wait()
			must.NoError(t, err)
			t.Logf("took %s, ends %v", took, ends)
			for fault, count := range faults {
				t.Errorf("%d: %s", count, fault)
			}
		})
	}
}

// A daemon that is stopped before it has its first configuration refuses what it has read.
func TestStopBeforeTheFirstConfiguration(t *testing.T) {
	f := &testFixture{t: t, store: standin.NewStore(), grace: shortGrace, retryExtra: defaultRetryExtra, client: &http.Client{}}
	t.Cleanup(f.store.Close)
	f.startDaemon(platform.Settings{Host: "front-1", StoreAddress: f.store.Address()})
	address := f.daemon.callerListener.Addr().String()
	ends := make([]callerEnd, 16)
	var sent, ended sync.WaitGroup
	sent.Add(len(ends))
	for i := range ends {
		ended.Go(func() {
			caller, err := dialRaw(address)
			if err == nil {
				err = caller.send(standin.RequestText(newCall("/bookings/", quick, fmt.Sprint("early-", i)), http11))
			}
			sent.Done()
			if err != nil {
				ends[i] = callerEnd{err: err}
				return
			}
			ends[i] = caller.readAnswer(time.Now().Add(longTimeout))
			_ = caller.conn.Close()
		})
	}
	sent.Wait()
	f.stop()
	err := <-f.stopped
	f.stopped <- err
	must.NoError(t, err)
	ended.Wait()
	for _, end := range ends {
		must.NoError(t, end.err)
		must.Eq(t, http.StatusServiceUnavailable, end.status)
	}
}
