package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"hemlockknot/platform"
	"hemlockknot/platform/standin"
)

// Bounds that the users set.
const (
	// spreadTimeout is how long all daemons may take to receive a fact about a target or a
	// prompt. Only daemons that were not disturbed for so long count.
	spreadTimeout = 3 * time.Second
	// crashesBeforeHold is the number of crashes under a part after which daemons must
	// know it, and maxRequestsAfterHold how many requests may reach engines after that.
	crashesBeforeHold    = 5
	maxRequestsAfterHold = 3
	// crashesBeforeRequestHold is the number of crashes under one request after which
	// daemons must know it.
	crashesBeforeRequestHold = 3
	// maxCrashDelay is how long a target may run such a request before it crashes.
	maxCrashDelay = 500 * time.Millisecond
	// limitWindow is the time over which requests to a target that names a limit are
	// counted: limitTolerance x what the limit allows, and limitExtra, may come.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
)

// recordDisturbance records that a daemon was down or suspended until now.
func (s *soakRun) recordDisturbance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbedAt = time.Now()
}

// undisturbedSince reports whether no daemon has been down or suspended since a time.
func (s *soakRun) undisturbedSince(at time.Time) bool {
	if !s.daemonDownMu.TryLock() {
		return false // one is
	}
	defer s.daemonDownMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbedAt.Before(at)
}

// allLiveTargets returns the targets that faults may choose.
func (s *soakRun) allLiveTargets() []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.liveTargets)
}

// Figures of requests that crash targets.
const (
	fatalRequests        = 40
	fatalRequestInterval = 150 * time.Millisecond
)

// crashOnPart sends requests with a part of prompts that crashes engines.
func (s *soakRun) crashOnPart() {
	s.mu.Lock()
	s.fatalParts++
	part := fmt.Sprint("fatal-", s.fatalParts)
	s.mu.Unlock()
	s.crashTargets(part, crashesBeforeHold, func(target *target) { target.CrashOnPart(part) }, func(i int) requestKind {
		return requestKind{path: "/queries/1", stream: true, sharedParts: fmt.Sprintf("aa:100,%s:50,bb-%d:200", part, i%3)}
	})
	for _, target := range s.allLiveTargets() {
		target.CrashOnPart("")
	}
}

// crashOnRequest repeats a request that crashes targets.
func (s *soakRun) crashOnRequest() {
	s.mu.Lock()
	s.fatalRequests++
	name := fmt.Sprint("fatal-request-", s.fatalRequests)
	s.mu.Unlock()
	kind := requestKinds[s.randomInt(len(requestKinds))]
	kind.body = name
	fatal := standin.FatalRequest{
		Method: http.MethodPost, Path: kind.path, Body: name, Point: standin.CrashPoint(s.randomInt(3)),
		Delay: s.randomDuration(maxCrashDelay), Reset: s.randomInt(2) == 0,
	}
	s.crashTargets(name, crashesBeforeRequestHold, func(target *target) { target.CrashOnRequest(fatal) }, func(int) requestKind { return kind })
}

// crashTargets sends requests that crash targets, and replaces these, for so long that all
// daemons must hold such requests back after a number of crashes.
func (s *soakRun) crashTargets(name string, crashesBeforeHold int, arm func(*target), kind func(i int) requestKind) {
	sender := newCaller(callerCount+1, uint64(s.randomInt(1<<30)), s.daemons)
	s.mu.Lock()
	s.callers = append(s.callers, sender)
	s.mu.Unlock()
	startedAt := time.Now()
	var crashedAt []time.Time
	for i := range fatalRequests {
		for _, target := range s.allLiveTargets() {
			arm(target)
		}
		daemon := s.randomDaemon()
		if address := daemon.currentCallerAddress(); address != "" {
			sender.send(address, kind(i), fmt.Sprintf("%s-%d", name, i))
		}
		for range s.replaceCrashed() {
			crashedAt = append(crashedAt, time.Now())
		}
		time.Sleep(fatalRequestInterval)
	}
	if len(crashedAt) <= crashesBeforeHold || !s.undisturbedSince(startedAt) {
		return
	}
	knownBy := crashedAt[crashesBeforeHold-1].Add(spreadTimeout)
	late := 0
	for _, at := range crashedAt {
		if at.After(knownBy) {
			late++
		}
	}
	if late > maxRequestsAfterHold {
		s.addViolation(fmt.Sprintf("%d targets crashed under %s more than %s after crash %d", late, name, spreadTimeout, crashesBeforeHold))
	}
}

// replaceCrashed replaces the live engines that have crashed by themselves and returns
// them.
func (s *soakRun) replaceCrashed() []*target {
	s.mu.Lock()
	var crashed, live []*target
	for _, target := range s.liveTargets {
		if target.Crashed() {
			crashed = append(crashed, target)
		} else {
			live = append(live, target)
		}
	}
	s.liveTargets = live
	s.mu.Unlock()
	for _, target := range crashed {
		s.store.Delete(platform.KindTargets, target.ID)
		s.addTarget(target.service)
	}
	return crashed
}

// limitTarget makes a random target name a limit for long enough to count requests.
func (s *soakRun) limitTarget() {
	limited := s.randomTarget()
	perSecond := float64(2 + s.randomInt(7))
	limited.SetLimit(perSecond)
	namedAt := time.Now()
	time.Sleep(spreadTimeout + limitWindow)
	end := time.Now()
	limited.SetLimit(0)
	if !s.undisturbedSince(namedAt) {
		return
	}
	count := 0
	for _, at := range limited.ArrivalTimes() {
		if at.After(end.Add(-limitWindow)) && at.Before(end) {
			count++
		}
	}
	if allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitExtra; float64(count) > allowed {
		s.addViolation(fmt.Sprintf("target %s got %d requests in %s, %.0f allowed by its limit of %g per second", limited.ID, count, limitWindow, allowed, perSecond))
	}
}
