package gateway

import (
	"slices"
	"time"

	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/coordination/verdict"
)

// chooseTarget chooses the target of the request's next attempt and counts the request as
// in flight there. It leaves out the targets that have been tried and those in failure
// domains that are cut off, and chooses an ejected target only if there is no other.
//
// If the target is reading the prompt of the request's session for another request and
// the request may wait, chooseTarget chooses none and returns a channel that is closed
// when the prompt has been read. It chooses none either, and sets the attempt's hold, if the
// request or a part of its prompt is held back.
func (c *coordinator) chooseTarget(a *targetAttempt, mayWait bool) (placement.Choice, <-chan struct{}) {
	var wait chan struct{}
	var choice placement.Choice
	excluded := a.excludedTargets() // not in the task, which must not wait for a request
	c.do(func() {
		now := time.Now()
		if a.hold = c.checkQuarantine(a, c.trialRank, now); a.hold != nil {
			return
		}
		a.restrained = c.restrains(a, excluded, now)
		query := c.newQuery(a, excluded, now)
		if c.room.Queued(a.service) > 0 && c.awaitRoom(a, excluded, query, now) {
			return
		}
		if choice = c.choose(a, excluded, query, now); choice.Target == nil {
			return
		}
		read := promptRead{query.Session, choice.Target.ID}
		if wait = c.promptReads.running[read]; wait != nil && mayWait {
			return
		}
		c.recordChosen(a, query, choice, now)
	})
	if wait != nil && mayWait {
		return placement.Choice{}, wait
	}
	return choice, nil
}

// recordChosen records that the request's next attempt is made at the chosen target. The caller must
// run on the coordinator's goroutine.
func (c *coordinator) recordChosen(a *targetAttempt, query placement.Query, choice placement.Choice, now time.Time) {
	if readsPrompt(choice, a.route) {
		c.promptReads.begin(promptRead{query.Session, choice.Target.ID})
	}
	c.outlier.RecordRequest(choice.Target.ID, now)
	if c.limits.Any() {
		c.limits.Take(choice.Target.IncarnationHash(), now)
	}
	c.cold.Take(choice.Target.ID, now)
	a.coldHome = c.usedUpHome(choice, now)
	if c.brittle.Any() {
		c.brittle.RecordSent(brittleTargetOf(choice.Target), now)
	}
	c.placement.RecordStart(choice.Target.ID, query, now)
	c.room.RecordStart(a.service, choice.Target.ID, a.workspaceName(), now)
}

// checkQuarantine returns why the request's next attempt must not be made, nil if it may
// be. The caller must run on the coordinator's goroutine.
func (c *coordinator) checkQuarantine(a *targetAttempt, trialRank func(uint64) int, now time.Time) *quarantine.Hold {
	if brokenAt := a.brokenAt.Load(); brokenAt != 0 {
		if hold := c.quarantine.CheckRetry(a.features(), brokenAt); hold != nil {
			return hold
		}
	}
	return c.quarantine.Check(a.features(), trialRank, now)
}

// newQuery describes a request's next attempt. The caller must run on the coordinator's
// goroutine.
func (c *coordinator) newQuery(a *targetAttempt, excluded []string, now time.Time) placement.Query {
	limited := c.limitedTargets(a.service, now)
	query := placement.Query{
		Service:  a.service,
		Session:  placement.SessionKey(a.call.Parts),
		Parts:    a.call.Parts,
		Route:    a.route.Name,
		Draw:     a.draw,
		Excluded: func(id string) bool { return c.judge(a, id, excluded, limited, now) != verdict.Allowed },
		Reachable: func(id string) bool {
			// A hedge must not wait for what the silent target has in its cache.
			return !c.outlier.Ejected(id, now) && (a.backs == nil || !slices.Contains(excluded, id))
		},
	}
	if len(limited) > 0 {
		query.Limited = func(id string) bool { return limited[id] != unlimited }
	}
	c.limitCold(&query, now)
	return query
}

