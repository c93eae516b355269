package placement

import (
	"slices"
	"time"

	"hemlockknot/internal/protocol/relay"
)

// Parameters of the reports of cached prompts between daemons. The load that they
// answer: sessions move to other engines, because theirs was lost, replaced or full, and
// the next request of a session comes to another daemon. Without a report, that daemon
// has the prompt fetched from an engine that does not hold it, and it is read again.
const (
	// maxHoldersPerSession is how many engines are remembered as holding a session's
	// prompt. Only a hot session has more.
	maxHoldersPerSession = 4
	// maxHolderSessions bounds the sessions whose holders are remembered. When they are
	// discarded, prompts are fetched from their home engine or read again.
	maxHolderSessions = 50_000
	// minSentTokens is the size of the smallest shared prompt that is reported. A
	// smaller one is read in a few milliseconds.
	minSentTokens = 256
	// sendTimes is how often each daemon reports a holder. Each daemon that receives it
	// for the first time does the same, so that nearly all receive it.
	sendTimes = 4
	// sendLifetime is how long a holder is reported. The users expect a prompt to be
	// kept for 10 s after its last use.
	sendLifetime = 10 * time.Second
	// maxUnsent bounds the holders that wait to be sent; the largest prompts stay.
	maxUnsent = 256
	// readyAge is how long after a prompt was sent to an engine it can be fetched there:
	// the engine has read it by then.
	readyAge = 300 * time.Millisecond
)

// Holder says that a session's prompt was sent to an engine. Daemons exchange them.
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

// unsentHolder waits to be sent to other daemons.
type unsentHolder struct {
	session   uint32
	candidate *candidate
	sentAt    time.Duration
	tokens    int
	tellsLeft int
}

// holders remembers which engines hold which sessions' prompts, by this daemon's own
// requests and by the reports of others.
type holders struct {
	bySession map[uint32][]sessionHolder
	unsent    []unsentHolder // the largest prompts first
}

// record records that a session's prompt was sent to an engine at a time. If this is
// new, it will be sent to other daemons.
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
	if tokens >= minSentTokens {
		h.unsent = append(h.unsent, unsentHolder{session, c, sentAt, tokens, sendTimes})
		slices.SortStableFunc(h.unsent, func(a, b unsentHolder) int { return b.tokens - a.tokens })
		h.unsent = h.unsent[:min(len(h.unsent), maxUnsent)]
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
	h.unsent = slices.DeleteFunc(h.unsent, func(u unsentHolder) bool { return u.session == session && u.candidate == c })
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

// TakeUnsent returns at most count holders to send another daemon, those of the
// largest prompts.
func (t *Table) TakeUnsent(count int, now time.Time) []Holder {
	elapsed := now.Sub(t.createdAt)
	t.holders.unsent = slices.DeleteFunc(t.holders.unsent, func(u unsentHolder) bool {
		return u.tellsLeft <= 0 || elapsed-u.sentAt > sendLifetime || t.byID[u.candidate.target.ID] != u.candidate
	})
	var sent []Holder
	for i := range t.holders.unsent[:min(count, len(t.holders.unsent))] {
		u := &t.holders.unsent[i]
		u.tellsLeft--
		sent = append(sent, Holder{SessionHash: u.session, TargetHash: uint32(u.candidate.idHash), Age: elapsed - u.sentAt, Tokens: u.tokens})
	}
	return sent
}

// MergeHolders records the holders that another daemon has sent, except those that
// are unknown engines.
func (t *Table) MergeHolders(received []Holder, now time.Time) {
	elapsed := now.Sub(t.createdAt)
	for _, holder := range received {
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
