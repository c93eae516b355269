// Package quarantine decides which requests are held back because engines crash when they
// run them. It is a state machine without I/O or clock.
//
// The load that it answers is a query of death, in two shapes. Requests that share one part
// of their prompts with each other, and all other parts with sound requests, crash every
// engine that begins to answer them. Or one request crashes every target that runs it, and
// is repeated by its caller and by daemons. Each daemon would send the next such request to
// the next target. What requests may have in common, a part or the whole content, is a
// feature.
//
// A crash implicates all features of the requests that were running there. The parts of a
// prompt are implicated only if the answer had not begun: strongly if the engine had sent the
// answer's headers, and so was about to write it, weakly if the request may only have
// waited there. An answer that begins clears the parts of its prompt of all crashes before,
// since a part that crashes engines never gets that far. A whole request may crash its
// target at any time of its run, so it is implicated strongly in any case, and only a complete
// answer clears it. Daemons send each other each crash with all that it implicates;
// evidence only ever becomes stronger or cleared, so that reports may come in any order
// and more than once.
//
// A feature is held back once enough crashes implicate it that no other held one explains: three with
// strong evidence, or five with any if these are nearly all crashes meanwhile. It
// is let go when it is cleared. As nothing with the feature is sent any more, one daemon
// sends a single request as a trial from time to time.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/relay"
)

// NoTrial is the rank of a daemon that makes no trials.
const NoTrial = 1 << 30

// Thresholds and limits.
const (
	// strongCrashes is how many crashes with strong evidence hold a feature back, and anyCrashes
	// how many with any, if they are minShareOfCrashes of all crashes meanwhile. The users expect a
	// request to be held back after three crashes, and a part after five. While engines
	// crash for other causes, the rare requests of a session may wait at one after another
	// that crashes: then it takes manyCrashes.
	strongCrashes     = 3
	anyCrashes        = 5
	manyCrashes       = 15
	minShareOfCrashes = 0.8
	// maxAtOnce is how many crashes with weak evidence count within crashSpacing: several engines
	// may fail for one cause while requests with the same part wait there.
	maxAtOnce    = 2
	crashSpacing = 200 * time.Millisecond
	// confirmTime is how long ago a crash with weak evidence must be before it counts: answers that
	// clear it may have begun at other daemons.
	confirmTime = 800 * time.Millisecond
	// usualCrashes is how many crashes it usually takes until a feature is held back.
	usualCrashes = 3
	// crashLifetime is how long a daemon keeps a crash that implicates nothing that is held
	// back. Requests that crash engines may be rare, and one answer ends all suspicion. A
	// daemon that starts may also receive an old crash before it knows that others hold a
	// part back for it.
	crashLifetime = time.Hour
	// trialDelay is the time between the last crash that implicates a held part and the first
	// trial. It doubles with each crash beyond usualCrashes, up to maxDoublings times.
	trialDelay   = time.Minute
	maxDoublings = 5
	// ambiguousTrialDelay takes the place of trialDelay for requests that the same crashes
	// implicate: most of them are sound, and one trial that is answered shows it.
	ambiguousTrialDelay = 5 * time.Second
	// trialStagger is the time between the trials that two daemons may make: the outcome of
	// the first one has reached the second by then.
	trialStagger = 2 * time.Second
	// maxRequestTrials is how many trials a request that is held back gets. The users allow
	// three runs after the third crash; two daemons may make the same trial at once.
	maxRequestTrials = 2
	// MaxHoldTime is how long after the last crash a feature is held back.
	MaxHoldTime = 24 * time.Hour
	// trialSpacing is the least time between two trials of a part. An answer begins, or
	// the engine crashes, long before.
	trialSpacing = 10 * time.Second
	// maxCrashes bounds the crashes that are kept, maxPartsPerCrash the parts that one of
	// them implicates, and maxRequestsPerCrash the whole requests. Callers choose the parts of
	// prompts. An engine of the users runs 64 requests at once.
	maxCrashes          = 64
	maxPartsPerCrash    = 64
	maxRequestsPerCrash = 64
	// requestDepth is the position of a whole request among the features: after all parts.
	requestDepth = maxPartsPerCrash
	// maxReleased bounds the features of Snapshot that are no longer held back.
	maxReleased = 64
)

