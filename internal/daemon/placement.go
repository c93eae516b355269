package daemon

import (
	"context"
	"sync"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/protocol/peerpb"
)

// placementRounds is how many control rounds pass between placements. A chat
// returns after its answer at the earliest, and few messages cost few bytes.
const placementRounds = 4

// handoverBatch is how many entries of the directory a stopping daemon sends at a
// time.
const handoverBatch = 8192

// straysPerRound bounds the entries that move in one control round.
const straysPerRound = 128

// sendPlacements tells the homes of chats' first engines where the chats went.
// A message that is lost costs cache reuse only, so it is not repeated.
func (d *Daemon) sendPlacements(ctx context.Context) {
	var waiting map[string][]*peerpb.DirectoryEntry
	d.loop.Do(func(state *control.State, _ time.Time) { waiting = state.TakePlacements() })
	go d.sendEntries(ctx, waiting)
}

// handOverDirectory passes everything that a stopping daemon knows of chats on to
// the next homes.
func (d *Daemon) handOverDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		var entries map[string][]*peerpb.DirectoryEntry
		d.loop.Do(func(state *control.State, now time.Time) {
			entries = state.TakePlacements()
			if len(entries) == 0 {
				entries = state.TakeStrays(handoverBatch, now)
			}
		})
		if len(entries) == 0 {
			return
		}
		d.sendEntries(ctx, entries)
	}
}

// strayMover passes directory entries on when the homes of their first engines
// change, a few at a time.
type strayMover struct {
	homes  uint64 // hash of the daemons that may be homes
	moving bool
}

// round moves some entries if the fleet has changed and entries are left.
func (m *strayMover) round(ctx context.Context, d *Daemon) {
	var strays map[string][]*peerpb.DirectoryEntry
	d.loop.Do(func(state *control.State, now time.Time) {
		if homes := state.Members.HomesHash(now); homes != m.homes {
			m.homes, m.moving = homes, true
		}
		if m.moving {
			strays = state.TakeStrays(straysPerRound, now)
		}
	})
	m.moving = len(strays) > 0
	go d.sendEntries(ctx, strays)
}

// sendEntries sends directory entries to peers by address and waits for them.
func (d *Daemon) sendEntries(ctx context.Context, waiting map[string][]*peerpb.DirectoryEntry) {
	var group sync.WaitGroup
	for address, entries := range waiting {
		group.Go(func() {
			request := &peerpb.HandoverRequest{Entries: entries}
			if err := d.peers.Handover(ctx, address, request); err != nil {
				d.log.Debug("placements not sent", "step", "send placements", "peer", address, "err", err)
			}
		})
	}
	group.Wait()
}
