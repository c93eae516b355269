package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hemlockknot/internal/coordination/ranking"
	. "hemlockknot/internal/coordination/ratelimit"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixedFleet is the view of a daemon with a fixed position.
type fixedFleet struct{ above, live int }

func (f fixedFleet) Rank(uint64) (above, live int) { return f.above, f.live }

// countAllowed returns how many requests a daemon that always has some may send to target 1
// in a time.
func countAllowed(tracker *Tracker, from time.Time, duration time.Duration) int {
	count := 0
	for at := time.Duration(0); at < duration; at += 10 * time.Millisecond {
		now := from.Add(at)
		for tracker.Wait(1, now) == 0 {
			tracker.Take(1, now)
			count++
		}
	}
	return count
}

func TestShares(t *testing.T) {
	cases := []struct {
		name    string
		limit   float64
		fleet   fixedFleet
		allowed int // in 100 s, without the tokens saved before
	}{
		{"the only daemon has all of it", 4, fixedFleet{0, 1}, 400},
		{"eight daemons have equal shares", 4, fixedFleet{7, 8}, 50},
		{"few of many daemons use a target", 4, fixedFleet{7, 295}, 50},
		{"the others leave it alone", 4, fixedFleet{8, 295}, 0},
		{"one daemon uses a target with a small limit", 0.2, fixedFleet{0, 8}, 20},
		{"and no other", 0.2, fixedFleet{1, 8}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := New(c.fleet)
			must.True(t, tracker.RecordAnswer(1, c.limit, start))
			countAllowed(tracker, start, time.Second) // spends the first tokens
			allowed := 0
			for second := range 100 { // the target repeats its limit
				now := start.Add(time.Duration(second+1) * time.Second)
				tracker.RecordAnswer(1, c.limit, now)
				allowed += countAllowed(tracker, now, time.Second)
			}
			must.Between(t, c.allowed-1, allowed, c.allowed+1)
		})
	}
}

func TestLimitEnds(t *testing.T) {
	tracker := New(fixedFleet{0, 1})
	must.False(t, tracker.RecordAnswer(1, 0, start))
	must.True(t, tracker.RecordAnswer(1, 2, start))
	must.False(t, tracker.RecordAnswer(1, 2, start.Add(time.Second)))
	must.True(t, tracker.Limited(1))
	must.True(t, tracker.RecordAnswer(1, 0, start.Add(2*time.Second)))
	must.False(t, tracker.Limited(1))
	must.False(t, tracker.Any())
	must.Eq(t, 0, tracker.Wait(1, start.Add(2*time.Second)))

	must.True(t, tracker.RecordAnswer(2, 2, start))
	tracker.Expire(start.Add(31 * time.Second))
	must.False(t, tracker.Any(), must.Sprint("the target has said nothing for 30 s"))
}

func TestWaitIsTheTimeToTheNextRequest(t *testing.T) {
	user, other := New(fixedFleet{0, 2}), New(fixedFleet{8, 295})
	for _, tracker := range []*Tracker{user, other} {
		tracker.RecordAnswer(1, 2, start)
	}
	user.Take(1, start)
	must.Eq(t, time.Second, user.Wait(1, start), must.Sprint("half of the limit"))
	must.Eq(t, 500*time.Millisecond, other.Wait(1, start))
}

// The later statement of a target holds, in whatever order daemons receive both.
func TestLaterStatementWins(t *testing.T) {
	teller := New(fixedFleet{0, 2})
	teller.RecordAnswer(1, 3, start)
	early := teller.Reports(4, 4, start)
	teller.RecordAnswer(1, 0, start.Add(time.Second))
	late := teller.Reports(4, 4, start.Add(time.Second))
	for _, order := range [][][]Report{{early, late}, {late, early}, {early, late, early}} {
		listener := New(fixedFleet{0, 2})
		for _, reports := range order {
			now := start.Add(time.Second)
			if len(reports) > 0 && reports[0].Limit > 0 {
				reports = []Report{{reports[0].Incarnation, reports[0].Limit, time.Second}} // said a second ago
			}
			listener.Merge(reports, now)
		}
		must.False(t, listener.Limited(1))
	}
}

