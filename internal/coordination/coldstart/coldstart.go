// Package coldstart limits the requests that targets get while they are cold. It is a state
// machine without I/O or clock.
//
// The load that it answers is traffic that returns to targets that have just started, or whose
// caches have just been lost, a whole failure domain at once: far above its limit, a cold target
// crashes. A daemon may send a cold target a number of requests in any sendWindow; the other
// requests go to other targets or are refused. Only as many daemons use a cold target as get one
// request each, those that rank first for it, and the others leave it alone.
//
// Invariant: in any second, all daemons with the same view of the fleet send a cold target at
// most viewShare of the bound. The rest is for daemons whose views differ: two halves of a fleet
// that do not know each other keep the bound together.
package coldstart

import (
	"math"
	"time"

	"hemlockknot/internal/state/fleet"
)

const (
	// viewShare is the part of the bound that daemons with the same view use together. With half
	// or less, two halves of a fleet keep the bound, each of which takes itself for the whole; the
	// same part lets each daemon lack half of the others.
	viewShare = 0.45
	// sendWindow is the time in which a daemon's requests to a cold target are counted. It is
	// longer than the second of the bound by the time by which a connection or a stalled process
	// may delay one request more than the next.
	sendWindow = 1250 * time.Millisecond
	// shareLifetime is how long a share is used. Each computation asks for the rank among all
	// known daemons, and a whole failure domain of targets may be cold.
	shareLifetime = 250 * time.Millisecond
	// fleetMemory is how long the largest number of daemons known counts. A daemon that is cut
	// off forgets the others after a time, while they still send.
	fleetMemory = 10 * time.Minute
	// observeInterval is how often the number of daemons is asked for while no target is cold.
	observeInterval = 5 * time.Second
	// departureMemory is how long a target that is not listed is remembered, so that it does not
	// count as new when its entry returns, for example after an outage of the store.
	departureMemory = time.Minute
)

// Fleet is a daemon's view of the other daemons.
type Fleet interface {
	// Rank returns how many known daemons rank above this one for a key, and the number of known
	// daemons, this one included.
	Rank(key uint64) (above, known int)
	// Position returns the share of any daemons that rank above this one for a key, on average.
	Position(key uint64) float64
	// Assumed returns how many daemons there may be, known or not.
	Assumed() int
}

// Service says for how long targets of a service are cold after a start, and what they bear then.
type Service struct {
	ColdFor time.Duration // after a start during traffic; 0: never
	PerS    float64       // requests per second that a cold target takes; 0: no limit
}

// Tracker tracks which targets are cold. It is not safe for concurrent use.
type Tracker struct {
	fleet          Fleet
	overrun, slack float64
	services       map[string]Service
	targets        map[string]*target // by id
	listed         bool               // there has been a list of targets
	coldUntil      time.Time          // no target is cold after it
	mostKnown      int                // daemons, within fleetMemory
	mostKnownAt    time.Time
	observedAt     time.Time // when Observe last asked
}

// target is what is known of one incarnation of a target.
type target struct {
	service     string
	incarnation uint32
	revision    int64         // of the entry that was last recorded
	entryLeft   time.Duration // that it names
	until       time.Time     // the target is cold until then, as it has said
	// startedAt is when the incarnation was first listed; zero if it was there when this daemon
	// started, or has said itself how long it is cold.
	startedAt time.Time
	learnedAt time.Time // when the target was last found to be cold
	missingAt time.Time // since when it has not been listed; zero while it is
	sent      []time.Time
	share     int // requests per sendWindow, as of sharedAt
	sharedAt  time.Time
}

// New returns a tracker for a bound on the requests to a cold target in any second: overrun x
// the service's PerS + slack. There is none if overrun is 0.
func New(daemons Fleet, overrun, slack float64) *Tracker {
	return &Tracker{fleet: daemons, overrun: overrun, slack: slack, targets: make(map[string]*target)}
}

// Enabled reports whether there is a bound.
func (t *Tracker) Enabled() bool { return t.overrun > 0 }

// SetServices replaces what is known of the services.
func (t *Tracker) SetServices(services map[string]Service) {
	t.services = services
	for _, known := range t.targets {
		t.extendAny(known)
	}
}

// RecordTargets records the targets that are listed. It returns the ids of those that have turned
// cold.
func (t *Tracker) RecordTargets(targets []*fleet.Target, now time.Time) (cold []string) {
	if !t.Enabled() {
		return nil
	}
	listed := make(map[string]bool, len(targets))
	for _, entry := range targets {
		listed[entry.ID] = true
		if t.recordEntry(entry, now) {
			cold = append(cold, entry.ID)
		}
	}
	t.listed = t.listed || len(targets) > 0
	for id, known := range t.targets {
		switch {
		case listed[id]:
		case known.missingAt.IsZero():
			known.missingAt = now
		case now.Sub(known.missingAt) > departureMemory:
			delete(t.targets, id)
		}
	}
	return cold
}

// recordEntry records the entry of a target, and reports whether the target has turned cold. An
// entry counts from its first receipt: lists that are received again repeat it unchanged.
func (t *Tracker) recordEntry(entry *fleet.Target, now time.Time) (turned bool) {
	known := t.targets[entry.ID]
	incarnation := entry.IncarnationHash()
	isNew := known == nil || known.incarnation != incarnation
	if isNew {
		known = &target{service: entry.Service, incarnation: incarnation}
		t.targets[entry.ID] = known
	}
	known.missingAt = time.Time{}
	if !isNew && known.revision == entry.EntryRevision && known.entryLeft == entry.ColdLeft {
		return false
	}
	wasCold := !isNew && t.isCold(known, now)
	known.revision, known.entryLeft = entry.EntryRevision, entry.ColdLeft
	known.until, known.startedAt = now.Add(entry.ColdLeft), time.Time{}
	if isNew && t.listed && entry.ColdLeft == 0 {
		known.startedAt = now
	}
	t.extendAny(known)
	if !t.isCold(known, now) {
		return false
	}
	known.learnedAt = now
	return !wasCold
}

