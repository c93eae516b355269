// Package gateway is the daemon on the users' platform: callers' requests go
// straight to the targets that the platform lists, by decisions that each daemon
// takes from the same lists.
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

	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/transport/exchange"
	"hemlockknot/internal/transport/mesh"
	"hemlockknot/platform"
)

// logger takes structured lines and never blocks.
type logger interface {
	Info(message string, fields ...any)
	Warn(message string, fields ...any)
}

// Gateway is one daemon.
type Gateway struct {
	settings platform.Settings
	log      logger
	metrics  *counters
	store    *platform.Store
	document *inForce
	control  *control
	pool     *exchange.Pool
	flows    *flows
	targets  *targetList
	peers    *peers
	callers  *callerServer
	front    net.Listener // of callers
	checks   net.Listener // of the platform's readiness checks
	others   net.Listener // of other daemons; nil if the settings name no address
	stopping atomic.Bool
	grace    atomic.Int64 // of a planned stop, in nanoseconds
}

// New opens the daemon's listeners; Run serves them.
func New(settings platform.Settings, log logger) (*Gateway, error) {
	front, err := listen("callers", settings.CallersAddress)
	if err != nil {
		return nil, err
	}
	checks, err := listen("readiness checks", settings.ReadyAddress)
	if err != nil {
		return nil, errors.Join(err, front.Close())
	}
	var others net.Listener
	if settings.PeersAddress != "" {
		if others, err = listen("other daemons", settings.PeersAddress); err != nil {
			return nil, errors.Join(err, front.Close(), checks.Close())
		}
	}
	g := &Gateway{
		front:    front,
		others:   others,
		checks:   checks,
		settings: settings,
		log:      log,
		metrics:  newCounters(),
		store:    platform.NewStore(settings.StoreAddress),
		document: newInForce(),
		pool:     exchange.NewPool(),
		flows:    newFlows(),
	}
	g.grace.Store(int64(settings.Grace))
	g.control = newControl(settings.FailureDomain, budgetPolicy{
		ratio:  settings.RetryRatio,
		extra:  settings.RetryExtra,
		window: settings.RetryWindow,
		shares: g.daemons,
	})
	g.store.Called = g.metrics.storeCall
	g.pool.Dialed = g.metrics.dialed
	g.peers = newPeers(g, self(settings, others))
	g.targets = newTargetList(g)
	g.callers = newCallerServer(http.HandlerFunc(g.serve), g.idleTimeout)
	return g, nil
}

// self describes this daemon to its peers. The start's time serves as the
// incarnation: it rises with every start.
func self(settings platform.Settings, others net.Listener) *peerpb.Member {
	member := &peerpb.Member{
		Name:          settings.Host,
		Place:         settings.Place,
		FailureDomain: settings.FailureDomain,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
	if others != nil {
		member.Address = others.Addr().String()
	}
	return member
}

// fewestDaemons is the least number among which the fleet's budgets are shared:
// a daemon that knows few others may be cut off from the rest.
const fewestDaemons = 8

// daemons returns how many daemons share the fleet's budgets.
func (g *Gateway) daemons() int { return max(fewestDaemons, g.peers.known()) }

// Run serves until the context ends, then stops gracefully. Metrics are served
// at metricsAddress, if there is one.
func (g *Gateway) Run(ctx context.Context, metricsAddress string) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g.control.done = background.Done()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { g.control.run(background); return nil })
	group.Go(func() error { g.pool.Run(background); return nil })
	group.Go(func() error { g.watchFlows(background); return nil })
	group.Go(func() error { g.watchDocument(background); return nil })
	group.Go(func() error { g.targets.watch.run(background); return nil })
	group.Go(func() error { return serveUntil(background, g.readyHandler(), g.checks) })
	group.Go(func() error { return g.callers.serve(g.front) })
	if g.others != nil {
		group.Go(func() error { return mesh.Serve(background, g.others, g.peers) })
		group.Go(func() error { g.peers.run(background); return nil })
	}
	if metricsAddress != "" {
		g.serveMetrics(background, group, metricsAddress)
	}
	g.log.Warn("started", "host", g.settings.Host, "failure_domain", g.settings.FailureDomain,
		"callers", g.front.Addr().String(), "peers", g.peers.address)
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
			g.stop()
		case <-background.Done():
		}
		return nil
	})
	return group.Wait()
}

func listen(purpose, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s at %s: %w", purpose, address, err)
	}
	return listener, nil
}

// serveMetrics serves the counters. Without them requests are served all the
// same.
func (g *Gateway) serveMetrics(ctx context.Context, group *errgroup.Group, address string) {
	listener, err := listen("metrics", address)
	if err != nil {
		g.log.Warn("metrics are not served", "error", err)
		return
	}
	group.Go(func() error { return serveUntil(ctx, g.metrics.handler(), listener) })
}

// sideTimeout bounds calls that are not callers' requests.
const sideTimeout = 5 * time.Second

// serveUntil serves until the context ends.
func serveUntil(ctx context.Context, handler http.Handler, listener net.Listener) error {
	server := &http.Server{Handler: handler, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", listener.Addr(), err)
	}
	return nil
}

// readyHandler answers the platform's question whether the daemon takes
// connections.
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

func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.document.current() != nil && g.control.ready()
}

// defaultIdleTimeout holds until a configuration says otherwise.
const defaultIdleTimeout = 15 * time.Second

func (g *Gateway) idleTimeout() time.Duration {
	table := g.document.current()
	if table == nil || table.Document.Limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return table.Document.Limits.IdleTimeout
}
