package placement

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/relay"
)

// Parameters of what daemons tell each other about cached prompts. The load that they
// answer: sessions move to other engines, because theirs was lost, replaced or full, and
// the next request of a session comes to another daemon. Without being told, that daemon
// has the prompt fetched from an engine that does not hold it, and it is read again.
const (
	// maxHoldersPerSession is how many engines are remembered as holding a session's
	// prompt. Only a hot session has more.
	maxHoldersPerSession = 4
	// maxHolderSessions bounds the sessions whose holders are remembered. When they are
	// discarded, prompts are fetched from their home engine or read again.
	maxHolderSessions = 50_000
	// minToldTokens is the size of the smallest shared prompt that daemons tell of. A
	// smaller one is read in a few milliseconds.
	minToldTokens = 256
	// tellTimes is how often each daemon tells of a holder. Each daemon that hears of it
	// for the first time does the same, so that nearly all hear of it.
	tellTimes = 4
	// tellLifetime is how long a holder is told of. The users expect a prompt to be
	// kept for 10 s after its last use.
	tellLifetime = 10 * time.Second
	// maxUntold bounds the holders that wait to be told of; the largest prompts stay.
	maxUntold = 256
	// readyAge is how long after a prompt was sent to an engine it can be fetched there:
	// the engine has read it by then.
	readyAge = 300 * time.Millisecond
)

// Holder tells that a session's prompt was sent to an engine. Daemons exchange them.
type Holder struct {
	SessionHash uint32        // low 32 bits of the session's key
	TargetHash  uint32        // low 32 bits of the hash of the engine's id
	Age         time.Duration // time since the prompt was sent
	Tokens      int           // of the shared prompt
}

// sessionHolder is an engine that a session's prompt was sent to.
type sessionHolder struct {
	candidate *candidate
	sentAt    time.Duration // since the table's creation
}

// untoldHolder waits to be told to other daemons.
type untoldHolder struct {
	session   uint32
	candidate *candidate
	sentAt    time.Duration
	tokens    int
	tellsLeft int
}

// holders remembers which engines hold which sessions' prompts, by this daemon's own
// requests and by what others tell.
type holders struct {
	bySession map[uint32][]sessionHolder
	untold    []untoldHolder // the largest prompts first
}

// record records that a session's prompt was sent to an engine at a time. If this is
// news, other daemons will be told.
func (h *holders) record(session uint32, c *candidate, sentAt time.Duration, tokens int) {
	list := h.bySession[session]
	for i := range list {
		if list[i].candidate == c {
			list[i].sentAt = max(list[i].sentAt, sentAt)
			return
		}
	}
	if len(h.bySession) >= maxHolderSessions {
		clear(h.bySession)
	}
	list = append(list, sessionHolder{c, sentAt})
	if len(list) > maxHoldersPerSession {
		list = list[1:]
	}
	h.bySession[session] = list
	if tokens >= minToldTokens {
		h.untold = append(h.untold, untoldHolder{session, c, sentAt, tokens, tellTimes})
		slices.SortStableFunc(h.untold, func(a, b untoldHolder) int { return b.tokens - a.tokens })
		h.untold = h.untold[:min(len(h.untold), maxUntold)]
	}
}

// forget records that an engine may not hold a session's prompt.
func (h *holders) forget(session uint32, c *candidate) {
	list := slices.DeleteFunc(h.bySession[session], func(known sessionHolder) bool { return known.candidate == c })
	if len(list) == 0 {
		delete(h.bySession, session)
	} else {
		h.bySession[session] = list
	}
	h.untold = slices.DeleteFunc(h.untold, func(u untoldHolder) bool { return u.session == session && u.candidate == c })
}

// holderOf returns the engine from which a chosen one should fetch a session's prompt:
// the session's home if it holds the prompt, else the one that it was sent to last, but
// long enough ago to have read it. It returns nil if no other engine is known.
func (t *Table) holderOf(query Query, chosen, home *candidate, elapsed time.Duration) *candidate {
	var best *sessionHolder
	list := t.holders.bySession[uint32(query.Session)]
	for i := range list {
		known := &list[i]
		if known.candidate == chosen || t.byID[known.candidate.target.ID] != known.candidate || !query.Reachable(known.candidate.target.ID) {
			continue
		}
		if known.candidate == home {
			return home
		}
		if best == nil || known.ready(elapsed) && (!best.ready(elapsed) || known.sentAt > best.sentAt) {
			best = known
		}
	}
	if best == nil {
		return nil
	}
	return best.candidate
}

// ready reports whether the engine has read the prompt.
func (s *sessionHolder) ready(elapsed time.Duration) bool { return elapsed-s.sentAt >= readyAge }

// TakeUntold returns at most count holders to tell another daemon of, those of the
// largest prompts.
func (t *Table) TakeUntold(count int, now time.Time) []Holder {
	elapsed := now.Sub(t.createdAt)
	t.holders.untold = slices.DeleteFunc(t.holders.untold, func(u untoldHolder) bool {
		return u.tellsLeft <= 0 || elapsed-u.sentAt > tellLifetime || t.byID[u.candidate.target.ID] != u.candidate
	})
	var told []Holder
	for i := range t.holders.untold[:min(count, len(t.holders.untold))] {
		u := &t.holders.untold[i]
		u.tellsLeft--
		told = append(told, Holder{SessionHash: u.session, TargetHash: uint32(u.candidate.idHash), Age: elapsed - u.sentAt, Tokens: u.tokens})
	}
	return told
}

// MergeHolders records the holders that another daemon has told of, except those that
// are unknown engines.
func (t *Table) MergeHolders(told []Holder, now time.Time) {
	elapsed := now.Sub(t.createdAt)
	for _, holder := range told {
		if c := t.byHash[holder.TargetHash]; c != nil {
			t.holders.record(holder.SessionHash, c, elapsed-holder.Age, holder.Tokens)
		}
	}
}

// sharedTokens returns the size of the shared part of a prompt.
func sharedTokens(parts []relay.PromptPart) int {
	tokens := 0
	for _, part := range parts[:len(parts)-1] {
		tokens += part.Tokens
	}
	return tokens
}
