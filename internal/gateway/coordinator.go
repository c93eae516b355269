package gateway

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/brittle"
	"hemlockknot/internal/coordination/coldstart"
	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/coordination/origin"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/coordination/ratelimit"
	"hemlockknot/internal/coordination/reach"
	"hemlockknot/internal/coordination/room"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

// expireInterval is how often the roster drops targets whose grace period has ended.
const expireInterval = 200 * time.Millisecond

// coordinator owns the state machines that choose targets, eject failing ones and
// limit retries. A single goroutine makes all accesses to them; requests run on
// other goroutines and pass it tasks to execute.
type coordinator struct {
	tasks chan func()     // functions that run executes one at a time
	done  <-chan struct{} // closed when run is to end

	roster      *roster.Roster
	placement   *placement.Table
	outlier     *outlier.Tracker
	domains     *cutoff.Domains
	reach       *reach.Tracker
	ownDomain   string // failure domain of this daemon
	promptReads *promptReads
	quarantine  *quarantine.Tracker
	limits      *ratelimit.Tracker
	brittle     *brittle.Tracker
	cold        *coldstart.Tracker
	coldNow     coldTargets
	// onCold is called with the ids of targets that have turned cold, as their list says.
	onCold    func(ids []string)
	room      *room.Tracker
	roomWaits roomWaits
	// heardAt returns when something last came from a target; the zero time if it is not known.
	heardAt func(id string) time.Time
	// stopping reports whether a planned stop of the daemon has begun.
	stopping func() bool
	// onTargetsListed is called with the ids of all targets after they have changed.
	onTargetsListed func(listed map[string]bool)
	origins         *origin.Tracker
	// softwareVersions are the versions of the targets by id.
	softwareVersions map[string]string
	// onHeld is called with what is held back from now on.
	onHeld func(newlyHeld []quarantine.Hold)
	// onOriginsPending is called when origins of streams are to be copied to other daemons.
	onOriginsPending func()
	// incarnations are the targets' incarnations by id; nil if they must be computed again.
	incarnations map[string]brittle.Target
	limited      limitedTargets
	// evacuatedDomains are the failure domains that the operator has evacuated, and evacuated the ids of
	// the targets there.
	evacuatedDomains []string
	evacuated        map[string]bool
	// trialRank returns the rank of this daemon among those that may send trials of a
	// feature that is held back, 0 for the first.
	trialRank     func(feature uint64) int
	budgets       map[string]*attempt.Budget // by service
	budgetPolicy  budgetPolicy
	hasTargets    bool          // the roster has had a target
	targetsLoaded chan struct{} // closed when hasTargets becomes true
}

// budgetPolicy limits retries, as set by the users.
type budgetPolicy struct {
	ratio      float64       // retries allowed per request of a service
	fleetExtra float64       // retries allowed in addition, by all daemons together in a window
	window     time.Duration // over which requests and retries are counted
	daemons    func() int    // number of daemons among which fleetExtra is divided
}

func newCoordinator(domain string, heartbeatInterval time.Duration, policy budgetPolicy) *coordinator {
	return &coordinator{
		tasks:            make(chan func()),
		roster:           roster.New(heartbeatInterval),
		placement:        placement.NewTable(domain, time.Now()),
		outlier:          outlier.New(),
		domains:          cutoff.NewDomains(),
		reach:            reach.New(),
		ownDomain:        domain,
		promptReads:      newPromptReads(),
		quarantine:       quarantine.New(),
		room:             room.New(),
		roomWaits:        newRoomWaits(),
		origins:          origin.New(time.Now()),
		onHeld:           func([]quarantine.Hold) {},
		onOriginsPending: func() {},
		heardAt:          func(string) time.Time { return time.Time{} },
		onTargetsListed:  func(map[string]bool) {},
		cold:             coldstart.New(nil, 0, 0),
		onCold:           func([]string) {},
		stopping:         func() bool { return false },
		trialRank:        func(uint64) int { return 0 },
		budgets:          make(map[string]*attempt.Budget),
		budgetPolicy:     policy,
		targetsLoaded:    make(chan struct{}),
	}
}

