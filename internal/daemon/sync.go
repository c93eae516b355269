package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
)

// syncInterval is how often a daemon exchanges control state with one peer.
const syncInterval = 250 * time.Millisecond

// runSync exchanges control state with a random peer each round.
func (d *Daemon) runSync(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.loop.Do(func(state *control.State, now time.Time) {
				state.Tick(now)
				d.claims.ShareBudget(len(state.Members.Live(now)))
			})
			if address := d.pickPeer(); address != "" {
				go d.syncWith(ctx, address)
			}
		}
	}
}

// pickPeer returns the address of a random live peer, or now and then of a
// bootstrap peer, so that separated parts of the fleet find each other again.
func (d *Daemon) pickPeer() string {
	var addresses []string
	d.loop.Do(func(state *control.State, now time.Time) {
		for _, peer := range state.Members.Live(now) {
			if peer != state.Members.Self() {
				addresses = append(addresses, member.AddressFor(peer, state.Members.Self().GetFailureDomain()))
			}
		}
	})
	const bootstrapOdds = 8
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

func (d *Daemon) syncWith(ctx context.Context, address string) {
	reply, err := d.peers.Sync(ctx, address, d.syncMessage())
	if err != nil {
		d.log.Debug("sync failed", "step", "sync", "peer", address, "err", err)
		return
	}
	d.takeSync(reply)
	d.fetchNewer(ctx, address, reply.GetGeneration())
}

// syncMessage returns what a peer should know.
func (d *Daemon) syncMessage() *peerpb.SyncMessage {
	message := new(peerpb.SyncMessage)
	d.loop.Do(func(state *control.State, now time.Time) {
		self := state.Members.Self()
		message.Sender = self.GetName()
		message.Members = state.Members.Live(now)
		message.Findings = state.Health.Findings()
		message.Loads = append(message.Loads, state.Admission.OwnLoad(self.GetName(), self.GetIncarnation()))
		for _, load := range state.Admission.PeerLoads() {
			message.Loads = append(message.Loads, load)
		}
		if state.Snapshot != nil {
			message.Generation = state.Snapshot.Generation
		}
	})
	return message
}

func (d *Daemon) takeSync(message *peerpb.SyncMessage) {
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Members.Merge(message.GetMembers(), now)
		state.Health.Merge(message.GetFindings())
		state.Admission.MergeLoads(state.Members.Self().GetName(), message.GetLoads())
	})
}

// controlHandler answers peers' control calls.
type controlHandler struct{ daemon *Daemon }

// Sync implements peer.ControlHandler.
func (h controlHandler) Sync(_ context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	h.daemon.takeSync(message)
	return h.daemon.syncMessage(), nil
}

// FetchDocument implements peer.ControlHandler.
func (h controlHandler) FetchDocument(_ context.Context, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	snapshot := h.daemon.loop.Snapshot()
	if snapshot == nil || snapshot.Generation <= request.GetKnownGeneration() {
		return new(peerpb.DocumentReply), nil
	}
	return &peerpb.DocumentReply{Generation: snapshot.Generation, Document: snapshot.Text}, nil
}

// Handover implements peer.ControlHandler.
func (h controlHandler) Handover(_ context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	h.daemon.loop.Do(func(state *control.State, now time.Time) {
		for _, entry := range request.GetEntries() {
			state.Directory.Remember(entry.GetChatKey(), entry.GetEngine(), now)
		}
	})
	return new(peerpb.HandoverReply), nil
}
