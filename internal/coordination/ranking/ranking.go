// Package ranking orders engines for a chat, and daemons for an engine, by
// weighted rendezvous hashing: every daemon with the same view computes the
// same order without a message.
package ranking

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Candidate is something that can be ranked.
type Candidate struct {
	Name   string
	Weight float64 // relative share of the keys; more than 0
}

// Hash returns the 64-bit hash of a key's parts.
func Hash(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// Order returns the candidates' names, best first, for a key.
func Order(key uint64, candidates []Candidate) []string {
	return Top(key, candidates, len(candidates))
}

// Top returns the names of the best candidates for a key, best first, and count
// of them at most.
func Top(key uint64, candidates []Candidate, count int) []string {
	best := make([]scored, 0, min(count, len(candidates))+1)
	for _, candidate := range candidates {
		next := scored{candidate.Name, score(key, candidate)}
		if len(best) == count && (count == 0 || compare(best[count-1], next) < 0) {
			continue
		}
		position, _ := slices.BinarySearchFunc(best, next, compare)
		best = slices.Insert(best, position, next)
		best = best[:min(count, len(best))]
	}
	names := make([]string, len(best))
	for i := range best {
		names[i] = best[i].name
	}
	return names
}

type scored struct {
	name  string
	score float64
}

// compare puts the higher score first, and equal scores in the names' order.
func compare(a, b scored) int {
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return strings.Compare(a.name, b.name)
}

// score is -weight/ln(u) with u uniform in (0,1): a candidate wins a share of
// the keys in proportion to its weight.
func score(key uint64, candidate Candidate) float64 {
	mixed := Mix(key ^ xxhash.Sum64String(candidate.Name))
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -candidate.Weight / math.Log(uniform)
}

// Mix is the finalizer of splitmix64: it spreads a change of any bit.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
