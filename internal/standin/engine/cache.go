package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/chat"
)

// bytesPerToken is how many bytes of a message count as one token.
const bytesPerToken = 4

// prefixCache holds prompt prefixes up to a number of tokens and evicts the
// least recently used.
type prefixCache struct {
	capacity int // tokens
	used     int
	entries  map[uint64]*list.Element
	recent   *list.List // front: most recently used
}

type cacheEntry struct {
	prefix uint64
	tokens int // of the prefix's last message
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, entries: make(map[uint64]*list.Element), recent: list.New()}
}

// use takes in a prompt and returns its tokens, the tokens that were cached and
// the prefixes that were evicted.
func (c *prefixCache) use(messages []chat.Message) (total, cached int, evicted []uint64) {
	hash := xxhash.New()
	warm := true
	for _, message := range messages {
		_, _ = hash.WriteString(message.Role)
		_, _ = hash.Write(message.Content)
		tokens := max(1, len(message.Content)/bytesPerToken)
		total += tokens
		prefix := hash.Sum64()
		element, held := c.entries[prefix]
		warm = warm && held
		if warm {
			cached += tokens
		}
		if held {
			c.recent.MoveToFront(element)
			continue
		}
		c.entries[prefix] = c.recent.PushFront(cacheEntry{prefix, tokens})
		c.used += tokens
	}
	return total, cached, c.evict()
}

func (c *prefixCache) evict() []uint64 {
	var evicted []uint64
	for c.used > c.capacity && c.recent.Len() > 0 {
		oldest := c.recent.Back()
		entry := oldest.Value.(cacheEntry)
		c.recent.Remove(oldest)
		delete(c.entries, entry.prefix)
		c.used -= entry.tokens
		evicted = append(evicted, entry.prefix)
	}
	return evicted
}
