package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	. "hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/protocol/relay"
)

// Figures of the simulated fleet.
const (
	simulatedDaemons  = 8
	simulatedEngines  = 18
	simulatedSessions = 150
	tick              = 10 * time.Millisecond
	exchangeTicks     = 44 // an exchange with one other daemon every 0.44 s
	restartTicks      = 300
	// spreadTimeout is how long after the fifth crash under a part all daemons may take to
	// hold it back, set by the users.
	spreadTimeout = 3 * time.Second
	crashBound    = 5
)

// simulation is a fleet in which engines crash. It knows no placement: a request goes to
// any engine, which is worse than a session that stays with its engine.
type simulation struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Time
	tick          int
	daemons       [simulatedDaemons]*Tracker
	engines       [simulatedEngines]simulatedEngine
	next          uint32 // incarnation
	sent          uint64 // requests
	lostExchanges float64
}

type simulatedEngine struct {
	incarnation uint32 // 0: down
	upAgain     int    // tick
	waiting     []waitingRequest
}

// waitingRequest is a request whose answer has not begun.
type waitingRequest struct {
	daemon int
	parts  Request
	begins int // tick
	fatal  bool
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), now: start, lostExchanges: 0.1}
	for i := range s.daemons {
		s.daemons[i] = New()
	}
	for i := range s.engines {
		s.restart(i)
	}
	return s
}

func (s *simulation) restart(engine int) {
	s.next++
	s.engines[engine] = simulatedEngine{incarnation: s.next}
}

// crash ends an engine and implicates the prompts that wait there.
func (s *simulation) crash(engine int) {
	e := &s.engines[engine]
	if e.incarnation == 0 {
		return
	}
	for _, request := range e.waiting {
		s.daemons[request.daemon].RecordCrash(request.parts, e.incarnation, progress(request.begins > s.tick), s.now)
	}
	s.engines[engine] = simulatedEngine{upAgain: s.tick + restartTicks}
}

// send sends a request of a daemon to an engine that is up.
func (s *simulation) send(request waitingRequest) {
	engine := &s.engines[s.random.IntN(simulatedEngines)]
	if engine.incarnation == 0 || s.daemons[request.daemon].Check(request.parts, never, s.now) != nil {
		return
	}
	engine.waiting = append(engine.waiting, request)
}

// soundRequest returns a request of a random session; some sessions are much more frequent
// than others.
func (s *simulation) soundRequest() waitingRequest {
	session := int(float64(simulatedSessions) * s.random.Float64() * s.random.Float64() * s.random.Float64())
	waitTicks := 1 + s.random.IntN(50)
	s.sent++
	parts := prompt(fmt.Sprint("system-", session%3), fmt.Sprint("session-", session))
	parts.Digest = s.sent // no two requests are alike
	return waitingRequest{daemon: s.random.IntN(simulatedDaemons), begins: s.tick + waitTicks, parts: parts}
}

// advance plays one tick: answers begin, engines restart, daemons exchange reports.
func (s *simulation) advance() {
	s.tick++
	s.now = s.now.Add(tick)
	for i := range s.engines {
		if s.engines[i].incarnation == 0 && s.tick >= s.engines[i].upAgain {
			s.restart(i)
		}
		s.beginAnswers(i)
	}
	for i, daemon := range s.daemons {
		if s.tick%20 == 0 {
			daemon.Expire(s.now)
		}
		if (s.tick+i)%exchangeTicks == 0 && s.random.Float64() >= s.lostExchanges {
			peer := s.daemons[s.random.IntN(simulatedDaemons)]
			peer.Merge(daemon.Reports(2, s.now), s.now)
			daemon.Merge(peer.Reports(2, s.now), s.now)
		}
	}
}

// beginAnswers begins the answers that are due at an engine. A fatal request crashes it.
func (s *simulation) beginAnswers(engine int) {
	e := &s.engines[engine]
	var waiting []waitingRequest
	for i, request := range e.waiting {
		switch {
		case request.begins > s.tick:
			waiting = append(waiting, request)
		case request.fatal:
			e.waiting = append(waiting, e.waiting[i:]...)
			s.crash(engine)
			return
		default:
			s.daemons[request.daemon].RecordAnswerBegun(request.parts, s.now)
		}
	}
	e.waiting = waiting
}

// Engines crash for causes of their own: single ones, racks of six at once, and again and
// again. No part of a prompt may be held back for it.
func TestCrashesOfOtherCausesHoldNothingBack(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimulation(t, seed)
		for range 6000 {
			for range 2 {
				s.send(s.soundRequest())
			}
			if s.random.IntN(40) == 0 {
				s.crash(s.random.IntN(simulatedEngines))
			}
			if s.random.IntN(500) == 0 {
				for i := range 6 {
					s.crash((3*(s.tick%6) + i) % simulatedEngines)
				}
			}
			s.advance()
			for i, daemon := range s.daemons {
				must.SliceEmpty(t, daemon.Held(s.now), must.Sprintf("seed %d, daemon %d, %s after the start", seed, i, s.now.Sub(start)))
			}
		}
	}
}

