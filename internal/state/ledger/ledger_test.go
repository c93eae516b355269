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

// fakeObjects keeps one object. Its calls take a millisecond.
type fakeObjects struct {
	mu      sync.Mutex
	object  *platform.Object
	before  *platform.Object // the state before the last write
	version int
	writes  int
	calls   int
	away    bool // calls fail and change nothing
	stale   bool // reads return the state before the last write
	lose    int  // so many writes take effect and fail
	losing  bool // reads become stale with the next lost write
}

var errCall = errors.New("no answer")

func (f *fakeObjects) Get(context.Context, string, string) (*platform.Object, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	read := f.object
	if f.stale {
		read = f.before
	}
	if f.away {
		return nil, errCall
	}
	if read == nil {
		return nil, platform.ErrNotFound
	}
	return read, nil
}

func (f *fakeObjects) set(fault func(*fakeObjects)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault(f)
}

func (f *fakeObjects) Create(_ context.Context, _ string, object *platform.Object) (*platform.Object, error) {
	return f.put(object, "")
}

func (f *fakeObjects) Update(_ context.Context, _ string, object *platform.Object) (*platform.Object, error) {
	return f.put(object, object.Metadata.ResourceVersion)
}

func (f *fakeObjects) put(object *platform.Object, version string) (*platform.Object, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.away {
		return nil, errCall
	}
	present := ""
	if f.object != nil {
		present = f.object.Metadata.ResourceVersion
	}
	if version != present {
		return nil, platform.ErrConflict
	}
	f.version++
	f.writes++
	object.Metadata.ResourceVersion = fmt.Sprint(f.version)
	f.before, f.object = f.object, object
	if f.lose > 0 {
		f.lose--
		f.stale = f.stale || f.losing
		return nil, errCall
	}
	return object, nil
}

type ignore struct{}

func (ignore) ClaimsWritten(int) {}

// take is a change that takes a free claim for an attempt.
func take(attempt string, granted *bool) Change {
	return func(present *Claim, now time.Time) (*Claim, bool) {
		*granted = present == nil || present.Attempt == attempt
		next := &Claim{Attempt: attempt, State: Taken, ExpiresMS: now.Add(time.Hour).UnixMilli()}
		return next, present == nil
	}
}

func submission(id string, change Change) Operation {
	return Operation{ID: id, Change: change, Deadline: time.Now().Add(2 * time.Second)}
}

func TestClaimUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		fault  func(*fakeObjects)
		repair func(*fakeObjects) // after a second
		err    error
	}{
		{"no fault", func(*fakeObjects) {}, nil, nil},
		{"answer lost", func(f *fakeObjects) { f.lose = 1 }, nil, nil},
		{"answers lost twice", func(f *fakeObjects) { f.lose = 2 }, nil, nil},
		{"away for a second", func(f *fakeObjects) { f.away = true }, func(f *fakeObjects) { f.away = false }, nil},
		{"away", func(f *fakeObjects) { f.away = true }, nil, ErrAway},
		{"stale for a second", func(f *fakeObjects) { f.stale = true }, func(f *fakeObjects) { f.stale = false }, nil},
		// The read that looks for the lost write does not show it: that proves nothing.
		{"answer lost, then stale", func(f *fakeObjects) { f.lose, f.losing = 1, true }, nil, ErrUncertain},
		{"answer lost, stale for a second", func(f *fakeObjects) { f.lose, f.losing = 1, true }, func(f *fakeObjects) { f.stale = false }, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := new(fakeObjects)
				ledger := New(objects, ignore{})
				var seeded, granted, second bool
				must.NoError(t, <-ledger.Submit(submission("0000000000000040", take("seed", &seeded))))
				objects.set(test.fault)
				if test.repair != nil {
					time.AfterFunc(time.Second, func() { objects.set(test.repair) })
				}
				err := <-ledger.Submit(submission(testID[:15]+"0", take("first", &granted)))
				must.Eq(t, test.err, err)
				objects.set(func(f *fakeObjects) { f.away, f.stale, f.lose = false, false, 0 })
				must.NoError(t, <-ledger.Submit(submission(testID[:15]+"0", take("second", &second))))
				if err == nil {
					must.True(t, granted)
					must.False(t, second)
				}
				must.Eq(t, errors.Is(err, ErrAway), second)
			})
		})
	}
}

func TestChangesAtTheSameTimeShareAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const operations = 100
		objects := new(fakeObjects)
		ledger := New(objects, ignore{})
		granted := make([]bool, operations)
		var results []<-chan error
		for n := range operations {
			results = append(results, ledger.Submit(submission(fmt.Sprintf("00000000%08d", n), take("a", &granted[n]))))
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
		objects := &fakeObjects{lose: 1}
		var first, second bool
		a := New(objects, ignore{}).Submit(submission(testID, take("a", &first)))
		b := New(objects, ignore{}).Submit(submission(testID, take("b", &second)))
		must.NoError(t, <-a)
		must.NoError(t, <-b)
		must.True(t, first != second)
	})
}

func TestShardIsPrunedAndBounded(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	held := newShard()
	claim := func(expires time.Time, body int) *Claim {
		return &Claim{Attempt: "a", ExpiresMS: expires.UnixMilli(), Answer: &Answer{Body: []byte(strings.Repeat("x", body))}}
	}
	const kilobyte = 1 << 10
	taken := 0
	for held.put(fmt.Sprint(taken), claim(now.Add(time.Duration(taken)*time.Second), kilobyte)) {
		taken++
	}
	must.LessEq(t, takenBytes, held.size)
	must.True(t, held.put("0", claim(now.Add(time.Hour), ShardBytes/8)))
	must.NotNil(t, held.Claims["0"].Answer)
	must.True(t, held.put("1", claim(now.Add(time.Hour), ShardBytes/8)))
	must.Nil(t, held.Claims["1"].Answer)
	must.LessEq(t, ShardBytes, held.size)
	held.prune(now.Add(time.Hour))
	must.MapEmpty(t, held.Claims)
	must.Zero(t, held.size)
}

func TestOperationsOfAnOutageEndWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &fakeObjects{away: true}
		ledger := New(objects, ignore{})
		var granted bool
		long := submission(testID, take("a", &granted))
		long.Deadline = time.Now().Add(time.Hour)
		result := ledger.Submit(long)
		time.Sleep(10 * time.Minute)
		objects.set(func(f *fakeObjects) {
			must.LessEq(t, int(10*time.Minute/maxErrorPause)+10, f.calls)
			f.away = false
		})
		must.NoError(t, <-result)
		must.True(t, granted)
		must.NoError(t, ledger.Drain(t.Context()))
	})
}

func TestWritesStayWithinTheSharedBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons, seconds = 10, 5
		objects := new(fakeObjects)
		ledger := New(objects, ignore{})
		ledger.ShareBudget(daemons)
		end := time.Now().Add(seconds * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			var granted bool
			must.NoError(t, <-ledger.Submit(submission(fmt.Sprintf("00000000%08d", n), take("a", &granted))))
		}
		must.LessEq(t, seconds*writesPerSecond/daemons+burst+1, objects.writes)
		must.GreaterEq(t, seconds*writesPerSecond/daemons, objects.writes)
	})
}

func TestShardDecodesWhateverThePlatformHolds(t *testing.T) {
	for _, text := range []string{`{}`, `{"claims":null}`, `{"claims":{"a":null}}`} {
		decoded, err := decodeShard([]byte(text))
		must.NoError(t, err)
		decoded.prune(time.Now())
		must.True(t, decoded.put("b", &Claim{Attempt: "a"}))
	}
	_, err := decodeShard([]byte(`{"claims":7}`))
	must.Error(t, err)
}
