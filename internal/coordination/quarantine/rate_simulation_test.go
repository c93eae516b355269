package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/quarantine"
)

// rateTick is the step of the simulation of rates, in which a daemon exchanges reports each
// rateExchange ticks, and one tick after an urgent one.
const (
	rateTick     = 50 * time.Millisecond
	rateExchange = 9
)

// rateFleet is daemons that exchange reports of crashes.
type rateFleet struct {
	random       *rand.Rand
	now          time.Time
	tick         int
	daemons      []*Tracker
	startedAt    []time.Time
	nextExchange []int
}

func newRateFleet(size int, seed uint64) *rateFleet {
	f := &rateFleet{random: rand.New(rand.NewPCG(seed, 13)), now: start}
	for range size {
		f.daemons = append(f.daemons, New())
		f.startedAt = append(f.startedAt, start.Add(-time.Hour))
		f.nextExchange = append(f.nextExchange, f.random.IntN(rateExchange))
	}
	return f
}

// restart replaces a daemon by one that knows nothing.
func (f *rateFleet) restart(i int) {
	f.daemons[i], f.startedAt[i], f.nextExchange[i] = New(), f.now, f.tick
}

func (f *rateFleet) urgent(i int, is bool) {
	if is {
		f.nextExchange[i] = min(f.nextExchange[i], f.tick+1)
	}
}

// advance plays one tick: answers to sound requests begin, and daemons exchange reports.
func (f *rateFleet) advance() {
	f.tick++
	f.now = f.now.Add(rateTick)
	sound := prompt("system", fmt.Sprint("session-", f.random.IntN(10)))
	f.daemons[f.random.IntN(len(f.daemons))].RecordAnswerBegun(sound, f.now)
	for i, daemon := range f.daemons {
		if f.tick%4 == 0 {
			daemon.Expire(f.now)
		}
		if f.tick < f.nextExchange[i] || len(f.daemons) == 1 {
			continue
		}
		f.nextExchange[i] = f.tick + rateExchange
		j := (i + 1 + f.random.IntN(len(f.daemons)-1)) % len(f.daemons)
		_, _, urgent := f.daemons[j].Merge(daemon.Reports(2, f.now), f.now)
		f.urgent(j, urgent)
		_, _, urgent = daemon.Merge(f.daemons[j].Reports(2, f.now), f.now)
		f.urgent(i, urgent)
	}
}

// Guards against a part that is held back too late, or never, because engines crash on it before
// they send anything, or rarely (review, case 4). After the fifth crash and spreadTimeout at most
// maxRequestsAfterSpread requests with the part may reach engines, sent by daemons that have run
// for as long, and after twice that time no sound part may be held back, at any rate.
func TestFatalPartIsHeldBackAtAnyRate(t *testing.T) {
	every := func(interval time.Duration, count int) (times []time.Duration) {
		for i := range count {
			times = append(times, time.Second+time.Duration(i)*interval)
		}
		return times
	}
	burst := func(size int, pause time.Duration) []time.Duration {
		return append(every(0, size), every(time.Second, 20+int(pause/time.Second))[1+int(pause/time.Second):]...)
	}
	rates := []struct {
		name    string
		times   []time.Duration // of the requests with the part, since the start
		restart time.Duration   // a daemon is replaced each; 0: none
	}{
		{"20 a second", every(50*time.Millisecond, 400), 0},
		{"10 a second, daemons are replaced", every(100*time.Millisecond, 200), time.Second},
		{"3 a second", every(330*time.Millisecond, 60), 0},
		{"one a second", every(time.Second, 30), 0},
		{"one a second, daemons are replaced", every(time.Second, 30), 10 * time.Second},
		{"one in 10 s", every(10*time.Second, 15), 0},
		{"one in a minute", every(time.Minute, 12), 0},
		{"a burst of five, then one a second", burst(5, 4*time.Second), 0},
		{"a burst of twelve, then one a second", burst(12, 4*time.Second), 0},
		{"bursts of three", append(append(every(0, 3), every(5*time.Second, 10)...), every(5*time.Second, 10)...), 0},
	}
	stages := map[string]func(i int) Progress{
		"before the headers": func(int) Progress { return NoAnswer },
		"after the headers":  func(int) Progress { return HeadersSent },
		"now this, now that": func(i int) Progress { return progress(i%2 == 0) },
	}
	for _, size := range []int{1, 3, 8, 71} {
		for _, rate := range rates {
			for stage, progressOf := range stages {
				t.Run(fmt.Sprintf("%d daemons, %s, %s", size, rate.name, stage), func(t *testing.T) {
					for seed := range uint64(max(1, 10/size)) {
						checkRate(t, newRateFleet(size, seed), rate.times, rate.restart, progressOf)
					}
				})
			}
		}
	}
}

func checkRate(t *testing.T, f *rateFleet, times []time.Duration, restart time.Duration, progressOf func(int) Progress) {
	crashes, late := 0, 0
	var fifth time.Time
	for i, at := range times {
		for f.now.Before(start.Add(at)) {
			f.advance()
			if restart > 0 && len(f.daemons) > 1 && f.tick%int(restart/rateTick) == 0 {
				f.restart(f.random.IntN(len(f.daemons)))
			}
		}
		at := f.random.IntN(len(f.daemons))
		request := prompt("system", "fatal", fmt.Sprint("session-", f.random.IntN(10)))
		request.Digest = uint64(i + 1)
		if f.daemons[at].Check(request, never, f.now) != nil {
			continue
		}
		crashes++
		_, urgent := f.daemons[at].RecordCrash(request, uint32(crashes), progressOf(i), f.now)
		f.urgent(at, urgent)
		if crashes == crashBound {
			fifth = f.now
		}
		if crashes > crashBound && f.now.Sub(fifth) > spreadTimeout && f.now.Sub(f.startedAt[at]) > spreadTimeout {
			late++
		}
		if fifth.IsZero() || f.now.Sub(fifth) < 2*spreadTimeout {
			continue
		}
		for _, daemon := range f.daemons {
			for _, hold := range daemon.Held(f.now) {
				must.Eq(t, PartHash("fatal"), hold.Feature, must.Sprint("a sound part is held back"))
			}
		}
	}
	must.LessEq(t, maxRequestsAfterSpread, late, must.Sprint(crashes, " crashes"))
}
