package admission

import (
	"slices"
	"strings"
	"time"

	"hemlockknot/internal/state/environment"
)

// service holds the engines of one service and the sums over them.
type service struct {
	name              string
	loadBound         float64
	queueLength       int
	engines           []*engine
	load              int     // sum over the engines that accept work
	effectiveCapacity float64 // sum over the engines that accept work
}

// engine is the admission state of one engine.
type engine struct {
	name                string
	service             *service
	capacity            int
	ownInFlight         int             // requests in flight through this daemon
	peerInFlight        int             // requests in flight through live peers, as last reported
	orphanGroups        []*orphanGroup  // requests of peers that went down
	unaccounted         int             // estimated number of requests that no live daemon counts
	takeovers           recentTakeovers // requests that this daemon took over from lost daemons
	peerTakeovers       []peerTakeover  // requests that peers took over from lost daemons
	report              engineReport    // the last load report of the engine itself
	inFlightByWorkspace map[string]int  // requests in flight through this daemon
	queue               []*trackedRequest
	meanDuration        time.Duration // exponentially weighted moving average; zero before a request ends
	removed             bool          // no longer in the document

	accepting         bool      // accepts work and is included in the service's sums
	joinedAt          time.Time // start of the slow start; zero if the engine is not in slow start
	capacityFraction  float64   // fraction of the capacity that counts; below 1 during slow start
	loadInService     int       // included in service.load
	capacityInService float64   // included in service.effectiveCapacity
}

// SetDocument replaces the environment document. The engines of a new service
// start with their full capacity. An engine that joins other engines of a service
// goes through slow start.
func (c *Controller) SetDocument(document *environment.Document) {
	c.document = document
	services := make(map[string]*service)
	for i := range document.Services {
		config := &document.Services[i]
		svc := c.services[config.Name]
		if svc == nil {
			svc = &service{name: config.Name}
		}
		svc.loadBound = config.LoadBound
		svc.queueLength = config.QueueLength
		services[svc.name] = svc
	}
	c.services = services
	c.removeEngines(document)
	for i := range document.Engines {
		c.upsertEngine(&document.Engines[i])
	}
}

// removeEngines removes the engines that the document no longer lists, or lists
// under another service, from their services. An engine with running or queued
// requests is tracked until they have ended.
func (c *Controller) removeEngines(document *environment.Document) {
	for name, target := range c.engines {
		config := document.Engine(name)
		if config != nil && config.Service == target.service.name {
			continue
		}
		target.setServiceContribution(0, 0)
		target.removed, target.accepting = true, false
		target.service.engines = slices.DeleteFunc(target.service.engines, func(other *engine) bool { return other == target })
		if target.ownInFlight == 0 && len(target.queue) == 0 {
			delete(c.engines, name)
		}
	}
}

// upsertEngine adds an engine to its service, or updates its capacity.
func (c *Controller) upsertEngine(config *environment.Engine) {
	target := c.engines[config.Name]
	if target == nil {
		target = &engine{name: config.Name, removed: true, inFlightByWorkspace: make(map[string]int)}
		c.addPeerCounts(target)
		c.engines[config.Name] = target
	}
	if target.removed {
		target.removed = false
		target.service = c.services[config.Service]
		target.service.engines = append(target.service.engines, target)
	}
	target.capacity = config.Capacity
	target.updateServiceSums()
}

// refreshService updates the engines of a service and its sums: engines may have
// begun or ceased to accept work, and counts depend on the time. Engines that
// begin while no engine of the service accepts work skip the slow start, as there
// are no other engines whose limits would drop.
func (c *Controller) refreshService(svc *service, now time.Time) {
	skipSlowStart := svc.effectiveCapacity == 0
	for _, target := range svc.engines {
		c.refreshEngine(target, skipSlowStart, now)
	}
}

// refreshNewlyAccepting refreshes the service of an engine that accepts work but is
// not yet included in the service's sums.
func (c *Controller) refreshNewlyAccepting(target *engine, now time.Time) {
	if !target.accepting {
		c.refreshService(target.service, now)
	}
}

// refreshEngine updates the state of an engine that depends on time and on whether
// the engine accepts work.
func (c *Controller) refreshEngine(target *engine, skipSlowStart bool, now time.Time) {
	accepting := c.acceptsWork(target.name)
	if accepting && !target.accepting {
		target.beginAccepting(skipSlowStart, now)
	}
	target.accepting = accepting
	target.advanceSlowStart(now)
	target.decayOrphans(now)
	if target.takeovers.expire(now) {
		c.loadSequence++
		c.stopAdvertisingIdle(target)
	}
	target.report.recordSample(target.liveLoad(), now)
	target.updateServiceSums()
}

// updateServiceSums updates the service's sums from the engine's counts. The sums
// exclude orphaned requests: some of these have ended, and too high a mean would
// let engines exceed their load bound.
func (e *engine) updateServiceSums() {
	if !e.accepting || e.removed {
		e.setServiceContribution(0, 0)
		return
	}
	e.setServiceContribution(e.liveLoad(), e.effectiveCapacity())
}

// setServiceContribution replaces what the engine adds to the service's sums.
func (e *engine) setServiceContribution(load int, capacity float64) {
	e.service.load += load - e.loadInService
	e.service.effectiveCapacity += capacity - e.capacityInService
	e.loadInService, e.capacityInService = load, capacity
}

// estimatedLoad returns the estimated number of requests on the engine, including
// those that no live daemon counts. The engine's home daemon bases its admission
// decisions on this load.
func (e *engine) estimatedLoad() int { return e.liveLoad() + e.unaccounted }

// comparableLoad returns the load by which engines of different home daemons are
// compared. If all requests of the engine go through peers, its home daemon may
// have taken over the orphaned requests and count them already, so this daemon
// leaves out its own estimate of them.
func (e *engine) comparableLoad() int {
	if e.ownInFlight == 0 && e.peerInFlight > 0 {
		return e.liveLoad()
	}
	return e.estimatedLoad()
}

// durationSmoothing is the divisor of the moving average of request durations: a
// new duration counts for one part in durationSmoothing.
const durationSmoothing = 8

// recordDuration adds the duration of an ended request to the moving average.
func (e *engine) recordDuration(duration time.Duration) {
	if e.meanDuration == 0 {
		e.meanDuration = duration
		return
	}
	e.meanDuration += (duration - e.meanDuration) / durationSmoothing
}

func compareNames(a, b string) int { return strings.Compare(a, b) }
