// Package ledger keeps claims of idempotency keys in the platform: a fixed
// number of shard objects, each changed by conditional updates. Changes to a
// shard that come at the same time share one write.
package ledger

import (
	"encoding/json"
	"fmt"
	"maps"
	"strconv"
	"time"
)

// Sizes of shards. A claim with a small answer takes about 380 bytes, so that a
// shard holds about 1,000 claims and the ledger about 16,500: with a lifetime of
// 24 hours, a mean of one keyed call in five seconds. Fewer shards would hold
// less; more would put fewer operations into each write.
const (
	// ShardCount is the same at all daemons for good: a key must never be looked
	// up in another shard than the one that holds its claim.
	ShardCount = 16
	// ShardBytes bounds a shard; the platform's values hold a megabyte.
	ShardBytes = 512 << 10
	// takenBytes is the part of a shard that new claims may fill. The rest is
	// for what becomes of them.
	takenBytes = ShardBytes * 3 / 4
)

// State is how far a claimed call has come.
type State string

// The states of a claim. Only Taken is not final.
const (
	Taken    State = "taken"
	Finished State = "finished"
	Unknown  State = "unknown" // the call may have run; nobody will learn more
)

// Claim says who has taken an idempotency key and what became of the call.
type Claim struct {
	// Attempt is the id of the request that took the key.
	Attempt string `json:"attempt"`
	// Fingerprint is a digest of the call's method, path and body.
	Fingerprint string  `json:"fingerprint"`
	State       State   `json:"state"`
	TakenMS     int64   `json:"taken_ms"`   // Unix time
	ExpiresMS   int64   `json:"expires_ms"` // Unix time
	Answer      *Answer `json:"answer,omitempty"`
}

// Answer is the answer of a finished call.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Header is one header of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Size is the room that a claim takes in a shard, in bytes.
func (c *Claim) Size() int {
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err) // the types above always encode
	}
	const keyBytes = 40 // the id, its quotes and separators
	return len(encoded) + keyBytes
}

// shard is the content of one object: claims by id.
type shard struct {
	Claims map[string]*Claim `json:"claims"`
	size   int               // in bytes, when encoded
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
	decoded.size = len(spec)
	return decoded, nil
}

func newShard() *shard { return &shard{Claims: make(map[string]*Claim)} }

// prune drops the claims that have expired.
func (s *shard) prune(now time.Time) {
	maps.DeleteFunc(s.Claims, func(_ string, claim *Claim) bool {
		expired := claim.ExpiresMS <= now.UnixMilli()
		if expired {
			s.size -= claim.Size()
		}
		return expired
	})
}

// put replaces a claim, or removes it if next is nil. It reports false, with
// nothing changed, if a new claim has no room. An answer that has no room is
// left out.
func (s *shard) put(id string, next *Claim) bool {
	present := s.Claims[id]
	if next == nil {
		if present != nil {
			s.size -= present.Size()
			delete(s.Claims, id)
		}
		return true
	}
	size := next.Size()
	if present == nil && s.size+size > takenBytes {
		return false
	}
	if present != nil {
		size -= present.Size()
	}
	if s.size+size > ShardBytes && next.Answer != nil {
		copied := *next
		copied.Answer = nil
		return s.put(id, &copied)
	}
	s.Claims[id] = next
	s.size += size
	return true
}

// shardOf returns the number of the shard that holds an id. Ids are hex digests.
func shardOf(id string) (int, error) {
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

func shardName(number int) string { return fmt.Sprintf("claims-%03d", number) }
