package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"hemlockknot/internal/coordination/quarantine"
	"hemlockknot/platform"
)

// kindCrashes is one object a daemon in the platform's store: the crashes of targets for which requests
// are held back. It outlives the loss of all daemons at once.
const kindCrashes = "target-crashes"

// maxCrashRetryDelay bounds the pause after failed calls: requests with a part that crashes targets come
// every few seconds.
const maxCrashRetryDelay = 2 * time.Second

// crashRecorders is how many daemons write what is held back, beside the one that has noticed the last
// crash: that one may be lost.
const crashRecorders = 2

// quarantineRecord is this daemon's access to what the store holds of crashes.
type quarantineRecord struct {
	gateway *Gateway
	changed chan struct{} // signals that this daemon's object is out of date
	written atomic.Bool   // this daemon has written an object
}

func newQuarantineRecord(g *Gateway) *quarantineRecord {
	return &quarantineRecord{gateway: g, changed: make(chan struct{}, 1)}
}

// storedCrashes is the spec of an object of kindCrashes.
type storedCrashes struct {
	WrittenMs int64         `json:"writtenMs"` // Unix time
	Crashes   []storedCrash `json:"crashes"`
}

// storedCrash is a quarantine.Report.
type storedCrash struct {
	Engine   uint32           `json:"engine"`
	AgeMs    int64            `json:"ageMs"` // when it was written
	Evidence []storedEvidence `json:"evidence"`
}

type storedEvidence struct {
	Feature uint64           `json:"feature"`
	Depth   uint32           `json:"depth"`
	State   quarantine.State `json:"state"`
}

// run reads the record and writes this daemon's part of it until the context ends.
func (r *quarantineRecord) run(ctx context.Context) {
	r.retry(ctx, "record of crashes cannot be read", r.load)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.changed:
		}
		r.retry(ctx, "record of crashes cannot be written", r.write)
	}
}

// retry makes a call until the store has answered, after an exponential delay. It logs the first failure.
func (r *quarantineRecord) retry(ctx context.Context, failure string, call func(context.Context) error) {
	delay := recordRetryDelay
	for attempt := 1; ctx.Err() == nil; attempt++ {
		err := call(ctx)
		if err == nil {
			return
		}
		if attempt == 1 {
			r.gateway.log.Info(failure, "error", err)
		}
		sleep(ctx, delay)
		delay = min(2*delay, maxCrashRetryDelay)
	}
}

// noteOwn makes run write the record, as this daemon has noticed a crash or an answer that changes it.
func (r *quarantineRecord) noteOwn() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// note makes run write the record if this daemon is one of those that write what all daemons know.
func (r *quarantineRecord) note(newlyHeld, released []quarantine.Hold) {
	isRecorder := func(h quarantine.Hold) bool { return r.gateway.peers.rankFor(h.Feature) < crashRecorders }
	if slices.ContainsFunc(newlyHeld, isRecorder) || slices.ContainsFunc(released, isRecorder) {
		r.noteOwn()
	}
}

// rewrite makes run write the record again, as the store was restored and may have lost it, if this daemon has
// written it or is one of those that write what all daemons know.
func (r *quarantineRecord) rewrite() {
	if r.written.Load() {
		r.noteOwn()
		return
	}
	var held []quarantine.Hold
	c := r.gateway.coordinator
	c.do(func() { held = c.quarantine.Held(time.Now()) })
	r.note(held, nil)
}

// load reads the record.
func (r *quarantineRecord) load(ctx context.Context) error {
	list, _, err := r.gateway.store.List(ctx, kindCrashes, true)
	if errors.Is(err, platform.ErrLongList) {
		list, _, err = r.gateway.store.List(ctx, kindCrashes, false)
	}
	if err != nil {
		return err
	}
	for _, object := range list {
		var stored storedCrashes
		if err := json.Unmarshal(object.Spec, &stored); err != nil {
			r.gateway.log.Warn("cannot decode the crashes that a daemon has recorded", "daemon", object.Name, "error", err)
			r.gateway.metrics.countBadEntry()
			continue
		}
		newlyHeld, released, _ := r.gateway.coordinator.mergeCrashes(stored.reports(time.Now()))
		r.gateway.logHolds(newlyHeld, released, "store")
	}
	return nil
}

// reports decodes the crashes. Clocks of hosts differ, so a time of writing in the future counts as now.
func (s storedCrashes) reports(now time.Time) []quarantine.Report {
	sinceWritten := max(0, now.Sub(time.UnixMilli(s.WrittenMs)))
	var reports []quarantine.Report
	for _, crash := range s.Crashes {
		age := sinceWritten + time.Duration(max(0, crash.AgeMs))*time.Millisecond
		if age < 0 || age > quarantine.MaxHoldTime {
			continue
		}
		report := quarantine.Report{Engine: crash.Engine, Age: age}
		for _, known := range crash.Evidence {
			report.Evidence = append(report.Evidence, quarantine.Evidence(known))
		}
		reports = append(reports, report)
	}
	return reports
}

// write writes this daemon's part of the record.
func (r *quarantineRecord) write(ctx context.Context) error {
	now := time.Now()
	var reports []quarantine.Report
	r.gateway.coordinator.do(func() { reports = r.gateway.coordinator.quarantine.Snapshot(now) })
	if len(reports) == 0 && !r.written.Load() {
		return nil
	}
	stored := storedCrashes{WrittenMs: now.UnixMilli()}
	for _, report := range reports {
		crash := storedCrash{Engine: report.Engine, AgeMs: report.Age.Milliseconds()}
		for _, known := range report.Evidence {
			crash.Evidence = append(crash.Evidence, storedEvidence(known))
		}
		stored.Crashes = append(stored.Crashes, crash)
	}
	if err := r.gateway.store.Put(ctx, kindCrashes, r.gateway.settings.Host, stored); err != nil {
		return err
	}
	r.written.Store(true)
	r.gateway.log.Info("crashes recorded", "crashes", len(stored.Crashes))
	return nil
}
