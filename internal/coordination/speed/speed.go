// Package speed estimates how slow work is at each target now, relative to what is usual
// for its service. It is a state machine without I/O or clock.
//
// The load that it answers: targets of one service are of two generations (1 and 1.3 x),
// some slow down before their slots are taken, and some are 2.5 to 8 x slow for a while. A
// count of requests shows this only after requests have piled up there.
//
// The estimate is the product of two parts. The work time that a target reports is exact but
// holds for a moment only: it decays towards the target's usual work time at that load. The
// durations of answers show what the reported figure leaves out: each is divided by the usual
// duration and by the work time at that moment, and the remainder is averaged. The product is the
// same whether or not the reported figure includes the generation of the machine.
package speed

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/ranking"
)

// Parameters of the estimate.
const (
	// blipHold and blipEnd are the ages until which a reported work time counts in full,
	// and from which it counts no more. Short disturbances last 600 ms, so half of that
	// remains on average.
	blipHold = 300 * time.Millisecond
	blipEnd  = time.Second
	// A work time of slumpRatio or more is of the disturbances that last seconds.
	slumpRatio = 3.0
	slumpHold  = 1500 * time.Millisecond
	slumpEnd   = 4 * time.Second
	// minLifetimeFactor and lifetimeSpread scale these ages for each daemon and target, so
	// that not all daemons return to a recovering target at once.
	minLifetimeFactor = 0.75
	lifetimeSpread    = 0.75
	// maxRemainder bounds the logarithm of an answer's remaining slowness: one answer
	// that had to wait says little.
	maxRemainder = 0.92 // ln 2.5
	// usualRate is the part of an answer's deviation by which the usual duration moves.
	usualRate = 0.05
	// priorWeight is the number of observations that what is known of the service is
	// worth, or of the target as a whole if a load of it is concerned.
	priorWeight = 3.0
	// retention is the factor of the weight of earlier observations with each new one;
	// averageLifetime that of time: an average without observations is forgotten after it.
	retention       = 0.95
	averageLifetime = 5 * time.Minute
	// loadBuckets is the number of parts of a target's slots for which the slowness is
	// learned.
	loadBuckets = 8
	// overloadRatio is the slowness, in relation to a lower load, at which a target no longer
	// takes its requests well.
	overloadRatio = 1.4
	// minBucketWeight is the weight of observations that a load needs to be called too high.
	minBucketWeight = 3.0
	// cacheLifetimeMS is how long a usual slowness is used, which changes by percents within it.
	cacheLifetimeMS = 3000
	// tellLifetime is how long other daemons are told of a slump or its end: within it an
	// exchange every 450 ms with two others reaches nearly all.
	tellLifetime = 2 * time.Second
	// rejectionLifetime is how long a rejection lowers what a target takes.
	rejectionLifetime = 10 * time.Second
)

// Kind is what an observed duration measures.
type Kind int

// Kinds of durations.
const (
	FirstEvent  Kind = iota // of a stream, from the request
	EventGap                // mean time between the events of a stream
	WholeAnswer             // of a plain service, from the request
)

// Observation is how long a target took for a part of an answer.
type Observation struct {
	Kind     Kind
	Class    string // requests of one class take similar times; for example the route
	Duration time.Duration
	Tokens   int     // of the prompt that the target had to read before FirstEvent
	Load     float64 // requests at the target
}

// Tracker holds the estimates of all targets. It is not safe for concurrent use.
type Tracker struct {
	seed      uint64
	createdAt time.Time
	services  map[string]*service
	targets   map[string]*Target        // by id
	byHash    map[uint32]*Target        // by the low 32 bits of the hash of the id
	slumps    map[*Target]time.Duration // until when other daemons are told of a slump or its end
}

// service is what is usual for a service.
type service struct {
	reports   bool // a target has reported its work time
	durations map[durationKey]*usualDuration
	curve     curve
}

// durationKey identifies durations that are compared with each other.
type durationKey struct {
	kind  Kind
	class string
}

