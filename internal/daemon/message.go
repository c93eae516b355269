package daemon

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/docsync"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/protocol/peerpb"
)

// findingsPushPeriod is how long sync requests include the health findings after an
// engine's state has changed. Replies include them whenever the digests of the two
// sides differ.
const findingsPushPeriod = time.Second

// syncRequest returns the request of a control exchange: this daemon's member digest,
// its own in-flight counts, the member entries that the peer has requested and, within
// findingsPushPeriod of a change of an engine's state, the health findings.
func (d *Daemon) syncRequest(wanted []uint32) *peerpb.SyncMessage {
	message := new(peerpb.SyncMessage)
	d.loop.Do(func(state *control.State, now time.Time) {
		addSharedFields(message, state)
		addDigest(message, state, state.Members.Digest(now))
		message.Members = state.Members.EntriesByID(wanted)
		message.Loads = []*peerpb.DaemonLoad{d.ownLoad(state, now)}
		if now.Sub(d.findingsChangedAt) < findingsPushPeriod {
			message.Findings = state.Health.Findings()
		}
	})
	return message
}

// syncReply returns the reply to a peer's request, with the state that the peer
// lacks.
func (d *Daemon) syncReply(request *peerpb.SyncMessage) *peerpb.SyncMessage {
	message := new(peerpb.SyncMessage)
	d.loop.Do(func(state *control.State, now time.Time) {
		addSharedFields(message, state)
		addDigest(message, state, state.Members.HeartbeatsNewerThan(heartbeatsOf(request), now))
		message.Members = state.Members.EntriesByID(request.GetWanted())
		message.Loads = d.newerLoads(state, request, now)
		if request.GetFindingsDigest() != message.GetFindingsDigest() {
			message.Findings = state.Health.Findings()
		}
	})
	return message
}

// addSharedFields sets the fields that requests and replies have in common.
func addSharedFields(message *peerpb.SyncMessage, state *control.State) {
	message.Sender = state.Members.Self().GetName()
	message.Wanted = state.Members.TakeMissingEntryIDs()
	message.FindingsDigest = state.Health.Digest()
	message.Generation = state.Versions.Active().Generation
	message.DocumentDigest = state.Versions.Active().Digest
}

// addDigest adds a member digest and the sequence numbers of the members' last known
// in-flight counts.
func addDigest(message *peerpb.SyncMessage, state *control.State, digest []member.Heartbeat) {
	peerLoads := state.Admission.PeerLoads()
	for _, heartbeat := range digest {
		message.Ids = append(message.Ids, heartbeat.EntryID)
		message.Heartbeats = append(message.Heartbeats, heartbeat.Counter)
		message.LoadSequences = append(message.LoadSequences, peerLoads[heartbeat.Name].GetSequence())
	}
}

// heartbeatsOf returns the member digest of a message.
func heartbeatsOf(message *peerpb.SyncMessage) []member.Heartbeat {
	count := min(len(message.GetIds()), len(message.GetHeartbeats()))
	heartbeats := make([]member.Heartbeat, count)
	for i := range heartbeats {
		heartbeats[i] = member.Heartbeat{EntryID: message.GetIds()[i], Counter: message.GetHeartbeats()[i]}
	}
	return heartbeats
}

// loadRefreshesPerInterval is the number of daemons in the fleet that publish new
// in-flight counts in each syncInterval. In a larger fleet each daemon publishes
// less often, so that the bytes per second stay constant.
const loadRefreshesPerInterval = 4

// ownLoad returns this daemon's published in-flight counts, and renews them when
// they are due.
func (d *Daemon) ownLoad(state *control.State, now time.Time) *peerpb.DaemonLoad {
	intervals := 1 + len(state.Members.Live(now))/loadRefreshesPerInterval
	lifetime := time.Duration(intervals)*syncInterval - syncInterval/2
	if d.publishedLoad == nil || now.Sub(d.publishedLoadAt) >= lifetime {
		self := state.Members.Self()
		d.publishedLoad = state.Admission.OwnLoad(self.GetName(), self.GetIncarnation())
		d.publishedLoadAt = now
	}
	return d.publishedLoad
}

// newerLoads returns the in-flight counts of the members in the request's digest
// that are newer than those the sender has.
func (d *Daemon) newerLoads(state *control.State, request *peerpb.SyncMessage, now time.Time) []*peerpb.DaemonLoad {
	var newer []*peerpb.DaemonLoad
	heartbeats := heartbeatsOf(request)
	state.Members.MergeDigest(heartbeats, now) // fills in the members' names
	for i, heartbeat := range heartbeats {
		load := state.Admission.PeerLoads()[heartbeat.Name]
		if heartbeat.Name == state.Members.Self().GetName() {
			load = d.ownLoad(state, now)
		}
		if i < len(request.GetLoadSequences()) && load.GetSequence() > request.GetLoadSequences()[i] {
			newer = append(newer, load)
		}
	}
	return newer
}

// mergeSync merges a peer's message into the local state. It reports whether member
// entries are missing.
func (d *Daemon) mergeSync(message *peerpb.SyncMessage) bool {
	missing := false
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Members.MergeEntries(message.GetMembers(), now)
		missing = state.Members.MergeDigest(heartbeatsOf(message), now)
		state.Health.MergeFindings(message.GetFindings())
		state.MergeLoads(message.GetLoads(), now)
	})
	return missing
}

// documentVersionOf returns the version of the document in force at the sender.
func documentVersionOf(message *peerpb.SyncMessage) docsync.Version {
	return docsync.Version{Generation: message.GetGeneration(), Digest: message.GetDocumentDigest()}
}

// controlHandler serves the control calls of peers.
type controlHandler struct{ daemon *Daemon }

// Sync implements peer.ControlHandler.
func (h controlHandler) Sync(_ context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	h.daemon.mergeSync(message)
	h.daemon.fetchDocumentFromSender(message)
	return h.daemon.syncReply(message), nil
}

// fetchDocumentFromSender starts to fetch the document of a message's sender if the
// sender is a known member and its document is newer than the one in force here.
func (d *Daemon) fetchDocumentFromSender(message *peerpb.SyncMessage) {
	var sender *peerpb.Member
	d.loop.Do(func(state *control.State, _ time.Time) { sender = state.Members.Member(message.GetSender()) })
	if sender != nil {
		address := member.AddressFor(sender, d.settings.FailureDomain)
		go d.fetchIfNewer(d.background, address, documentVersionOf(message))
	}
}

// FetchDocument implements peer.ControlHandler.
func (h controlHandler) FetchDocument(_ context.Context, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	reply := new(peerpb.DocumentReply)
	known := docsync.Version{Generation: request.GetKnownGeneration(), Digest: request.GetKnownDigest()}
	h.daemon.loop.Do(func(state *control.State, _ time.Time) {
		if state.Snapshot != nil {
			reply = state.Versions.BuildReply(known, state.Snapshot.Text)
		}
	})
	return reply, nil
}

// Handover implements peer.ControlHandler.
func (h controlHandler) Handover(_ context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	h.daemon.loop.Do(func(state *control.State, now time.Time) {
		for _, entry := range request.GetEntries() {
			state.PutDirectoryEntry(entry, now)
		}
	})
	return new(peerpb.HandoverReply), nil
}
