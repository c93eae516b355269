// Package room estimates which targets of a service have room for a request, and orders the
// requests that wait at this daemon while none has. It is a state machine without I/O or clock.
//
// The load that it answers is a service near or above its capacity: one workspace sends several
// times its usual, callers repeat refused requests at once, or all targets are full for seconds.
// Targets have queues of their own and reject what does not fit. Without an estimate a daemon sends
// to targets that it knows to be full, and a request with one attempt is lost to such a rejection.
//
// The estimate rests on the load that a target has reported to this daemon or to a peer, on the
// requests that this daemon has sent there and that have ended since, and on rejections. It is in
// force only for services whose targets report their work time. All that it does not know counts as
// room.
package room

import (
	"time"

	"hemlockknot/internal/protocol/relay"
)

const (
	// plainLifetime and engineLifetime are how long what is known of a target counts. The waiting
	// queue of a plain service changes within a few hundred milliseconds, that of an engine within
	// about a second.
	plainLifetime  = 300 * time.Millisecond
	engineLifetime = time.Second
	// defaultQueueShare is the length of a target's waiting queue at which it rejects requests, as a
	// share of its slots, until rejections have shown it.
	defaultQueueShare = 0.5
	// maxQueueShare limits what rejections show: a longer queue is not worth waiting in.
	maxQueueShare = 4.0
	// queueShareGain is the weight of the latest rejection in the mean.
	queueShareGain = 0.2
	// The parts of the waiting queue up to which a target has room for a request. A rejection is lost
	// to the caller of a request with one attempt; a session that moves loses its cached prompt.
	oneAttemptPart        = 0.5
	defaultPart           = 0.8
	oneAttemptSessionPart = 0.8
	sessionPart           = 1.0
	lastTryPart           = 1.0
	// reportLifetime is how long a report counts towards the taken share of a service.
	reportLifetime = 2 * time.Second
	// minTakenShare is the share of a service's places that must be taken for a refusal, if nothing
	// waits at its targets.
	minTakenShare = 0.5
)

// Need is what decides how full a target may be for a request.
type Need struct {
	OneAttempt bool // a rejection is passed on to the caller
	Session    bool // targets have its prompt in their cache
	Engine     bool // the service streams answers
	LastTry    bool // the request is refused if no target has room
	// Restrained is set for the requests of a workspace that is over its part while targets reject
	// requests: only a target that has just reported a free slot has room for them.
	Restrained bool
}

// lifetime returns how long what is known of a target counts.
func (n Need) lifetime() time.Duration {
	if n.Engine {
		return engineLifetime
	}
	return plainLifetime
}

// queuePart returns the part of a target's waiting queue up to which it has room.
func (n Need) queuePart() float64 {
	switch {
	case n.LastTry:
		return lastTryPart
	case n.OneAttempt && n.Session:
		return oneAttemptSessionPart
	case n.OneAttempt:
		return oneAttemptPart
	case n.Session:
		return sessionPart
	}
	return defaultPart
}

// Tracker holds what is known of the room of services. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*service
	busy     int // targets that may be full
}

// service is a service whose targets report their work time.
type service struct {
	targets map[string]*target
	busy    map[string]*target // those that may be full
	// queueShare is the length of a waiting queue at which targets reject, as a share of slots.
	queueShare float64
	queue      queue
}

// target is what is known of a target.
type target struct {
	requests   int // by the last report, running and waiting
	slots      int
	reportedAt time.Time
	sinceThen  int       // requests of this daemon that have begun there since the report, less those that have ended
	rejectedAt time.Time // last rejection that no later report has shown to be over
}

// New returns a tracker that knows of no target.
func New() *Tracker { return &Tracker{services: make(map[string]*service)} }

// Any reports whether any target may be full. While none is, there is nothing to decide.
func (t *Tracker) Any() bool { return t.busy > 0 }

// RecordReport records the load that a target has reported to this daemon. A service whose targets
// do not report their work time is left out.
func (t *Tracker) RecordReport(serviceName, id string, load relay.LoadReport, now time.Time) {
	s := t.services[serviceName]
	if s == nil {
		if load.WorkTimePercent <= 0 {
			return
		}
		s = &service{targets: make(map[string]*target), busy: make(map[string]*target), queueShare: defaultQueueShare, queue: newQueue()}
		t.services[serviceName] = s
	}
	t.record(s, id, load.Running+load.Waiting, load.Slots, now)
}

// RecordPeerLoad records the load that a target with a number of slots has reported to a peer at a
// time. It counts only if it is newer than what is known here.
func (t *Tracker) RecordPeerLoad(serviceName, id string, requests, slots int, reportedAt time.Time) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	if known := s.targets[id]; known != nil {
		if !reportedAt.After(known.reportedAt) {
			return
		}
		if known.slots > 0 {
			slots = known.slots
		}
	}
	t.record(s, id, requests, slots, reportedAt)
}

// target returns what is known of a target.
func (s *service) target(id string) *target {
	known := s.targets[id]
	if known == nil {
		known = &target{}
		s.targets[id] = known
	}
	return known
}

// record records a report.
func (t *Tracker) record(s *service, id string, requests, slots int, reportedAt time.Time) {
	known := s.target(id)
	known.requests, known.slots, known.reportedAt, known.sinceThen = requests, slots, reportedAt, 0
	if requests < slots && reportedAt.After(known.rejectedAt) {
		known.rejectedAt = time.Time{}
	}
	t.updateBusy(s, id, known)
}

