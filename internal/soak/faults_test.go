package soak

import (
	"fmt"
	"syscall"
	"time"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// fault brings trouble about and ends it.
type fault struct {
	name string
	play func(s *soak)
}

// faults are all kinds of trouble. Each is played by itself, beside others.
var faults = []fault{
	{"a daemon is killed", func(s *soak) { s.restart(syscall.SIGKILL) }},
	{"a daemon is stopped", func(s *soak) { s.restart(syscall.SIGTERM) }},
	{"a daemon freezes", (*soak).freeze},
	{"a daemon's settings change", func(s *soak) { s.anyDaemon().signal(syscall.SIGHUP) }},
	{"the store is silent", func(s *soak) { s.storeMode(standin.Silent) }},
	{"the store is busy", func(s *soak) { s.storeMode(standin.Busy) }},
	{"the store is slow", func(s *soak) { s.storeMode(standin.Slow) }},
	{"the store forgets", func(s *soak) { s.store.Forget() }},
	{"targets fail", (*soak).failTargets},
	{"a target crashes and another comes", (*soak).replaceTarget},
	{"a target leaves and another comes", (*soak).drainTarget},
	{"the configuration changes", (*soak).changeDocument},
}

// Lengths of troubles.
const (
	shortest = 200 * time.Millisecond
	longest  = 2500 * time.Millisecond
)

func (s *soak) length() time.Duration { return shortest + s.draw(longest-shortest) }

// restart ends a daemon and starts it again. One at a time is down for it.
func (s *soak) restart(signal syscall.Signal) {
	s.restarts.Lock()
	defer s.restarts.Unlock()
	daemon := s.anyDaemon()
	if !daemon.end(signal) {
		s.note(daemon.name + " does not end within its grace")
	}
	time.Sleep(s.draw(shortest))
	s.startDaemon(daemon)
}

func (s *soak) startDaemon(daemon *daemon) {
	var seeds []string
	for _, other := range s.daemons {
		if other != daemon && other.seed() != "" {
			seeds = append(seeds, other.seed())
		}
	}
	daemon.start(s.t, seeds...)
}

func (s *soak) freeze() {
	s.restarts.Lock() // a frozen process would not end
	defer s.restarts.Unlock()
	daemon := s.anyDaemon()
	daemon.signal(syscall.SIGSTOP)
	time.Sleep(s.length())
	daemon.signal(syscall.SIGCONT)
}

func (s *soak) storeMode(mode standin.Mode) {
	s.store.SetMode(mode)
	time.Sleep(s.length())
	s.store.SetMode(standin.Serving)
}

func (s *soak) failTargets() {
	all := []standin.Fault{standin.Full, standin.FailRun, standin.LoseAnswer, standin.Hang, standin.Surplus, standin.BreakOff, standin.Foreign}
	for range 3 {
		target := s.anyTarget().Target
		var next []standin.Fault
		for range 1 + s.pick(8) {
			next = append(next, all[s.pick(len(all))])
		}
		target.Fail(next...)
	}
}

// replaceTarget crashes a target; its entry lapses a little later.
func (s *soak) replaceTarget() {
	old := s.takeTarget()
	old.Crash()
	time.Sleep(s.length())
	s.store.Delete(platform.KindTargets, old.ID)
	s.addTarget(old.service)
}

// drainTarget takes a target away as planned.
func (s *soak) drainTarget() {
	old := s.takeTarget()
	s.addTarget(old.service)
	s.store.Put(platform.KindTargets, old.ID, old.Entry(old.service, "north", "draining"))
	time.Sleep(longest)
	s.store.Delete(platform.KindTargets, old.ID)
	time.Sleep(longest)
	old.Crash()
}

func (s *soak) changeDocument() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.store.Put(platform.KindDocument, platform.DocumentName, standin.DocumentWithRoutes(s.version, standin.Key, s.version%50))
}

func (s *soak) note(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, text)
}

func (s *soak) addTarget(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("%s-%d", service, len(s.targets))
	added := &target{Target: standin.NewTarget(id, service == writers), service: service}
	s.targets = append(s.targets, added)
	s.live = append(s.live, added)
	s.store.Put(platform.KindTargets, id, added.Entry(service, "north", "ready"))
}
