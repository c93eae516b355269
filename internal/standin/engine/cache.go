package engine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"hemlockknot/internal/protocol/chat"
)

// bytesPerToken is the number of message bytes that count as one token.
const bytesPerToken = 4

// prefixCache is an LRU cache of prompt prefixes, limited by their total number of
// tokens.
type prefixCache struct {
	maxTokens  int
	tokensUsed int
	entries    map[uint64]*list.Element // by hash of the prefix
	lru        *list.List               // front: most recently used
}

type cacheEntry struct {
	prefix uint64 // hash of the prefix
	tokens int    // of the prefix's last message
}

func newPrefixCache(maxTokens int) *prefixCache {
	return &prefixCache{maxTokens: maxTokens, entries: make(map[uint64]*list.Element), lru: list.New()}
}

// lookupAndInsert adds the prefixes of a prompt to the cache. It returns the prompt's
// number of tokens, the number of those that were already cached, and the evicted
// prefixes.
func (c *prefixCache) lookupAndInsert(messages []chat.Message) (total, cached int, evicted []uint64) {
	hash := xxhash.New()
	allCached := true
	for _, message := range messages {
		_, _ = hash.WriteString(message.Role)
		_, _ = hash.Write(message.Content)
		tokens := max(1, len(message.Content)/bytesPerToken)
		total += tokens
		prefix := hash.Sum64()
		element, exists := c.entries[prefix]
		allCached = allCached && exists
		if allCached {
			cached += tokens
		}
		if exists {
			c.lru.MoveToFront(element)
			continue
		}
		c.entries[prefix] = c.lru.PushFront(cacheEntry{prefix, tokens})
		c.tokensUsed += tokens
	}
	return total, cached, c.evict()
}

// evict removes the least recently used prefixes until the cache is within its limit.
func (c *prefixCache) evict() []uint64 {
	var evicted []uint64
	for c.tokensUsed > c.maxTokens && c.lru.Len() > 0 {
		oldest := c.lru.Back()
		entry := oldest.Value.(cacheEntry)
		c.lru.Remove(oldest)
		delete(c.entries, entry.prefix)
		c.tokensUsed -= entry.tokens
		evicted = append(evicted, entry.prefix)
	}
	return evicted
}
