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
	// ErrAway says that the platform could not be reached in time; the change
	// has certainly not been made and never will be.
	ErrAway = errors.New("platform away")
	// ErrUncertain says the same of a change that may have been made.
	ErrUncertain = errors.New("platform away, change uncertain")
	// ErrFull says that the shard has no room for another claim.
	ErrFull = errors.New("no room for another claim")
)

// Times of calls.
const (
	callTimeout   = 1500 * time.Millisecond
	conflictPause = 10 * time.Millisecond
	minErrorPause = 50 * time.Millisecond
	maxErrorPause = 2 * time.Second
)

// Change decides what becomes of a claim; present is nil if there is none. It
// is called again when another daemon's write comes between, and only its last
// decision counts. With write false the claim stays as it is; otherwise next
// replaces it, or removes it if next is nil. A change that has been written but
// whose answer was lost meets its own result.
type Change func(present *Claim, now time.Time) (next *Claim, write bool)

// Operation is one change of one claim.
type Operation struct {
	ID       string
	Change   Change
	Deadline time.Time // how long to try
}

// Objects is the part of the platform's object API that the ledger needs.
type Objects interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	Create(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
	Update(ctx context.Context, kind string, object *platform.Object) (*platform.Object, error)
}

// Observer is told of each write.
type Observer interface {
	ClaimsWritten(operations int)
}

// Ledger changes claims in the platform.
type Ledger struct {
	objects  Objects
	observer Observer
	pace     *pace
	writers  [ShardCount]writer
	active   sync.WaitGroup // writers that run
}

// writer holds one shard's operations. One goroutine works on them while there
// are any, so that at most one write of a shard is in flight.
type writer struct {
	mu      sync.Mutex
	pending []*operation
	running bool
	arrived chan struct{} // holds a token when an operation has arrived
}

type operation struct {
	Operation
	done      chan error
	uncertain bool // a write that contained it may have taken effect
	finished  bool
}

// New returns a ledger.
func New(objects Objects, observer Observer) *Ledger {
	ledger := &Ledger{objects: objects, observer: observer, pace: newPace()}
	for i := range ledger.writers {
		ledger.writers[i].arrived = make(chan struct{}, 1)
	}
	return ledger
}

// ShareBudget says how many daemons write claims. Each takes its part of the
// fleet's budget of writes.
func (l *Ledger) ShareBudget(daemons int) { l.pace.share(daemons) }

// Submit starts an operation. Its result comes on the channel, at the latest
// about two call timeouts after its deadline: nil when the last decision is in
// force, or one of the errors above.
func (l *Ledger) Submit(submitted Operation) <-chan error {
	entry := &operation{Operation: submitted, done: make(chan error, 1)}
	number, err := shardOf(submitted.ID)
	if err != nil {
		entry.done <- err
		return entry.done
	}
	w := &l.writers[number]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, entry)
	if !w.running {
		w.running = true
		l.active.Go(func() { l.run(w, shardName(number)) })
	}
	select {
	case w.arrived <- struct{}{}:
	default:
	}
	return entry.done
}

// Drain waits for the operations in progress.
func (l *Ledger) Drain(ctx context.Context) error {
	drained := make(chan struct{})
	go func() {
		l.active.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain ledger: %w", ctx.Err())
	}
}

// run commits a shard's operations until none is left.
func (l *Ledger) run(w *writer, name string) {
	errorPause := minErrorPause
	for w.open() {
		// While it waits for its turn, further operations arrive.
		l.pace.take()
		batch := w.batch()
		wrote, err := l.commit(name, batch)
		if !wrote {
			l.pace.giveBack()
		}
		switch {
		case err == nil:
			errorPause = minErrorPause
		case errors.Is(err, platform.ErrConflict):
			expire(batch, time.Now())
			w.pause(conflictPause+rand.N(conflictPause), batch)
		default:
			expire(batch, time.Now())
			w.pause(errorPause, batch)
			errorPause = min(2*errorPause, maxErrorPause)
		}
	}
}

// open reports whether operations are left. Without any the writer stops.
func (w *writer) open() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = slices.DeleteFunc(w.pending, func(entry *operation) bool { return entry.finished })
	w.running = len(w.pending) > 0
	return w.running
}

// batch returns the operations to commit next.
func (w *writer) batch() []*operation {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.arrived:
	default:
	}
	return slices.Clone(w.pending)
}

// pause waits after a failure, until an operation arrives or one's deadline.
func (w *writer) pause(pause time.Duration, batch []*operation) {
	for _, entry := range batch {
		if !entry.finished {
			pause = min(pause, max(time.Until(entry.Deadline), minErrorPause))
		}
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.arrived:
	}
}

// commit reads a shard, makes all changes and writes it back in one update, if
// there are any. An error means that none of them is known to be in force.
func (l *Ledger) commit(name string, batch []*operation) (wrote bool, err error) {
	present, version, err := l.read(name)
	if err != nil {
		return false, err
	}
	decided, written := apply(present, batch, time.Now())
	if len(written) > 0 {
		if err := l.write(name, version, present); err != nil {
			if !errors.Is(err, platform.ErrConflict) {
				markUncertain(written)
			}
			return true, err
		}
		l.observer.ClaimsWritten(len(written))
	}
	for _, entry := range decided {
		entry.finish(nil)
	}
	return len(written) > 0, nil
}

// apply makes the changes, and returns the operations that are decided and
// those among them that need a write.
func apply(present *shard, batch []*operation, now time.Time) (decided, written []*operation) {
	present.prune(now)
	for _, entry := range batch {
		next, write := entry.Change(present.Claims[entry.ID], now)
		if write && !present.put(entry.ID, next) {
			// An uncertain change is already in the shard, or never will be:
			// without a write that cannot be told, so it stays uncertain.
			entry.fail(ErrFull)
			continue
		}
		decided = append(decided, entry)
		if write {
			written = append(written, entry)
		}
	}
	return decided, written
}

func markUncertain(batch []*operation) {
	for _, entry := range batch {
		entry.uncertain = true
	}
}

// expire ends the operations whose deadline has passed.
func expire(batch []*operation, now time.Time) {
	for _, entry := range batch {
		if !entry.finished && now.After(entry.Deadline) {
			entry.fail(ErrAway)
		}
	}
}

// fail ends an operation. Its change may be in force after all if it is
// uncertain.
func (o *operation) fail(err error) {
	if o.uncertain {
		err = ErrUncertain
	}
	o.finish(err)
}

func (o *operation) finish(err error) {
	o.finished = true
	o.done <- err
}

// read returns a shard and its version, which is empty if there is none yet.
func (l *Ledger) read(name string) (*shard, string, error) {
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

// write stores a shard if its version is still the given one.
func (l *Ledger) write(name, version string, next *shard) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	spec, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode %s: %w", name, err)
	}
	object := &platform.Object{Metadata: platform.Metadata{Name: name, ResourceVersion: version}, Spec: spec}
	if version == "" {
		_, err = l.objects.Create(ctx, platform.KindClaims, object)
	} else {
		_, err = l.objects.Update(ctx, platform.KindClaims, object)
	}
	if errors.Is(err, platform.ErrNotFound) {
		err = platform.ErrConflict
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}
