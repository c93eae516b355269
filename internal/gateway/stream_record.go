package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"hemlockknot/internal/coordination/origin"
	"hemlockknot/internal/coordination/ranking"
	"hemlockknot/internal/protocol/peerpb"
	"hemlockknot/internal/state/objects"
	"hemlockknot/platform"
)

// Kinds of objects that the daemons keep in the platform's store. Both outlive the loss of
// all daemons at once.
const (
	kindVersions = "stream-versions" // one object a service: the software versions that served lately
	kindOrigins  = "stream-origins"  // at which versions streams began lately
)

const (
	// recordInterval is the time between two writes of origins by one daemon. A stream whose
	// daemons are all lost within this time of its first event cannot go on.
	recordInterval = 50 * time.Millisecond
	// recordSlots is how many objects a daemon uses for its writes of origins, in turn:
	// those of the last 16 s stay, which is longer than the users' streams may last.
	recordSlots = 320
	// daemonsPerRecorder is the share of the daemons that write origins, one at least. While
	// several versions serve, one makes 20 of the 400 writing calls a second that the users'
	// store allows, and 11 of 470 make 220.
	daemonsPerRecorder = 40
	// versionRecorders is how many daemons may write the versions of the services. Each
	// waits versionRecordDelay for those before it.
	versionRecorders   = 3
	versionRecordDelay = 2 * time.Second
	// recordRetryDelay is the pause after a failed call.
	recordRetryDelay = 200 * time.Millisecond
	// minRecordReload is the time between two reads of the record for callers whose streams are not
	// known otherwise. It is well within originQueryTimeout, for which they wait.
	minRecordReload = 100 * time.Millisecond
	// listSpacing is the mean time between the lists of targets of two daemons after a restore of the store. A list
	// of the target size has ten pages, and the users' store takes 2,000 reading calls a second.
	listSpacing = 10 * time.Millisecond
	// recordReadTimeout is how long such a read may take.
	recordReadTimeout = time.Second
)

// streamRecord is this daemon's access to what the store holds of streams.
type streamRecord struct {
	gateway    *Gateway
	stale      chan struct{} // signals that the store was restored from a copy
	listSpread time.Duration // multiplied by the number of daemons: how long this one waits before it lists targets
	// declarable is set once this daemon knows what its earlier incarnations have declared.
	declarable atomic.Bool

	mu           sync.Mutex
	era          int64 // of the store, at the last read
	versions     map[string]recordedVersions
	declarations declarations
	refreshedAt  time.Time      // when the last read for callers began
	next         *recordRefresh // that has not begun yet; nil if there is none
}

// recordRefresh is a read of the record for callers.
type recordRefresh struct {
	done chan struct{} // closed when it has ended
	err  error         // valid once done is closed
}

func newStreamRecord(g *Gateway) *streamRecord {
	return &streamRecord{gateway: g, stale: make(chan struct{}, 1), listSpread: rand.N(listSpacing)}
}

// storedVersions is the spec of an object of kindVersions.
type storedVersions struct {
	Versions        []string `json:"versions"`
	Preceding       *string  `json:"preceding,omitempty"`
	VersionsEra     *int64   `json:"versionsEra,omitempty"`     // missing: not known
	DeclarationsEra *int64   `json:"declarationsEra,omitempty"` // missing: not known
}

// storedOrigins is the spec of an object of kindOrigins.
type storedOrigins struct {
	Origins []byte `json:"origins"` // an encoded peerpb.StreamOriginRecord
}

// run reads the record and writes this daemon's part of it until the context ends.
func (r *streamRecord) run(ctx context.Context) {
	r.load(ctx)
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	unrecordedSince := time.Time{}
	for slot := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-r.stale:
			r.load(ctx)
		case now := <-ticker.C:
			if r.listDue(now) && !r.listVersions(ctx) {
				sleep(ctx, recordRetryDelay)
			}
			unrecordedSince = r.recordVersions(ctx, unrecordedSince, now)
			if r.recordOrigins(ctx, slot) {
				slot = (slot + 1) % recordSlots
			}
		}
	}
}

// markStale makes run read the record again.
func (r *streamRecord) markStale() {
	select {
	case r.stale <- struct{}{}:
	default:
	}
}

// load reads the versions and the origins, and tries again until it has them.
func (r *streamRecord) load(ctx context.Context) {
	for ctx.Err() == nil {
		several, err := r.loadVersions(ctx)
		if err == nil && several {
			err = r.reloadOrigins(ctx)
		}
		if err == nil {
			err = r.loadDeclarations(ctx)
		}
		if err == nil {
			r.restoreDeclaration()
			return
		}
		r.gateway.coordinator.do(func() { r.gateway.coordinator.origins.DeclarationFailed() })
		r.gateway.log.Info("record of streams cannot be read", "error", err)
		sleep(ctx, recordRetryDelay)
	}
}

