// Package docsync decides how new versions of the environment document are
// distributed to the daemons: which version is newer, when to fetch it from a peer,
// what to send to a peer, and which daemons watch the platform for changes. The
// package is a state machine without I/O and without a clock.
package docsync

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// Limits of document distribution.
const (
	// WatchersPerDomain is how many daemons of a failure domain watch the platform.
	WatchersPerDomain = 2
	// MinFetchInterval is the shortest time between two fetches from peers. Changes
	// that follow one another faster are fetched together.
	MinFetchInterval = time.Second
	// maxStoredSteps is how many steps between successive versions are kept. A peer
	// whose version precedes the oldest step receives the whole document.
	maxStoredSteps = 64
)

// Version identifies one state of the document. If the platform's environment
// object is deleted and recreated, a generation can recur with different content.
// Versions of the same generation are ordered by digest, so that all daemons converge
// on the same one.
type Version struct {
	Generation uint64
	Digest     uint64 // xxhash64 of the document's text
}

// VersionOf returns the version of a document from its generation and text.
func VersionOf(generation uint64, text []byte) Version {
	return Version{Generation: generation, Digest: xxhash.Sum64(text)}
}

// Newer reports whether v is newer than other and so replaces it.
func (v Version) Newer(other Version) bool {
	if v.Generation != other.Generation {
		return v.Generation > other.Generation
	}
	return v.Digest > other.Digest
}

// Tracker holds the document version in force at a daemon and the steps that led to
// it from earlier versions. It is not safe for concurrent use.
type Tracker struct {
	active      Version
	rejected    Version      // the last version that was invalid
	nextFetchAt time.Time    // end of the current fetch interval
	steps       []storedStep // oldest first; each starts at the version where the previous one ended
}

// storedStep is a step from one version of the document to the next.
type storedStep struct {
	from    Version
	message *peerpb.DocumentStep
}

// Active returns the version in force, or the zero value if there is none.
func (t *Tracker) Active() Version { return t.active }

// Acceptable reports whether a version should replace the version in force, provided
// that its document is valid.
func (t *Tracker) Acceptable(offered Version) bool {
	return offered.Newer(t.active) && offered != t.rejected
}

// StartFetch reports whether to fetch the version that a peer offers. If it returns
// true, the caller must start the fetch, and the fetch interval begins.
func (t *Tracker) StartFetch(offered Version, now time.Time) bool {
	if !t.Acceptable(offered) || now.Before(t.nextFetchAt) {
		return false
	}
	t.nextFetchAt = now.Add(MinFetchInterval)
	return true
}

// Reject records that a version is invalid, so that it is not fetched again until
// another version is rejected. The version in force does not change.
func (t *Tracker) Reject(version Version) { t.rejected = version }

// SetActive records that a version has been put in force. The edits turn the text of
// the previous version into that of the new one; they are stored as a step to be sent
// to peers. If there are no edits, or if previous is not the version in force, all
// stored steps are dropped.
func (t *Tracker) SetActive(version, previous Version, edits []*peerpb.DocumentEdit) {
	if previous != t.active || len(edits) == 0 {
		t.steps = nil
	} else {
		message := &peerpb.DocumentStep{Generation: version.Generation, Digest: version.Digest, Edits: edits}
		t.steps = append(t.steps, storedStep{from: previous, message: message})
	}
	if len(t.steps) > maxStoredSteps {
		t.steps = t.steps[1:]
	}
	t.active = version
}

// BuildReply returns the update for a peer. The parameter known is the peer's version,
// and text is the whole text of the version in force. The reply is empty if known is
// not older than the version in force. Otherwise it contains the steps from known to
// the version in force, or text if these steps are not stored or are larger.
func (t *Tracker) BuildReply(known Version, text []byte) *peerpb.DocumentReply {
	if !t.active.Newer(known) {
		return new(peerpb.DocumentReply)
	}
	reply := &peerpb.DocumentReply{Generation: t.active.Generation, Digest: t.active.Digest}
	reply.Steps = t.stepsSince(known, len(text))
	if reply.Steps == nil {
		reply.Document = text
	}
	return reply
}

// stepsSince returns the steps from a version to the version in force. It returns nil
// if no stored step starts at the version or if the steps are larger than maxBytes.
func (t *Tracker) stepsSince(known Version, maxBytes int) []*peerpb.DocumentStep {
	var steps []*peerpb.DocumentStep
	size := 0
	for _, stored := range t.steps {
		if stored.from != known && steps == nil {
			continue
		}
		steps = append(steps, stored.message)
		size += stepSize(stored.message)
	}
	if size > maxBytes {
		return nil
	}
	return steps
}

// stepSize returns the approximate encoded size of a step in bytes.
func stepSize(message *peerpb.DocumentStep) int {
	const editOverhead = 16 // bytes
	size := 0
	for _, edit := range message.GetEdits() {
		size += len(edit.GetInsert()) + editOverhead
	}
	return size
}

// ShouldWatchPlatform reports whether a daemon is one of those that watch the
// platform for its failure domain. These are the highest ranked of the domain's
// members that can reach the platform, or of all its members if none can. Members
// that are leaving do not count.
func ShouldWatchPlatform(self *peerpb.Member, live []*peerpb.Member) bool {
	var eligible, all []ranking.Candidate
	for _, member := range live {
		if member.GetFailureDomain() != self.GetFailureDomain() || member.GetLeaving() {
			continue
		}
		candidate := ranking.Candidate{Name: member.GetName(), Weight: 1}
		all = append(all, candidate)
		if !member.GetPlatformAway() {
			eligible = append(eligible, candidate)
		}
	}
	if len(eligible) == 0 {
		eligible = all
	}
	order := ranking.Order(ranking.Hash("watch", self.GetFailureDomain()), eligible)
	for _, name := range order[:min(WatchersPerDomain, len(order))] {
		if name == self.GetName() {
			return true
		}
	}
	return false
}
