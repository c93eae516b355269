// Package brittle decides when a daemon may send a request to a target that falls over if it
// has to reject too many requests in a second. It is a state machine without I/O or clock.
//
// The load that it answers is a service whose targets say that they are brittle and then take
// fewer requests than before, while all daemons send as many as they did. Fewer daemons use a
// target than it bears rejections in a second, those that rank first for it, and the others
// leave it alone but for a rare request if nobody has heard of it for long. A user sends a request
// only to a target that has room by all that is known, and only once the target has accepted the one
// before. It leaves the target alone after a rejection.
//
// That no rejection has come is no sign that a request was accepted: a target that is silent for a
// while rejects all that has come meanwhile in the moment in which it goes on. A request is accepted
// once its answer has begun. Work may take long before that, so a request also counts as accepted if
// the target has been heard of after a rejection would have come: it has answered a probe that was sent
// later, or has sent anything else after the time that a round trip takes at present.
//
// Targets of one service are brittle at the same time. One that has said nothing yet, as it has
// just started or this daemon has, counts as brittle from the first request on if the last
// statement in its service says so. Daemons tell each other these statements, and when targets
// have answered without one: once none has said for a while that it is brittle and one has
// answered so, all of the service count as sound.
//
// Invariant: while the daemons have the same view of the fleet, a target never has more
// rejections in a second than it bears, if that is at least two. With less it may have one more.
package brittle

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// confirmTime is how long after a request was written its target must be heard of at least to have
	// had the time to reject it, and longer if a round trip takes longer. One between regions takes 20 ms.
	confirmTime = 30 * time.Millisecond
	// roundTripLifetime is how long the time that a round trip has taken says something of the next one. A
	// link may fill up meanwhile, and what is heard then is older than it seems.
	roundTripLifetime = 500 * time.Millisecond
	// settleTime is how long after that word the rejection may still come: a target that goes on after a
	// silence writes on all of its connections at the same time, and this daemon reads them one by one.
	settleTime = 10 * time.Millisecond
	// pause is how long a target is left alone after a rejection: twice the time over which
	// the target counts, as views of the fleet differ for a while.
	pause = 2 * time.Second
	// roomGrowth is by how many requests the room that a rejection has shown grows in a
	// second without another one.
	roomGrowth = 1.0
	// askAfter is how long no target of a service must have said anything before a daemon that
	// leaves a target alone sends it a request to hear whether it is still brittle. One of
	// them does so each askSpacing.
	askAfter   = 5 * time.Second
	askSpacing = 2 * time.Second
	// askingUsers is how many of the rejections that a target bears in a second are for
	// the requests of daemons that ask.
	askingUsers = 1
	// overAfter is how much later than the last statement that one is brittle a target must
	// have answered without it for all targets of the service to count as sound. In this
	// time each user of a target that is still brittle sends it a request, and the
	// statement reaches all daemons.
	overAfter = 2 * pause
	// statementLifetime is how long the last statement of a target holds if nothing more
	// is heard of it.
	statementLifetime = 2 * time.Minute
	// soundLifetime is how long a target counts as sound after an answer that did not say that
	// it is brittle, while others of its service are.
	soundLifetime = askAfter
)

// Target identifies an incarnation of a target.
type Target struct {
	Incarnation uint32 // hash of the incarnation
	Service     string
}

// Fleet is a daemon's view of the other daemons.
type Fleet interface {
	// Rank returns how many known daemons rank above this one for a key, and the number
	// of known daemons, this one included.
	Rank(key uint64) (above, known int)
}

// Load is what is known of the load of a target.
type Load struct {
	Requests float64   // estimated number of requests that the target holds
	Slots    int       // how many it runs at the same time; 0: unknown
	HeardAt  time.Time // when this daemon last received anything from the target; zero: unknown
}

// Tracker tracks brittle targets. It is not safe for concurrent use.
type Tracker struct {
	fleet    Fleet
	targets  map[uint32]*target // by the hash of the incarnation
	services map[string]statement
}

// statement is the last one that targets of a service have made, as far as is known.
type statement struct {
	rejections   float64 // that each target bears in a second
	brittleAt    time.Time
	soundAt      time.Time // when a target last answered without saying that it is brittle; zero: unknown
	heardSoundAt time.Time // when one last answered so to this daemon; zero: none has
}

// over reports whether all targets of the service count as sound.
func (s statement) over() bool {
	return !s.soundAt.IsZero() && s.soundAt.Sub(s.brittleAt) >= overAfter
}

