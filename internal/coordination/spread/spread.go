// Package spread decides how environment documents reach a daemon: which
// version is newest, when to fetch from a peer, what to send to one, and which
// daemons watch the platform. It is a state machine without I/O or clock.
package spread

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
)

// Limits of spreading.
const (
	// WatchersPerDomain is how many daemons of a failure domain watch the platform.
	WatchersPerDomain = 2
	// FetchInterval is the least time between fetches from peers; changes that
	// come faster are fetched together.
	FetchInterval = time.Second
	// maxSteps is how many past generations a peer can be brought up from.
	maxSteps = 64
)

// Version names one state of the document. A deleted and recreated object can
// repeat a generation with another content, so the digest orders those: all
// daemons then settle on the same one.
type Version struct {
	Generation uint64
	Digest     uint64 // xxhash64 of the text
}

// VersionOf returns the version of a text.
func VersionOf(generation uint64, text []byte) Version {
	return Version{Generation: generation, Digest: xxhash.Sum64(text)}
}

// Newer reports whether v replaces other.
func (v Version) Newer(other Version) bool {
	if v.Generation != other.Generation {
		return v.Generation > other.Generation
	}
	return v.Digest > other.Digest
}

// Tracker keeps what a daemon knows of document versions. It is not safe for
// concurrent use.
type Tracker struct {
	inForce   Version
	refused   Version
	nextFetch time.Time
	steps     []step // oldest first; each starts where the one before ended
}

type step struct {
	from    Version
	message *peerpb.DocumentStep
}

// InForce returns the version in force; the zero value means none.
func (t *Tracker) InForce() Version { return t.inForce }

// Acceptable reports whether a version would come into force if it is valid.
func (t *Tracker) Acceptable(offered Version) bool {
	return offered.Newer(t.inForce) && offered != t.refused
}

// Fetch reports whether to fetch an offered version from a peer now. A true
// answer counts as the start of a fetch.
func (t *Tracker) Fetch(offered Version, now time.Time) bool {
	if !t.Acceptable(offered) || now.Before(t.nextFetch) {
		return false
	}
	t.nextFetch = now.Add(FetchInterval)
	return true
}

// Refuse notes that a version is not valid, so that it is not fetched again.
// The version in force stays.
func (t *Tracker) Refuse(version Version) { t.refused = version }

// Accept notes that a version has come into force. The edits lead to it from
// the version before; they are kept for peers.
func (t *Tracker) Accept(version, before Version, edits []*peerpb.DocumentEdit) {
	if before != t.inForce || len(edits) == 0 {
		t.steps = nil
	} else {
		message := &peerpb.DocumentStep{Generation: version.Generation, Digest: version.Digest, Edits: edits}
		t.steps = append(t.steps, step{from: before, message: message})
	}
	if len(t.steps) > maxSteps {
		t.steps = t.steps[1:]
	}
	t.inForce = version
}

// Reply returns what a peer with a known version needs: nothing, the steps from
// its version to the one in force, or the whole text.
func (t *Tracker) Reply(known Version, text []byte) *peerpb.DocumentReply {
	if !t.inForce.Newer(known) {
		return new(peerpb.DocumentReply)
	}
	reply := &peerpb.DocumentReply{Generation: t.inForce.Generation, Digest: t.inForce.Digest}
	reply.Steps = t.stepsFrom(known, len(text))
	if reply.Steps == nil {
		reply.Document = text
	}
	return reply
}

// stepsFrom returns the steps after a version, unless they are longer than the
// limit in bytes.
func (t *Tracker) stepsFrom(known Version, limit int) []*peerpb.DocumentStep {
	var messages []*peerpb.DocumentStep
	size := 0
	for _, step := range t.steps {
		if step.from != known && messages == nil {
			continue
		}
		messages = append(messages, step.message)
		size += stepSize(step.message)
	}
	if size > limit {
		return nil
	}
	return messages
}

func stepSize(message *peerpb.DocumentStep) int {
	const editOverhead = 16 // bytes
	size := 0
	for _, edit := range message.GetEdits() {
		size += len(edit.GetInsert()) + editOverhead
	}
	return size
}

// Watches reports whether a daemon is one of those of its failure domain that
// watch the platform: the highest ranked of the members that reach it, or of
// all if none does.
func Watches(self *peerpb.Member, live []*peerpb.Member) bool {
	var near, all []ranking.Candidate
	for _, member := range live {
		if member.GetFailureDomain() != self.GetFailureDomain() || member.GetLeaving() {
			continue
		}
		candidate := ranking.Candidate{Name: member.GetName(), Weight: 1}
		all = append(all, candidate)
		if !member.GetPlatformAway() {
			near = append(near, candidate)
		}
	}
	if len(near) == 0 {
		near = all
	}
	order := ranking.Order(ranking.Hash("watch", self.GetFailureDomain()), near)
	for _, name := range order[:min(WatchersPerDomain, len(order))] {
		if name == self.GetName() {
			return true
		}
	}
	return false
}
