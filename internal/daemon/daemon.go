// Package daemon assembles the hemlockknotd process from its layers and runs it.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"hemlockknot/internal/coordination/claim"
	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/entry"
	"hemlockknot/internal/coordination/home"
	"hemlockknot/internal/coordination/trace"
	"hemlockknot/internal/metrics"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/ledger"
	"hemlockknot/internal/state/platform"
	"hemlockknot/internal/state/settings"
	"hemlockknot/internal/transport/caller"
	"hemlockknot/internal/transport/operator"
	"hemlockknot/internal/transport/peer"
	"hemlockknot/internal/transport/target"
)

// Daemon is one hemlockknotd process.
type Daemon struct {
	settings    settings.Settings
	capacity    capacity
	log         *log.Logger
	metrics     *metrics.Metrics
	loop        *control.Loop
	platform    *platform.Client
	claimLedger *ledger.Ledger
	peers       *peer.Client
	home        *home.Server
	prober      *target.Prober
	callers     *caller.Server
	traces      *trace.Log
	listeners   listeners
	stopping    atomic.Bool
	// publishedLoad holds this daemon's in-flight counts as sent to its peers, and
	// publishedLoadAt the time of that count. Only the control goroutine accesses them.
	publishedLoad   *peerpb.DaemonLoad
	publishedLoadAt time.Time
	// findingsChangedAt is the time of the last change of an engine's health state.
	// Only the control goroutine accesses it.
	findingsChangedAt time.Time
	// background is the context of background work. It is cancelled once the daemon
	// has stopped, and is set before the daemon serves any listener.
	background context.Context
}

type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// New opens the daemon's listeners and wires its components together. Run starts
// them.
func New(config settings.Settings, logger *log.Logger) (*Daemon, error) {
	bound, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	metricSet := metrics.New()
	self := memberEntry(config, bound.peers)
	loop := control.New(self)
	homeServer := home.New(loop, target.NewClient(), config.FailureDomain)
	peers := peer.NewClient(self, homeServer, metricSet)
	peers.EnvironmentID = environmentID(config.Environment)
	traces := trace.NewLog()
	router := trace.NewRouter(entry.New(loop, peers, metricSet), traces)
	platformClient := platform.NewClient(config.Platform.URL, metricSet)
	claimLedger := ledger.New(platformClient, metricSet)
	claimManager := claim.NewManager(claimLedger, claim.Limits(config.Claims))
	capacity := newCapacity(config.Limits)
	return &Daemon{
		settings:    config,
		capacity:    capacity,
		log:         logger,
		metrics:     metricSet,
		loop:        loop,
		platform:    platformClient,
		claimLedger: claimLedger,
		peers:       peers,
		home:        homeServer,
		prober:      target.NewProber(metricSet.AddProbeBytes),
		callers:     caller.New(loop, router, claimManager, config.Limits, capacity.ofCallers(metricSet, logger), metricSet, logger),
		traces:      traces,
		listeners:   bound,
	}, nil
}

// memberEntry returns this daemon's membership entry. The incarnation is the start
// time, so that it increases with every restart.
func memberEntry(config settings.Settings, peers net.Listener) *peerpb.Member {
	address := config.AdvertisePeers
	if address == "" {
		address = peers.Addr().String()
	}
	return &peerpb.Member{
		Name:           config.Name,
		Address:        address,
		OutsideAddress: config.AdvertiseOutside,
		Place:          config.Place,
		FailureDomain:  config.FailureDomain,
		Incarnation:    uint64(time.Now().UnixNano()),
	}
}

func listen(addresses settings.Listen) (listeners, error) {
	var bound listeners
	var err error
	if bound.callers, err = net.Listen("tcp", addresses.Callers); err != nil {
		return bound, fmt.Errorf("listen for callers: %w", err)
	}
	if bound.operators, err = net.Listen("tcp", addresses.Operators); err != nil {
		return bound, fmt.Errorf("listen for operators: %w", err)
	}
	if bound.peers, err = net.Listen("tcp", addresses.Peers); err != nil {
		return bound, fmt.Errorf("listen for peers: %w", err)
	}
	return bound, nil
}

// Run serves until ctx is cancelled, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	operators := &http.Server{
		Handler:           operator.NewHandler(d.operatorView()),
		ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
		ReadTimeout:       operatorTimeout,
		WriteTimeout:      operatorTimeout,
		MaxHeaderBytes:    operatorHeaderBytes,
	}
	group, background := errgroup.WithContext(background)
	d.background = background
	group.Go(func() error { d.loop.Run(background); return nil })
	group.Go(func() error { return d.callers.Serve(d.listeners.callers) })
	group.Go(func() error {
		return serveHTTP(operators, d.limitedListener(d.listeners.operators, "operators", d.capacity.operators, 0))
	})
	group.Go(func() error {
		peers := d.limitedListener(d.listeners.peers, "peers", d.capacity.peers, peerFirstByte)
		return peer.Serve(background, peers, d.home, environmentGuard{controlHandler{d}}, d.metrics)
	})
	group.Go(func() error { d.runSync(background); return nil })
	group.Go(func() error { d.runPlatform(background); return nil })
	group.Go(func() error { d.runProbes(background); return nil })
	d.logListening()
	group.Go(func() error {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
		return d.shutdown(operators)
	})
	err := group.Wait()
	d.metrics.Close()
	return err
}

// operatorView returns the parts of the daemon that the operators' interface reads.
func (d *Daemon) operatorView() operator.Daemon {
	return operator.Daemon{
		Environment: d.settings.Environment,
		Loop:        d.loop,
		Metrics:     d.metrics,
		Traces:      d.traces,
		Ready:       d.ready,
	}
}

func (d *Daemon) logListening() {
	d.log.Info("listening",
		"callers", d.listeners.callers.Addr().String(),
		"operators", d.listeners.operators.Addr().String(),
		"peers", d.listeners.peers.Addr().String())
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ready reports whether the daemon accepts new requests.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.loop.Snapshot() != nil
}