// run executes tasks and removes what has expired until the context ends.
func (c *coordinator) run(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-c.tasks:
			task()
		case now := <-ticker.C:
			if c.roster.Expire(now) {
				c.handleRosterChange()
			}
			c.onHeld(c.quarantine.Expire(now))
			c.limits.Expire(now)
			c.brittle.Expire(now)
			c.cold.Observe(now)
			c.room.Expire(now)
			c.releaseAll(now)
			c.origins.Expire(now)
		}
	}
}

// do executes a task on the coordinator's goroutine and waits until it has finished.
// Once that goroutine has ended, do returns without executing the task.
func (c *coordinator) do(task func()) {
	finished := make(chan struct{})
	select {
	case c.tasks <- func() { task(); close(finished) }:
		<-finished
	case <-c.done:
	}
}

// handleRosterChange passes the roster's targets on to placement and drops the outlier
// records of targets that have left or started anew. It ejects the targets of failure
// domains that are cut off, since some may have been added while their domain was cut
// off.
func (c *coordinator) handleRosterChange() {
	now := time.Now()
	members := c.roster.Members()
	c.incarnations = nil
	c.evacuated = c.evacuatedTargets()
	c.recordColdTargets(members, now)
	if c.updateVersions(now) {
		c.onOriginsPending()
	}
	for _, id := range c.placement.SetMembers(members) {
		c.outlier.Forget(id)
		c.room.Forget(id)
	}
	if !c.hasTargets && len(members) > 0 {
		c.hasTargets = true
		close(c.targetsLoaded)
	}
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.Target.ID] = true
		if c.domains.IsCutOff(member.Target.FailureDomain) {
			c.outlier.Hold(member.Target.ID)
		}
	}
	// A target's request for no requests holds even if its entry is missing for a while.
	c.outlier.Retain(func(id string) bool { return listed[id] || c.outlier.Refusing(id, now) })
	c.room.Retain(func(id string) bool { return listed[id] })
	c.onTargetsListed(listed)
}

// recordStoreReturn records when the store was available again after an outage.
func (c *coordinator) recordStoreReturn(at time.Time) {
	c.do(func() { c.roster.RecordStoreReturn(at) })
}

// replaceTargets replaces all targets. Set restored if this is the first list after the
// store was restored from a copy.
func (c *coordinator) replaceTargets(targets []*fleet.Target, restored bool) {
	c.do(func() {
		if restored {
			c.roster.ReplaceRestored(targets, time.Now())
		} else {
			c.roster.Replace(targets, time.Now())
		}
		c.handleRosterChange()
	})
}

// applyTargetChanges adds, updates and removes single targets.
func (c *coordinator) applyTargetChanges(updated []*fleet.Target, removed []string) {
	c.do(func() {
		now := time.Now()
		for _, target := range updated {
			c.roster.Put(target, now)
		}
		for _, id := range removed {
			c.roster.Remove(id, now)
		}
		c.handleRosterChange()
	})
}

// markLeaving records that a target has said itself that it leaves, and reports whether
// this was not known before.
func (c *coordinator) markLeaving(target *fleet.Target) bool {
	isNew := false
	c.do(func() {
		if isNew = c.roster.MarkLeaving(target, time.Now()); isNew {
			c.handleRosterChange()
		}
	})
	return isNew
}

// leavingHashes returns the hashes of targets that have said that they leave while the
// list says that they are ready, at most count.
func (c *coordinator) leavingHashes(count int) []uint32 {
	var hashes []uint32
	c.do(func() { hashes = c.roster.LeavingHashes(count) })
	return hashes
}

// mergeLeaving records targets of which a peer knows that they leave. It returns those
// for which this is new.
func (c *coordinator) mergeLeaving(hashes []uint32) []*fleet.Target {
	var marked []*fleet.Target
	if len(hashes) == 0 {
		return nil
	}
	c.do(func() {
		for _, hash := range hashes {
			if target := c.roster.MarkLeavingByHash(hash, time.Now()); target != nil {
				marked = append(marked, target)
			}
		}
		if len(marked) > 0 {
			c.handleRosterChange()
		}
	})
	return marked
}