// sound reports whether targets that have said nothing count as sound.
func (s statement) sound() bool { return s.heardSoundAt.After(s.brittleAt) || s.over() }

// target is what is known of one target of a service with brittle targets.
type target struct {
	service    string
	presumed   bool      // it has said nothing yet, and others of its service are brittle
	soundAt    time.Time // when it last answered without saying that it is brittle; zero: it did not
	rejections float64   // that it bears in a second
	saidAt     time.Time
	asked      bool // the last request was sent to hear whether it is still brittle
	last       request
	roundTrip  roundTrip
	pausedTill time.Time
	room       float64 // requests that it held when it rejected one; +Inf before
	roomAt     time.Time
}

// request is the last one that was sent to a target.
type request struct {
	sentAt    time.Time // when the target was chosen; zero: none was sent
	writtenAt time.Time // when it was written; zero: it was not yet
	heardAt   time.Time // when the target was heard of as it would have rejected the request before; zero: it was not
	settled   bool      // it was accepted, rejected or not sent
}

// roundTrip is the shortest time that a target has lately taken to answer.
type roundTrip struct {
	took time.Duration
	at   time.Time // when it ended; zero: there was none
}

// record records a round trip.
func (r *roundTrip) record(from, now time.Time) {
	if took := now.Sub(from); !from.IsZero() && (took < r.took || !r.fresh(now)) {
		*r = roundTrip{took, now}
	}
}

// fresh reports whether the round trip still says something of the next one.
func (r *roundTrip) fresh(now time.Time) bool {
	return !r.at.IsZero() && now.Sub(r.at) <= roundTripLifetime
}

// accepted reports whether the last request counts as accepted, or does not need to be any more, by
// the time at which something last came from its target.
func (t *target) accepted(heardAt, now time.Time) bool {
	last := &t.last
	if last.sentAt.IsZero() || last.settled {
		return true
	}
	if last.heardAt.IsZero() && !last.writtenAt.IsZero() && t.roundTrip.fresh(now) && heardAt.Sub(last.writtenAt) >= max(confirmTime, t.roundTrip.took) {
		last.heardAt = heardAt
	}
	last.settled = !last.heardAt.IsZero() && now.Sub(last.heardAt) >= settleTime
	return last.settled
}

// New returns a tracker without brittle targets.
func New(fleet Fleet) *Tracker {
	return &Tracker{fleet: fleet, targets: make(map[uint32]*target), services: make(map[string]statement)}
}

// Any reports whether any target is brittle.
func (t *Tracker) Any() bool { return len(t.targets)+len(t.services) > 0 }

// RecordBrittle records that a target has said how many rejections in a second it bears. It
// reports whether that is new.
func (t *Tracker) RecordBrittle(of Target, rejections float64, now time.Time) (isNew bool) {
	said := t.services[of.Service]
	said.rejections, said.brittleAt = rejections, now
	t.services[of.Service] = said
	known := t.targets[of.Incarnation]
	if known == nil {
		known = &target{service: of.Service, room: math.Inf(1)}
		t.targets[of.Incarnation] = known
	}
	isNew = known.saidAt.IsZero() || known.presumed || !known.soundAt.IsZero()
	known.rejections, known.saidAt, known.presumed, known.soundAt = rejections, now, false, time.Time{}
	return isNew
}

// RecordSound records that a target has answered a request that was sent at a time without saying
// that it is brittle, and reports whether it was. The answer says nothing of what came after the
// request: it may have been on its way as the target became brittle.
func (t *Tracker) RecordSound(of Target, sentAt time.Time) (wasBrittle bool) {
	said, found := t.services[of.Service]
	if !found {
		return false
	}
	known := t.targets[of.Incarnation]
	if known != nil && sentAt.Before(known.saidAt) {
		return false
	}
	wasBrittle = known != nil && known.soundAt.IsZero()
	if sentAt.After(said.soundAt) {
		said.soundAt = sentAt
	}
	if sentAt.After(said.heardSoundAt) {
		said.heardSoundAt = sentAt
	}
	t.setStatement(of.Service, said)
	t.targets[of.Incarnation] = &target{service: of.Service, soundAt: sentAt, saidAt: sentAt}
	return wasBrittle
}

// setStatement sets the last statement of a service. If targets that have said nothing count
// as sound from now on, or all do, it drops what is known of these.
func (t *Tracker) setStatement(service string, said statement) {
	before := t.services[service]
	t.services[service] = said
	if said.sound() == before.sound() && said.over() == before.over() {
		return
	}
	for incarnation, known := range t.targets {
		if known.service == service && known.soundAt.IsZero() && (said.over() || known.presumed && said.sound()) {
			delete(t.targets, incarnation)
		}
	}
}