// loadVersions reads which versions served lately, and reports whether a service has several.
func (r *streamRecord) loadVersions(ctx context.Context) (several bool, err error) {
	list, revision, err := r.gateway.store.List(ctx, kindVersions, false)
	if err != nil {
		return false, err
	}
	recorded := make(map[string]origin.Recorded)
	versions := make(map[string]recordedVersions)
	for _, object := range list {
		var stored storedVersions
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			r.gateway.log.Warn("cannot decode the recorded versions of a service", "service", object.Name, "error", err)
			continue // as if it was lost
		}
		recorded[object.Name] = origin.Recorded(stored)
		versions[object.Name] = recordedVersions{recorded[object.Name], object.Revision}
		several = several || len(stored.Versions) > 1
	}
	r.mu.Lock()
	isLate := r.versions != nil && revision.Era < r.era
	restored := r.versions != nil && revision.Era > r.era
	if !isLate {
		r.era, r.versions = revision.Era, versions
	}
	r.mu.Unlock()
	if isLate {
		return false, fmt.Errorf("read the record of streams: %w", platform.ErrEraChanged)
	}
	var pending bool
	r.gateway.coordinator.do(func() {
		r.gateway.coordinator.origins.LoadRecord(recorded, revision.Era, r.gateway.settings.FirstStart, time.Now())
		pending = r.gateway.coordinator.origins.HasPending()
	})
	if pending {
		r.gateway.peers.copyOrigins()
	}
	if restored {
		r.gateway.quarantineRecord.rewrite()
	}
	r.gateway.log.Info("record of software versions loaded", "era", revision.Era, "services", len(recorded), "recorded", loggedVersions(recorded))
	return several, nil
}

// checkEra returns an error if the store was restored since the versions were read: what is read in
// several calls must be of one era.
func (r *streamRecord) checkEra(era int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era != r.era {
		return fmt.Errorf("read the record of streams: %w", platform.ErrEraChanged)
	}
	return nil
}

// listDue reports whether the targets must be listed now, as the store may have lost versions that served.
// The daemons of a large fleet spread their lists.
func (r *streamRecord) listDue(now time.Time) bool {
	var due time.Time
	var needed bool
	r.gateway.coordinator.do(func() { due, needed = r.gateway.coordinator.origins.ListDue(now) })
	return needed && !now.Before(due.Add(r.listSpread*time.Duration(r.gateway.peers.knownDaemons())))
}

// listVersions reads which versions serve, unless another daemon has recorded that the record is complete, and
// reports whether the store has answered.
func (r *streamRecord) listVersions(ctx context.Context) bool {
	_, err := r.loadVersions(ctx)
	if err == nil && !r.listDue(time.Now()) {
		return true
	}
	var list []objects.Object
	var revision objects.Revision
	if err == nil {
		list, revision, err = r.gateway.store.List(ctx, platform.KindTargets, false)
	}
	if err == nil {
		err = r.checkEra(revision.Era)
	}
	if err != nil {
		r.gateway.log.Info("software versions that serve cannot be listed", "error", err)
		return false
	}
	listed := make(map[string][]string)
	for _, object := range list {
		// The list of targets that is followed logs entries that cannot be decoded.
		if target, err := platform.DecodeTarget(object); err == nil && !slices.Contains(listed[target.Service], target.SoftwareVersion) {
			listed[target.Service] = append(listed[target.Service], target.SoftwareVersion)
		}
	}
	r.gateway.coordinator.do(func() { r.gateway.coordinator.origins.SetListed(listed, revision.Era, time.Now()) })
	r.gateway.peers.copyOrigins()
	r.gateway.log.Info("software versions that serve listed", "era", revision.Era, "listed", fmt.Sprint(listed))
	return true
}

// loggedVersions returns the recorded versions for a log line.
func loggedVersions(recorded map[string]origin.Recorded) string {
	versions := make(map[string][]string, len(recorded))
	for service, r := range recorded {
		versions[service] = r.Versions
	}
	return fmt.Sprint(versions)
}

// reloadOrigins reads the origins of streams.
func (r *streamRecord) reloadOrigins(ctx context.Context) error {
	list, revision, err := r.gateway.store.List(ctx, kindOrigins, false)
	if err == nil {
		err = r.checkEra(revision.Era)
	}
	if err != nil {
		return err
	}
	for _, object := range list {
		var stored storedOrigins
		var decoded peerpb.StreamOriginRecord
		if err := errors.Join(json.Unmarshal(object.Spec, &stored), proto.Unmarshal(stored.Origins, &decoded)); err != nil {
			r.gateway.log.Warn("cannot decode recorded origins of streams", "object", object.Name, "error", err)
			continue
		}
		for _, service := range decoded.GetServices() {
			r.gateway.coordinator.keepOrigins(decodeOrigins(service))
		}
	}
	return nil
}

