package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/quarantine"
)

const (
	// crashesOfVerdict is the number of crashes under one request after which the fleet must
	// know, set by the users.
	crashesOfVerdict = 3
	// maxRunsAfterSpread is how often the request may reach targets spreadTimeout later.
	maxRunsAfterSpread = 3
	// maxRefused + one in maxRefusedShare is how many sound requests may be refused: the
	// users allow no more for other refusals of sound requests.
	maxRefused      = 5
	maxRefusedShare = 500
	// fatalDigest is the digest of the request that crashes its targets.
	fatalDigest = 1
	// popularDigests are requests that many callers send; they follow fatalDigest.
	popularDigests = 20
)

// requestSimulation is a fleet in which one request crashes each target that runs it.
// Callers and daemons repeat requests that broke.
type requestSimulation struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Time
	tick         int
	daemons      []*Tracker
	nextExchange []int
	startedAt    []time.Time // of the daemons
	targets      []simulatedTarget
	incarnations uint32
	nextDigest   uint64

	crashesUnderFatal int
	third             time.Time // crash under the fatal request
	runsAfterSpread   int
	heldSound         map[uint64]int // refused repetitions of sound requests by digest
	soundSent         int
}

type simulatedTarget struct {
	incarnation uint32 // 0: down
	upAgain     int    // tick
	running     []simulatedRun
}

// simulatedRun is an attempt of a request.
type simulatedRun struct {
	request  Request
	daemon   int
	ends     int // tick; the fatal request crashes its target then
	attempts int // of the daemon, this one included
	tries    int // of the caller, this one included
}

func newRequestSimulation(t *testing.T, seed uint64, daemons, targets int) *requestSimulation {
	s := &requestSimulation{
		t: t, random: rand.New(rand.NewPCG(seed, 5)), now: start, nextDigest: fatalDigest + popularDigests + 1,
		targets: make([]simulatedTarget, targets), heldSound: make(map[uint64]int),
	}
	for range daemons {
		s.daemons = append(s.daemons, New())
		s.nextExchange = append(s.nextExchange, s.random.IntN(exchangeTicks))
		s.startedAt = append(s.startedAt, start.Add(-spreadTimeout))
	}
	for i := range s.targets {
		s.incarnations++
		s.targets[i].incarnation = s.incarnations
	}
	return s
}

