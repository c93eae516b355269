package quarantine

import "time"

// answeredLifetime is how long it is remembered at least when an answer to a prompt with a part
// last began. A crash of before is reported to this daemon well within it.
const answeredLifetime = sendLifetime

// maxAnswered bounds the parts of one answeredLifetime that are remembered. At the target size a
// daemon begins 1,300 answers in that time, to prompts of a few parts each.
const maxAnswered = 10_000

// answered remembers when answers to prompts with a part last began. Such an answer clears the
// part of all crashes before, also of those that this daemon has not heard of yet.
type answered struct {
	rotatedAt time.Time
	recent    map[uint64]time.Time // of the last answeredLifetime at most
	older     map[uint64]time.Time // of the answeredLifetime before
}

// record records that an answer to a prompt with a part has begun.
func (a *answered) record(part uint64, now time.Time) {
	if now.Sub(a.rotatedAt) >= answeredLifetime {
		a.older, a.recent, a.rotatedAt = a.recent, make(map[uint64]time.Time), now
	}
	if len(a.recent) < maxAnswered {
		a.recent[part] = now
	}
}

// last returns when the last answer to a prompt with the part began, the zero time if that is
// not known.
func (a *answered) last(part uint64) time.Time {
	if at := a.recent[part]; at.After(a.older[part]) {
		return at
	}
	return a.older[part]
}