// known returns what is known of a target, nil if it counts as sound.
func (t *Tracker) known(of Target, now time.Time) *target {
	known := t.targets[of.Incarnation]
	switch {
	case known == nil:
	case known.soundAt.IsZero():
		return known
	case now.Sub(known.soundAt) <= soundLifetime:
		return nil
	}
	said, found := t.services[of.Service]
	if !found || said.sound() {
		return nil
	}
	known = &target{service: of.Service, presumed: true, rejections: said.rejections, saidAt: now, room: math.Inf(1)}
	t.targets[of.Incarnation] = known
	return known
}

// RecordSent records that a target has been chosen for a request, which is to be sent.
func (t *Tracker) RecordSent(to Target, now time.Time) {
	if known := t.known(to, now); known != nil {
		known.last, known.asked = request{sentAt: now}, !t.uses(to.Incarnation, known)
	}
}

// sentLast returns what is known of a target if the last request to it is the one that was sent at a
// time; nil if another was sent later. The sender may take the time a little after RecordSent.
func (t *Tracker) sentLast(to Target, sentAt time.Time) *target {
	known := t.targets[to.Incarnation]
	if known == nil || known.last.sentAt.IsZero() || sentAt.Before(known.last.sentAt) {
		return nil
	}
	return known
}

// RecordWritten records that a request has been written.
func (t *Tracker) RecordWritten(to Target, sentAt, now time.Time) {
	if known := t.sentLast(to, sentAt); known != nil && known.last.writtenAt.IsZero() {
		known.last.writtenAt = now
	}
}

// RecordAnswer records that the answer to a request has begun, whatever it says.
func (t *Tracker) RecordAnswer(of Target, sentAt, now time.Time) {
	if known := t.sentLast(of, sentAt); known != nil {
		known.roundTrip.record(known.last.writtenAt, now)
		known.last.settled = true
	}
}

// RecordNotAwaited records that a request was not sent after all, or that nobody waits for word of its
// target any more.
func (t *Tracker) RecordNotAwaited(to Target, sentAt time.Time) {
	if known := t.sentLast(to, sentAt); known != nil {
		known.last.settled = true
	}
}

// RecordProbe records that a target has answered a probe, which was sent at a time. It has received
// all that was written before.
func (t *Tracker) RecordProbe(of Target, probedAt, now time.Time) {
	known := t.targets[of.Incarnation]
	if known == nil {
		return
	}
	known.roundTrip.record(probedAt, now)
	if last := &known.last; last.heardAt.IsZero() && !last.writtenAt.IsZero() && !probedAt.Before(last.writtenAt) {
		last.heardAt = now
	}
}

// Settled reports whether a request was accepted, rejected or not sent, by the time at which
// something last came from its target. It reports true as well if another one has been sent since.
func (t *Tracker) Settled(to Target, sentAt, heardAt, now time.Time) bool {
	known := t.sentLast(to, sentAt)
	return known == nil || known.accepted(heardAt, now)
}

// RecordRejection records that a target has rejected a request, which was sent at a time, for lack
// of room, while it held a number of requests.
func (t *Tracker) RecordRejection(by Target, sentAt time.Time, held float64, now time.Time) {
	known := t.known(by, now)
	if known == nil {
		return
	}
	t.RecordAnswer(by, sentAt, now)
	known.pausedTill = now.Add(pause)
	known.room, known.roomAt = max(1, held), now
}

// Wait returns how long this daemon must not send a request to a target, 0 if it may.
func (t *Tracker) Wait(on Target, load Load, now time.Time) time.Duration {
	known := t.known(on, now)
	if known == nil {
		return 0
	}
	if !t.uses(on.Incarnation, known) {
		return t.waitToAsk(on.Incarnation, known, now)
	}
	if paused := known.pausedTill.Sub(now); paused > 0 {
		return paused
	}
	if !known.accepted(load.HeardAt, now) {
		return confirmTime
	}
	if load.Requests >= known.roomFor(load.Slots, now) {
		return confirmTime
	}
	return 0
}

// waitToAsk returns how long a daemon that leaves a target to others must not send it the
// request by which it hears whether the target is still brittle. The daemons take turns by
// rank.
func (t *Tracker) waitToAsk(incarnation uint32, known *target, now time.Time) time.Duration {
	above, daemons := t.fleet.Rank(uint64(incarnation))
	turn := known.saidAt.Add(askAfter + time.Duration(above)*askSpacing)
	if known.asked { // the first turn has set the daemons apart
		turn = known.last.sentAt.Add(max(time.Duration(daemons)*askSpacing, askAfter))
	}
	unheard := t.services[known.service].brittleAt.Add(askAfter)
	return max(0, turn.Sub(now), unheard.Sub(now))
}

