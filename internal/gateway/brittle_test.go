package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/platform/standin"
)

// Report of issue 28: targets that say that they are brittle fell over again and again, as
// daemons sent as many requests as before.
func TestBrittleTargetsDoNotFallOver(t *testing.T) {
	const (
		targets        = 5
		rejectionsPerS = 4
		room           = 20
		workTime       = 20 * time.Millisecond
		interval       = 2500 * time.Microsecond // between requests of all callers
	)
	cases := []struct {
		name      string
		daemons   int
		laterRoom int
		served    float64 // part of the requests that must be served at least
	}{
		{"fewer wait", 4, 10, 0.9},
		{"two at a time", 4, 2, 0.5},
		{"two at a time, more daemons than rejections that a target bears", 10, 2, 0.5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, _, desks := newFixture(t)
			fleet := []*testFixture{first}
			brittle := desks[:]
			for i := len(desks); i < targets; i++ {
				brittle = append(brittle, first.addTarget(fmt.Sprint("desk-", i), "desk", false))
			}
			for len(fleet) < c.daemons {
				fleet = append(fleet, first.startPeer(first.store.Address()))
			}
			for _, daemon := range fleet {
				daemon.within(recoveryTimeout, func() bool {
					return daemon.daemon.peers.knownDaemons() == c.daemons && daemon.rosterSize() == targets+2
				})
			}
			for _, target := range brittle {
				target.SetBrittle(rejectionsPerS, room, c.laterRoom, recoveryTimeout, workTime)
			}
			var mu sync.Mutex
			sent, served := 0, 0
			var calls sync.WaitGroup
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := range int(2 * recoveryTimeout / interval) {
				<-ticker.C
				calls.Go(func() {
					status, _, _ := fleet[i%c.daemons].do(standin.CallerRequest{Method: "POST", Path: "/reads/1", ID: fmt.Sprint("brittle-", i)})
					mu.Lock()
					defer mu.Unlock()
					sent++
					if status == http.StatusOK {
						served++
					}
				})
			}
			calls.Wait()
			falls := 0
			for _, target := range brittle {
				falls += target.Falls()
			}
			t.Log("falls", falls, "served", served, "of", sent)
			must.LessEq(t, 2+targets/10, falls, must.Sprint("the users' bound of LIMIT"))
			must.GreaterEq(t, c.served, float64(served)/float64(sent))
		})
	}
}
