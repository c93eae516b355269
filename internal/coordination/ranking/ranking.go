// Package ranking orders engines for a chat, and daemons for an engine, by
// weighted rendezvous hashing: every daemon with the same view computes the
// same order without a message.
package ranking

import (
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
	type scored struct {
		name  string
		score float64
	}
	scores := make([]scored, len(candidates))
	for i, candidate := range candidates {
		scores[i] = scored{candidate.Name, score(key, candidate)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.name, b.name)
	})
	names := make([]string, len(scores))
	for i := range scores {
		names[i] = scores[i].name
	}
	return names
}

// score is -weight/ln(u) with u uniform in (0,1): a candidate wins a share of
// the keys in proportion to its weight.
func score(key uint64, candidate Candidate) float64 {
	mixed := mix(key ^ xxhash.Sum64String(candidate.Name))
	uniform := (float64(mixed>>11) + 0.5) / (1 << 53)
	return -candidate.Weight / math.Log(uniform)
}

// mix is the finalizer of splitmix64: it spreads a change of any bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
