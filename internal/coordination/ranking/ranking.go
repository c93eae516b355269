// Package ranking orders engines for a chat, and daemons for an engine, by
// weighted rendezvous hashing: daemons with the same view compute the same order
// without exchanging messages.
package ranking

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an engine or a daemon to be ranked.
type Candidate struct {
	Name   string
	Weight float64 // relative share of the keys; more than 0
}

// Hash returns the 64-bit hash of a key that consists of parts. A zero byte after
// each part keeps keys apart whose concatenated parts are equal.
func Hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Order returns the names of all candidates for a key, highest score first.
func Order(key uint64, candidates []Candidate) []string {
	return Top(key, candidates, len(candidates))
}

// Top returns the names of at most count candidates with the highest scores for a
// key, highest score first.
func Top(key uint64, candidates []Candidate, count int) []string {
	best := make([]scored, 0, min(count, len(candidates))+1)
	for _, candidate := range candidates {
		entry := scored{candidate.Name, score(key, candidate)}
		if len(best) == count && (count == 0 || compareScored(best[count-1], entry) < 0) {
			continue
		}
		position, _ := slices.BinarySearchFunc(best, entry, compareScored)
		best = slices.Insert(best, position, entry)
		best = best[:min(count, len(best))]
	}
	names := make([]string, len(best))
	for i := range best {
		names[i] = best[i].name
	}
	return names
}

// scored is a candidate's name and its score for a key.
type scored struct {
	name  string
	score float64
}

// compareScored orders by descending score, and by name if the scores are equal.
func compareScored(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return strings.Compare(a.name, b.name)
}

// score returns -weight/ln(u) with u uniform in (0,1). With these scores a
// candidate ranks first for a share of the keys that is proportional to its weight.
func score(key uint64, candidate Candidate) float64 {
	mixed := Mix(key ^ xxhash.Sum64String(candidate.Name))
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -candidate.Weight / math.Log(uniform)
}

// Mix applies the finalizer of splitmix64, so that a change of any bit of x affects
// all bits of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
