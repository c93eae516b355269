package admission

import (
	"slices"
	"strings"
	"time"

	"hemlockknot/internal/state/environment"
)

// service is the state of one service: its engines and their sums.
type service struct {
	name        string
	bound       float64
	queueLength int
	engines     []*engine
	load        int     // of the engines that take work
	weight      float64 // of the engines that take work
}

// engine is the state of one engine.
type engine struct {
	name       string
	service    *service
	capacity   int
	own        int            // in flight through this daemon
	peers      int            // in flight through live peers, as last heard
	leftovers  []*leftover    // of peers that went down
	left       int            // what the leftovers and the report add, as of the last decay
	taken      taken          // own requests taken over from lost homes
	takers     []taker        // peers that took requests over
	report     report         // the engine's own count
	workspaces map[string]int // own requests in flight, by workspace
	queue      []*entry
	duration   time.Duration // recent mean time of a request
	removed    bool          // no longer in the document

	taking       bool      // counts in the service's sums
	joined       time.Time // when it began to take work; zero: slow start is over
	part         float64   // of the capacity that counts, by slow start
	countedLoad  int       // in service.load
	countedParts float64   // in service.weight
}

// SetDocument puts a document in force. The engines of a new service start with
// their whole capacity; an engine that joins a service starts slowly.
func (c *Controller) SetDocument(document *environment.Document) {
	c.document = document
	present := make(map[string]*service)
	for i := range document.Services {
		described := &document.Services[i]
		known := c.services[described.Name]
		if known == nil {
			known = &service{name: described.Name}
		}
		known.bound = described.LoadBound
		known.queueLength = described.QueueLength
		present[known.name] = known
	}
	c.services = present
	c.removeEngines(document)
	for i := range document.Engines {
		c.placeEngine(&document.Engines[i])
	}
}

// removeEngines takes engines out that the document no longer holds, or holds
// under another service. Their running requests still count until they end.
func (c *Controller) removeEngines(document *environment.Document) {
	for name, known := range c.engines {
		described := document.Engine(name)
		if described != nil && described.Service == known.service.name {
			continue
		}
		known.count(0, 0)
		known.removed, known.taking = true, false
		known.service.engines = slices.DeleteFunc(known.service.engines, func(other *engine) bool { return other == known })
		if known.own == 0 && len(known.queue) == 0 {
			delete(c.engines, name)
		}
	}
}

// placeEngine adds an engine to its service, or changes its capacity.
func (c *Controller) placeEngine(described *environment.Engine) {
	known := c.engines[described.Name]
	if known == nil {
		known = &engine{name: described.Name, removed: true, workspaces: make(map[string]int)}
		c.addPeers(known)
		c.engines[described.Name] = known
	}
	if known.removed {
		known.removed = false
		known.service = c.services[described.Service]
		known.service.engines = append(known.service.engines, known)
	}
	known.capacity = described.Capacity
	known.update()
}

// refreshService brings the sums of a service up to date with the time and with
// which engines take work. Engines that start when none other takes work have
// nothing to disturb: they start with their whole capacity.
func (c *Controller) refreshService(each *service, now time.Time) {
	first := each.weight == 0
	for _, target := range each.engines {
		c.refresh(target, first, now)
	}
}

// refreshTaking brings the sums up to date if an engine has just begun or ceased
// to take work.
func (c *Controller) refreshTaking(target *engine, now time.Time) {
	if !target.taking {
		c.refreshService(target.service, now)
	}
}

// refresh brings an engine up to date.
func (c *Controller) refresh(target *engine, first bool, now time.Time) {
	takes := c.takes(target.name)
	if takes && !target.taking {
		target.begin(first, now)
	}
	target.taking = takes
	target.ramp(now)
	target.decay(now)
	if target.taken.expire(now) {
		c.sequence++
		c.dropIdle(target)
	}
	target.report.sample(target.counted(), now)
	target.update()
}

// update brings the service's sums up to date with the engine's counts. Leftovers
// are no part of them: some have ended, and a mean that is too high would let
// engines above their bound.
func (e *engine) update() {
	if !e.taking || e.removed {
		e.count(0, 0)
		return
	}
	e.count(e.counted(), e.weight())
}

// count sets the engine's part of the service's sums.
func (e *engine) count(load int, weight float64) {
	e.service.load += load - e.countedLoad
	e.service.weight += weight - e.countedParts
	e.countedLoad, e.countedParts = load, weight
}

// carried is what the engine carries, as far as its home knows.
func (e *engine) carried() int { return e.counted() + e.left }

// seen is what the engine carries, as far as any daemon knows: an engine that
// another daemon serves may count its leftovers there already.
func (e *engine) seen() int {
	if e.own == 0 && e.peers > 0 {
		return e.counted()
	}
	return e.carried()
}

// durationWeight is the weight of the past in the mean time of a request.
const durationWeight = 8

// noteDuration takes the time of a finished request into the mean.
func (e *engine) noteDuration(duration time.Duration) {
	if e.duration == 0 {
		e.duration = duration
		return
	}
	e.duration += (duration - e.duration) / durationWeight
}

func compareNames(a, b string) int { return strings.Compare(a, b) }
