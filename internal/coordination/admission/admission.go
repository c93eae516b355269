// Package admission decides whether an engine's home daemon takes a request: by
// the service's load bound, the engine's capacity and the workspace's limits.
// It is a state machine without I/O or clock.
package admission

import (
	"math"
	"time"

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/protocol/refusal"
	"hemlockknot/internal/state/environment"
)

// RetryAfterBusy is when a caller may come back to a busy service.
const RetryAfterBusy = time.Second

// Request is what admission needs to know of a request.
type Request struct {
	ID         string
	Service    string
	Engine     string
	Workspace  string
	Priority   int32
	Deadline   time.Time
	LastResort bool // every other candidate has refused
	Resumed    bool // the engine runs it already
}

// Controller counts the requests in flight and decides on new ones. It is not
// safe for concurrent use.
type Controller struct {
	document *environment.Document
	takes    func(engine string) bool
	own      map[string]int // by engine
	peers    map[string]*peerpb.DaemonLoad
	sequence uint64
}

// New returns a controller. The function takes reports whether an engine takes
// new work.
func New(takes func(engine string) bool) *Controller {
	return &Controller{
		takes: takes,
		own:   make(map[string]int),
		peers: make(map[string]*peerpb.DaemonLoad),
	}
}

// SetDocument puts a document in force.
func (c *Controller) SetDocument(document *environment.Document) {
	c.document = document
}

// MergeLoads takes in what peers say about their in-flight counts.
func (c *Controller) MergeLoads(self string, loads []*peerpb.DaemonLoad) {
	for _, load := range loads {
		if load.GetDaemon() == self {
			continue
		}
		known := c.peers[load.GetDaemon()]
		if known == nil || newer(load, known) {
			c.peers[load.GetDaemon()] = load
		}
	}
}

func newer(a, b *peerpb.DaemonLoad) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// DropPeer forgets the counts of a daemon that is down.
func (c *Controller) DropPeer(daemon string) { delete(c.peers, daemon) }

// PeerLoads returns the peers' counts as last heard.
func (c *Controller) PeerLoads() map[string]*peerpb.DaemonLoad { return c.peers }

// OwnLoad returns this daemon's counts for its peers.
func (c *Controller) OwnLoad(daemon string, incarnation uint64) *peerpb.DaemonLoad {
	load := &peerpb.DaemonLoad{Daemon: daemon, Incarnation: incarnation, Sequence: c.sequence}
	for engine, count := range c.own {
		load.Counts = append(load.Counts, &peerpb.EngineCount{Engine: engine, InFlight: uint32(count)})
	}
	return load
}

// InFlight returns what an engine carries: the own count and what peers last
// said.
func (c *Controller) InFlight(engine string) int {
	total := c.own[engine]
	for _, load := range c.peers {
		for _, count := range load.GetCounts() {
			if count.GetEngine() == engine {
				total += int(count.GetInFlight())
			}
		}
	}
	return total
}

// Admit takes a request, or says why not.
func (c *Controller) Admit(request Request) *refusal.Refusal {
	engine := c.document.Engine(request.Engine)
	if engine == nil {
		return refusal.NotRun(refusal.EngineUnknown, 0, "admit: engine %s is not in the document", request.Engine)
	}
	if request.Resumed {
		c.take(engine.Name)
		return nil
	}
	if !c.takes(engine.Name) {
		return refusal.NotRun(refusal.EngineLeaving, RetryAfterBusy, "admit: engine %s takes no new work", engine.Name)
	}
	if c.InFlight(engine.Name)+1 > c.limit(engine) {
		return refusal.NotRun(refusal.EngineBusy, RetryAfterBusy, "admit: engine %s is at its limit", engine.Name)
	}
	c.take(engine.Name)
	return nil
}

func (c *Controller) take(engine string) {
	c.own[engine]++
	c.sequence++
}

// Release gives back what Admit took.
func (c *Controller) Release(request Request) {
	c.own[request.Engine]--
	if c.own[request.Engine] <= 0 {
		delete(c.own, request.Engine)
	}
	c.sequence++
}

// limit returns how many requests an engine may carry: the load bound times its
// share of the service's load with the new request, and its capacity at most.
func (c *Controller) limit(engine *environment.Engine) int {
	var load, capacity int
	for _, other := range c.document.EnginesOf(engine.Service) {
		if !c.takes(other.Name) {
			continue
		}
		load += c.InFlight(other.Name)
		capacity += other.Capacity
	}
	bound := c.document.Service(engine.Service).LoadBound
	share := float64(engine.Capacity) / float64(capacity)
	allowed := int(math.Ceil(bound * float64(load+1) * share))
	return min(allowed, engine.Capacity)
}
