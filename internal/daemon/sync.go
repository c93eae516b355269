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

// syncInterval is how often a daemon exchanges control state with one peer.
const syncInterval = 250 * time.Millisecond

// Odds of choosing another peer than a live one of the own failure domain: one
// in so many rounds.
const (
	outsideOdds   = 4
	bootstrapOdds = 8
)

// announceFanOut is how many peers are told at once of a change that must not
// wait for the next rounds; they tell others in turn.
const announceFanOut = 8

// runSync exchanges control state with a random peer each round.
func (d *Daemon) runSync(ctx context.Context) {
	d.loop.Do(func(state *control.State, now time.Time) { state.Tick(now) })
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	rounds := 0
	var strays strayMover
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.round(ctx)
			d.loop.Do(func(state *control.State, now time.Time) {
				d.claims.ShareBudget(len(state.Members.Live(now)))
			})
			if rounds++; rounds%placementRounds == 0 {
				d.sendPlacements(ctx)
				strays.round(ctx, d)
			}
		}
	}
}

func (d *Daemon) round(ctx context.Context) {
	changed := false
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Tick(now)
		changed = state.Health.TakeChanged()
		if changed {
			d.findingsChanged = now
		}
	})
	if changed {
		d.announce(ctx)
		return
	}
	if address := d.pickPeer(); address != "" {
		go d.syncWith(ctx, address)
	}
}

// announce exchanges control state with several peers of the failure domain at
// once.
func (d *Daemon) announce(ctx context.Context) {
	inside, _ := d.peerAddresses()
	rand.Shuffle(len(inside), func(i, j int) { inside[i], inside[j] = inside[j], inside[i] })
	for _, address := range inside[:min(announceFanOut, len(inside))] {
		go d.syncWith(ctx, address)
	}
}

// pickPeer returns the address of a random live peer, mostly of the own failure
// domain, or now and then of a bootstrap peer, so that separated parts of the
// fleet find each other again.
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

// peerAddresses returns the addresses of the live peers inside and outside the
// own failure domain.
func (d *Daemon) peerAddresses() (inside, outside []string) {
	own := d.settings.FailureDomain
	d.loop.Do(func(state *control.State, now time.Time) {
		for _, peer := range state.Members.Live(now) {
			switch {
			case peer == state.Members.Self():
			case peer.GetFailureDomain() == own:
				inside = append(inside, member.AddressFor(peer, own))
			default:
				outside = append(outside, member.AddressFor(peer, own))
			}
		}
	})
	return inside, outside
}

// syncWith exchanges control state with a peer and fetches its document if that
// is newer.
func (d *Daemon) syncWith(ctx context.Context, address string) {
	reply, err := d.exchange(ctx, address)
	if err != nil {
		d.log.Debug("sync failed", "step", "sync", "peer", address, "err", err)
		return
	}
	d.considerVersion(ctx, address, versionIn(reply))
}

// exchange exchanges control state with a peer. If one of the two lacks entries
// of members that the other has named, a second round brings them.
func (d *Daemon) exchange(ctx context.Context, address string) (*peerpb.SyncMessage, error) {
	reply, err := d.peers.Sync(ctx, address, d.syncRequest(nil))
	if err != nil {
		return nil, err
	}
	if lacking := d.takeSync(reply); lacking || len(reply.GetWanted()) > 0 {
		reply, err = d.peers.Sync(ctx, address, d.syncRequest(reply.GetWanted()))
		if err != nil {
			return nil, err
		}
		d.takeSync(reply)
	}
	return reply, nil
}

// peersAsked is how many peers a starting daemon asks.
const peersAsked = 3

// askPeers learns the fleet and its newest document from some bootstrap peers.
// It returns when each of them has answered or failed.
func (d *Daemon) askPeers(ctx context.Context) {
	peers := slices.Clone(d.settings.BootstrapPeers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var group sync.WaitGroup
	for _, address := range peers[:min(peersAsked, len(peers))] {
		group.Go(func() { d.askPeer(ctx, address) })
	}
	group.Wait()
}

func (d *Daemon) askPeer(ctx context.Context, address string) {
	reply, err := d.exchange(ctx, address)
	if err != nil {
		d.log.Debug("peer not reached", "step", "ask peers", "peer", address, "err", err)
		return
	}
	if !versionIn(reply).Newer(d.loop.Snapshot().Version()) {
		return
	}
	if err := d.fetchDocument(ctx, address, true); err != nil {
		d.log.Debug("document not fetched", "step", "ask peers", "peer", address, "err", err)
	}
}