// refresh reads the record again for a stream that is not known otherwise, and reports whether it
// has been read. It waits for a read that begins after the call, as an earlier one may lack a
// stream that has begun and broken off since, but no longer than until the context ends.
func (r *streamRecord) refresh(ctx context.Context) bool {
	r.mu.Lock()
	if r.next == nil {
		r.next = &recordRefresh{done: make(chan struct{})}
		wait := time.Until(r.refreshedAt.Add(minRecordReload))
		time.AfterFunc(max(0, wait), func() { r.runRefresh() })
	}
	next := r.next
	r.mu.Unlock()
	select {
	case <-next.done:
		return next.err == nil
	case <-ctx.Done():
		return false
	}
}

// runRefresh makes the next read for callers.
func (r *streamRecord) runRefresh() {
	r.mu.Lock()
	refresh := r.next
	r.next, r.refreshedAt = nil, time.Now()
	r.mu.Unlock()
	defer close(refresh.done)
	ctx, cancel := context.WithTimeout(context.Background(), recordReadTimeout)
	defer cancel()
	_, refresh.err = r.loadVersions(ctx)
	if refresh.err == nil {
		refresh.err = r.reloadOrigins(ctx)
	}
	if refresh.err == nil {
		refresh.err = r.loadDeclarations(ctx)
	}
	if refresh.err != nil {
		r.gateway.log.Info("record of streams cannot be read", "error", refresh.err)
	}
}

// recordVersions writes the versions of services whose record is not up to date, if it is
// this daemon's turn. Since is since when the record has not been up to date, zero if it was;
// recordVersions returns its next value.
func (r *streamRecord) recordVersions(ctx context.Context, since, now time.Time) time.Time {
	unrecorded := r.unrecorded()
	if len(unrecorded) == 0 {
		return time.Time{}
	}
	if since.IsZero() {
		since = now
	}
	rank := r.gateway.peers.rankFor(ranking.Hash(kindVersions))
	if rank >= versionRecorders || now.Sub(since) < time.Duration(rank)*versionRecordDelay {
		return since
	}
	// A daemon that was cut off takes itself for the first one: others may have written meanwhile.
	if _, err := r.loadVersions(ctx); err != nil {
		r.gateway.log.Info("record of streams cannot be read", "error", err)
		sleep(ctx, recordRetryDelay)
		return since
	}
	unrecorded = r.unrecorded()
	for service, current := range unrecorded {
		if err := r.gateway.store.Put(ctx, kindVersions, service, storedVersions(current)); err != nil {
			r.gateway.log.Warn("versions of a service cannot be recorded", "service", service, "error", err)
			sleep(ctx, recordRetryDelay)
			continue
		}
		r.gateway.log.Warn("versions of a service recorded", "service", service, "versions", fmt.Sprint(current.Versions))
		r.gateway.coordinator.do(func() { r.gateway.coordinator.origins.SetRecorded(service, current) })
	}
	return since
}

// unrecorded returns the services whose record is not up to date.
func (r *streamRecord) unrecorded() map[string]origin.Recorded {
	var unrecorded map[string]origin.Recorded
	c := r.gateway.coordinator
	c.do(func() { unrecorded = c.origins.Unrecorded(time.Now()) })
	return unrecorded
}

// recordOrigins writes the origins that this daemon is to record to the object of a slot, and
// reports whether there were any.
func (r *streamRecord) recordOrigins(ctx context.Context, slot int) bool {
	var origins []origin.Origin
	c := r.gateway.coordinator
	c.do(func() { origins = c.origins.TakeUnwritten(time.Now()) })
	if len(origins) == 0 {
		return false
	}
	encoded, err := proto.Marshal(&peerpb.StreamOriginRecord{Services: batchByService(origins)})
	if err == nil {
		err = r.gateway.store.Put(ctx, kindOrigins, fmt.Sprintf("%s-%d", r.gateway.settings.Host, slot), storedOrigins{encoded})
	}
	if err != nil {
		r.gateway.log.Info("origins of streams cannot be recorded", "streams", len(origins), "error", err)
		c.do(func() { c.origins.RecordLater(origins) })
		sleep(ctx, recordRetryDelay)
	}
	return true
}

// keepOrigins keeps origins of other daemons' streams.
func (c *coordinator) keepOrigins(origins []origin.Origin) {
	c.do(func() { c.origins.Keep(origins) })
}
