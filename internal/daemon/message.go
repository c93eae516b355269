package daemon

import (
	"context"
	"time"

	"hemlockknot/internal/coordination/control"
	"hemlockknot/internal/coordination/member"
	"hemlockknot/internal/coordination/spread"
	"hemlockknot/internal/protocol/peerpb"
)

// tellFindings is how long after a change of an engine's state requests carry
// the findings; replies carry them whenever the two sides differ.
const tellFindings = time.Second

// syncRequest returns what a daemon sends first: its digest, its own in-flight
// counts and the entries that the peer wants.
func (d *Daemon) syncRequest(wanted []uint32) *peerpb.SyncMessage {
	message := new(peerpb.SyncMessage)
	d.loop.Do(func(state *control.State, now time.Time) {
		addCommon(message, state)
		addDigest(message, state, state.Members.Digest(now))
		message.Members = state.Members.Entries(wanted)
		message.Loads = []*peerpb.DaemonLoad{d.ownLoad(state, now)}
		if now.Sub(d.findingsChanged) < tellFindings {
			message.Findings = state.Health.Findings()
		}
	})
	return message
}

// syncReply answers a peer's request with what that peer lacks.
func (d *Daemon) syncReply(request *peerpb.SyncMessage) *peerpb.SyncMessage {
	message := new(peerpb.SyncMessage)
	d.loop.Do(func(state *control.State, now time.Time) {
		addCommon(message, state)
		addDigest(message, state, state.Members.Newer(beatsIn(request), now))
		message.Members = state.Members.Entries(request.GetWanted())
		message.Loads = d.newerLoads(state, request, now)
		if request.GetFindingsDigest() != message.GetFindingsDigest() {
			message.Findings = state.Health.Findings()
		}
	})
	return message
}

// addCommon fills in what requests and replies share.
func addCommon(message *peerpb.SyncMessage, state *control.State) {
	message.Sender = state.Members.Self().GetName()
	message.Wanted = state.Members.TakeMissing()
	message.FindingsDigest = state.Health.Digest()
	message.Generation = state.Versions.InForce().Generation
	message.DocumentDigest = state.Versions.InForce().Digest
}

func addDigest(message *peerpb.SyncMessage, state *control.State, digest []member.Beat) {
	loads := state.Admission.PeerLoads()
	for _, beat := range digest {
		message.Ids = append(message.Ids, beat.ID)
		message.Heartbeats = append(message.Heartbeats, beat.Heartbeat)
		message.LoadSequences = append(message.LoadSequences, loads[beat.Name].GetSequence())
	}
}

func beatsIn(message *peerpb.SyncMessage) []member.Beat {
	count := min(len(message.GetIds()), len(message.GetHeartbeats()))
	beats := make([]member.Beat, count)
	for i := range beats {
		beats[i] = member.Beat{ID: message.GetIds()[i], Heartbeat: message.GetHeartbeats()[i]}
	}
	return beats
}

// loadsPerInterval is how many daemons' in-flight counts are worth telling anew
// in each syncInterval; with more daemons the counts are renewed less often, so
// that their bytes a second stay the same.
const loadsPerInterval = 4

// ownLoad returns this daemon's in-flight counts as of its last renewal.
func (d *Daemon) ownLoad(state *control.State, now time.Time) *peerpb.DaemonLoad {
	intervals := 1 + len(state.Members.Live(now))/loadsPerInterval
	lifetime := time.Duration(intervals)*syncInterval - syncInterval/2
	if d.told == nil || now.Sub(d.toldAt) >= lifetime {
		self := state.Members.Self()
		d.told = state.Admission.OwnLoad(self.GetName(), self.GetIncarnation())
		d.toldAt = now
	}
	return d.told
}

// newerLoads returns the in-flight counts that the sender of a request lacks, of
// the members that it has named.
func (d *Daemon) newerLoads(state *control.State, request *peerpb.SyncMessage, now time.Time) []*peerpb.DaemonLoad {
	var newer []*peerpb.DaemonLoad
	beats := beatsIn(request)
	state.Members.MergeDigest(beats, now)
	for i, beat := range beats {
		load := state.Admission.PeerLoads()[beat.Name]
		if beat.Name == state.Members.Self().GetName() {
			load = d.ownLoad(state, now)
		}
		if i < len(request.GetLoadSequences()) && load.GetSequence() > request.GetLoadSequences()[i] {
			newer = append(newer, load)
		}
	}
	return newer
}

// takeSync takes in a peer's message. It reports whether entries are lacking.
func (d *Daemon) takeSync(message *peerpb.SyncMessage) bool {
	lacking := false
	d.loop.Do(func(state *control.State, now time.Time) {
		state.Members.Merge(message.GetMembers(), now)
		lacking = state.Members.MergeDigest(beatsIn(message), now)
		state.Health.Merge(message.GetFindings())
		state.MergeLoads(message.GetLoads(), now)
	})
	return lacking
}

// versionIn returns the document version that the sender of a message has.
func versionIn(message *peerpb.SyncMessage) spread.Version {
	return spread.Version{Generation: message.GetGeneration(), Digest: message.GetDocumentDigest()}
}

// controlHandler answers peers' control calls.
type controlHandler struct{ daemon *Daemon }

// Sync implements peer.ControlHandler.
func (h controlHandler) Sync(_ context.Context, message *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	h.daemon.takeSync(message)
	h.daemon.fetchFromSender(message)
	return h.daemon.syncReply(message), nil
}

// fetchFromSender fetches the document of a peer that has called, if it is newer.
func (d *Daemon) fetchFromSender(message *peerpb.SyncMessage) {
	var sender *peerpb.Member
	d.loop.Do(func(state *control.State, _ time.Time) { sender = state.Members.Member(message.GetSender()) })
	if sender != nil {
		address := member.AddressFor(sender, d.settings.FailureDomain)
		go d.considerVersion(d.background, address, versionIn(message))
	}
}

// FetchDocument implements peer.ControlHandler.
func (h controlHandler) FetchDocument(_ context.Context, request *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	reply := new(peerpb.DocumentReply)
	known := spread.Version{Generation: request.GetKnownGeneration(), Digest: request.GetKnownDigest()}
	h.daemon.loop.Do(func(state *control.State, _ time.Time) {
		if state.Snapshot != nil {
			reply = state.Versions.Reply(known, state.Snapshot.Text)
		}
	})
	return reply, nil
}

// Handover implements peer.ControlHandler.
func (h controlHandler) Handover(_ context.Context, request *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	h.daemon.loop.Do(func(state *control.State, now time.Time) {
		for _, entry := range request.GetEntries() {
			state.TakeEntry(entry, now)
		}
	})
	return new(peerpb.HandoverReply), nil
}
