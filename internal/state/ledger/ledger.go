package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hemlockknot/internal/state/platform"
)

// Errors of operations.
var (
	// ErrUnavailable means that the platform did not commit the change before the
	// deadline. The change has not taken effect and never will.
	ErrUnavailable = errors.New("platform away")
	// ErrOutcomeUnknown means that the operation failed after a write of its change
	// that may have taken effect.
	ErrOutcomeUnknown = errors.New("platform away, change uncertain")
	// ErrShardFull means that the shard has no space for another claim.
	ErrShardFull = errors.New("no room for another claim")
)

// Timeout of calls to the platform, and delays before the next attempt to commit.
const (
	callTimeout        = 1500 * time.Millisecond
	conflictRetryDelay = 10 * time.Millisecond
	minErrorRetryDelay = 50 * time.Millisecond
	maxErrorRetryDelay = 2 * time.Second
)

// ChangeFunc computes the next state of a claim from its current state, which is nil
// if the claim does not exist. If write is false, the claim is left unchanged;
// otherwise next replaces it, or the claim is deleted if next is nil. ChangeFunc is
// called again for each attempt to commit, for example after a conflict with
// another daemon's write, and only the result of the last call counts. After a
// write that took effect but whose answer was lost, current is the result of the
// operation's own earlier call.
type ChangeFunc func(current *Claim, now time.Time) (next *Claim, write bool)

// Operation is a change to one claim.
type Operation struct {
	ClaimID  string
	Change   ChangeFunc
	Deadline time.Time // after this time a failed attempt to commit is not repeated
}

// ObjectStore is the part of the platform's object API that the ledger needs.
type ObjectStore interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	Create(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
	Update(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
}

// Observer counts writes.
type Observer interface {
	// CountClaimWrite is called after each successful write of a shard with the
	// number of operations that the write committed.
	CountClaimWrite(operations int)
}

// Ledger stores claims in the platform.
type Ledger struct {
	objects       ObjectStore
	observer      Observer
	limiter       *writeLimiter
	writers       [ShardCount]shardWriter
	activeWriters sync.WaitGroup // goroutines that execute run
}

// shardWriter holds the pending operations of one shard. A single goroutine
// commits them and stops when none are left, so that this daemon has at most one
// write of a shard in flight.
type shardWriter struct {
	mu       sync.Mutex
	pending  []*pendingOperation
	running  bool
	arrivals chan struct{} // holds a value if an operation has arrived since the last receive
}

// pendingOperation is a submitted operation and the state of its commit.
type pendingOperation struct {
	Operation
	result       chan error
	maybeWritten bool // a write with this change may have taken effect
	finished     bool
}

// New returns a ledger that stores its claims in objects.
func New(objects ObjectStore, observer Observer) *Ledger {
	ledger := &Ledger{objects: objects, observer: observer, limiter: newWriteLimiter()}
	for i := range ledger.writers {
		ledger.writers[i].arrivals = make(chan struct{}, 1)
	}
	return ledger
}

// SetDaemonCount sets the number of daemons that write claims. Each of them gets an
// equal part of the fleet's write budget.
func (l *Ledger) SetDaemonCount(daemons int) { l.limiter.setDaemonCount(daemons) }

// Submit starts an operation. The channel receives the operation's result at most
// about two call timeouts after its deadline. The result is nil if the outcome of
// the last call of the operation's Change is stored or needs no write. Otherwise it
// is ErrUnavailable, ErrOutcomeUnknown or ErrShardFull or, for an invalid claim id,
// an error that describes the id.
func (l *Ledger) Submit(operation Operation) <-chan error {
	op := &pendingOperation{Operation: operation, result: make(chan error, 1)}
	index, err := shardIndex(operation.ClaimID)
	if err != nil {
		op.result <- err
		return op.result
	}
	writer := &l.writers[index]
	writer.mu.Lock()
	defer writer.mu.Unlock()
	writer.pending = append(writer.pending, op)
	if !writer.running {
		writer.running = true
		l.activeWriters.Go(func() { l.run(writer, shardName(index)) })
	}
	select {
	case writer.arrivals <- struct{}{}:
	default:
	}
	return op.result
}

// Drain waits until no operation is pending.
func (l *Ledger) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	go func() {
		l.activeWriters.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain ledger: %w", ctx.Err())
	}
}

// run commits a shard's operations until none are left.
func (l *Ledger) run(writer *shardWriter, name string) {
	errorDelay := minErrorRetryDelay
	for writer.removeFinished() {
		// Operations that arrive during this wait are part of the batch.
		l.limiter.wait()
		batch := writer.nextBatch()
		wrote, err := l.commit(name, batch)
		if !wrote {
			l.limiter.returnToken()
		}
		switch {
		case err == nil:
			errorDelay = minErrorRetryDelay
		case errors.Is(err, platform.ErrConflict):
			failExpired(batch, time.Now())
			writer.waitToRetry(conflictRetryDelay+rand.N(conflictRetryDelay), batch)
		default:
			failExpired(batch, time.Now())
			writer.waitToRetry(errorDelay, batch)
			errorDelay = min(2*errorDelay, maxErrorRetryDelay)
		}
	}
}

