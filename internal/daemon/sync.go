package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
)

// syncInterval is the interval of sync rounds. In each round a daemon exchanges control
// state with one peer.
const syncInterval = 250 * time.Millisecond

// Odds, 1 in N rounds, of choosing a peer other than a live one of the daemon's own
// failure domain.
const (
	outsideOdds   = 4
	bootstrapOdds = 8
)

// announcementFanOut is the number of peers that a daemon contacts at once after a
// change that must not wait for the next rounds. Those peers pass the change on.
const announcementFanOut = 8

// runSync runs the sync rounds until ctx is cancelled. Every roundsPerPlacement
// rounds it also sends placements and moves directory entries to their new homes.
func (d *Daemon) runSync(ctx context.Context) {
	d.loop.Do(func(state *control.State, now time.Time) { state.Tick(now) })
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	rounds := 0
	var migrator entryMigrator
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.syncRound(ctx)
			d.loop.Do(func(state *control.State, now time.Time) {
				d.claimLedger.SetDaemonCount(len(state.Members.Live(now)))
			})
			if rounds++; rounds%roundsPerPlacement == 0 {
				d.sendPlacements(ctx)
				migrator.migrate(ctx, d)
			}
		}
	}
}

// syncRound exchanges control state with a random peer, or with several peers if an
// engine's health state has changed.
func (d *Daemon) syncRound(ctx context.Context) {
	changed := false
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Tick(now)
		changed = state.Health.ChangedSinceLastCall()
		if changed {
			d.findingsChangedAt = now
		}
	})
	if changed {
		d.announceHealthChange(ctx)
		return
	}
	if address := d.pickPeer(); address != "" {
		go d.syncWith(ctx, address)
	}
}

// announceHealthChange starts exchanges of control state with several random peers of
// the failure domain at once.
func (d *Daemon) announceHealthChange(ctx context.Context) {
	inside, _ := d.peerAddresses()
	rand.Shuffle(len(inside), func(i, j int) { inside[i], inside[j] = inside[j], inside[i] })
	for _, address := range inside[:min(announcementFanOut, len(inside))] {
		go d.syncWith(ctx, address)
	}
}

// pickPeer returns the address of a random live peer, mostly one of the daemon's own
// failure domain. It occasionally returns a bootstrap peer, so that parts of the fleet
// rejoin after a network partition.
func (d *Daemon) pickPeer() string {
	addresses, outside := d.peerAddresses()
	if len(addresses) == 0 || (len(outside) > 0 && rand.IntN(outsideOdds) == 0) {
		addresses = outside
	}
	if bootstrap := d.settings.BootstrapPeers; len(bootstrap) > 0 {
		if len(addresses) == 0 || rand.IntN(bootstrapOdds) == 0 {
			addresses = bootstrap
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// peerAddresses returns the addresses of the live peers inside and outside this
// daemon's failure domain.
func (d *Daemon) peerAddresses() (inside, outside []string) {
	ownDomain := d.settings.FailureDomain
	d.loop.Do(func(state *control.State, now time.Time) {
		for _, peer := range state.Members.Live(now) {
			switch {
			case peer == state.Members.Self():
			case peer.GetFailureDomain() == ownDomain:
				inside = append(inside, member.AddressFor(peer, ownDomain))
			default:
				outside = append(outside, member.AddressFor(peer, ownDomain))
			}
		}
	})
	return inside, outside
}

// syncWith exchanges control state with a peer and fetches the peer's document if it
// is newer.
func (d *Daemon) syncWith(ctx context.Context, address string) {
	reply, err := d.exchangeState(ctx, address)
	if err != nil {
		d.log.Debug("control exchange with peer failed", "step", "sync", "peer", address, "err", err)
		return
	}
	d.fetchIfNewer(ctx, address, documentVersionOf(reply))
}

// exchangeState sends a sync request to a peer and merges the reply. If either side
// lacks entries of members in the other's digest, a second request transfers them.
func (d *Daemon) exchangeState(ctx context.Context, address string) (*peerpb.SyncMessage, error) {
	reply, err := d.peers.Sync(ctx, address, d.syncRequest(nil))
	if err != nil {
		return nil, err
	}
	if missing := d.mergeSync(reply); missing || len(reply.GetWanted()) > 0 {
		reply, err = d.peers.Sync(ctx, address, d.syncRequest(reply.GetWanted()))
		if err != nil {
			return nil, err
		}
		d.mergeSync(reply)
	}
	return reply, nil
}

// bootstrapFanOut is the number of bootstrap peers that a starting daemon contacts.
const bootstrapFanOut = 3

// syncWithBootstrapPeers obtains the member list and the newest document from some
// bootstrap peers. It returns once each of them has answered or failed.
func (d *Daemon) syncWithBootstrapPeers(ctx context.Context) {
	peers := slices.Clone(d.settings.BootstrapPeers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var group sync.WaitGroup
	for _, address := range peers[:min(bootstrapFanOut, len(peers))] {
		group.Go(func() { d.syncWithBootstrapPeer(ctx, address) })
	}
	group.Wait()
}

func (d *Daemon) syncWithBootstrapPeer(ctx context.Context, address string) {
	reply, err := d.exchangeState(ctx, address)
	if err != nil {
		d.log.Debug("cannot reach bootstrap peer", "step", "ask peers", "peer", address, "err", err)
		return
	}
	if !documentVersionOf(reply).Newer(d.loop.Snapshot().Version()) {
		return
	}
	if err := d.fetchDocument(ctx, address, true); err != nil {
		d.log.Debug("fetching document from bootstrap peer failed", "step", "ask peers", "peer", address, "err", err)
	}
}
