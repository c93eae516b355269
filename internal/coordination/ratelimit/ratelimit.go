// Package ratelimit shares the rate limits that targets name among the daemons. It is a
// state machine without I/O or clock.
//
// The load that it answers is a target in need, which names in its answers how many
// requests per second it takes from all daemons together. A daemon may send its share of
// them, from a token bucket; the other requests go to other targets. A share of a small
// limit among many daemons would be nothing each, so only as many daemons use the target
// as get a usable share, those that rank first for it, and the others leave it alone.
// All daemons with the same view of the fleet compute the same shares.
//
// Invariant: in any window of 4 s, the tokens of all users of a target allow at most
// 6 x the limit + burstSlack requests; the users' bound is 6 x the limit + 5. The rest is
// for daemons whose views of the fleet differ for a while.
package ratelimit

import (
	"math"
	"time"
)

const (
	// minShare is the least share of a limit that a daemon uses, in requests per second.
	// With less, most tokens would be spent on no request of the target's own sessions.
	minShare = 0.5
	// burstPerLimit and burstSlack set how many tokens all users of a target together may
	// save, in seconds of the limit and in requests.
	burstPerLimit = 2.0
	burstSlack    = 2.0
	// statementLifetime is how long the last statement of a target holds if it makes no
	// further one. Its users get one with each answer.
	statementLifetime = 30 * time.Second
)

// Fleet is a daemon's view of the other daemons.
type Fleet interface {
	// Rank returns how many known daemons rank above this one for a key, and the number
	// of known daemons, this one included.
	Rank(key uint64) (above, known int)
}

// Tracker tracks the limits of targets. It is not safe for concurrent use.
type Tracker struct {
	fleet   Fleet
	targets map[uint32]*target // by the hash of the incarnation
	limited int                // targets with a limit
}

// target is what is known of one target.
type target struct {
	limit     float64   // requests per second by all daemons; 0: none
	saidAt    time.Time // when the target said so
	changedAt time.Time // when this daemon received the limit
	sent      int       // how often it was sent since
	bucket    bucket
}

// New returns a tracker without limits.
func New(fleet Fleet) *Tracker {
	return &Tracker{fleet: fleet, targets: make(map[uint32]*target)}
}

// Any reports whether any target has a limit.
func (t *Tracker) Any() bool { return t.limited > 0 }

// RecordAnswer records the limit that a target names in an answer, 0 if it names none. It
// reports whether that is a change.
func (t *Tracker) RecordAnswer(incarnation uint32, limit float64, now time.Time) (changed bool) {
	if limit == 0 && t.targets[incarnation] == nil {
		return false
	}
	return t.record(incarnation, limit, now, now)
}

// record records what a target said at a time, unless a later statement is known.
func (t *Tracker) record(incarnation uint32, limit float64, saidAt, now time.Time) (changed bool) {
	known := t.targets[incarnation]
	if known == nil {
		known = &target{bucket: bucket{tokens: 1, refilledAt: now}}
		t.targets[incarnation] = known
	}
	if saidAt.Before(known.saidAt) {
		return false
	}
	known.saidAt = saidAt
	if known.limit == limit {
		return false
	}
	t.countLimited(known.limit, limit)
	known.limit, known.changedAt, known.sent = limit, now, 0
	return true
}

func (t *Tracker) countLimited(before, after float64) {
	if before > 0 {
		t.limited--
	}
	if after > 0 {
		t.limited++
	}
}

// Uses reports whether this daemon may send a target any of the requests within its limit.
func (t *Tracker) Uses(incarnation uint32) bool {
	known := t.targets[incarnation]
	if known == nil {
		return false
	}
	_, _, uses := t.share(incarnation, known.limit)
	return uses
}

// Limited reports whether a target has a limit.
func (t *Tracker) Limited(incarnation uint32) bool {
	known := t.targets[incarnation]
	return known != nil && known.limit > 0
}

// Limit returns the limit that a target names, 0 if none, and when it last did.
func (t *Tracker) Limit(incarnation uint32) (limit float64, saidAt time.Time) {
	known := t.targets[incarnation]
	if known == nil {
		return 0, time.Time{}
	}
	return known.limit, known.saidAt
}

// Wait returns how long this daemon must not send a request to a target, 0 if it may. For a
// target that this daemon leaves to others it is the time in which the target takes one
// more request from any daemon.
func (t *Tracker) Wait(incarnation uint32, now time.Time) time.Duration {
	known := t.targets[incarnation]
	if known == nil || known.limit <= 0 {
		return 0
	}
	rate, burst, uses := t.share(incarnation, known.limit)
	if !uses {
		return seconds(1 / known.limit)
	}
	known.bucket.refill(rate, burst, now)
	return known.bucket.wait(rate)
}

// Take records that a request is sent to a target.
func (t *Tracker) Take(incarnation uint32, now time.Time) {
	known := t.targets[incarnation]
	if known == nil || known.limit <= 0 {
		return
	}
	if rate, burst, uses := t.share(incarnation, known.limit); uses {
		known.bucket.refill(rate, burst, now)
		known.bucket.tokens--
	}
}

// share returns this daemon's share of a limit, in requests per second, how many tokens it
// may save, and whether it uses the target at all.
func (t *Tracker) share(incarnation uint32, limit float64) (rate, burst float64, uses bool) {
	above, known := t.fleet.Rank(uint64(incarnation))
	users := min(max(1, math.Floor(limit/minShare)), float64(known))
	return limit / users, max(1, (burstPerLimit*limit+burstSlack)/users), float64(above) < users
}

// Expire drops the statements of targets that have made none for statementLifetime.
func (t *Tracker) Expire(now time.Time) {
	for incarnation, known := range t.targets {
		if now.Sub(known.saidAt) > statementLifetime {
			t.countLimited(known.limit, 0)
			delete(t.targets, incarnation)
		}
	}
}

// bucket is a token bucket. One token is one request.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last refill, up to burst.
func (b *bucket) refill(rate, burst float64, now time.Time) {
	b.tokens = min(burst, b.tokens+rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
}

// wait returns the time until there is a token, 0 if there is one.
func (b *bucket) wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	return seconds((1 - b.tokens) / rate)
}

// seconds converts a number of seconds. It is at least 1 ms, so that it is not taken for 0.
func seconds(s float64) time.Duration {
	return max(time.Millisecond, time.Duration(min(s, statementLifetime.Seconds())*float64(time.Second)))
}