// RecordRejection records that a target has rejected a request for want of room, and the load that it
// has reported with it, nil if none.
func (t *Tracker) RecordRejection(serviceName, id string, load *relay.LoadReport, now time.Time) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	known := s.target(id)
	known.rejectedAt = now
	s.queue.rejected.add(rateWindow, now)
	if load != nil && load.Slots > 0 && load.Running >= load.Slots {
		share := min(float64(load.Waiting)/float64(load.Slots), maxQueueShare)
		s.queueShare += queueShareGain * (share - s.queueShare)
	}
	t.updateBusy(s, id, known)
}

// RecordStart records that a request of a workspace is sent to a target.
func (t *Tracker) RecordStart(serviceName, id, workspace string, now time.Time) {
	if s := t.services[serviceName]; s != nil {
		s.queue.recordSent(workspace, t.busy > 0, now)
		t.add(s, id, 1)
	}
}

// RecordEnd records that a request at a target has ended, and whether the target has served it.
func (t *Tracker) RecordEnd(serviceName, id string, served bool, now time.Time) {
	if s := t.services[serviceName]; s != nil {
		if served {
			s.queue.ends.add(rateWindow, now)
		}
		t.add(s, id, -1)
	}
}

// add changes the number of requests at a target.
func (t *Tracker) add(s *service, id string, count int) {
	if known := s.targets[id]; known != nil {
		known.sinceThen += count
		t.updateBusy(s, id, known)
	}
}

// updateBusy computes whether a target may be full for any request. A target that has a free slot
// is not, unless it has rejected a request.
func (t *Tracker) updateBusy(s *service, id string, known *target) {
	t.setBusy(s, id, known, !known.rejectedAt.IsZero() || known.slots > 0 && known.requests+known.sinceThen >= known.slots)
}

func (t *Tracker) setBusy(s *service, id string, known *target, busy bool) {
	switch {
	case busy && s.busy[id] == nil:
		s.busy[id] = known
		t.busy++
	case !busy && s.busy[id] != nil:
		delete(s.busy, id)
		t.busy--
	}
}

// Full reports whether a target is known to have no room for a request.
func (t *Tracker) Full(serviceName, id string, need Need, now time.Time) bool {
	s := t.services[serviceName]
	if s == nil {
		return false
	}
	if need.Restrained {
		known := s.targets[id]
		return known == nil || now.Sub(known.reportedAt) >= need.lifetime() || known.requests+known.sinceThen >= known.slots
	}
	known := s.busy[id]
	return known != nil && known.full(s.queueShare, need, now)
}

// full reports whether the target has no room. Its waiting queue is taken to shrink to nothing over
// the lifetime of the report.
func (k *target) full(queueShare float64, need Need, now time.Time) bool {
	lifetime := need.lifetime()
	if !k.rejectedAt.IsZero() && now.Sub(k.rejectedAt) < lifetime {
		return true
	}
	age := max(0, now.Sub(k.reportedAt))
	if k.slots <= 0 || age >= lifetime {
		return false
	}
	waiting := float64(k.requests+k.sinceThen-k.slots) * (1 - float64(age)/float64(lifetime))
	limit := max(1, need.queuePart()*queueShare*float64(k.slots))
	return waiting >= limit
}

// MayRefuse reports whether a request may be refused for want of room at the targets of a service: at
// least half of their places are taken, or requests wait there. Targets of which nothing fresh is
// known count as empty.
func (t *Tracker) MayRefuse(serviceName string, targets int, now time.Time) bool {
	s := t.services[serviceName]
	if s == nil {
		return false
	}
	taken, places, known := 0, 0, 0
	for _, k := range s.targets {
		if k.slots <= 0 || now.Sub(k.reportedAt) > reportLifetime {
			continue
		}
		if k.requests > k.slots {
			return true
		}
		known++
		taken += k.requests
		places += k.slots
	}
	if known == 0 {
		return false
	}
	all := float64(places) * float64(max(targets, known)) / float64(known)
	return float64(taken) >= minTakenShare*all
}

// Expire drops what is too old to count.
func (t *Tracker) Expire(now time.Time) {
	if t.busy == 0 {
		return
	}
	for _, s := range t.services {
		for id, known := range s.busy {
			if now.Sub(known.rejectedAt) >= engineLifetime {
				known.rejectedAt = time.Time{}
			}
			if now.Sub(known.reportedAt) >= engineLifetime {
				t.setBusy(s, id, known, !known.rejectedAt.IsZero())
			} else {
				t.updateBusy(s, id, known)
			}
		}
	}
}

// Retain forgets the targets that are not kept.
func (t *Tracker) Retain(keep func(id string) bool) {
	for _, s := range t.services {
		for id, known := range s.targets {
			if !keep(id) {
				t.setBusy(s, id, known, false)
				delete(s.targets, id)
			}
		}
	}
}

// Forget forgets a target, as it has started anew.
func (t *Tracker) Forget(id string) {
	for _, s := range t.services {
		if known := s.targets[id]; known != nil {
			t.setBusy(s, id, known, false)
			delete(s.targets, id)
		}
	}
}