// usualDuration is the usual duration of one kind and class, in seconds.
type usualDuration struct {
	fixed, perToken float64
}

// Target is the estimate of one target.
type Target struct {
	tracker        *Tracker
	service        *service
	slots          int
	hash           uint32
	bucketsPerSlot float64
	lifetimeFactor float64
	workTime       float64       // last reported, 1: as usual
	workTimeAt     time.Duration // since the tracker's creation
	workTimeEnd    time.Duration // from which on it counts no more; 0: none is reported
	rejectedLoad   float64
	rejectedAt     time.Duration
	curve          *curve // nil until something is known: a large fleet has thousands of targets
}

// curve is how slow work is at the loads of a target, or of the targets of a service.
type curve struct {
	workTimes  [loadBuckets]average // logarithms
	remainder  average              // logarithm of what the work time leaves out
	remainders [loadBuckets]average
	cached     [loadBuckets]slowness
}

// slowness is the usual slowness at a load: the work time, and the factor that it leaves out.
type slowness struct {
	workTime, remainder float32
	computedAt          uint32 // milliseconds since the tracker's creation; 0: not computed
}

// New returns a tracker without targets. Seed differs between daemons.
func New(seed uint64, now time.Time) *Tracker {
	return &Tracker{seed: seed, createdAt: now, services: make(map[string]*service), targets: make(map[string]*Target),
		byHash: make(map[uint32]*Target), slumps: make(map[*Target]time.Duration)}
}

// Add returns the new estimate of an incarnation of a target, of which nothing is known.
func (t *Tracker) Add(id, serviceName string, slots int) *Target {
	s := t.services[serviceName]
	if s == nil {
		s = &service{durations: make(map[durationKey]*usualDuration)}
		t.services[serviceName] = s
	}
	hash := xxhash.Sum64String(id)
	jitter := float64(ranking.Mix(t.seed^hash)>>11) / (1 << 53)
	target := &Target{tracker: t, service: s, slots: slots, hash: uint32(hash), lifetimeFactor: minLifetimeFactor + lifetimeSpread*jitter}
	if slots > 0 {
		target.bucketsPerSlot = loadBuckets / float64(slots)
	}
	delete(t.slumps, t.targets[id])
	t.targets[id], t.byHash[target.hash] = target, target
	return target
}

// Retain drops the estimates of all targets for which keep returns false.
func (t *Tracker) Retain(keep func(id string) bool) {
	for id, target := range t.targets {
		if !keep(id) {
			delete(t.targets, id)
			delete(t.byHash, target.hash)
			delete(t.slumps, target)
		}
	}
}

// Target returns the estimate of a target, nil if there is none.
func (t *Tracker) Target(id string) *Target { return t.targets[id] }

// Active reports whether a target of the service has reported its work time.
func (t *Tracker) Active(serviceName string) bool {
	s := t.services[serviceName]
	return s != nil && s.reports
}

// TakesWell returns how many requests a target takes at once before it slows down or rejects
// them; 0 if it is not known.
func (t *Tracker) TakesWell(id string, now time.Time) float64 {
	if target := t.targets[id]; target != nil {
		return target.TakesWell(now)
	}
	return 0
}

// RecordWorkTime records the work time that the target has reported, in percent, and the
// requests that it was running; 0 percent if it has not reported any.
func (t *Target) RecordWorkTime(percent float64, running int, now time.Time) {
	if percent <= 0 {
		return
	}
	at := t.tracker.Elapsed(now)
	t.service.reports = true
	t.setWorkTime(percent/100, at)
	if t.workTime < slumpRatio { // a long disturbance says nothing about what the target takes
		b := t.bucket(float64(running))
		t.learned().workTimes[b].add(math.Log(t.workTime), at)
		t.service.curve.workTimes[b].add(math.Log(t.workTime), at)
	}
}

