package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// hold is a feature that is held back.
type hold struct {
	feature   uint64
	isRequest bool
	ambiguous bool // another held request is implicated by some of the same crashes
	crashes   int
	lastAt    time.Time // of the last crash
}

// suspect is a feature with the crashes that implicate it.
type suspect struct {
	feature uint64
	depth   uint32
	crashes []*crash
}

// weight returns the weight of the crashes for which counts returns true.
func (s suspect) weight(counts func(*crash) bool) int {
	sum := 0
	for _, c := range s.crashes {
		if counts(c) {
			sum += c.weight(s.feature)
		}
	}
	return sum
}

// suspects returns the features that are implicated with holdWeight or more, whole requests
// first, then the most specific parts.
func (t *Tracker) suspects() []suspect {
	byFeature := make(map[uint64]*suspect)
	for _, c := range t.crashes {
		for feature, known := range c.evidence {
			if known.state == Cleared {
				continue
			}
			s := byFeature[feature]
			if s == nil {
				s = &suspect{feature: feature}
				byFeature[feature] = s
			}
			s.depth = max(s.depth, known.depth)
			s.crashes = append(s.crashes, c)
		}
	}
	var suspects []suspect
	for _, s := range byFeature {
		if s.weight(func(*crash) bool { return true }) >= holdWeight {
			suspects = append(suspects, *s)
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.feature, b.feature))
	})
	return suspects
}

// updateHeld determines what is held back and returns what was not before.
func (t *Tracker) updateHeld(now time.Time) (newlyHeld []Hold) {
	suspects := t.suspects()
	firstPart := slices.IndexFunc(suspects, func(s suspect) bool { return s.depth < requestDepth })
	if firstPart < 0 {
		firstPart = len(suspects)
	}
	requests := likeliestRequests(suspects[:firstPart])
	before := t.held
	t.held = nil
	for _, s := range append(requests, likeliestParts(suspects[firstPart:], requests)...) {
		h := &hold{feature: s.feature, isRequest: s.depth == requestDepth, crashes: len(s.crashes)}
		h.ambiguous = h.isRequest && slices.ContainsFunc(requests, func(other suspect) bool {
			return other.feature != s.feature && slices.ContainsFunc(s.crashes, other.implicatedBy)
		})
		for _, c := range s.crashes {
			if c.at.After(h.lastAt) {
				h.lastAt = c.at
			}
		}
		t.held = append(t.held, h)
		if !slices.ContainsFunc(before, func(b *hold) bool { return b.feature == h.feature }) {
			newlyHeld = append(newlyHeld, t.describe(h, now))
		}
	}
	return newlyHeld
}

// likeliestRequests returns the requests to hold back: those that enough crashes implicate,
// without those that only happened to run beside another one, whose crashes are some of
// the other's. Of requests with the same crashes any may be the fatal one.
func likeliestRequests(suspects []suspect) []suspect {
	var chosen []suspect
	for _, s := range suspects {
		if !slices.ContainsFunc(suspects, func(other suspect) bool {
			return len(other.crashes) > len(s.crashes) && !slices.ContainsFunc(s.crashes, func(c *crash) bool { return !other.implicatedBy(c) })
		}) {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// likeliestParts returns the parts to hold back: those that the crashes implicate enough that
// more specific held parts do not explain. One that the others make needless is let go
// again: a session whose requests happened to be the first with a fatal part. A part is no
// suspect if one request explains its crashes. Several requests do not: it may be what
// they have in common.
func likeliestParts(suspects, heldRequests []suspect) []suspect {
	var chosen []suspect
	for _, s := range suspects {
		if slices.ContainsFunc(heldRequests, func(request suspect) bool {
			return s.weight(func(c *crash) bool { return !request.implicatedBy(c) }) < strongWeight
		}) {
			continue
		}
		if s.weight(func(c *crash) bool { return !explained(c, chosen) }) >= holdWeight {
			chosen = append(chosen, s)
		}
	}
	for i := 0; i < len(chosen); {
		others := slices.Delete(slices.Clone(chosen), i, i+1)
		if chosen[i].weight(func(c *crash) bool { return !explained(c, others) }) == 0 {
			chosen = others
			continue
		}
		i++
	}
	return chosen
}

// implicatedBy reports whether a crash implicates the suspect.
func (s suspect) implicatedBy(c *crash) bool { return c.weight(s.feature) > 0 }

// explained reports whether a crash implicates any of the suspects.
func explained(c *crash, by []suspect) bool {
	return slices.ContainsFunc(by, func(s suspect) bool { return s.implicatedBy(c) })
}

// releasedBy returns what is held back before a change but not after it.
func (t *Tracker) releasedBy(now time.Time, change func()) (released []Hold) {
	before := t.held
	change()
	for _, h := range before {
		if t.holdOn(h.feature) == nil {
			released = append(released, t.describe(h, now))
			delete(t.triedAt, h.feature)
		}
	}
	return released
}

// trialDue returns when the next trial of a held feature is due.
func (t *Tracker) trialDue(h *hold) time.Time {
	failedTrials := max(0, h.crashes-usualCrashes)
	if h.isRequest && failedTrials >= maxRequestTrials {
		return h.lastAt.Add(maxHoldTime)
	}
	delay := trialDelay
	if h.ambiguous {
		delay = ambiguousTrialDelay
	}
	due := h.lastAt.Add(delay << min(failedTrials, maxDoublings))
	tried := t.triedAt[h.feature]
	if next := tried.Add(trialSpacing); tried.After(h.lastAt) && next.After(due) {
		return next
	}
	return due
}

// describe returns the hold on a feature.
func (t *Tracker) describe(h *hold, now time.Time) Hold {
	return Hold{Feature: h.feature, IsRequest: h.isRequest, Crashes: h.crashes, For: max(0, t.trialDue(h).Sub(now))}
}

// holdOn returns the hold on a feature, or nil.
func (t *Tracker) holdOn(feature uint64) *hold {
	if i := slices.IndexFunc(t.held, func(h *hold) bool { return h.feature == feature }); i >= 0 {
		return t.held[i]
	}
	return nil
}