// LeftToOthers reports whether this daemon leaves a target to others that may use it.
func (t *Tracker) LeftToOthers(of Target, now time.Time) bool {
	known := t.known(of, now)
	return known != nil && !t.uses(of.Incarnation, known)
}

// uses reports whether this daemon is one of those that use a target.
func (t *Tracker) uses(incarnation uint32, known *target) bool {
	above, _ := t.fleet.Rank(uint64(incarnation))
	return above < known.users()
}

// users returns how many daemons use a target, those that rank first for it.
func (t *target) users() int { return max(1, int(t.rejections)-askingUsers) }

// roomFor returns how many requests a target may hold before one more might be rejected.
func (t *target) roomFor(slots int, now time.Time) float64 {
	room := t.room + roomGrowth*now.Sub(t.roomAt).Seconds()
	if slots > 0 {
		room = min(room, float64(slots))
	}
	return room
}

// Expire drops the statements of targets that are too old. A daemon that leaves a target to others
// hears of its service only.
func (t *Tracker) Expire(now time.Time) {
	for incarnation, known := range t.targets {
		heardAt := known.saidAt
		if said := t.services[known.service]; known.soundAt.IsZero() && said.brittleAt.After(heardAt) {
			heardAt = said.brittleAt
		}
		if now.Sub(heardAt) > statementLifetime {
			delete(t.targets, incarnation)
		}
	}
	for service, said := range t.services {
		if now.Sub(said.brittleAt) > statementLifetime {
			delete(t.services, service)
		}
	}
}

// Report is what one daemon tells another of a service whose targets are brittle.
type Report struct {
	Service    string
	Rejections float64       // that each target bears in a second
	Age        time.Duration // since a target has said so
}

// Reports returns the services whose targets are brittle, at most count, the last statements
// first.
func (t *Tracker) Reports(count int, now time.Time) []Report {
	var reports []Report
	for service, said := range t.services {
		if !said.sound() {
			reports = append(reports, Report{service, said.rejections, now.Sub(said.brittleAt)})
		}
	}
	slices.SortFunc(reports, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Service, b.Service))
	})
	return reports[:min(count, len(reports))]
}

// Merge records what another daemon has told, unless a later statement is known.
func (t *Tracker) Merge(reports []Report, now time.Time) {
	for _, report := range reports {
		at := now.Add(-report.Age)
		said, found := t.services[report.Service]
		if found && !at.After(said.brittleAt) {
			continue
		}
		said.rejections, said.brittleAt = report.Rejections, at
		t.setStatement(report.Service, said)
	}
}

// SoundReport is what one daemon tells another of a service whose targets were brittle and have
// answered since without saying so.
type SoundReport struct {
	Service    string
	BrittleAge time.Duration // since a target has last said that it is brittle
	SoundAge   time.Duration // since one has answered without
}

// SoundReports returns the services whose last statements are not that their targets are
// brittle, at most count, the last ones first.
func (t *Tracker) SoundReports(count int, now time.Time) []SoundReport {
	var reports []SoundReport
	for service, said := range t.services {
		if !said.soundAt.Before(said.brittleAt) {
			reports = append(reports, SoundReport{service, now.Sub(said.brittleAt), now.Sub(said.soundAt)})
		}
	}
	slices.SortFunc(reports, func(a, b SoundReport) int {
		return cmp.Or(cmp.Compare(a.SoundAge, b.SoundAge), cmp.Compare(a.Service, b.Service))
	})
	return reports[:min(count, len(reports))]
}

// MergeSound records what another daemon has told of the services that this one knows to have
// brittle targets, and returns those of which all targets count as sound since.
func (t *Tracker) MergeSound(reports []SoundReport, now time.Time) (over []string) {
	for _, report := range reports {
		said, found := t.services[report.Service]
		if !found {
			continue
		}
		wasOver := said.over()
		if at := now.Add(-report.BrittleAge); at.After(said.brittleAt) {
			said.brittleAt = at
		}
		if at := now.Add(-report.SoundAge); at.After(said.soundAt) {
			said.soundAt = at
		}
		t.setStatement(report.Service, said)
		if said.over() && !wasOver {
			over = append(over, report.Service)
		}
	}
	return over
}