// setWorkTime sets the work time of the target at a time, and how long it counts.
func (t *Target) setWorkTime(workTime float64, at time.Duration) {
	end := blipEnd
	if workTime >= slumpRatio {
		end = slumpEnd
	}
	if workTime >= slumpRatio || t.workTime >= slumpRatio && at < t.workTimeEnd {
		t.tracker.slumps[t] = at + tellLifetime
	}
	t.workTime, t.workTimeAt = workTime, at
	t.workTimeEnd = at + time.Duration(float64(end)*t.lifetimeFactor)
}

// learned returns what is known of the target itself, for a change.
func (t *Target) learned() *curve {
	if t.curve == nil {
		t.curve = &curve{}
	}
	clear(t.curve.cached[:])
	return t.curve
}

// Record records how long a part of an answer has taken.
func (t *Target) Record(o Observation, now time.Time) {
	if o.Duration <= 0 {
		return
	}
	at := t.tracker.Elapsed(now)
	seconds := o.Duration.Seconds()
	key := durationKey{o.Kind, o.Class}
	usual := t.service.durations[key]
	if usual == nil {
		t.service.durations[key] = &usualDuration{fixed: seconds / t.workTimeAtLoad(o.Load, at), perToken: initialPerToken}
		return
	}
	ratio := seconds / t.workTimeAtLoad(o.Load, at) / usual.of(o.Tokens)
	remainder := max(-maxRemainder, min(math.Log(ratio), maxRemainder))
	usual.move(o.Tokens, math.Exp(usualRate*remainder))
	learned := t.learned()
	learned.remainder.add(remainder, at)
	learned.remainders[t.bucket(o.Load)].add(remainder, at)
}

// Until the first observation: the time, in seconds, of a stream's first event and of reading a
// token of its prompt at the users' engines.
const (
	initialFirstEvent = 40e-3
	initialPerToken   = 10e-6
)

// of returns the usual duration for a prompt of some tokens.
func (u *usualDuration) of(tokens int) float64 { return u.fixed + u.perToken*float64(tokens) }

// move multiplies the larger part of the duration by a factor.
func (u *usualDuration) move(tokens int, factor float64) {
	if u.perToken*float64(tokens) > u.fixed {
		u.perToken *= factor
	} else {
		u.fixed *= factor
	}
}

// RecordRejection records that the target has rejected a request for lack of room.
func (t *Target) RecordRejection(load float64, now time.Time) {
	t.rejectedLoad, t.rejectedAt = max(1, load), t.tracker.Elapsed(now)
}

// Slowness returns how slow work is at the target with a number of requests, 1 being usual
// for its service. At is of Elapsed.
func (t *Target) Slowness(load float64, at time.Duration) float64 {
	usual := t.usual(load, at)
	workTime := float64(usual.workTime)
	if at < t.workTimeEnd {
		workTime += (t.workTime - workTime) * t.freshness(at)
	}
	return workTime * float64(usual.remainder)
}

// Elapsed returns the time since the tracker's creation. A choice among many targets computes it
// once.
func (t *Tracker) Elapsed(now time.Time) time.Duration { return now.Sub(t.createdAt) }

// workTimeAtLoad returns the work time of the target: the reported one while it is recent, else the
// usual one with a number of requests.
func (t *Target) workTimeAtLoad(load float64, at time.Duration) float64 {
	usual := float64(t.usual(load, at).workTime)
	return usual + (t.workTime-usual)*t.freshness(at)
}

// usual returns the usual slowness of the target with a number of requests.
func (t *Target) usual(load float64, at time.Duration) slowness {
	b := t.bucket(load)
	c := t.curve
	if c == nil {
		c = &t.service.curve
	}
	cached := &c.cached[b]
	if nowMS := milliseconds(at); cached.computedAt == 0 || nowMS-cached.computedAt > cacheLifetimeMS {
		workTime, remainder := t.logarithms(b, at)
		*cached = slowness{float32(math.Exp(workTime)), float32(math.Exp(remainder)), max(1, nowMS)}
	}
	return *cached
}