// State is the strength of the evidence against a feature. It only ever grows.
type State uint8

// States of evidence.
const (
	Weak    State = iota + 1 // the request may only have waited at the engine
	Strong                   // the engine had sent the headers of its answer
	Cleared                  // a request with the feature has been answered since
)

// Request is what the tracker needs to know of a request.
type Request struct {
	Digest uint64 // of its content; 0: unknown
	Prompt []relay.PromptPart
}

// Progress is how far an engine had got with an answer when it crashed.
type Progress uint8

// Stages of an answer.
const (
	NoAnswer    Progress = iota // nothing was sent; the request may only have waited
	HeadersSent                 // the headers were sent and nothing else
	AnswerBegun                 // a part of the answer was sent
)

// Hold says that a feature of requests is held back.
type Hold struct {
	Feature   uint64        // hash of a part's id, or digest of a whole request
	IsRequest bool          // a whole request is held back
	PartID    string        // set by Check if a part is held back
	Crashes   int           // crashes that implicate the feature
	For       time.Duration // until the next trial
}

// Tracker tracks crashes and the features that they implicate. It is not safe for concurrent
// use.
type Tracker struct {
	crashes   map[uint32]*crash // by the hash of the engine's incarnation
	held      []*hold           // whole requests first, then the most specific parts
	triedAt   map[uint64]time.Time
	released  []uint64 // what was let go last, for Snapshot
	answered  answered
	sendStart int // position among the crashes to be sent in turn
}

// crash is the crash of one engine.
type crash struct {
	engine     uint32
	at         time.Time
	receivedAt time.Time // by this daemon
	changedAt  time.Time // when it last changed
	confirmed  bool      // confirmTime has passed since
	sent       int       // how often it was sent since
	// wasSent is set once the crash was sent: changes of it must be sent too.
	wasSent      bool
	evidence     map[uint64]evidence // by feature
	requestCount int                 // whole requests among the implicated
	requestsSent int                 // position among them from which they are sent next
}

// evidence is what a crash says about a feature.
type evidence struct {
	depth uint32 // position in the prompt: fewer sound requests share a later part
	state State
}

// isRequest reports whether a whole request is implicated.
func (e evidence) isRequest() bool { return e.depth == requestDepth }

// New returns a tracker without crashes.
func New() *Tracker {
	return &Tracker{crashes: make(map[uint32]*crash), triedAt: make(map[uint64]time.Time)}
}

// PartHash returns the hash by which daemons identify a part.
func PartHash(id string) uint64 { return xxhash.Sum64String(id) }

// RecordCrash records that an engine has crashed while it ran a request. It returns what is
// held back from now on, and whether other daemons should receive the crash at once, because
// it implicates something strongly that another crash implicates as well.
func (t *Tracker) RecordCrash(request Request, engine uint32, progress Progress, now time.Time) (newlyHeld []Hold, urgent bool) {
	c := t.crashOf(engine, now, now)
	implicate := func(feature uint64, raised evidence) {
		if t.raise(c, feature, raised, now) && raised.state == Strong {
			urgent = urgent || len(t.CrashesOf(feature)) > 1
		}
	}
	if request.Digest != 0 {
		implicate(request.Digest, evidence{requestDepth, Strong})
	}
	if progress != AnswerBegun {
		state := Weak
		if progress == HeadersSent {
			state = Strong
		}
		for depth, shared := range sharedParts(request.Prompt) {
			implicate(PartHash(shared.ID), evidence{uint32(depth), state})
		}
	}
	return t.updateHeld(now), urgent
}