// send makes an attempt at a random target that is up.
func (s *requestSimulation) send(run simulatedRun, lastEngine uint32) {
	daemon := s.daemons[run.daemon]
	rank := func(feature uint64) int { return (run.daemon + int(feature)) % len(s.daemons) }
	held := daemon.Check(run.request, rank, s.now)
	if held == nil && lastEngine != 0 {
		if daemon.CheckRetry(run.request, lastEngine) != nil {
			s.retryByCaller(run)
			return
		}
	}
	if held != nil {
		if run.request.Digest != fatalDigest {
			s.heldSound[run.request.Digest]++
		}
		return
	}
	var up []int
	for i, target := range s.targets {
		if target.incarnation != 0 {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	run.attempts++
	run.ends = s.tick + 2 + s.random.IntN(12)
	if run.request.Digest == fatalDigest && s.mustKnow(run.daemon) {
		s.runsAfterSpread++
	}
	target := &s.targets[up[s.random.IntN(len(up))]]
	target.running = append(target.running, run)
}

// mustKnow reports whether a daemon must know of the crashes: they, and its start, were
// spreadTimeout ago.
func (s *requestSimulation) mustKnow(daemon int) bool {
	return !s.third.IsZero() && s.now.Sub(s.third) > spreadTimeout && s.now.Sub(s.startedAt[daemon]) > spreadTimeout
}

// retryByCaller repeats a request at another daemon, once.
func (s *requestSimulation) retryByCaller(run simulatedRun) {
	if run.tries < 2 {
		s.send(simulatedRun{request: run.request, daemon: s.random.IntN(len(s.daemons)), tries: run.tries + 1}, 0)
	}
}

// crash ends a target. Its requests are implicated, and repeated.
func (s *requestSimulation) crash(i int) {
	engine, running := s.targets[i].incarnation, s.targets[i].running
	if engine == 0 {
		return
	}
	s.targets[i] = simulatedTarget{upAgain: s.tick + restartTicks}
	for _, run := range running {
		if _, urgent := s.daemons[run.daemon].RecordCrash(run.request, engine, NoAnswer, s.now); urgent {
			s.nextExchange[run.daemon] = min(s.nextExchange[run.daemon], s.tick+urgentTicks)
		}
	}
	for _, run := range running {
		if run.attempts < 2 {
			s.send(run, engine)
		} else {
			s.retryByCaller(run)
		}
	}
}

// advance plays one tick.
func (s *requestSimulation) advance() {
	s.tick++
	s.now = s.now.Add(tick)
	for i := range s.targets {
		target := &s.targets[i]
		if target.incarnation == 0 && s.tick >= target.upAgain {
			s.incarnations++
			*target = simulatedTarget{incarnation: s.incarnations}
		}
		s.endRuns(i)
	}
	for i := range s.daemons {
		if s.tick%20 == 0 {
			s.daemons[i].Expire(s.now)
		}
		if s.tick >= s.nextExchange[i] {
			s.exchange(i)
		}
	}
}

// endRuns ends the runs that are due at a target.
func (s *requestSimulation) endRuns(i int) {
	var running []simulatedRun
	for _, run := range s.targets[i].running {
		switch {
		case run.ends > s.tick:
			running = append(running, run)
		case run.request.Digest == fatalDigest:
			if s.crashesUnderFatal++; s.crashesUnderFatal == crashesOfVerdict {
				s.third = s.now
			}
			s.crash(i)
			return
		default:
			s.daemons[run.daemon].RecordAnswerComplete(run.request, s.now)
		}
	}
	s.targets[i].running = running
}

func (s *requestSimulation) exchange(i int) {
	s.nextExchange[i] = s.tick + exchangeTicks
	for range exchangeFanOut {
		j := s.random.IntN(len(s.daemons))
		mine, theirs := s.daemons[i].Reports(2, s.now), s.daemons[j].Reports(2, s.now)
		if _, _, urgent := s.daemons[j].Merge(mine, s.now); urgent {
			s.nextExchange[j] = min(s.nextExchange[j], s.tick+urgentTicks)
		}
		if _, _, urgent := s.daemons[i].Merge(theirs, s.now); urgent {
			s.nextExchange[i] = s.tick + urgentTicks
		}
	}
}

// soundRequest returns a request of its own, or one that many callers send.
func (s *requestSimulation) soundRequest() Request {
	s.soundSent++
	if s.random.IntN(5) == 0 {
		return Request{Digest: fatalDigest + 1 + s.random.Uint64N(popularDigests)}
	}
	s.nextDigest++
	return Request{Digest: s.nextDigest}
}

// sendNew sends a request of a caller.
func (s *requestSimulation) sendNew(request Request) {
	s.send(simulatedRun{request: request, daemon: s.random.IntN(len(s.daemons)), tries: 1}, 0)
}

// One request crashes each target that runs it and comes three times a second, at any
// daemon. At most three runs may follow once all daemons must know; sound requests are
// served.
func TestRequestThatCrashesTargetsIsHeldBackByAll(t *testing.T) {
	cases := []struct {
		daemons, targets, perTick int
		otherCrashTicks           int // between two crashes for other causes, on average
		seeds                     uint64
	}{
		{8, 4, 1, 400, 40}, {8, 18, 2, 400, 20}, {8, 18, 2, 40, 20}, {71, 18, 4, 400, 4}, {71, 60, 6, 30, 4}, {295, 100, 8, 400, 2}, {295, 200, 8, 30, 2},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d daemons, %d targets, others crash each %d ms", c.daemons, c.targets, 10*c.otherCrashTicks), func(t *testing.T) {
			for seed := range c.seeds {
				s := newRequestSimulation(t, seed, c.daemons, c.targets)
				for range 4000 {
					if s.random.IntN(33) == 0 {
						s.sendNew(Request{Digest: fatalDigest})
					}
					for range c.perTick {
						s.sendNew(s.soundRequest())
					}
					if s.random.IntN(c.otherCrashTicks) == 0 {
						s.crash(s.random.IntN(c.targets))
					}
					if s.tick%1000 == 500 { // a daemon is replaced; it exchanges state first of all
						i := s.random.IntN(c.daemons)
						s.daemons[i], s.nextExchange[i], s.startedAt[i] = New(), s.tick, s.now
					}
					s.advance()
				}
				refused := 0
				for _, count := range s.heldSound {
					refused += count
				}
				t.Log("seed", seed, "crashes", s.crashesUnderFatal, "runs after", s.runsAfterSpread, "sound", s.soundSent, "digests held", len(s.heldSound), "refused", refused)
				must.LessEq(t, maxRunsAfterSpread, s.runsAfterSpread, must.Sprint("seed ", seed))
				must.LessEq(t, maxRefused+s.soundSent/maxRefusedShare, refused, must.Sprint("seed ", seed))
			}
		})
	}
}
