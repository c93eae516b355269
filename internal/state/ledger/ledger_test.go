package ledger

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/state/platform"
)

const testID = "0000000000000001"

// fakeObjectStore stores one object. Each call takes a millisecond.
type fakeObjectStore struct {
	mu             sync.Mutex
	object         *platform.Object
	previous       *platform.Object // the object before the last write
	version        int
	writes         int
	calls          int
	unavailable    bool // calls fail and change nothing
	staleReads     bool // reads return previous
	lostAnswers    int  // number of further writes that take effect but return an error
	staleAfterLoss bool // staleReads is set by the next write whose answer is lost
}

var errNoAnswer = errors.New("no answer")

func (f *fakeObjectStore) Get(context.Context, string, string) (*platform.Object, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	read := f.object
	if f.staleReads {
		read = f.previous
	}
	if f.unavailable {
		return nil, errNoAnswer
	}
	if read == nil {
		return nil, platform.ErrNotFound
	}
	return read, nil
}

func (f *fakeObjectStore) setFaults(fault func(*fakeObjectStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault(f)
}

func (f *fakeObjectStore) Create(_ context.Context, _ string, object *platform.Object) (*platform.Object, error) {
	return f.put(object, "")
}

func (f *fakeObjectStore) Update(_ context.Context, _ string, object *platform.Object) (*platform.Object, error) {
	return f.put(object, object.Metadata.ResourceVersion)
}

func (f *fakeObjectStore) put(object *platform.Object, version string) (*platform.Object, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.unavailable {
		return nil, errNoAnswer
	}
	current := ""
	if f.object != nil {
		current = f.object.Metadata.ResourceVersion
	}
	if version != current {
		return nil, platform.ErrConflict
	}
	f.version++
	f.writes++
	object.Metadata.ResourceVersion = fmt.Sprint(f.version)
	f.previous, f.object = f.object, object
	if f.lostAnswers > 0 {
		f.lostAnswers--
		f.staleReads = f.staleReads || f.staleAfterLoss
		return nil, errNoAnswer
	}
	return object, nil
}

// discardObserver ignores all writes.
type discardObserver struct{}

func (discardObserver) CountClaimWrite(int) {}

// claimFor returns a change that claims a free key for an attempt. It sets
// granted to whether the attempt owns the key.
func claimFor(attempt string, granted *bool) ChangeFunc {
	return func(current *Claim, now time.Time) (*Claim, bool) {
		*granted = current == nil || current.Attempt == attempt
		next := &Claim{Attempt: attempt, State: StateTaken, ExpiresMS: now.Add(time.Hour).UnixMilli()}
		return next, current == nil
	}
}

func newOperation(id string, change ChangeFunc) Operation {
	return Operation{ClaimID: id, Change: change, Deadline: time.Now().Add(2 * time.Second)}
}

func TestClaimUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(*fakeObjectStore)
		repair func(*fakeObjectStore) // is applied after a second
		err    error
	}{
		{"no fault", func(*fakeObjectStore) {}, nil, nil},
		{"answer lost", func(f *fakeObjectStore) { f.lostAnswers = 1 }, nil, nil},
		{"answers lost twice", func(f *fakeObjectStore) { f.lostAnswers = 2 }, nil, nil},
		{"unavailable for a second", func(f *fakeObjectStore) { f.unavailable = true }, func(f *fakeObjectStore) { f.unavailable = false }, nil},
		{"unavailable", func(f *fakeObjectStore) { f.unavailable = true }, nil, ErrUnavailable},
		{"stale reads for a second", func(f *fakeObjectStore) { f.staleReads = true }, func(f *fakeObjectStore) { f.staleReads = false }, nil},
		// A stale read that does not show the write is no proof that the write
		// failed.
		{"answer lost, then stale reads", func(f *fakeObjectStore) { f.lostAnswers, f.staleAfterLoss = 1, true }, nil, ErrOutcomeUnknown},
		{"answer lost, then stale reads for a second", func(f *fakeObjectStore) { f.lostAnswers, f.staleAfterLoss = 1, true }, func(f *fakeObjectStore) { f.staleReads = false }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := new(fakeObjectStore)
				ledger := New(objects, discardObserver{})
				var otherGranted, firstGranted, secondGranted bool
				must.NoError(t, <-ledger.Submit(newOperation("0000000000000040", claimFor("seed", &otherGranted))))
				objects.setFaults(test.fault)
				if test.repair != nil {
					time.AfterFunc(time.Second, func() { objects.setFaults(test.repair) })
				}
				err := <-ledger.Submit(newOperation(testID[:15]+"0", claimFor("first", &firstGranted)))
				must.Eq(t, test.err, err)
				objects.setFaults(func(f *fakeObjectStore) { f.unavailable, f.staleReads, f.lostAnswers = false, false, 0 })
				must.NoError(t, <-ledger.Submit(newOperation(testID[:15]+"0", claimFor("second", &secondGranted))))
				if err == nil {
					must.True(t, firstGranted)
					must.False(t, secondGranted)
				}
				must.Eq(t, errors.Is(err, ErrUnavailable), secondGranted)
			})
		})
	}
}

func TestChangesAtTheSameTimeShareAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operations = 100
		objects := new(fakeObjectStore)
		ledger := New(objects, discardObserver{})
		granted := make([]bool, operations)
		var results []<-chan error
		for n := range operations {
			results = append(results, ledger.Submit(newOperation(fmt.Sprintf("00000000%08d", n), claimFor("a", &granted[n]))))
		}
		for n, result := range results {
			must.NoError(t, <-result)
			must.True(t, granted[n])
		}
		must.LessEq(t, 2, objects.writes)
	})
}

func TestTwoLedgersGrantAClaimOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &fakeObjectStore{lostAnswers: 1}
		var firstGranted, secondGranted bool
		a := New(objects, discardObserver{}).Submit(newOperation(testID, claimFor("a", &firstGranted)))
		b := New(objects, discardObserver{}).Submit(newOperation(testID, claimFor("b", &secondGranted)))
		must.NoError(t, <-a)
		must.NoError(t, <-b)
		must.True(t, firstGranted != secondGranted)
	})
}

func TestShardIsPrunedAndBounded(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	s := newShard()
	newClaim := func(expires time.Time, bodyBytes int) *Claim {
		return &Claim{Attempt: "a", ExpiresMS: expires.UnixMilli(), Answer: &Answer{Body: []byte(strings.Repeat("x", bodyBytes))}}
	}
	const kilobyte = 1 << 10
	added := 0
	for s.put(fmt.Sprint(added), newClaim(now.Add(time.Duration(added)*time.Second), kilobyte)) {
		added++
	}
	must.LessEq(t, maxNewClaimBytes, s.encodedBytes)
	must.True(t, s.put("0", newClaim(now.Add(time.Hour), MaxShardBytes/8)))
	must.NotNil(t, s.Claims["0"].Answer)
	must.True(t, s.put("1", newClaim(now.Add(time.Hour), MaxShardBytes/8)))
	must.Nil(t, s.Claims["1"].Answer)
	must.LessEq(t, MaxShardBytes, s.encodedBytes)
	s.prune(now.Add(time.Hour))
	must.MapEmpty(t, s.Claims)
	must.Zero(t, s.encodedBytes)
}

// TestOperationCompletesAfterOutage checks that an operation is retried at the
// maximum delay during an outage and succeeds after it.
func TestOperationCompletesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &fakeObjectStore{unavailable: true}
		ledger := New(objects, discardObserver{})
		var granted bool
		operation := newOperation(testID, claimFor("a", &granted))
		operation.Deadline = time.Now().Add(time.Hour)
		result := ledger.Submit(operation)
		time.Sleep(10 * time.Minute)
		objects.setFaults(func(f *fakeObjectStore) {
			must.LessEq(t, int(10*time.Minute/maxErrorRetryDelay)+10, f.calls)
			f.unavailable = false
		})
		must.NoError(t, <-result)
		must.True(t, granted)
		must.NoError(t, ledger.Drain(t.Context()))
	})
}

func TestWritesStayWithinTheSharedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, seconds = 10, 5
		objects := new(fakeObjectStore)
		ledger := New(objects, discardObserver{})
		ledger.SetDaemonCount(daemons)
		end := time.Now().Add(seconds * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			var granted bool
			must.NoError(t, <-ledger.Submit(newOperation(fmt.Sprintf("00000000%08d", n), claimFor("a", &granted))))
		}
		must.LessEq(t, seconds*writesPerSecond/daemons+maxBurst+1, objects.writes)
		must.GreaterEq(t, seconds*writesPerSecond/daemons, objects.writes)
	})
}

func TestDecodeShardHandlesNullClaims(t *testing.T) {
	for _, text := range []string{`{}`, `{"claims":null}`, `{"claims":{"a":null}}`} {
		decoded, err := decodeShard([]byte(text))
		must.NoError(t, err)
		decoded.prune(time.Now())
		must.True(t, decoded.put("b", &Claim{Attempt: "a"}))
	}
	_, err := decodeShard([]byte(`{"claims":7}`))
	must.Error(t, err)
}
