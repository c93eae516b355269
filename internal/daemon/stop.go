package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/shutdown"
)

// shutdown stops the daemon gracefully. It reports not ready to the load balancer and
// leaving to its peers, and accepts requests for the stop delay, in which they stop
// sending new ones. It then closes the callers' listener, refuses what still comes on open
// connections, and waits for the requests in progress, first those of its callers and then
// those forwarded to it as a home. Shortly before the stop timeout it cuts those of its callers.
func (d *Daemon) shutdown(operators *http.Server) error {
	d.log.Info("stopping")
	d.stopping.Store(true)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Limits.StopTimeout)
	defer cancel()
	defer func() { _ = operators.Close() }()
	d.loop.Do(func(state *control.State, _ time.Time) { state.Members.MarkLeaving() })
	d.callers.AnnounceStop()
	d.broadcastState(ctx)
	d.handOverDirectory(ctx)
	plan := shutdown.NewWithTimes(began, time.Now(), d.settings.Limits.StopDelay, d.settings.Limits.StopTimeout)
	sleep(ctx, time.Until(plan.DrainAt))
	if cut := d.callers.Stop(plan); cut > 0 {
		return fmt.Errorf("finish requests in progress: %d were cut", cut)
	}
	if err := d.home.Drain(ctx); err != nil {
		return fmt.Errorf("finish forwarded requests in progress: %w", err)
	}
	d.drainClaims()
	d.handOverDirectory(ctx)
	// Nothing is in flight any more: publish fresh counts, so that peers do not keep
	// the previous ones.
	d.loop.Do(func(*control.State, time.Time) { d.publishedLoad = nil })
	d.broadcastState(ctx)
	d.log.Info("stopped")
	return nil
}

// broadcastState exchanges control state with all live peers of the failure domain
// and some peers of other domains, and waits until every exchange has ended.
func (d *Daemon) broadcastState(ctx context.Context) {
	inside, outside := d.peerAddresses()
	var group sync.WaitGroup
	for _, address := range append(inside, outside[:min(announcementFanOut, len(outside))]...) {
		group.Go(func() { d.syncWith(ctx, address) })
	}
	group.Wait()
}

// claimDrainTimeout is how long a stopping daemon waits for pending claim results to
// be stored when the platform is unreachable. Requests repeated with a key whose
// result is not stored end with outcome unknown.
const claimDrainTimeout = 10 * time.Second

func (d *Daemon) drainClaims() {
	ctx, cancel := context.WithTimeout(context.Background(), claimDrainTimeout)
	defer cancel()
	if err := d.claimLedger.Drain(ctx); err != nil {
		d.log.Warn("pending claim results not stored", "step", "drain claims", "err", err)
	}
}