// otherVersion reports whether a target runs another software version than the one at which
// the request's stream began, or one at which this daemon may not begin streams yet. The caller
// must run on the coordinator's goroutine.
func (c *coordinator) otherVersion(a *targetAttempt, id string, now time.Time) bool {
	if a.position.versionPinned {
		return c.softwareVersions[id] != a.position.softwareVersion
	}
	versions, restricted := c.begins(a, now)
	return restricted && !slices.Contains(versions, c.softwareVersions[id])
}

// judge returns why a target does not get the request's next attempt, or that it may. Limited are the
// targets of the service that name a limit. The caller must run on the coordinator's goroutine.
func (c *coordinator) judge(a *targetAttempt, id string, excluded []string, limited map[string]limitUse, now time.Time) verdict.Reason {
	switch {
	case c.otherVersion(a, id, now):
		return verdict.OtherVersion
	case slices.Contains(excluded, id):
		return verdict.Tried
	case c.evacuated[id]:
		return verdict.Evacuated
	case c.outlier.Held(id):
		return verdict.NotReached
	case c.outlier.Refusing(id, now):
		return verdict.Refusing
	case c.limitWait(id, now) > 0 && limited[id] != leftToOthers:
		return verdict.AtLimit
	case c.cold.Any(now) && c.cold.Wait(id, now) > 0:
		return verdict.Cold
	case c.room.Any() && c.room.Full(a.service, id, a.need(), now):
		return verdict.Full
	case limited[id] == leftToOthers:
		return verdict.LeftToOthers
	case c.outlier.Ejected(id, now):
		return verdict.Ejected
	}
	return verdict.Allowed
}

// choose chooses a target, none if the request waits for room. If all are ejected or have been tried, an
// ejected one that has not been tried is better than none. The caller must run on the coordinator's goroutine.
func (c *coordinator) choose(a *targetAttempt, excluded []string, query placement.Query, now time.Time) placement.Choice {
	choice := c.placement.Choose(query, now)
	if choice.Target == nil && c.cold.Any(now) {
		limited := c.limitedTargets(a.service, now)
		query.Excluded = func(id string) bool { return c.judge(a, id, excluded, limited, now) != verdict.Allowed }
		choice = c.placement.Choose(query, now)
	}
	if c.room.Any() && choice.Target == nil && c.awaitRoom(a, excluded, query, now) {
		return choice
	}
	if c.room.Any() && mayBeFull(choice) {
		choice = c.chooseAmongFull(a, excluded, query, choice, now)
	}
	if choice.Target == nil {
		query.Excluded = func(id string) bool {
			reason := c.judge(a, id, excluded, nil, now)
			return !reason.LastResort() && reason != verdict.Full // those left are ejected, too
		}
		choice = c.placement.Choose(query, now)
	}
	return choice
}

// hasTargetForOthers reports whether a target is left out only because this daemon does not
// reach it, or leaves it to other daemons because it is brittle.
func (c *coordinator) hasTargetForOthers(a *targetAttempt) bool {
	found := false
	sentTo := a.sentTargets()
	c.do(func() {
		now := time.Now()
		for _, target := range c.placement.Candidates(a.service) {
			id := target.ID
			if c.otherVersion(a, id, now) || c.evacuated[id] || slices.Contains(sentTo, id) || c.outlier.Refusing(id, now) {
				continue
			}
			unreached := c.limitWait(id, now) == 0 && (c.outlier.Held(id) || slices.Contains(a.tried, id))
			found = found || unreached || c.brittle.LeftToOthers(c.brittleTarget(id), now)
		}
	})
	return found
}

// hasTarget reports whether there is a target for the request's next attempt that is not ejected.
func (c *coordinator) hasTarget(a *targetAttempt) bool {
	found := false
	excluded := a.excludedTargets()
	c.do(func() {
		now := time.Now()
		noTrial := func(uint64) int { return quarantine.NoTrial }
		if c.checkQuarantine(a, noTrial, now) == nil {
			found = c.placement.Choose(c.newQuery(a, excluded, now), now).Target != nil
		}
	})
	return found
}
