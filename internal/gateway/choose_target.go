package gateway

import (
	"slices"
	"time"

	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/quarantine"
)

// chooseTarget chooses the target of the request's next attempt and counts the request as
// in flight there. It leaves out the targets that have been tried and those in failure
// domains that are cut off, and chooses an ejected target only if there is no other.
//
// If the target is reading the prompt of the request's session for another request and
// the request may wait, chooseTarget chooses none and returns a channel that is closed
// when the prompt has been read. It chooses none either, and sets the request's hold, if the
// request or a part of its prompt is held back.
func (c *coordinator) chooseTarget(req *relayedRequest, mayWait bool) (placement.Choice, <-chan struct{}) {
	var wait chan struct{}
	var choice placement.Choice
	c.do(func() {
		now := time.Now()
		if req.hold = c.checkQuarantine(req, c.trialRank, now); req.hold != nil {
			return
		}
		query := c.newQuery(req, now)
		if choice = c.choose(req, query, now); choice.Target == nil {
			return
		}
		read := promptRead{query.Session, choice.Target.ID}
		if wait = c.promptReads.running[read]; wait != nil && mayWait {
			return
		}
		if readsPrompt(choice, req.route) {
			c.promptReads.begin(read)
		}
		c.outlier.RecordRequest(choice.Target.ID, now)
		if c.limits.Any() {
			c.limits.Take(choice.Target.IncarnationHash(), now)
		}
		if c.brittle.Any() {
			c.brittle.RecordSent(brittleTargetOf(choice.Target), now)
		}
		c.placement.RecordStart(choice.Target.ID, query, now)
	})
	if wait != nil && mayWait {
		return placement.Choice{}, wait
	}
	return choice, nil
}

// checkQuarantine returns why the request's next attempt must not be made, nil if it may
// be. The caller must run on the coordinator's goroutine.
func (c *coordinator) checkQuarantine(req *relayedRequest, trialRank func(uint64) int, now time.Time) *quarantine.Hold {
	if brokenAt := req.brokenAt.Load(); brokenAt != 0 {
		if hold := c.quarantine.CheckRetry(req.features(), brokenAt); hold != nil {
			return hold
		}
	}
	return c.quarantine.Check(req.features(), trialRank, now)
}

// newQuery describes a request's next attempt. The caller must run on the coordinator's
// goroutine.
func (c *coordinator) newQuery(req *relayedRequest, now time.Time) placement.Query {
	limited := c.limitedTargets(req.service, now)
	query := placement.Query{
		Service: req.service,
		Session: placement.SessionKey(req.call.Parts),
		Parts:   req.call.Parts,
		Draw:    req.draw,
		Excluded: func(id string) bool {
			return limited[id] == leftToOthers || c.otherVersion(req, id) || req.triedTargets[id] || c.outlier.Ejected(id, now) || c.limitWait(id, now) > 0
		},
		Reachable: func(id string) bool { return !c.outlier.Ejected(id, now) },
	}
	if len(limited) > 0 {
		query.Limited = func(id string) bool { return limited[id] != unlimited }
	}
	return query
}

// otherVersion reports whether a target runs another software version than the one at which
// the request's stream began. The caller must run on the coordinator's goroutine.
func (c *coordinator) otherVersion(req *relayedRequest, id string) bool {
	return req.versionPinned && c.softwareVersions[id] != req.softwareVersion
}

// choose chooses a target. If all are ejected or have been tried, an ejected one that has
// not been tried is better than none, unless its failure domain is cut off, or it has asked
// for no requests or for no more than it has got. The caller must run on the coordinator's
// goroutine.
func (c *coordinator) choose(req *relayedRequest, query placement.Query, now time.Time) placement.Choice {
	choice := c.placement.Choose(query, now)
	if choice.Target == nil {
		query.Excluded = func(id string) bool {
			return c.otherVersion(req, id) || req.triedTargets[id] || c.outlier.Held(id) || c.outlier.Refusing(id, now) || c.limitWait(id, now) > 0
		}
		choice = c.placement.Choose(query, now)
	}
	return choice
}

// hasTargetForOthers reports whether a target is left out only because this daemon does not
// reach it, or leaves it to other daemons because it is brittle.
func (c *coordinator) hasTargetForOthers(req *relayedRequest) bool {
	found := false
	c.do(func() {
		now := time.Now()
		for _, target := range c.placement.Candidates(req.service) {
			id := target.ID
			if c.otherVersion(req, id) || slices.Contains(req.sentTo, id) || c.outlier.Refusing(id, now) {
				continue
			}
			unreached := c.limitWait(id, now) == 0 && (c.outlier.Held(id) || req.triedTargets[id])
			found = found || unreached || c.brittle.LeftToOthers(c.brittleTarget(id), now)
		}
	})
	return found
}

// hasTarget reports whether there is a target for the request's next attempt that is not ejected.
func (c *coordinator) hasTarget(req *relayedRequest) bool {
	found := false
	c.do(func() {
		now := time.Now()
		noTrial := func(uint64) int { return quarantine.NoTrial }
		if c.checkQuarantine(req, noTrial, now) == nil {
			found = c.placement.Choose(c.newQuery(req, now), now).Target != nil
		}
	})
	return found
}