func TestReportsAreBoundedAndTakeTurns(t *testing.T) {
	tracker := New(fixedFleet{0, 8})
	for incarnation := range uint32(100) {
		tracker.RecordAnswer(incarnation, 2, start)
	}
	for incarnation := range uint32(40) {
		tracker.RecordAnswer(incarnation, 0, start)
	}
	sent := make(map[uint32]int)
	for range 15 {
		reports := tracker.Reports(4, 16, start)
		must.Len(t, 20, reports)
		for _, report := range reports {
			sent[report.Incarnation]++
			must.Eq(t, report.Incarnation < 40, report.Limit == 0)
		}
	}
	must.MapLen(t, 100, sent)
	for range 1000 {
		tracker.Reports(4, 16, start)
	}
	must.SliceEmpty(t, tracker.Reports(4, 16, start), must.Sprint("each change is sent a few times"))
	tracker.RecordAnswer(1, 3, start)
	must.Len(t, 1, tracker.Reports(4, 16, start))
	must.SliceEmpty(t, tracker.Reports(4, 16, start.Add(11*time.Second)))
}

// rankedFleet is the view of one of several daemons that know the daemons in live.
type rankedFleet struct {
	name string
	live *[]string
	// ranks are the results of earlier calls by the number of live daemons, which are the
	// first ones of all.
	ranks map[int]int
}

func (f rankedFleet) Rank(key uint64) (above, live int) {
	if above, found := f.ranks[len(*f.live)]; found {
		return above, len(*f.live)
	}
	own := ranking.Mix(key ^ ranking.Hash(f.name))
	for _, name := range *f.live {
		if ranking.Mix(key^ranking.Hash(name)) > own {
			above++
		}
	}
	f.ranks[len(*f.live)] = above
	return above, len(*f.live)
}

// Fleets of 8 and 295 daemons send all they may to one target, whose limit changes, while
// daemons join and leave. From contactTime after each change the users' bound holds in
// every window of 4 s: one and a half times the limit and 5 requests.
func TestFleetKeepsTheLimit(t *testing.T) {
	const window, step, contactTime = 4 * time.Second, 20 * time.Millisecond, 3 * time.Second
	for _, daemons := range []int{3, 8, 295} {
		for seed := range uint64(8) {
			random := rand.New(rand.NewPCG(seed, 3))
			var live []string
			var trackers []*Tracker
			for i := range daemons {
				live = append(live, fmt.Sprint("front-", i))
				trackers = append(trackers, New(rankedFleet{live[i], &live, make(map[int]int)}))
			}
			all := append([]string(nil), live...)
			limit, limitSince := 0.3+10*random.Float64()*random.Float64(), start
			var sent []time.Time
			for i := range int(40 * time.Second / step) {
				now := start.Add(time.Duration(i) * step)
				if i%500 == 499 {
					limit, limitSince = 0.3+10*random.Float64()*random.Float64(), now
					live = all[:max(1, daemons-random.IntN(1+daemons/4))]
				}
				for _, d := range random.Perm(len(live)) {
					tracker := trackers[d]
					tracker.RecordAnswer(1, limit, now) // received from the target or a peer
					for tracker.Wait(1, now) == 0 {
						tracker.Take(1, now)
						sent = append(sent, now)
					}
				}
				if now.Sub(limitSince) > contactTime+window {
					count := 0
					for j := len(sent) - 1; j >= 0 && now.Sub(sent[j]) < window; j-- {
						count++
					}
					must.LessEq(t, 1.5*limit*window.Seconds()+5, float64(count), must.Sprintf("%d daemons, seed %d, %s", daemons, seed, now.Sub(start)))
					must.GreaterEq(t, 0.5*limit*window.Seconds()-1, float64(count), must.Sprintf("%d daemons, seed %d, %s: too few", daemons, seed, now.Sub(start)))
				}
			}
		}
	}
}
