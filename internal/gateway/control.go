package gateway

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/attempt"
	"hemlockknot/internal/coordination/cutoff"
	"hemlockknot/internal/coordination/outlier"
	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/coordination/roster"
	"hemlockknot/internal/protocol/relay"
	"hemlockknot/internal/state/fleet"
)

// tickInterval is how often time alone changes what is believed.
const tickInterval = 200 * time.Millisecond

// control owns the state machines of coordination. One goroutine runs every
// event on them; requests are served by others.
type control struct {
	events chan func()
	done   <-chan struct{}

	roster  *roster.Roster
	targets *placement.Table
	outlier *outlier.Tracker
	domains *cutoff.Domains
	domain  string // this daemon's
	budgets map[string]*attempt.Budget
	policy  budgetPolicy
	loaded  bool          // targets are known
	listed  chan struct{} // closed when they are
}

// budgetPolicy is the users' bound of retries.
type budgetPolicy struct {
	ratio  float64
	extra  float64 // of all daemons together
	window time.Duration
	shares func() int // daemons that share the extra
}

func newControl(domain string, policy budgetPolicy) *control {
	return &control{
		events:  make(chan func()),
		roster:  roster.New(),
		targets: placement.NewTable(domain, time.Now()),
		outlier: outlier.New(),
		domains: cutoff.NewDomains(),
		domain:  domain,
		budgets: make(map[string]*attempt.Budget),
		policy:  policy,
		listed:  make(chan struct{}),
	}
}

// run executes events until the context ends.
func (c *control) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event()
		case now := <-ticker.C:
			if c.roster.Expire(now) {
				c.membersChanged()
			}
		}
	}
}

// do runs an event on the control goroutine and waits for its end. After the
// control goroutine has ended nothing is run.
func (c *control) do(event func()) {
	finished := make(chan struct{})
	select {
	case c.events <- func() { event(); close(finished) }:
		<-finished
	case <-c.done:
	}
}

func (c *control) membersChanged() {
	members := c.roster.Members()
	c.targets.SetMembers(members)
	if !c.loaded && len(members) > 0 {
		c.loaded = true
		close(c.listed)
	}
	listed := make(map[string]bool, len(members))
	for _, member := range members {
		listed[member.Target.ID] = true
		if c.domains.IsCut(member.Target.FailureDomain) {
			c.outlier.Hold(member.Target.ID)
		}
	}
	c.outlier.Forget(func(id string) bool { return listed[id] })
}

// replaceTargets takes in a whole list of targets.
func (c *control) replaceTargets(targets []*fleet.Target, returned bool) {
	c.do(func() {
		now := time.Now()
		if returned {
			c.roster.StoreReturned(now)
		}
		c.roster.Replace(targets, now)
		c.membersChanged()
	})
}

// changeTargets takes in changes of single entries.
func (c *control) changeTargets(put []*fleet.Target, removed []string, returned bool) {
	c.do(func() {
		now := time.Now()
		if returned {
			c.roster.StoreReturned(now)
		}
		for _, target := range put {
			c.roster.Put(target, now)
		}
		for _, id := range removed {
			c.roster.Remove(id, now)
		}
		c.membersChanged()
	})
}

// ready reports whether targets are known.
func (c *control) ready() bool {
	select {
	case <-c.listed:
		return true
	default:
		return false
	}
}

// await waits a moment for the first list of targets.
func (c *control) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.listed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// request counts a request of a service.
func (c *control) request(service string) {
	c.do(func() { c.budget(service).Request(c.extra(), time.Now()) })
}

// spendRetry takes a retry from a service's budget.
func (c *control) spendRetry(service string) bool {
	granted := false
	c.do(func() { granted = c.budget(service).Spend(c.extra(), time.Now()) })
	return granted
}

func (c *control) budget(service string) *attempt.Budget {
	known := c.budgets[service]
	if known == nil {
		known = attempt.NewBudget(c.policy.ratio, c.policy.window)
		c.budgets[service] = known
	}
	return known
}

func (c *control) extra() float64 { return c.policy.extra / float64(max(1, c.policy.shares())) }

