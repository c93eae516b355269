package daemon

import (
	"context"
	"sync"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/protocol/peerpb"
)

// roundsPerPlacement is the number of sync rounds between two sends of placements.
// Placements are not urgent, as a chat's next request follows only after the answer to
// the last one, and larger batches cost fewer bytes.
const roundsPerPlacement = 4

// handoverBatchSize is the maximum number of directory entries that a stopping daemon
// sends in one batch.
const handoverBatchSize = 8192

// migrationBatchSize is the maximum number of directory entries that entryMigrator
// sends in one batch.
const migrationBatchSize = 128

// sendPlacements starts to send the pending placements. A placement tells the home of
// a chat's first engine which other engine has served the chat. Failed sends are not
// retried: a lost placement only reduces cache reuse.
func (d *Daemon) sendPlacements(ctx context.Context) {
	var byAddress map[string][]*peerpb.DirectoryEntry
	d.loop.Do(func(state *control.State, _ time.Time) { byAddress = state.TakePendingPlacements() })
	go d.sendDirectoryEntries(ctx, byAddress)
}

// handOverDirectory sends the pending placements and all directory entries of a
// stopping daemon to the daemons that become the homes of their first engines.
func (d *Daemon) handOverDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		var byAddress map[string][]*peerpb.DirectoryEntry
		d.loop.Do(func(state *control.State, now time.Time) {
			byAddress = state.TakePendingPlacements()
			if len(byAddress) == 0 {
				byAddress = state.TakeMovedEntries(handoverBatchSize, now)
			}
		})
		if len(byAddress) == 0 {
			return
		}
		d.sendDirectoryEntries(ctx, byAddress)
	}
}

// entryMigrator moves directory entries to other daemons in small batches after the
// homes of their first engines have changed.
type entryMigrator struct {
	homesHash uint64 // hash of the set of daemons that are eligible as homes
	pending   bool   // some entries may still belong to another home
}

// migrate starts to send one batch of entries to their new homes. After a change of the
// set of homes, each call sends a batch until no entry belongs to another home.
func (m *entryMigrator) migrate(ctx context.Context, d *Daemon) {
	var byAddress map[string][]*peerpb.DirectoryEntry
	d.loop.Do(func(state *control.State, now time.Time) {
		if currentHash := state.Members.HomeCandidatesHash(now); currentHash != m.homesHash {
			m.homesHash, m.pending = currentHash, true
		}
		if m.pending {
			byAddress = state.TakeMovedEntries(migrationBatchSize, now)
		}
	})
	m.pending = len(byAddress) > 0
	go d.sendDirectoryEntries(ctx, byAddress)
}

// sendDirectoryEntries sends directory entries to peers, keyed by address, and waits
// until every call has ended.
func (d *Daemon) sendDirectoryEntries(ctx context.Context, byAddress map[string][]*peerpb.DirectoryEntry) {
	var group sync.WaitGroup
	for address, entries := range byAddress {
		group.Go(func() {
			request := &peerpb.HandoverRequest{Entries: entries}
			if err := d.peers.Handover(ctx, address, request); err != nil {
				d.log.Debug("sending directory entries failed", "step", "send placements", "peer", address, "err", err)
			}
		})
	}
	group.Wait()
}