// RecordAnswerBegun records that an engine has begun its answer to a request, which clears
// the parts of the prompt. It returns what is no longer held back.
func (t *Tracker) RecordAnswerBegun(request Request, now time.Time) (released []Hold) {
	var parts []uint64
	for _, shared := range sharedParts(request.Prompt) {
		part := PartHash(shared.ID)
		t.answered.record(part, now)
		parts = append(parts, part)
	}
	if len(t.crashes) == 0 {
		return nil
	}
	return t.clear(parts, now)
}

// RecordAnswerComplete records that a target has answered a request completely, which
// clears the request. It returns what is no longer held back.
func (t *Tracker) RecordAnswerComplete(request Request, now time.Time) (released []Hold) {
	if len(t.crashes) == 0 {
		return nil
	}
	return t.clear([]uint64{request.Digest}, now)
}

// clear clears features of all crashes before. It returns what is no longer held back.
func (t *Tracker) clear(features []uint64, now time.Time) (released []Hold) {
	changed := false
	for _, feature := range features {
		for _, c := range t.crashes {
			if known, found := c.evidence[feature]; found {
				changed = t.raise(c, feature, evidence{known.depth, Cleared}, now) || changed
			}
		}
	}
	if !changed {
		return nil
	}
	return t.releasedBy(now, func() { t.updateHeld(now) })
}

// Check returns the hold on a request, nil if it may be sent. If a trial of what is held
// back is due, Check permits this request as the trial: to the daemon that ranks first for
// the feature at once, to each of the others trialStagger after the one before it, since a
// rare request may not come to the first one. Rank returns the rank of this daemon, from 0.
func (t *Tracker) Check(request Request, rank func(feature uint64) int, now time.Time) *Hold {
	if len(t.held) == 0 {
		return nil
	}
	var due []uint64
	check := func(feature uint64, partID string) *Hold {
		h := t.holdOn(feature)
		if h == nil {
			return nil
		}
		wait := t.trialDue(h).Sub(now)
		if wait > 0 || wait+time.Duration(rank(feature))*trialStagger > 0 {
			return &Hold{feature, h.isRequest, partID, h.crashes, max(wait, trialSpacing)}
		}
		due = append(due, feature)
		return nil
	}
	if hold := check(request.Digest, ""); hold != nil {
		return hold
	}
	for _, shared := range sharedParts(request.Prompt) {
		if hold := check(PartHash(shared.ID), shared.ID); hold != nil {
			return hold
		}
	}
	for _, feature := range due {
		t.triedAt[feature] = now
	}
	return nil
}

// CheckRetry returns a hold on a request whose target may just have crashed under it, if
// the crash of another engine implicates the request already: one more retry could be the
// third crash.
func (t *Tracker) CheckRetry(request Request, lastEngine uint32) *Hold {
	crashes := 0
	for engine, c := range t.crashes {
		if engine != lastEngine && c.implicates(request.Digest) {
			crashes++
		}
	}
	if crashes == 0 {
		return nil
	}
	return &Hold{Feature: request.Digest, IsRequest: true, Crashes: crashes, For: trialSpacing}
}

// Held returns what is held back.
func (t *Tracker) Held(now time.Time) []Hold {
	var holds []Hold
	for _, h := range t.held {
		holds = append(holds, t.describe(h, now))
	}
	return holds
}

// CrashesOf returns the hashes of the engines whose crashes implicate a feature, sorted.
func (t *Tracker) CrashesOf(feature uint64) []uint32 {
	var engines []uint32
	for engine, c := range t.crashes {
		if c.implicates(feature) {
			engines = append(engines, engine)
		}
	}
	slices.Sort(engines)
	return engines
}

