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
	callers   *caller.Server
	listeners listeners
	stopping  atomic.Bool
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
	router := entry.New(loop, peers, counters)
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
		callers:   caller.New(loop, router, keeper, config.Limits, counters, logger),
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
		Handler:           operator.Handler(d.loop, d.metrics, d.ready),
		ReadHeaderTimeout: d.settings.Limits.HeaderTimeout,
	}
	group, background := errgroup.WithContext(background)
	group.Go(func() error { d.loop.Run(background); return nil })
	group.Go(func() error { return d.callers.Serve(d.listeners.callers) })
	group.Go(func() error { return serveHTTP(operators, d.listeners.operators) })
	group.Go(func() error {
		return peer.Serve(background, d.listeners.peers, d.home, controlHandler{d}, d.metrics)
	})
	group.Go(func() error { d.runSync(background); return nil })
	group.Go(func() error { d.runEnvironment(background); return nil })
	group.Go(func() error { d.runHosts(background); return nil })
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

// shutdown finishes the requests in progress before the process ends.
func (d *Daemon) shutdown(operators *http.Server) error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.StopTimeout)
	defer cancel()
	d.loop.Do(func(state *control.State, _ time.Time) { state.Members.Leave() })
	if err := d.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("finish requests in progress: %w", err)
	}
	if err := d.home.Drain(ctx); err != nil {
		return fmt.Errorf("finish forwarded requests in progress: %w", err)
	}
	d.drainClaims()
	_ = operators.Close()
	d.log.Info("stopped")
	return nil
}

// drainLimit is how long a stopping daemon goes on recording claims' results
// while the platform is away. Repeats of what is left end as outcome unknown.
const drainLimit = 10 * time.Second

func (d *Daemon) drainClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if err := d.claims.Drain(ctx); err != nil {
		d.log.Warn("claims not recorded", "step", "drain claims", "err", err)
	}
}