// logarithms returns the logarithms of the usual work time at a load, and of what it leaves out.
// The fewer observations there are, the more weight has what is known of the service.
func (t *Target) logarithms(b int, at time.Duration) (workTime, remainder float64) {
	workTime = t.service.curve.workTimes[b].shrunk(0, at)
	if t.curve == nil {
		return workTime, 0
	}
	return t.curve.workTimes[b].shrunk(workTime, at), t.curve.remainders[b].shrunk(t.curve.remainder.shrunk(0, at), at)
}

// freshness returns the weight of the reported work time, from 1 down to 0.
func (t *Target) freshness(at time.Duration) float64 {
	if at >= t.workTimeEnd {
		return 0
	}
	hold, end := blipHold, blipEnd
	if t.workTime >= slumpRatio {
		hold, end = slumpHold, slumpEnd
	}
	return min(1, float64(t.workTimeEnd-at)/(float64(end-hold)*t.lifetimeFactor))
}

// TakesWell returns how many requests the target takes at once before it slows down or
// rejects them; 0 if it is not known.
func (t *Target) TakesWell(now time.Time) float64 { return t.takesWell(t.tracker.Elapsed(now)) }

func (t *Target) takesWell(at time.Duration) float64 {
	if t.slots <= 0 {
		return 0
	}
	takes := float64(t.slots)
	lowest := math.Inf(1)
	for b := range loadBuckets {
		if t.curve == nil {
			break
		}
		weight := t.curve.workTimes[b].weightAt(at)
		workTime, remainder := t.logarithms(b, at)
		slowness := workTime + remainder
		if weight >= minBucketWeight && slowness-lowest > math.Log(overloadRatio) {
			takes = max(1, float64(b*t.slots)/loadBuckets)
			break
		}
		if weight > 0 {
			lowest = min(lowest, slowness)
		}
	}
	if age := at - t.rejectedAt; t.rejectedLoad > 0 && t.rejectedLoad < takes && age < rejectionLifetime {
		takes = t.rejectedLoad + (takes-t.rejectedLoad)*float64(age)/float64(rejectionLifetime)
	}
	return takes
}

// FirstEventTime returns how long a target takes until the first event of a stream, if it has to
// read some tokens and holds a number of requests. At is of Elapsed.
func (t *Target) FirstEventTime(class string, tokens int, load float64, at time.Duration) time.Duration {
	usual := t.service.durations[durationKey{FirstEvent, class}]
	if usual == nil {
		usual = &usualDuration{initialFirstEvent, initialPerToken}
	}
	seconds := usual.of(tokens) * t.Slowness(load, at)
	if takes := t.takesWell(at); load > takes && takes > 0 {
		seconds *= load / takes
	}
	return time.Duration(seconds * float64(time.Second))
}

// bucket returns the part of the target's slots that a number of requests takes.
func (t *Target) bucket(load float64) int {
	return max(0, min(int(load*t.bucketsPerSlot), loadBuckets-1))
}

// average is a weighted mean whose earlier values fade.
type average struct {
	sum, weight float32
	updatedAt   uint32 // milliseconds since the tracker's creation
}

// milliseconds returns a time since the tracker's creation in milliseconds. They begin again
// after 49 days, which leaves their differences right.
func milliseconds(at time.Duration) uint32 { return uint32(at.Milliseconds()) }

// add adds a value.
func (a *average) add(value float64, at time.Duration) {
	kept := retention * a.kept(at)
	a.sum, a.weight, a.updatedAt = float32(float64(a.sum)*kept+value), float32(float64(a.weight)*kept+1), milliseconds(at)
}

// kept returns the share that is left of the weight.
func (a *average) kept(at time.Duration) float64 {
	return max(0, 1-float64(milliseconds(at)-a.updatedAt)/float64(averageLifetime.Milliseconds()))
}

// weightAt returns the weight that is left.
func (a *average) weightAt(at time.Duration) float64 { return float64(a.weight) * a.kept(at) }

// shrunk returns the mean with the weight of prior added.
func (a *average) shrunk(prior float64, at time.Duration) float64 {
	kept := a.kept(at)
	return (float64(a.sum)*kept + priorWeight*prior) / (float64(a.weight)*kept + priorWeight)
}
