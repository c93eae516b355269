package gateway

import (
	"time"

	"hemlockknot/internal/coordination/placement"
	"hemlockknot/internal/protocol/peerpb"
)

// encodeInProgress adds what this daemon has in progress to its state.
func encodeInProgress(state *peerpb.MeshState, own placement.InProgress) {
	for _, count := range own.Targets {
		state.OwnTargets = append(state.OwnTargets, count.Hash)
		state.OwnRequests = append(state.OwnRequests, uint32(count.Requests))
	}
	for _, count := range own.Services {
		state.OwnServices = append(state.OwnServices, count.Hash)
		state.OwnServiceRequests = append(state.OwnServiceRequests, uint32(count.Requests))
	}
}

// decodeInProgress returns what the sender of a state has in progress.
func decodeInProgress(remote *peerpb.MeshState) placement.InProgress {
	return placement.InProgress{
		Targets:  decodeCounts(remote.GetOwnTargets(), remote.GetOwnRequests()),
		Services: decodeCounts(remote.GetOwnServices(), remote.GetOwnServiceRequests()),
	}
}

func decodeCounts(hashes, requests []uint32) []placement.Count {
	counts := make([]placement.Count, min(len(hashes), len(requests)))
	for i := range counts {
		counts[i] = placement.Count{Hash: hashes[i], Requests: int(requests[i])}
	}
	return counts
}

// senderOf returns the name of the daemon that has sent a state, empty if it names none.
func senderOf(remote *peerpb.MeshState) string {
	if members := remote.GetMembers(); len(members) > 0 {
		return members[0].GetName()
	}
	return ""
}

// recentDaemons returns the number of daemons that have been heard of lately, this one included.
func (p *peers) recentDaemons() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.RecentCount(time.Now())
}

// ownInProgress returns what this daemon has in progress, as one of a number of daemons.
func (c *coordinator) ownInProgress(daemons int) (own placement.InProgress) {
	c.do(func() {
		c.placement.SetDaemons(daemons)
		own = c.placement.OwnInProgress()
	})
	return own
}

// mergeInProgress merges what another daemon has in progress.
func (c *coordinator) mergeInProgress(daemon string, remote placement.InProgress) {
	if daemon != "" {
		c.do(func() { c.placement.MergeInProgress(daemon, remote, time.Now()) })
	}
}
