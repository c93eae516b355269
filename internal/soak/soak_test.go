package soak

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"hemlockknot/platform/standin"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 1, "number of seeds")
	minutes   = flag.Float64("minutes", 0.1, "length of each seed's trouble")
)

var buildFolder string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "hemlockknot-soak-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	buildFolder = folder
	return m.Run()
}

// Size of the fleet.
const (
	daemonCount = 3
	callerCount = 12
	targetCount = 3 // of each service
	atOnce      = 3 // troubles
)

// Services of the stand-in's configuration.
const (
	writers = "writers"
	desk    = "desk"
)

// healed is how long after the last trouble every request is served, by the
// users' bound.
const healed = 12 * time.Second

// target is a stand-in and the service that it belongs to.
type target struct {
	*standin.Target
	service string
}

// soak is the fleet of one seed.
type soak struct {
	t        *testing.T
	store    *standin.Store
	daemons  []*daemon
	callers  []*caller
	restarts sync.Mutex

	mu      sync.Mutex
	random  *rand.Rand
	targets []*target // all that there ever were
	live    []*target
	version int
	broken  []string
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, store: standin.NewStore(), random: rand.New(rand.NewPCG(seed, 0))}
	t.Cleanup(s.store.Close)
	s.changeDocument()
	for range targetCount {
		s.addTarget(writers)
		s.addTarget(desk)
	}
	t.Cleanup(func() {
		for _, each := range s.targets {
			each.Crash()
		}
	})
	for _, name := range []string{"front-1", "front-2", "front-3"}[:daemonCount] {
		added := newDaemon(t, name, s.store.Address())
		s.daemons = append(s.daemons, added)
		s.startDaemon(added)
		t.Cleanup(added.kill)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return added.address() != "" }), wait.Timeout(healed)))
	}
	for number := range callerCount {
		s.callers = append(s.callers, newCaller(number, seed, s.daemons))
	}
	return s
}

// pick draws a number below a limit, and draw a time.
func (s *soak) pick(limit int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(limit)
}

func (s *soak) draw(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

func (s *soak) anyDaemon() *daemon { return s.daemons[s.pick(len(s.daemons))] }

func (s *soak) anyTarget() *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live[s.random.IntN(len(s.live))]
}

// takeTarget takes a target out of those that troubles may choose.
func (s *soak) takeTarget() *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := s.random.IntN(len(s.live))
	taken := s.live[i]
	s.live = append(s.live[:i:i], s.live[i+1:]...)
	return taken
}

// play brings troubles about while callers call, then lets all heal.
func (s *soak) play(length time.Duration) {
	ctx, stop := context.WithCancel(s.t.Context())
	var calling, troubling sync.WaitGroup
	for _, each := range s.callers {
		calling.Go(func() { each.run(ctx) })
	}
	end := time.Now().Add(length)
	for range atOnce {
		troubling.Go(func() {
			for time.Now().Before(end) {
				next := faults[s.pick(len(faults))]
				s.t.Log(time.Until(end).Round(time.Millisecond), "before the end:", next.name)
				next.play(s)
				time.Sleep(s.draw(shortest))
			}
		})
	}
	troubling.Wait()
	stop()
	calling.Wait()
	s.heal()
}

// heal ends all troubles and waits until each daemon serves every kind of request.
func (s *soak) heal() {
	s.store.SetMode(standin.Serving)
	for _, each := range s.targets {
		each.Fail()
	}
	last := newCaller(callerCount, 0, s.daemons)
	s.callers = append(s.callers, last)
	tries := 0
	err := wait.BoolFunc(func() bool {
		for _, daemon := range s.daemons {
			for _, each := range kinds {
				tries++
				if address := daemon.address(); address == "" || last.send(address, each, "heal-"+string(rune('a'+tries%26))+time.Now().Format("150405.000000000")).status != 200 {
					return false
				}
			}
		}
		return true
	})
	must.Wait(s.t, wait.InitialSuccess(err, wait.Timeout(healed), wait.Gap(100*time.Millisecond)), must.Sprint("all is served again"))
}

// verdict returns all that was broken.
func (s *soak) verdict() []string {
	var requests []request
	served := 0
	for _, each := range s.callers {
		requests = append(requests, each.done...)
	}
	for _, each := range requests {
		if each.status == 200 && each.whole {
			served++
		}
	}
	var targets []*standin.Target
	for _, each := range s.targets {
		targets = append(targets, each.Target)
	}
	broken := append(s.broken, judge(requests, targets)...)
	for _, each := range s.daemons {
		for _, failure := range each.failed {
			broken = append(broken, each.name+" "+failure)
		}
	}
	s.t.Logf("%d requests, %d served whole, %d runs repeated", len(requests), served, repeats(targets))
	return broken
}

func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run("seed", func(t *testing.T) {
			t.Log("seed", seed)
			s := newSoak(t, seed)
			s.play(time.Duration(*minutes * float64(time.Minute)))
			broken := s.verdict()
			if len(broken) > 0 {
				for _, each := range s.daemons {
					t.Log(strings.Join(each.log(40), "\n"))
				}
			}
			must.SliceEmpty(t, broken, must.Sprint("seed ", seed, ": ", strings.Join(broken, "\n")))
		})
	}
}
