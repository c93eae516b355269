package daemon

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/protocol/peerpb"
)

// sendPlacements tells the homes of chats' first engines where the chats went.
// A message that is lost costs cache reuse only, so it is not repeated.
func (d *Daemon) sendPlacements(ctx context.Context) {
	var waiting map[string][]*peerpb.DirectoryEntry
	d.loop.Do(func(state *control.State, _ time.Time) { waiting = state.TakePlacements() })
	for address, entries := range waiting {
		go func() {
			request := &peerpb.HandoverRequest{Sender: d.settings.Name, Entries: entries}
			if err := d.peers.Handover(ctx, address, request); err != nil {
				d.log.Debug("placements not sent", "step", "send placements", "peer", address, "err", err)
			}
		}()
	}
}