// Requests with one part crash every engine that begins to answer them, while engines also
// crash for other causes. All daemons must hold the part back in time, and no other one.
func TestFatalPartIsHeldBackByAll(t *testing.T) {
	for seed := range uint64(30) {
		s := newSimulation(t, seed)
		var fifth time.Time
		for range 3000 {
			for range 2 {
				s.send(s.soundRequest())
			}
			if s.random.IntN(100) == 0 {
				s.crash(s.random.IntN(simulatedEngines))
			}
			if s.random.IntN(30) == 0 {
				fatal := s.soundRequest()
				fatal.fatal = true
				fatal.parts = Request{Digest: s.sent, Prompt: []relay.PromptPart{fatal.parts.Prompt[0], {ID: "fatal", Tokens: 50}, fatal.parts.Prompt[1], {ID: "own"}}}
				s.send(fatal)
			}
			s.advance()
			for i, daemon := range s.daemons {
				held := daemon.Held(s.now)
				if !fifth.IsZero() && s.now.Sub(fifth) > spreadTimeout {
					must.Len(t, 1, held, must.Sprint("seed ", seed, " daemon ", i, " ", s.now.Sub(start), " fifth ", fifth.Sub(start), held))
				}
				for _, hold := range held {
					must.Eq(t, PartHash("fatal"), hold.Feature, must.Sprint("seed ", seed, " daemon ", i, " holds back a sound part"))
					if fifth.IsZero() && hold.Crashes >= crashBound {
						fifth = s.now
					}
				}
			}
			if fifth.IsZero() && s.now.Sub(start) > 20*time.Second {
				fifth = s.now // fewer than five crashes: all must know by now as well
			}
		}
	}
}

// Requests with a fatal part come at any of the daemons of a small and of a large fleet,
// some of which start late. After the fifth crash and the time that reports may take, at most
// three more requests with the part may reach engines, and no sound part may be held back.
func TestFatalPartIsHeldBackInFleetsOfAllSizes(t *testing.T) {
	for fleetSize, seeds := range map[int]uint64{8: 20, 295: 2} {
		t.Run(fmt.Sprint(fleetSize), func(t *testing.T) {
			for seed := range seeds {
				checkSpreadOfAFatalPart(t, fleetSize, seed)
			}
		})
	}
}

const (
	// maxRequestsAfterSpread is set by the users.
	maxRequestsAfterSpread = 3
	// urgentTicks is the time between two exchanges of a daemon that has an urgent report.
	urgentTicks = 5
	// exchangeFanOut is the number of daemons with which a daemon exchanges at a time.
	exchangeFanOut = 2
)

func checkSpreadOfAFatalPart(t *testing.T, fleetSize int, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	daemons := make([]*Tracker, fleetSize)
	nextExchange := make([]int, fleetSize)
	for i := range daemons {
		daemons[i] = New()
		nextExchange[i] = random.IntN(exchangeTicks)
	}
	crashes, late := uint32(0), 0
	var fifth time.Time
	for tickNumber := range 2000 {
		now := start.Add(time.Duration(tickNumber) * tick)
		if random.IntN(8) == 0 { // a dozen fatal requests a second
			parts := prompt("system", "fatal", fmt.Sprint("session-", random.IntN(20)))
			if i := random.IntN(fleetSize); daemons[i].Check(parts, never, now) == nil {
				crashes++
				if _, urgent := daemons[i].RecordCrash(parts, crashes, HeadersSent, now); urgent {
					nextExchange[i] = min(nextExchange[i], tickNumber+urgentTicks)
				}
				if crashes == crashBound {
					fifth = now
				}
				if crashes > crashBound && now.Sub(fifth) > spreadTimeout {
					late++
				}
			}
		}
		daemons[random.IntN(fleetSize)].RecordAnswerBegun(prompt("system", fmt.Sprint("session-", random.IntN(20))), now)
		if tickNumber%100 == 99 { // a daemon is replaced; it exchanges state first of all
			i := random.IntN(fleetSize)
			daemons[i], nextExchange[i] = New(), tickNumber
		}
		for i, daemon := range daemons {
			if tickNumber < nextExchange[i] {
				continue
			}
			nextExchange[i] = tickNumber + exchangeTicks
			for range exchangeFanOut {
				j := random.IntN(fleetSize)
				if _, _, urgent := daemons[j].Merge(daemon.Reports(2, now), now); urgent {
					nextExchange[j] = min(nextExchange[j], tickNumber+urgentTicks)
				}
				if _, _, urgent := daemon.Merge(daemons[j].Reports(2, now), now); urgent {
					nextExchange[i] = tickNumber + urgentTicks
				}
			}
		}
		for i, daemon := range daemons {
			for _, hold := range daemon.Held(now) {
				must.Eq(t, PartHash("fatal"), hold.Feature, must.Sprint("seed ", seed, " daemon ", i, " holds back a sound part"))
			}
		}
	}
	must.LessEq(t, maxRequestsAfterSpread, late, must.Sprint("seed ", seed, ": requests with the part after all should know"))
}