// recordRefusal records that a target wants no requests from this daemon for a time.
func (c *coordinator) recordRefusal(target *fleet.Target, retryAfter time.Duration) {
	c.do(func() { c.outlier.RecordRefusal(target.ID, retryAfter, time.Now()) })
}

// serviceRefusingFor returns how long all targets of a service that take new work still
// want no requests, or none beyond their limits, 0 if there is one that takes them or none
// at all.
func (c *coordinator) serviceRefusingFor(service string) time.Duration {
	shortest := time.Duration(0)
	c.do(func() {
		now := time.Now()
		for i, target := range c.placement.Candidates(service) {
			refusing := max(c.outlier.RefusingFor(target.ID, now), c.limitWait(target.ID, now), c.cold.Wait(target.ID, now))
			if i == 0 || refusing < shortest {
				shortest = refusing
			}
		}
	})
	return shortest
}

// hasLoadedTargets reports whether a non-empty list of targets has been loaded.
func (c *coordinator) hasLoadedTargets() bool {
	select {
	case <-c.targetsLoaded:
		return true
	default:
		return false
	}
}

// waitForTargets waits for the first targets, up to the given time.
func (c *coordinator) waitForTargets(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.targetsLoaded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countRequest counts a request toward the retry budget of its service.
func (c *coordinator) countRequest(service string) {
	c.do(func() { c.retryBudget(service).RecordRequest(c.extraRetries(), time.Now()) })
}

// spendRetry takes a retry from the budget of a service and reports whether the
// budget had one.
func (c *coordinator) spendRetry(service string) bool {
	granted := false
	c.do(func() { granted = c.retryBudget(service).Spend(c.extraRetries(), time.Now()) })
	return granted
}

// retryBudget returns the retry budget of a service and creates it if necessary.
func (c *coordinator) retryBudget(service string) *attempt.Budget {
	budget := c.budgets[service]
	if budget == nil {
		budget = attempt.NewBudget(c.budgetPolicy.ratio, c.budgetPolicy.window)
		c.budgets[service] = budget
	}
	return budget
}

// extraRetries returns this daemon's part of fleetExtra.
func (c *coordinator) extraRetries() float64 {
	return c.budgetPolicy.fleetExtra / float64(max(1, c.budgetPolicy.daemons()))
}

// recordAnswer records that a target has begun its answer to a request. It returns what is
// no longer held back.
func (c *coordinator) recordAnswer(target *fleet.Target, request quarantine.Request) (released []quarantine.Hold) {
	c.do(func() {
		c.promptReads.end(promptRead{placement.SessionKey(request.Prompt), target.ID})
		released = c.quarantine.RecordAnswerBegun(request, time.Now())
	})
	return released
}

// finishAttempt records the end of an attempt. It reports whether its outcome ejects the
// target, and what is no longer held back. If the outcome is not conclusive, because the
// caller left first, it says nothing about the health of the target.
func (c *coordinator) finishAttempt(target *fleet.Target, request quarantine.Request, outcome outlier.Outcome, conclusive bool) (ejected bool, released []quarantine.Hold) {
	c.do(func() {
		session := placement.SessionKey(request.Prompt)
		c.promptReads.end(promptRead{session, target.ID})
		c.placement.RecordEnd(target.ID)
		c.recordRoomEnd(target, outcome)
		if outcome != outlier.Served {
			c.placement.ForgetDispatch(target.ID, session)
		}
		if !conclusive {
			return
		}
		now := time.Now()
		if outcome == outlier.Served || outcome == outlier.ServerError {
			released = c.quarantine.RecordAnswerComplete(request, now)
		}
		if outcome == outlier.Served {
			c.outlier.RecordRecovery(target.ID, now)
			c.domains.RecordAnswer(target.FailureDomain)
		}
		ejected = c.outlier.RecordOutcome(target.ID, outcome, c.serviceFailureShare(target.Service, now), now)
	})
	return ejected, released
}

// recordSilence records that a target is silent, and reports whether that ejects it. Its exchange
// goes on.
func (c *coordinator) recordSilence(target *fleet.Target, outcome outlier.Outcome) (ejected bool) {
	c.do(func() {
		now := time.Now()
		ejected = c.outlier.RecordOutcome(target.ID, outcome, c.serviceFailureShare(target.Service, now), now)
	})
	return ejected
}

// markDomainCutOff marks a failure domain as cut off and ejects its targets. It reports
// whether the domain was not cut off before.
func (c *coordinator) markDomainCutOff(domain string) bool {
	newlyCut := false
	c.do(func() {
		newlyCut = c.domains.MarkCutOff(domain)
		c.ejectDomain(domain, newlyCut)
	})
	return newlyCut
}

// recordUnreachable records that a target does not respond to a new connection. It
// reports whether this marks the target's failure domain as cut off. This daemon's own
// domain is never marked.
func (c *coordinator) recordUnreachable(target *fleet.Target) bool {
	newlyCut := false
	c.do(func() {
		count := len(c.targetsIn(target.FailureDomain))
		newlyCut = target.FailureDomain != c.ownDomain && c.domains.RecordUnreachable(target.FailureDomain, target.ID, count, time.Now())
		c.ejectDomain(target.FailureDomain, newlyCut)
	})
	return newlyCut
}

// ejectDomain ejects the targets of a failure domain until the domain is reachable
// again, if the domain has just been marked as cut off.
func (c *coordinator) ejectDomain(domain string, newlyCut bool) {
	if !newlyCut {
		return
	}
	for _, target := range c.targetsIn(domain) {
		c.outlier.Hold(target.ID)
	}
}

// markDomainReachable marks a failure domain as reachable and ends the ejection of its
// targets.
func (c *coordinator) markDomainReachable(domain string) {
	c.do(func() {
		c.domains.MarkReachable(domain)
		for _, target := range c.targetsIn(domain) {
			c.outlier.Release(target.ID)
		}
	})
}

// domainTargets returns the targets of a failure domain.
func (c *coordinator) domainTargets(domain string) []*fleet.Target {
	var targets []*fleet.Target
	c.do(func() { targets = c.targetsIn(domain) })
	return targets
}

// targetsIn returns the targets of a failure domain. The caller must run on the
// coordinator's goroutine.
func (c *coordinator) targetsIn(domain string) []*fleet.Target {
	var targets []*fleet.Target
	for _, member := range c.roster.Members() {
		if member.Target.FailureDomain == domain {
			targets = append(targets, member.Target)
		}
	}
	return targets
}

// serviceFailureShare returns the share of failed requests among the recent requests to
// all targets of a service.
func (c *coordinator) serviceFailureShare(service string, now time.Time) float64 {
	failed, total := 0.0, 0.0
	for _, member := range c.roster.Members() {
		if member.Target.Service != service {
			continue
		}
		targetFailed, targetTotal := c.outlier.FailureCounts(member.Target.ID, now)
		failed += targetFailed
		total += targetTotal
	}
	if total == 0 {
		return 0
	}
	return failed / total
}

// recordLoad records the load that a target has reported with a response, if any.
func (c *coordinator) recordLoad(target *fleet.Target, load *relay.LoadReport) {
	if load != nil {
		c.do(func() {
			now := time.Now()
			c.placement.RecordReport(target.ID, *load, now)
			c.room.RecordReport(target.Service, target.ID, *load, now)
			c.release(target.Service, now)
		})
	}
}

// mostLoaded returns the known loads of the most loaded targets, at most count.
func (c *coordinator) mostLoaded(count int) []placement.ReportedLoad {
	var loads []placement.ReportedLoad
	c.do(func() { loads = c.placement.MostLoaded(count, time.Now()) })
	return loads
}

// mergeLoads merges the target loads and the holders of prompts received from another
// daemon.
func (c *coordinator) mergeLoads(loads []placement.ReportedLoad, holders []placement.Holder) {
	c.do(func() {
		now := time.Now()
		c.placement.MergeLoads(loads, now)
		c.recordPeerLoads(loads, now)
		c.placement.MergeHolders(holders, now)
	})
}

// takeUnsentHolders returns holders of prompts to send another daemon, at most count.
func (c *coordinator) takeUnsentHolders(count int) []placement.Holder {
	var holders []placement.Holder
	c.do(func() { holders = c.placement.TakeUnsent(count, time.Now()) })
	return holders
}
