// Package daemon joins the layers to a running hemlockknotd process.
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
	settings  settings.Settings
	log       *log.Logger
	metrics   *metrics.Metrics
	loop      *control.Loop
	platform  *platform.Client
	claims    *ledger.Ledger
	peers     *peer.Client
	home      *home.Server
	prober    *target.Prober
	callers   *caller.Server
	traces    *trace.Log
	listeners listeners
	stopping  atomic.Bool
	// told is the own in-flight counts as peers are told them, and toldAt when they
	// were counted; the control goroutine owns both.
	told   *peerpb.DaemonLoad
	toldAt time.Time
	// findingsChanged is when an engine's state last changed; owned likewise.
	findingsChanged time.Time
	// background ends when the daemon has stopped; it is set before any listener
	// is served.
	background context.Context
}

type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// New opens the daemon's listeners and joins its parts; Run starts them.
func New(config settings.Settings, logger *log.Logger) (*Daemon, error) {
	opened, err := listen(config.Listen)
	if err != nil {
		return nil, err
	}
	counters := metrics.New()
	member := self(config, opened.peers)
	loop := control.New(member)
	homeServer := home.New(loop, target.NewClient(), config.FailureDomain)
	peers := peer.NewClient(member, homeServer, counters)
	peers.EnvironmentID = environmentID(config.Environment)
	traces := trace.NewLog()
	router := trace.NewRouter(entry.New(loop, peers, counters), traces)
	objects := platform.NewClient(config.Platform.URL, counters)
	claims := ledger.New(objects, counters)
	keeper := claim.NewKeeper(claims, claim.Times(config.Claims))
	return &Daemon{
		settings:  config,
		log:       logger,
		metrics:   counters,
		loop:      loop,
		platform:  objects,
		claims:    claims,
		peers:     peers,
		home:      homeServer,
		prober:    target.NewProber(counters.ProbeBytes),
		callers:   caller.New(loop, router, keeper, config.Limits, counters, logger),
		traces:    traces,
		listeners: opened,
	}, nil
}

// self describes this daemon to its peers. The start time serves as the
// incarnation: it rises with every start.
func self(config settings.Settings, peers net.Listener) *peerpb.Member {
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
	var opened listeners
	var err error
	if opened.callers, err = net.Listen("tcp", addresses.Callers); err != nil {
		return opened, fmt.Errorf("listen for callers: %w", err)
	}
	if opened.operators, err = net.Listen("tcp", addresses.Operators); err != nil {
		return opened, fmt.Errorf("listen for operators: %w", err)
	}
	if opened.peers, err = net.Listen("tcp", addresses.Peers); err != nil {
		return opened, fmt.Errorf("listen for peers: %w", err)
	}
	return opened, nil
}

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	operators := &http.Server{
		Handler:           operator.Handler(d.shown()),
		ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
	}
	group, background := errgroup.WithContext(background)
	d.background = background
	group.Go(func() error { d.loop.Run(background); return nil })
	group.Go(func() error { return d.callers.Serve(d.listeners.callers) })
	group.Go(func() error { return serveHTTP(operators, d.listeners.operators) })
	group.Go(func() error {
		return peer.Serve(background, d.listeners.peers, d.home, apartHandler{controlHandler{d}}, d.metrics)
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

// shown is what operators see of the daemon.
func (d *Daemon) shown() operator.Daemon {
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

// ready reports whether the daemon takes new requests.
func (d *Daemon) ready() bool {
	return !d.stopping.Load() && d.loop.Snapshot() != nil
}