// Expire drops old crashes that implicate nothing that is held back. It returns what is held
// back from now on, as nothing has cleared it for a while.
func (t *Tracker) Expire(now time.Time) (newlyHeld []Hold) {
	changed := false
	for engine, c := range t.crashes {
		if now.Sub(c.receivedAt) > crashLifetime && !t.implicatesHeld(c) || now.Sub(c.at) > MaxHoldTime {
			delete(t.crashes, engine)
			changed = true
		}
		if now.Sub(c.at) >= confirmTime && !c.confirmed {
			c.confirmed, changed = true, true
		}
	}
	if !changed {
		return nil
	}
	return t.updateHeld(now)
}

// sharedParts returns the parts of a prompt that other prompts may have as well: all but
// the last.
func sharedParts(prompt []relay.PromptPart) []relay.PromptPart {
	if len(prompt) < 2 {
		return nil
	}
	return prompt[:min(len(prompt)-1, maxPartsPerCrash)]
}

// crashOf returns what is known of an engine's crash, which it adds if it is not known.
func (t *Tracker) crashOf(engine uint32, at, now time.Time) *crash {
	c := t.crashes[engine]
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			t.evict()
		}
		c = &crash{engine: engine, at: at, receivedAt: now, changedAt: now, evidence: make(map[uint64]evidence)}
		t.crashes[engine] = c
	}
	return c
}

// evict drops the oldest crash, one that implicates nothing that is held back if there is any.
func (t *Tracker) evict() {
	var oldest *crash
	for _, c := range t.crashes {
		if oldest == nil || cmp.Or(compareBool(t.implicatesHeld(c), t.implicatesHeld(oldest)), c.at.Compare(oldest.at), cmp.Compare(c.engine, oldest.engine)) < 0 {
			oldest = c
		}
	}
	delete(t.crashes, oldest.engine)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// raise raises the evidence of a crash against a feature and reports whether it was lower. What
// clears a part of one crash clears it of all before: an answer has begun since.
func (t *Tracker) raise(c *crash, feature uint64, raised evidence, now time.Time) bool {
	if !raised.isRequest() && t.clearedSince(feature, c.at) {
		raised.state = Cleared
	}
	if !c.raise(feature, raised, now) {
		return false
	}
	if raised.state == Cleared && !raised.isRequest() {
		for _, earlier := range t.crashes {
			if known, found := earlier.evidence[feature]; found && !earlier.at.After(c.at) {
				earlier.raise(feature, evidence{known.depth, Cleared}, now)
			}
		}
	}
	return true
}

// clearedSince reports whether an answer to a prompt with the part has begun after a time.
func (t *Tracker) clearedSince(part uint64, at time.Time) bool {
	if t.answered.last(part).After(at) {
		return true
	}
	for _, c := range t.crashes {
		if c.evidence[part].state == Cleared && !c.at.Before(at) {
			return true
		}
	}
	return false
}

// raise raises the evidence against a feature and reports whether it was lower. It ignores
// parts beyond maxPartsPerCrash and whole requests beyond maxRequestsPerCrash.
func (c *crash) raise(feature uint64, raised evidence, now time.Time) bool {
	known, found := c.evidence[feature]
	if known.state >= raised.state || !found && c.isFull(raised) {
		return false
	}
	if !found && raised.isRequest() {
		c.requestCount++
	}
	c.evidence[feature] = evidence{max(known.depth, raised.depth), raised.state}
	c.changedAt, c.sent = now, 0
	return true
}

// isFull reports whether the crash implicates as many features of a kind as it may.
func (c *crash) isFull(raised evidence) bool {
	if raised.isRequest() {
		return c.requestCount >= maxRequestsPerCrash
	}
	return len(c.evidence)-c.requestCount >= maxPartsPerCrash
}

// implicates reports whether the crash implicates a feature that is not cleared of it.
func (c *crash) implicates(feature uint64) bool {
	state := c.evidence[feature].state
	return state == Weak || state == Strong
}

// implicatesHeld reports whether a crash implicates anything that is held back.
func (t *Tracker) implicatesHeld(c *crash) bool {
	return slices.ContainsFunc(t.held, func(h *hold) bool { return c.implicates(h.feature) })
}