// RecordAnswer records how long a target stays cold by its answer to a request that was sent at a
// time. It reports whether the target has turned cold.
func (t *Tracker) RecordAnswer(answering *fleet.Target, left time.Duration, sentAt, now time.Time) (turned bool) {
	known := t.targets[answering.ID]
	if known == nil || known.incarnation != answering.IncarnationHash() {
		return false
	}
	wasCold := t.isCold(known, now)
	if wasCold && !sentAt.After(known.learnedAt) && left < t.leftOf(known, now) {
		return false // the target may have turned cold after it answered
	}
	known.until, known.startedAt = now.Add(left), time.Time{}
	t.extendAny(known)
	if wasCold || !t.isCold(known, now) {
		return false
	}
	known.learnedAt = now
	return true
}

// extendAny extends the time in which any target may be cold.
func (t *Tracker) extendAny(known *target) {
	if until := t.endOf(known); until.After(t.coldUntil) {
		t.coldUntil = until
	}
}

// endOf returns until when a target is cold.
func (t *Tracker) endOf(known *target) time.Time {
	end := known.until
	if !known.startedAt.IsZero() {
		if started := known.startedAt.Add(t.services[known.service].ColdFor); started.After(end) {
			end = started
		}
	}
	return end
}

// leftOf returns how long a target stays cold; 0 or less if it is not.
func (t *Tracker) leftOf(known *target, now time.Time) time.Duration { return t.endOf(known).Sub(now) }

// isCold reports whether a target is cold and its service has a limit for that.
func (t *Tracker) isCold(known *target, now time.Time) bool {
	return t.services[known.service].PerS > 0 && t.leftOf(known, now) > 0
}

// Any reports whether any target may be cold.
func (t *Tracker) Any(now time.Time) bool { return now.Before(t.coldUntil) }

// ColdFor returns how long a target stays cold, 0 if it is not or if cold targets of its service
// have no limit.
func (t *Tracker) ColdFor(id string, now time.Time) time.Duration {
	known := t.targets[id]
	if known == nil || !t.isCold(known, now) {
		return 0
	}
	return t.leftOf(known, now)
}

// Cold returns the ids of the targets that are cold.
func (t *Tracker) Cold(now time.Time) map[string]bool {
	cold := make(map[string]bool)
	for id, known := range t.targets {
		if t.isCold(known, now) {
			cold[id] = true
		}
	}
	return cold
}

// Wait returns how long this daemon must not send a request to a target because the target is
// cold, 0 if it may. A cold target that this daemon leaves to others gets none until it is warm.
func (t *Tracker) Wait(id string, now time.Time) time.Duration {
	left := t.ColdFor(id, now)
	if left == 0 {
		return 0
	}
	known := t.targets[id]
	share := t.shareOf(known, now)
	if share == 0 {
		return left
	}
	known.prune(now)
	if len(known.sent) < share {
		return 0
	}
	return min(left, known.sent[len(known.sent)-share].Add(sendWindow).Sub(now))
}

// Take records that a request is sent to a target. Those to a warm target count too: it may turn
// cold within a moment.
func (t *Tracker) Take(id string, now time.Time) {
	known := t.targets[id]
	if known == nil || t.services[known.service].PerS <= 0 {
		return
	}
	known.prune(now)
	known.sent = append(known.sent, now)
	if most := t.total(known.service); len(known.sent) > most {
		known.sent = known.sent[len(known.sent)-most:] // no share is larger
	}
}

// prune drops the requests that no longer count.
func (known *target) prune(now time.Time) {
	first := 0
	for first < len(known.sent) && now.Sub(known.sent[first]) >= sendWindow {
		first++
	}
	known.sent = append(known.sent[:0], known.sent[first:]...)
}

// total returns how many requests the daemons with the same view send a cold target of a service
// in a sendWindow.
func (t *Tracker) total(service string) int {
	return max(1, int(viewShare*(t.services[service].PerS*t.overrun+t.slack)))
}

// shareOf returns how many requests this daemon may send a cold target in a sendWindow. The rank
// among daemons that are not known is estimated, with one standard deviation as a margin.
func (t *Tracker) shareOf(known *target, now time.Time) int {
	if !known.sharedAt.IsZero() && now.Sub(known.sharedAt) < shareLifetime {
		return known.share
	}
	key := uint64(known.incarnation)
	above, daemons := t.fleet.Rank(key)
	t.recordKnown(daemons, now)
	assumed := max(daemons, t.mostKnown, t.fleet.Assumed())
	unknown, position := float64(assumed-daemons), t.fleet.Position(key)
	rank := float64(above) + unknown*position + math.Sqrt(unknown*position*(1-position))
	total := t.total(known.service)
	share := total / assumed
	if rank < float64(total-share*assumed) {
		share++
	}
	known.share, known.sharedAt = share, now
	return share
}

// Observe records how many daemons are known now.
func (t *Tracker) Observe(now time.Time) {
	if t.Enabled() && now.Sub(t.observedAt) >= observeInterval {
		t.observedAt = now
		_, daemons := t.fleet.Rank(0)
		t.recordKnown(daemons, now)
	}
}

func (t *Tracker) recordKnown(daemons int, now time.Time) {
	if daemons >= t.mostKnown || now.Sub(t.mostKnownAt) > fleetMemory {
		t.mostKnown, t.mostKnownAt = daemons, now
	}
}