// choose picks the target of a try and counts the request there.
func (c *control) choose(service string, parts []relay.Part, tried map[string]bool) placement.Choice {
	var choice placement.Choice
	c.do(func() {
		now := time.Now()
		query := placement.Query{
			Service:   service,
			Session:   placement.Session(parts),
			Parts:     parts,
			Excluded:  func(id string) bool { return tried[id] || c.outlier.Ejected(id, now) },
			Reachable: func(id string) bool { return !c.outlier.Ejected(id, now) },
		}
		choice = c.targets.Choose(query, now)
		if choice.Target == nil {
			// All are ejected: any that was not tried is better than none, but for
			// those that cannot be reached.
			query.Excluded = func(id string) bool { return tried[id] || c.outlier.Held(id) }
			choice = c.targets.Choose(query, now)
		}
		if choice.Target != nil {
			c.outlier.Chosen(choice.Target.ID, now)
			c.targets.Start(choice.Target.ID, query)
		}
	})
	return choice
}

// finish takes in how a try ended, and reports whether its target is left alone
// from now on.
func (c *control) finish(target *fleet.Target, session uint64, outcome outlier.Outcome, known bool) bool {
	ejected := false
	c.do(func() {
		c.targets.End(target.ID)
		if outcome != outlier.Served {
			c.targets.Unread(target.ID, session)
		}
		if !known {
			return
		}
		now := time.Now()
		if outcome == outlier.Served {
			c.outlier.Recovered(target.ID)
			c.domains.Answered(target.FailureDomain)
		}
		ejected = c.outlier.Note(target.ID, outcome, c.commonFailures(target.Service, now), now)
	})
	return ejected
}

// cutDomain notes that a failure domain is cut off, and reports whether that is
// news.
func (c *control) cutDomain(domain string) bool {
	news := false
	c.do(func() {
		news = c.domains.Cut(domain)
		c.hold(domain, news)
	})
	return news
}

// unreachable notes that a target does not answer to a new connection, and
// reports whether its failure domain counts as cut off from now on.
func (c *control) unreachable(target *fleet.Target) bool {
	news := false
	c.do(func() {
		count := len(c.inDomain(target.FailureDomain))
		news = target.FailureDomain != c.domain && c.domains.Unreachable(target.FailureDomain, target.ID, count, time.Now())
		c.hold(target.FailureDomain, news)
	})
	return news
}

// hold leaves a domain's targets alone if it has just been cut off.
func (c *control) hold(domain string, news bool) {
	if !news {
		return
	}
	for _, target := range c.inDomain(domain) {
		c.outlier.Hold(target.ID)
	}
}

// reachedDomain notes that a failure domain answers.
func (c *control) reachedDomain(domain string) {
	c.do(func() {
		c.domains.Reached(domain)
		for _, target := range c.inDomain(domain) {
			c.outlier.Release(target.ID)
		}
	})
}

// domainTargets returns the targets of a failure domain.
func (c *control) domainTargets(domain string) []*fleet.Target {
	var targets []*fleet.Target
	c.do(func() { targets = c.inDomain(domain) })
	return targets
}

func (c *control) inDomain(domain string) []*fleet.Target {
	var targets []*fleet.Target
	for _, member := range c.roster.Members() {
		if member.Target.FailureDomain == domain {
			targets = append(targets, member.Target)
		}
	}
	return targets
}

// commonFailures returns the share of exchanges that fail at a service.
func (c *control) commonFailures(service string, now time.Time) float64 {
	failed, all := 0.0, 0.0
	for _, member := range c.roster.Members() {
		if member.Target.Service != service {
			continue
		}
		f, a := c.outlier.FailureShare(member.Target.ID, now)
		failed += f
		all += a
	}
	if all == 0 {
		return 0
	}
	return failed / all
}

// report takes in a target's own load.
func (c *control) report(id string, load *relay.Load) {
	if load != nil {
		c.do(func() { c.targets.Report(id, *load, time.Now()) })
	}
}

// hottest returns the fullest targets, as far as is known.
func (c *control) hottest(count int) []placement.Heard {
	var hottest []placement.Heard
	c.do(func() { hottest = c.targets.Hottest(count, time.Now()) })
	return hottest
}

// hear takes in the loads that another daemon knows.
func (c *control) hear(heard []placement.Heard) {
	c.do(func() { c.targets.Hear(heard, time.Now()) })
}
