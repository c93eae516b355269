package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlockknot/internal/coordination/control"
)

// shutdown stops the daemon without cutting a request off: it tells the balancer
// and the peers, goes on accepting for the stop delay while they turn away, then
// closes its listeners and finishes what is in progress, first its callers'
// requests and then those that it serves as a home.
func (d *Daemon) shutdown(operators *http.Server) error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.StopTimeout)
	defer cancel()
	defer func() { _ = operators.Close() }()
	d.loop.Do(func(state *control.State, _ time.Time) { state.Members.Leave() })
	d.callers.TurnAway()
	d.tellEveryone(ctx)
	d.handOverDirectory(ctx)
	wait(ctx, d.settings.Limits.StopDelay)
	if err := d.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("finish requests in progress: %w", err)
	}
	if err := d.home.Drain(ctx); err != nil {
		return fmt.Errorf("finish forwarded requests in progress: %w", err)
	}
	d.drainClaims()
	d.handOverDirectory(ctx)
	// Nothing is in flight any more: peers must not count what they heard last.
	d.loop.Do(func(*control.State, time.Time) { d.told = nil })
	d.tellEveryone(ctx)
	d.log.Info("stopped")
	return nil
}

// tellEveryone exchanges control state with the live peers of the failure domain
// and some of the others, and waits for them.
func (d *Daemon) tellEveryone(ctx context.Context) {
	inside, outside := d.peerAddresses()
	var group sync.WaitGroup
	for _, address := range append(inside, outside[:min(announceFanOut, len(outside))]...) {
		group.Go(func() { d.syncWith(ctx, address) })
	}
	group.Wait()
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
