// Package gateway is the daemon that runs on the users' platform. Each daemon gets the
// configuration and the list of targets from the platform's store, or from daemons that
// follow the store. From these it chooses the target of a request without asking another
// daemon, and proxies the request directly to that target.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/brittle"
	"hemlockknot/internal/coordination/coldstart"
	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/internal/coordination/ratelimit"
	"hemlockknot/internal/coordination/shutdown"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/internal/transport/httpserver"
	"hemlockknot/internal/transport/mesh"
	"hemlockknot/platform"
)

// logger writes structured log lines. Its methods never block.
type logger interface {
	Info(message string, fields ...any)
	Warn(message string, fields ...any)
}

// Gateway is one daemon: its listeners, its view of the platform's store and its
// request proxy.
type Gateway struct {
	settings          platform.Settings
	log               logger
	metrics           *counters
	store             *platform.Store
	config            *activeConfig
	coordinator       *coordinator
	pool              *exchange.Pool
	buffers           *bufferMemory
	streams           *streamTracker
	targets           *targetList
	evacuations       *evacuations // nil if the settings know none
	peers             *peers
	crashChecks       *crashChecks
	streamRecord      *streamRecord
	quarantineRecord  *quarantineRecord
	callers           *httpserver.Server
	callerListener    net.Listener // for callers' requests
	readinessListener net.Listener // for the platform's readiness checks
	peerListener      net.Listener // for other daemons; nil if the settings name no address
	forwardListener   net.Listener // for requests that other daemons pass on; nil if it takes none
	forwards          *httpserver.Server
	peerPool          *exchange.Pool                // connections to other daemons' forwardListeners
	stopPlan          atomic.Pointer[shutdown.Plan] // nil until a planned stop begins
	stopGrace         atomic.Int64                  // time limit of a planned stop, in nanoseconds
}

// New creates the daemon and opens its listeners; Run serves them.
func New(settings platform.Settings, log logger) (*Gateway, error) {
	callerListener, err := listen("callers", settings.CallerListenAddress)
	if err != nil {
		return nil, err
	}
	readinessListener, err := listen("readiness checks", settings.ReadyListenAddress)
	if err != nil {
		return nil, errors.Join(err, callerListener.Close())
	}
	var peerListener, forwardListener net.Listener
	if settings.PeerListenAddress != "" {
		if peerListener, err = listen("other daemons", settings.PeerListenAddress); err != nil {
			return nil, errors.Join(err, callerListener.Close(), readinessListener.Close())
		}
		if forwardListener, err = listenForward(settings); err != nil {
			log.Warn("requests of other daemons are not taken", "error", err)
		}
	}
	g := &Gateway{
		callerListener:    callerListener,
		peerListener:      peerListener,
		forwardListener:   forwardListener,
		peerPool:          exchange.NewPool(),
		readinessListener: readinessListener,
		settings:          settings,
		log:               log,
		metrics:           newCounters(),
		store:             platform.NewStore(settings.StoreAddress),
		config:            newActiveConfig(),
		pool:              exchange.NewPool(),
		buffers:           newBufferMemory(settings.MaxMemoryBytes),
		streams:           newStreamTracker(),
		crashChecks:       newCrashChecks(),
	}
	g.stopGrace.Store(int64(settings.StopGrace))
	g.coordinator = newCoordinator(settings.FailureDomain, settings.HeartbeatInterval, budgetPolicy{
		ratio:      settings.RetryRatio,
		fleetExtra: settings.RetryExtra,
		window:     settings.RetryWindow,
		daemons:    g.budgetDaemons,
	})
	g.store.OnRequest = g.metrics.countStoreCall
	g.pool.OnDial = g.metrics.countDial
	g.peers = newPeers(g, selfMember(settings, peerListener, forwardListener))
	g.coordinator.trialRank = g.peers.rankFor
	g.coordinator.origins.SetIncarnation(g.peers.incarnation)
	g.coordinator.limits = ratelimit.New(g.peers)
	g.coordinator.brittle = brittle.New(g.peers)
	g.coordinator.cold = coldstart.New(g.peers, settings.ColdOverrun, settings.ColdSlack)
	g.coordinator.onCold = g.logCold
	g.coordinator.heardAt = g.streams.heardAt
	g.coordinator.stopping = g.stopping
	g.coordinator.onTargetsListed = func(listed map[string]bool) { g.streams.retainTargets(func(id string) bool { return listed[id] }) }
	g.quarantineRecord = newQuarantineRecord(g)
	g.coordinator.onHeld = func(newlyHeld []quarantine.Hold) {
		g.logHolds(newlyHeld, nil, "own")
		g.quarantineRecord.note(newlyHeld, nil)
	}
	g.coordinator.onOriginsPending = g.peers.copyOrigins
	g.streamRecord = newStreamRecord(g)
	g.targets = newTargetList(g)
	g.evacuations = newEvacuations(g)
	maxConns, maxUnfinished := callerLimits(settings)
	g.callers = g.newServer(g.handleRequest, "callers", maxConns, maxUnfinished, 0)
	maxForwardConns := placeLimit(0, settings.MaxOpenFiles, forwardDescriptorShare)
	g.forwards = g.newServer(g.handleForwarded, "forwards", maxForwardConns, maxForwardConns/2, forwardHeadBytes)
	return g, nil
}

// selfMember returns the entry that describes this daemon to its peers. The start
// time serves as the incarnation, because it increases with every start. The entry has
// no place: a failure domain belongs to one, and entries are most of the control traffic.
func selfMember(settings platform.Settings, peerListener, forwardListener net.Listener) *peerpb.Member {
	member := &peerpb.Member{
		Name:          settings.Host,
		FailureDomain: settings.FailureDomain,
		Incarnation:   uint64(time.Now().UnixMilli()),

		DeclaresVersions: true,
	}
	if peerListener != nil {
		member.Address = peerListener.Addr().String()
	}
	if forwardListener != nil {
		member.ForwardPort = uint32(forwardListener.Addr().(*net.TCPAddr).Port) // listen opens TCP
	}
	return member
}

// minBudgetDaemons is the smallest number of daemons among which the fleet-wide
// retry budget is divided: a daemon that knows only a few others may be
// partitioned from the rest.
const minBudgetDaemons = 8

// budgetDaemons returns the number of daemons among which the fleet-wide retry
// budget is divided.
func (g *Gateway) budgetDaemons() int { return max(minBudgetDaemons, g.peers.knownDaemons()) }

// Run serves until the context ends, then shuts down gracefully. It serves metrics at
// metricsAddress unless that is empty. If a listener fails, Run shuts down gracefully too, and
// returns the failure.
func (g *Gateway) Run(ctx context.Context, metricsAddress string) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.coordinator.done = background.Done()
	work := &backgroundWork{ctx: background, failed: make(chan error, 1)}
	work.run(g.coordinator.run)
	work.run(g.pool.Run)
	work.run(g.peerPool.Run)
	work.run(g.watchSilentStreams)
	work.run(g.watchConfig)
	work.run(g.targets.watch.run)
	if g.evacuations != nil {
		work.run(g.evacuations.watch.run)
	}
	work.run(g.streamRecord.run)
	work.run(g.streamRecord.declareVersions)
	work.run(g.quarantineRecord.run)
	work.serve(func(ctx context.Context) error {
		return g.serveAdmin(ctx, "readiness", g.readyHandler(), g.readinessListener)
	})
	work.serve(func(context.Context) error { return g.callers.Serve(g.callerListener) })
	if g.peerListener != nil {
		peers := g.limitedListener(g.peerListener, "peers", g.settings.MaxPeerConns, peerDescriptorShare, peerFirstByte)
		work.serve(func(ctx context.Context) error { return mesh.Serve(ctx, peers, g.peers) })
		work.run(g.peers.run)
		work.run(g.peers.runOriginCopies)
	}
	if g.forwardListener != nil {
		work.serve(func(context.Context) error { return g.forwards.Serve(g.forwardListener) })
	}
	if metricsAddress != "" {
		g.serveMetrics(work, metricsAddress)
	}
	g.log.Warn("started", "failure_domain", g.settings.FailureDomain,
		"callers", g.callerListener.Addr().String(), "peers", g.peers.address)
	var failure error
	select {
	case <-ctx.Done():
	case failure = <-work.failed:
		g.log.Warn("a server has failed", "error", failure)
	}
	g.stop()
	cancel()
	if !work.wait(min(exitWait, time.Until(g.stopPlan.Load().ExitAt))) {
		g.log.Warn("background work has not ended, exiting")
	}
	return failure
}

// backgroundWork is what a daemon does beside its planned stop.
type backgroundWork struct {
	ctx     context.Context
	running sync.WaitGroup
	failed  chan error // receives the first failure
}

// run runs a function until the context ends.
func (w *backgroundWork) run(function func(context.Context)) {
	w.running.Go(func() { function(w.ctx) })
}

// serve runs a server until the context ends or it fails.
func (w *backgroundWork) serve(server func(context.Context) error) {
	w.running.Go(func() {
		if err := server(w.ctx); err != nil {
			select {
			case w.failed <- err:
			default: // an earlier failure ends the daemon already
			}
		}
	})
}

// exitWait is how long after a stop the daemon waits for its background work to end: a call to
// a peer that is cut off must not hold up the exit until the platform kills the process.
const exitWait = 200 * time.Millisecond

// wait waits until all work has ended, but not longer than a time, and reports whether it has.
func (w *backgroundWork) wait(limit time.Duration) bool {
	ended := make(chan struct{})
	go func() { w.running.Wait(); close(ended) }()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func listen(purpose, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s at %s: %w", purpose, address, err)
	}
	return listener, nil
}

// serveMetrics serves the metrics at address. If it cannot listen there, it logs
// the error and the daemon runs without metrics.
func (g *Gateway) serveMetrics(work *backgroundWork, address string) {
	listener, err := listen("metrics", address)
	if err != nil {
		g.log.Warn("metrics are not served", "error", err)
		return
	}
	work.serve(func(ctx context.Context) error { return g.serveAdmin(ctx, "metrics", g.adminHandler(), listener) })
}

const (
	// adminTimeout limits reading and writing of readiness checks and metrics calls.
	adminTimeout = 5 * time.Second
	// adminHeaderBytes limits their heads, which are a few hundred bytes; net/http adds 4 KiB.
	adminHeaderBytes = 4 << 10
	// peerFirstByte is how long another daemon's connection may be open before its first byte. Daemons
	// open a connection for a call, which they give up after 0.8 s.
	peerFirstByte = 10 * time.Second
)

// serveAdmin serves a listener that is not for requests until the context ends.
func (g *Gateway) serveAdmin(ctx context.Context, place string, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout, MaxHeaderBytes: adminHeaderBytes}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	limited := g.limitedListener(listener, place, 0, adminDescriptorShare, 0)
	if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	return nil
}

// readyHandler answers the platform's readiness checks.
func (g *Gateway) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// ready reports whether the daemon has a configuration and a list of targets, knows what is evacuated and
// is not stopping.
func (g *Gateway) ready() bool {
	return !g.stopping() && g.config.current() != nil && g.coordinator.hasLoadedTargets() && g.evacuations.knownOrOverdue(time.Now())
}
