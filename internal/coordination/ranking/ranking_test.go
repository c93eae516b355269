package ranking

import (
	"fmt"
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// newCandidates returns candidates named e0, e1 and so on, with weights 1, 2, 3 in
// turn.
func newCandidates(count int) []Candidate {
	var candidates []Candidate
	for n := range count {
		candidates = append(candidates, Candidate{Name: fmt.Sprintf("e%d", n), Weight: float64(1 + n%3)})
	}
	return candidates
}

func TestTopIsTheBeginningOfTheOrder(t *testing.T) {
	candidates := newCandidates(20)
	for key := range uint64(200) {
		order := Order(key, candidates)
		must.Len(t, 20, order)
		for _, count := range []int{0, 1, 3, 20, 30} {
			must.Eq(t, order[:min(count, 20)], Top(key, candidates, count))
		}
	}
}

// Removing a candidate moves only the keys for which it ranked first.
func TestOnlyTheKeysOfAMissingCandidateMove(t *testing.T) {
	candidates := newCandidates(10)
	for key := range uint64(1000) {
		before := Order(key, candidates)
		after := Order(key, candidates[1:])
		if before[0] != "e0" {
			must.Eq(t, before[0], after[0])
		} else {
			must.Eq(t, before[1], after[0])
		}
	}
}

func TestKeysAreSharedByWeight(t *testing.T) {
	const keyCount = 20_000
	candidates := newCandidates(6) // weights 1, 2, 3, 1, 2, 3
	wins := make(map[string]int)
	for key := range uint64(keyCount) {
		wins[Order(Mix(key+1), candidates)[0]]++
	}
	for _, candidate := range candidates {
		expected := keyCount * candidate.Weight / 12
		deviation := 5 * math.Sqrt(expected) // five standard deviations
		must.Between(t, expected-deviation, float64(wins[candidate.Name]), expected+deviation)
	}
}
