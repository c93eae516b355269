package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sendLifetime is how long a crash is reported after it has changed. Several rounds of
	// exchanges reach all daemons within it.
	sendLifetime = 10 * time.Second
	// sendTimes is how often each daemon reports a crash after it has changed. Each daemon
	// that receives the change does the same.
	sendTimes = 8
	// maxSentParts is how many parts a report of a crash has: those with strong evidence, then
	// those cleared, the most specific ones first.
	maxSentParts = 12
	// maxSentRequests is how many whole requests a report has: those that other crashes
	// implicate as well, then the rest in turn.
	maxSentRequests = 8
)

// Report is what one daemon sends another of a crash.
type Report struct {
	Engine   uint32        // hash of the engine's incarnation
	Age      time.Duration // time since the crash
	Evidence []Evidence
	// Suspicious is set if the crash implicates a part strongly, or a request that another
	// crash implicates as well. It is not sent.
	Suspicious bool
}

// Evidence is a feature that a crash implicates.
type Evidence struct {
	Feature uint64 // hash of a part's id, or digest of a whole request
	Depth   uint32 // position in the prompt; after all parts for a whole request
	State   State
}

// Reports returns at most count crashes to send another daemon: those that have changed
// lately, and those that implicate what is held back, in turn. If there are both, each kind
// gets half. Of the first kind, the least sent come first, of these those that share an implicated
// feature with others. Crashes without strong evidence are not sent: nearly all of them have
// other causes than a prompt, and reports take the place of loads.
func (t *Tracker) Reports(count int, now time.Time) []Report {
	var ofHeld, recent []*crash
	for _, c := range t.crashes {
		switch {
		case now.Sub(c.changedAt) <= sendLifetime && c.sent < sendTimes && (c.wasSent || c.implicatesStrongly()):
			recent = append(recent, c)
		case t.implicatesHeld(c):
			ofHeld = append(ofHeld, c)
		}
	}
	counts := t.crashCounts()
	slices.SortFunc(recent, func(a, b *crash) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), compareBool(b.shares(counts), a.shares(counts)), b.changedAt.Compare(a.changedAt), cmp.Compare(a.engine, b.engine))
	})
	slices.SortFunc(ofHeld, func(a, b *crash) int { return cmp.Compare(a.engine, b.engine) })
	fromHeld := min(len(ofHeld), max(count/2, count-len(recent)))
	sent := recent[:min(len(recent), count-fromHeld)]
	for range fromHeld {
		t.sendStart = (t.sendStart + 1) % len(ofHeld)
		sent = append(sent, ofHeld[t.sendStart])
	}
	reports := make([]Report, len(sent))
	for i, c := range sent {
		c.sent++
		c.wasSent = true
		reports[i] = c.report(counts, t.isHeld, now)
	}
	return reports
}

// Snapshot returns what has to outlive all daemons: the crashes that implicate what is held back, or what
// was let go last, with the evidence about just that.
func (t *Tracker) Snapshot(now time.Time) []Report {
	var reports []Report
	for _, c := range t.crashes {
		report := Report{Engine: c.engine, Age: now.Sub(c.at)}
		for feature, known := range c.evidence {
			switch isHeld := t.isHeld(feature); {
			case isHeld && known.state == Weak:
				known.state = Strong // as in report
			case isHeld, known.state == Cleared && slices.Contains(t.released, feature):
			default:
				continue
			}
			report.Evidence = append(report.Evidence, Evidence{feature, known.depth, known.state})
		}
		if len(report.Evidence) > 0 {
			slices.SortFunc(report.Evidence, func(a, b Evidence) int { return cmp.Compare(a.Feature, b.Feature) })
			reports = append(reports, report)
		}
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Engine, b.Engine) })
	return reports
}

// implicatesStrongly reports whether the crash has strong evidence that is not cleared.
func (c *crash) implicatesStrongly() bool {
	for _, known := range c.evidence {
		if known.state == Strong {
			return true
		}
	}
	return false
}

// crashCounts returns the number of crashes that implicate each feature.
func (t *Tracker) crashCounts() map[uint64]int {
	counts := make(map[uint64]int)
	for _, c := range t.crashes {
		for feature := range c.evidence {
			if c.implicates(feature) {
				counts[feature]++
			}
		}
	}
	return counts
}

// shares reports whether the crash implicates a feature that others implicate as well.
func (c *crash) shares(counts map[uint64]int) bool {
	for feature := range c.evidence {
		if c.implicates(feature) && counts[feature] > 1 {
			return true
		}
	}
	return false
}

// isHeld reports whether a feature is held back.
func (t *Tracker) isHeld(feature uint64) bool { return t.holdOn(feature) != nil }

// report returns what to send of the crash. Evidence against what is held back is sent as strong:
// a daemon of an earlier build holds nothing back for five crashes with weak evidence.
func (c *crash) report(counts map[uint64]int, isHeld func(feature uint64) bool, now time.Time) Report {
	report := Report{Engine: c.engine, Age: now.Sub(c.at)}
	var parts, shared, requests []Evidence
	for feature, known := range c.evidence {
		reported := Evidence{feature, known.depth, known.state}
		if known.state == Weak && isHeld(feature) {
			reported.State = Strong
		}
		isShared := known.state != Cleared && counts[feature] > 1
		switch {
		case !known.isRequest():
			parts = append(parts, reported)
			report.Suspicious = report.Suspicious || known.state == Strong
		case isShared:
			shared = append(shared, reported)
			report.Suspicious = true
		default:
			requests = append(requests, reported)
		}
	}
	slices.SortFunc(parts, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(sendOrder(a.State), sendOrder(b.State)), cmp.Compare(b.Depth, a.Depth), cmp.Compare(a.Feature, b.Feature))
	})
	slices.SortFunc(shared, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(counts[b.Feature], counts[a.Feature]), cmp.Compare(a.Feature, b.Feature))
	})
	slices.SortFunc(requests, func(a, b Evidence) int { return cmp.Compare(a.Feature, b.Feature) })
	report.Evidence = append(parts[:min(len(parts), maxSentParts)], shared[:min(len(shared), maxSentRequests)]...)
	for range min(len(requests), maxSentRequests-min(len(shared), maxSentRequests)) {
		c.requestsSent = (c.requestsSent + 1) % len(requests)
		report.Evidence = append(report.Evidence, requests[c.requestsSent])
	}
	return report
}

// sendOrder returns the position of a state among those to be sent.
func sendOrder(state State) int { return slices.Index([]State{Strong, Cleared, Weak}, state) }

// Merge records what another daemon has sent. It returns what is held back from now on
// and what no longer is, and whether other daemons should receive it at once.
func (t *Tracker) Merge(reports []Report, now time.Time) (newlyHeld []Hold, released []Hold, urgent bool) {
	changed := false
	for _, report := range reports {
		c := t.crashOf(report.Engine, now.Add(-report.Age), now)
		for _, received := range report.Evidence {
			raised := evidence{min(received.Depth, requestDepth), min(received.State, Cleared)}
			if t.raise(c, received.Feature, raised, now) {
				changed = true
				urgent = urgent || len(t.CrashesOf(received.Feature)) > 1
			}
		}
	}
	if !changed {
		return nil, nil, false
	}
	released = t.releasedBy(now, func() { newlyHeld = t.updateHeld(now) })
	return newlyHeld, released, urgent
}
