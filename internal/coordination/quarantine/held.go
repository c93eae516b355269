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

// support is how much evidence there is against a suspect. Stronger evidence of a crash makes none
// of it less, so that it is never in favour of a suspect with the same crashes.
type support struct {
	strong    int // crashes with strong evidence
	any       int // crashes with any evidence, by countSpaced
	confirmed int // confirmed crashes with any evidence, by countSpaced
	all       int // all confirmed crashes in the time of these, by countSpaced; 0 if any is too small anyway
}

// support returns the evidence of the crashes for which counts returns true. Weak evidence counts
// once it is confirmed.
func (t *Tracker) support(s suspect, counts func(*crash) bool) support {
	var found support
	var times, confirmed []time.Time
	for _, c := range s.crashes {
		if !counts(c) {
			continue
		}
		isStrong := c.evidence[s.feature].state == Strong
		if isStrong {
			found.strong++
		}
		if isStrong || c.confirmed {
			times = append(times, c.at)
		}
		if c.confirmed {
			confirmed = append(confirmed, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	slices.SortFunc(confirmed, time.Time.Compare)
	found.any, found.confirmed = countSpaced(times), countSpaced(confirmed)
	if found.any >= anyCrashes && len(confirmed) > 0 {
		found.all = t.countConfirmed(confirmed[0], confirmed[len(confirmed)-1])
	}
	return found
}

// suffices reports whether the evidence is enough to hold a feature back.
func (s support) suffices() bool {
	isMostCrashes := float64(s.confirmed) >= minShareOfCrashes*float64(s.all)
	return s.strong >= strongCrashes || s.any >= anyCrashes && isMostCrashes || s.any >= manyCrashes
}

// isCoincidence reports whether the evidence is so little that sound requests may have waited
// there by chance.
func (s support) isCoincidence() bool { return s.strong == 0 && s.any <= 1 }

// countConfirmed counts the confirmed crashes from one time until another, by countSpaced.
func (t *Tracker) countConfirmed(from, until time.Time) int {
	var times []time.Time
	for _, c := range t.crashes {
		if c.confirmed && !c.at.Before(from) && !c.at.After(until) {
			times = append(times, c.at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return countSpaced(times)
}

// countSpaced counts sorted times, at most maxAtOnce of those within crashSpacing.
func countSpaced(times []time.Time) int {
	count, atOnce := 0, 0
	var first time.Time
	for _, at := range times {
		if atOnce == 0 || at.Sub(first) >= crashSpacing {
			first, atOnce = at, 0
		}
		if atOnce++; atOnce <= maxAtOnce {
			count++
		}
	}
	return count
}

// suspects returns the features that are implicated enough to be held back, whole requests
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
		if t.support(*s, func(*crash) bool { return true }).suffices() {
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
	for _, s := range append(requests, t.likeliestParts(suspects[firstPart:], requests)...) {
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
func (t *Tracker) likeliestParts(suspects, heldRequests []suspect) []suspect {
	var chosen []suspect
	for _, s := range suspects {
		if slices.ContainsFunc(heldRequests, func(request suspect) bool {
			return t.support(s, func(c *crash) bool { return !request.implicatedBy(c) }).isCoincidence()
		}) {
			continue
		}
		if t.support(s, func(c *crash) bool { return !explained(c, chosen) }).suffices() {
			chosen = append(chosen, s)
		}
	}
	for i := 0; i < len(chosen); {
		others := slices.Delete(slices.Clone(chosen), i, i+1)
		if t.support(chosen[i], func(c *crash) bool { return !explained(c, others) }) == (support{}) {
			chosen = others
			continue
		}
		i++
	}
	return chosen
}

// implicatedBy reports whether a crash implicates the suspect.
func (s suspect) implicatedBy(c *crash) bool { return c.implicates(s.feature) }

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
			t.released = append(t.released[max(0, len(t.released)-maxReleased+1):], h.feature)
		}
	}
	return released
}

// trialDue returns when the next trial of a held feature is due.
func (t *Tracker) trialDue(h *hold) time.Time {
	failedTrials := max(0, h.crashes-usualCrashes)
	if h.isRequest && failedTrials >= maxRequestTrials {
		return h.lastAt.Add(MaxHoldTime)
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