// removeFinished removes the finished operations and reports whether others are
// left. If none are, it marks the writer as stopped.
func (w *shardWriter) removeFinished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = slices.DeleteFunc(w.pending, func(op *pendingOperation) bool { return op.finished })
	w.running = len(w.pending) > 0
	return w.running
}

// nextBatch returns the pending operations, to be committed in one write.
func (w *shardWriter) nextBatch() []*pendingOperation {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.arrivals:
	default:
	}
	return slices.Clone(w.pending)
}

// waitToRetry waits after a failed commit. It returns after the delay, or at the
// earliest deadline of the batch if that comes first, but a deadline does not
// shorten the delay to less than minErrorRetryDelay. It returns at once when an
// operation arrives.
func (w *shardWriter) waitToRetry(delay time.Duration, batch []*pendingOperation) {
	for _, op := range batch {
		if !op.finished {
			delay = min(delay, max(time.Until(op.Deadline), minErrorRetryDelay))
		}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.arrivals:
	}
}

// commit reads a shard, applies the changes of the batch and, if any of them needs
// a write, stores the shard in one conditional update. It reports whether it sent a
// write, also after an error. After an error none of the changes is known to have
// taken effect.
func (l *Ledger) commit(name string, batch []*pendingOperation) (wrote bool, err error) {
	current, version, err := l.readShard(name)
	if err != nil {
		return false, err
	}
	accepted, written := applyChanges(current, batch, time.Now())
	if len(written) > 0 {
		if err := l.writeShard(name, version, current); err != nil {
			if !errors.Is(err, platform.ErrConflict) {
				markMaybeWritten(written)
			}
			return true, err
		}
		l.observer.CountClaimWrite(len(written))
	}
	for _, op := range accepted {
		op.finish(nil)
	}
	return len(written) > 0, nil
}

// applyChanges removes the expired claims from the shard and applies the changes
// of the batch. It returns the accepted operations, which are those whose result
// fits in the shard, and those among them that need a write. The others fail.
func applyChanges(current *shard, batch []*pendingOperation, now time.Time) (accepted, written []*pendingOperation) {
	current.prune(now)
	for _, op := range batch {
		next, write := op.Change(current.Claims[op.ClaimID], now)
		if write && !current.put(op.ClaimID, next) {
			// If an earlier write of this change may have taken effect, the
			// operation fails with an unknown outcome: only another write could
			// show whether it did.
			op.fail(ErrShardFull)
			continue
		}
		accepted = append(accepted, op)
		if write {
			written = append(written, op)
		}
	}
	return accepted, written
}

func markMaybeWritten(batch []*pendingOperation) {
	for _, op := range batch {
		op.maybeWritten = true
	}
}

// failExpired fails the operations whose deadline has passed.
func failExpired(batch []*pendingOperation, now time.Time) {
	for _, op := range batch {
		if !op.finished && now.After(op.Deadline) {
			op.fail(ErrUnavailable)
		}
	}
}

// fail finishes an operation with err, or with the error for an unknown outcome if
// its change may have taken effect.
func (o *pendingOperation) fail(err error) {
	if o.maybeWritten {
		err = ErrOutcomeUnknown
	}
	o.finish(err)
}

func (o *pendingOperation) finish(err error) {
	o.finished = true
	o.result <- err
}

// readShard returns a shard and its resource version, which is empty if the shard
// does not exist yet.
func (l *Ledger) readShard(name string) (*shard, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	object, err := l.objects.Get(ctx, platform.KindClaims, name)
	if errors.Is(err, platform.ErrNotFound) {
		return newShard(), "", nil
	}
	if err != nil {
		return nil, "", fmt.Errorf("read %s: %w", name, err)
	}
	decoded, err := decodeShard(object.Spec)
	if err != nil {
		return nil, "", fmt.Errorf("read %s: %w", name, err)
	}
	return decoded, object.Metadata.ResourceVersion, nil
}

// writeShard stores a shard if its resource version has not changed since it was
// read.
func (l *Ledger) writeShard(name, version string, updated *shard) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	spec, err := json.Marshal(updated)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	object := &platform.Object{Metadata: platform.Metadata{Name: name, ResourceVersion: version}, Spec: spec}
	if version == "" {
		_, err = l.objects.Create(ctx, platform.KindClaims, object)
	} else {
		_, err = l.objects.Update(ctx, platform.KindClaims, object)
	}
	if errors.Is(err, platform.ErrNotFound) { // the shard was deleted after it was read
		err = platform.ErrConflict
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}
