package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of what daemons tell each other of their requests in progress. The load that they
// answer: all daemons begin at once, or many sessions are new. Engines read their prompts first, and
// their answers, which report the load, begin seconds after the requests. Until then each daemon
// sees its own requests only, and an engine that many sessions prefer gets more from all of them
// together than it has room for.
const (
	// inProgressLifetime is how long another daemon's requests in progress are used.
	inProgressLifetime = 2 * time.Second
	// maxListingFleet is the largest fleet in which daemons tell each other their requests in
	// progress: in a larger one a daemon hears of few of the others in time.
	maxListingFleet = 128
	// listedInFleet is how many targets the daemons of a fleet list all together, and maxListed how
	// many one of them lists at most.
	listedInFleet = 1024
	maxListed     = 32
	// evenness says how alike the targets of a service are, before anything is known of one: the shape
	// of the gamma distribution of their loads. 1 stands for differences as large as the mean.
	evenness = 2.0
)

// Count is a number of requests in progress of a target or a service.
type Count struct {
	Hash     uint32 // low 32 bits of the hash of the target's id or of the service's name
	Requests int
}

// InProgress is what one daemon has in progress. Daemons exchange it.
type InProgress struct {
	Targets  []Count // those with the most requests first; not all
	Services []Count // all requests of each service
}

// toldInProgress is what another daemon has told.
type toldInProgress struct {
	InProgress
	at time.Duration // since the table's creation
}

// fleetLoad is what a table knows of the requests of all daemons.
type fleetLoad struct {
	daemons  int // that serve, this one included
	told     map[string]toldInProgress
	expireAt time.Duration  // when the first of them becomes too old
	services map[uint32]int // requests of the daemons that have told
}

// lists reports whether the daemons tell each other what they have in progress.
func (f *fleetLoad) lists() bool { return f.daemons > 1 && f.daemons <= maxListingFleet }

// OwnInProgress returns what this daemon has in progress, nothing in a fleet so large that it would
// not be heard of in time.
func (t *Table) OwnInProgress() InProgress {
	var own InProgress
	if !t.fleet.lists() {
		return own
	}
	for service, candidates := range t.services {
		total := 0
		for _, c := range candidates {
			if c.load.ownRequests > 0 {
				own.Targets = append(own.Targets, Count{uint32(c.idHash), c.load.ownRequests})
				total += c.load.ownRequests
			}
		}
		own.Services = append(own.Services, Count{serviceHash(service), total})
	}
	slices.SortFunc(own.Targets, func(a, b Count) int { return cmp.Or(b.Requests-a.Requests, cmp.Compare(a.Hash, b.Hash)) })
	own.Targets = own.Targets[:min(len(own.Targets), maxListed, listedInFleet/t.fleet.daemons)]
	return own
}

// SetDaemons sets the number of daemons that serve, this one included.
func (t *Table) SetDaemons(count int) { t.fleet.daemons = count }

// MergeInProgress records what another daemon has in progress. One of an earlier build tells nothing,
// and its requests count as not known.
func (t *Table) MergeInProgress(daemon string, remote InProgress, now time.Time) {
	if len(remote.Services) == 0 {
		return
	}
	if t.fleet.told == nil {
		t.fleet.told = make(map[string]toldInProgress)
	}
	t.fleet.told[daemon] = toldInProgress{remote, now.Sub(t.createdAt)}
	t.sumInProgress(now.Sub(t.createdAt))
}

// sumInProgress sums up what other daemons have in progress, and drops what is too old.
func (t *Table) sumInProgress(elapsed time.Duration) {
	t.fleet.services = make(map[uint32]int)
	for _, c := range t.byHash {
		c.load.toldRequests = 0
	}
	t.fleet.expireAt = elapsed + inProgressLifetime
	for daemon, told := range t.fleet.told {
		expireAt := told.at + inProgressLifetime
		if expireAt <= elapsed {
			delete(t.fleet.told, daemon)
			continue
		}
		t.fleet.expireAt = min(t.fleet.expireAt, expireAt)
		for _, count := range told.Services {
			t.fleet.services[count.Hash] += count.Requests
		}
		for _, count := range told.Targets {
			if c := t.byHash[count.Hash]; c != nil {
				c.load.toldRequests += count.Requests
			}
		}
	}
}

// serviceLoad is what is known of the requests of all daemons to the targets of a service.
type serviceLoad struct {
	daemons  float64 // that serve
	informed float64 // those whose requests are known, this one included
	mean     float64 // requests of all daemons at a target; 0 if it is not estimated, or there are none
}

// serviceLoad returns what is known of a service.
func (t *Table) serviceLoad(service string, elapsed time.Duration) serviceLoad {
	if len(t.fleet.told) > 0 && elapsed >= t.fleet.expireAt {
		t.sumInProgress(elapsed)
	}
	informed := len(t.fleet.told) + 1
	s := serviceLoad{daemons: float64(max(t.fleet.daemons, informed)), informed: float64(informed)}
	if !t.fleet.lists() {
		return s
	}
	requests := t.fleet.services[serviceHash(service)]
	for _, c := range t.services[service] {
		requests += c.load.ownRequests
	}
	s.mean = float64(requests) * s.daemons / s.informed / float64(max(1, len(t.services[service])))
	return s
}

// boundFactor returns by which factor of the mean load an engine is skipped. The less this daemon knows of the
// others' requests, the more room is left for them.
func (s serviceLoad) boundFactor() float64 {
	if s.mean == 0 {
		return loadBoundFactor
	}
	part := (s.informed/s.daemons - informedLeast) / (1 - informedLeast)
	return uninformedBoundFactor + (loadBoundFactor-uninformedBoundFactor)*min(1, max(0, part))
}

// expected returns the number of requests of all daemons to be expected at a target of which there
// is no report: those that are known, and for each other daemon the mean of the posterior of a gamma
// distribution, given what the known daemons have sent.
func (s serviceLoad) expected(l *load) float64 {
	known := float64(l.ownRequests + l.toldRequests)
	if s.mean == 0 {
		return float64(l.ownRequests)
	}
	perDaemon := (evenness + known) / (evenness*s.daemons/s.mean + s.informed)
	return known + (s.daemons-s.informed)*perDaemon
}

func serviceHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }
