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
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockknot/internal/coordination/brittle"
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
	peers             *peers
	crashChecks       *crashChecks
	streamRecord      *streamRecord
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
	g.coordinator.limits = ratelimit.New(g.peers)
	g.coordinator.brittle = brittle.New(g.peers)
	g.coordinator.onHeld = func(newlyHeld []quarantine.Hold) { g.logHolds(newlyHeld, nil, "own") }
	g.coordinator.onOriginsPending = g.peers.copyOrigins
	g.streamRecord = newStreamRecord(g)
	g.targets = newTargetList(g)
	g.callers = g.newServer(g.handleRequest)
	g.forwards = g.newServer(g.handleForwarded)
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

// Run serves until the context ends, then shuts down gracefully. It serves
// metrics at metricsAddress unless that is empty.
func (g *Gateway) Run(ctx context.Context, metricsAddress string) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.coordinator.done = background.Done()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { g.coordinator.run(background); return nil })
	group.Go(func() error { g.pool.Run(background); return nil })
	group.Go(func() error { g.peerPool.Run(background); return nil })
	group.Go(func() error { g.watchSilentStreams(background); return nil })
	group.Go(func() error { g.watchConfig(background); return nil })
	group.Go(func() error { g.targets.watch.run(background); return nil })
	group.Go(func() error { g.streamRecord.run(background); return nil })
	group.Go(func() error { return serveHTTP(background, g.readyHandler(), g.readinessListener) })
	group.Go(func() error { return g.callers.Serve(g.callerListener) })
	if g.peerListener != nil {
		group.Go(func() error { return mesh.Serve(background, g.peerListener, g.peers) })
		group.Go(func() error { g.peers.run(background); return nil })
		group.Go(func() error { g.peers.runOriginCopies(background); return nil })
	}
	if g.forwardListener != nil {
		group.Go(func() error { return g.forwards.Serve(g.forwardListener) })
	}
	if metricsAddress != "" {
		g.serveMetrics(background, group, metricsAddress)
	}
	g.log.Warn("started", "failure_domain", g.settings.FailureDomain,
		"callers", g.callerListener.Addr().String(), "peers", g.peers.address)
	stopped := make(chan struct{})
	group.Go(func() error {
		defer close(stopped)
		defer cancel()
		select {
		case <-ctx.Done():
			g.stop()
		case <-background.Done():
		}
		return nil
	})
	return g.waitForEnd(group, stopped)
}

// exitWait is how long after a stop the daemon waits for its background work to end. It
// is less than what a shutdown.Plan leaves for it: a call to a peer that is cut off must not hold up the exit
// until the platform kills the process.
const exitWait = 200 * time.Millisecond

// waitForEnd waits until the group has ended, but no longer than exitWait after the stop.
func (g *Gateway) waitForEnd(group *errgroup.Group, stopped <-chan struct{}) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-stopped:
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(exitWait):
		g.log.Warn("background work has not ended, exiting")
		return nil
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
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group, address string) {
	listener, err := listen("metrics", address)
	if err != nil {
		g.log.Warn("metrics are not served", "error", err)
		return
	}
	group.Go(func() error { return serveHTTP(ctx, g.adminHandler(), listener) })
}

// adminTimeout limits reading and writing of readiness checks and metrics calls.
const adminTimeout = 5 * time.Second

// serveHTTP serves the listener until the context ends.
func serveHTTP(ctx context.Context, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
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

// ready reports whether the daemon has a configuration and a list of targets and
// is not stopping.
func (g *Gateway) ready() bool {
	return !g.stopping() && g.config.current() != nil && g.coordinator.hasLoadedTargets()
}
