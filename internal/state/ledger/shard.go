// Package ledger stores claims of idempotency keys in the platform. The claims
// are spread over a fixed number of shard objects, which are changed by
// conditional updates. A daemon commits its concurrent changes to a shard in one
// write.
package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"time"
)

// Number and size of shards. A claim with a small answer takes about 380 bytes, so
// that a shard has space for about 1,000 claims and the ledger for about 16,500.
// With a claim lifetime of 24 hours, this is enough for a mean of one call with an
// idempotency key in five seconds. Fewer shards would have space for fewer claims;
// with more shards each write would commit fewer operations.
const (
	// ShardCount must be the same at all daemons and must never change; otherwise a
	// key could be looked up in a shard that does not have its claim.
	ShardCount = 16
	// MaxShardBytes bounds the encoded size of a shard; the platform stores values
	// of up to a megabyte.
	MaxShardBytes = 512 << 10
	// maxNewClaimBytes bounds the size of a shard to which a new claim can be
	// added. The space above it is reserved for updates of claims that exist, such
	// as their answers.
	maxNewClaimBytes = MaxShardBytes * 3 / 4
)

// State is the state of a claimed call.
type State string

// States of a claim. All except the first are final.
const (
	StateTaken    State = "taken"    // the call may be running
	StateFinished State = "finished" // the call has ended
	StateUnknown  State = "unknown"  // the call may have run, and its outcome cannot be found out
)

// Claim records which request owns an idempotency key, and the outcome of its
// call.
type Claim struct {
	// Attempt is the id of the request that owns the key.
	Attempt string `json:"attempt"`
	// Fingerprint is a digest of the call's method, path and body.
	Fingerprint string  `json:"fingerprint"`
	State       State   `json:"state"`
	TakenMS     int64   `json:"taken_ms"`   // Unix time
	ExpiresMS   int64   `json:"expires_ms"` // Unix time
	Answer      *Answer `json:"answer,omitempty"`
}

// Answer is the HTTP response of a finished call.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Header is an HTTP header field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// EncodedBytes returns an upper estimate of the bytes that a claim takes in an
// encoded shard.
func (c *Claim) EncodedBytes() int {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: every value of these types can be encoded
	}
	const keyBytes = 40 // the claim's id of 32 hex digits, its quotes and separators
	return len(encoded) + keyBytes
}

// shard is the spec of a claims object: its claims by id.
type shard struct {
	Claims       map[string]*Claim `json:"claims"`
	encodedBytes int
}

func decodeShard(spec json.RawMessage) (*shard, error) {
	decoded := newShard()
	if err := json.Unmarshal(spec, decoded); err != nil {
		return nil, fmt.Errorf("decode claims: %w", err)
	}
	if decoded.Claims == nil {
		decoded.Claims = make(map[string]*Claim)
	}
	maps.DeleteFunc(decoded.Claims, func(_ string, claim *Claim) bool { return claim == nil })
	decoded.encodedBytes = len(spec)
	return decoded, nil
}

func newShard() *shard { return &shard{Claims: make(map[string]*Claim)} }

// prune removes the expired claims.
func (s *shard) prune(now time.Time) {
	maps.DeleteFunc(s.Claims, func(_ string, claim *Claim) bool {
		expired := claim.ExpiresMS <= now.UnixMilli()
		if expired {
			s.encodedBytes -= claim.EncodedBytes()
		}
		return expired
	})
}

// put stores a claim, or removes it if next is nil. If a new claim does not fit,
// put changes nothing and returns false. If only the claim's answer does not fit,
// the claim is stored without it.
func (s *shard) put(id string, next *Claim) bool {
	current := s.Claims[id]
	if next == nil {
		if current != nil {
			s.encodedBytes -= current.EncodedBytes()
			delete(s.Claims, id)
		}
		return true
	}
	size := next.EncodedBytes()
	if current == nil && s.encodedBytes+size > maxNewClaimBytes {
		return false
	}
	if current != nil {
		size -= current.EncodedBytes()
	}
	if s.encodedBytes+size > MaxShardBytes && next.Answer != nil {
		withoutAnswer := *next
		withoutAnswer.Answer = nil
		return s.put(id, &withoutAnswer)
	}
	s.Claims[id] = next
	s.encodedBytes += size
	return true
}

// shardIndex returns the index of the shard that stores the claim with an id. Ids
// are hex digests.
func shardIndex(id string) (int, error) {
	const digits = 8
	if len(id) < digits {
		return 0, fmt.Errorf("claim id %q is too short", id)
	}
	prefix, err := strconv.ParseUint(id[:digits], 16, 64)
	if err != nil {
		return 0, fmt.Errorf("claim id %q: %w", id, err)
	}
	return int(prefix % ShardCount), nil
}

func shardName(index int) string { return fmt.Sprintf("claims-%03d", index) }
