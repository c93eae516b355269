package gateway

import (
	"context"
	"sync"
	"time"

	"hemlockknot/internal/state/objects"
	"hemlockknot/internal/state/routing"
	"hemlockknot/platform"
)

// activeConfig holds the current configuration. Its version never decreases.
type activeConfig struct {
	mu         sync.Mutex
	table      *routing.Table // nil until the first configuration
	spec       []byte         // encoded as in the store
	source     string         // from which it came: store or peer
	compressed []byte         // spec as sent to peers; nil until a peer needs it
	loaded     chan struct{}  // closed once there is a table
}

func newActiveConfig() *activeConfig { return &activeConfig{loaded: make(chan struct{})} }

// current returns the current routing table, or nil if there is none yet.
func (c *activeConfig) current() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table
}

// version returns the version of the current configuration, or 0 if there is none.
func (c *activeConfig) version() int64 {
	if table := c.current(); table != nil {
		return table.Document.Version
	}
	return 0
}

// origin returns from where the current configuration came; empty if there is none.
func (c *activeConfig) origin() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

// newerThan returns the compressed configuration and its version if that is higher
// than the peer's version, else nil and 0.
func (c *activeConfig) newerThan(peerVersion int64) (compressed []byte, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil || c.table.Document.Version <= peerVersion {
		return nil, 0
	}
	if c.compressed == nil {
		c.compressed = compress(c.spec)
	}
	return c.compressed, c.table.Document.Version
}

// replaceIfNewer replaces the current configuration if the version of the new one
// is higher, and reports whether it did.
func (c *activeConfig) replaceIfNewer(table *routing.Table, spec []byte, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table != nil && c.table.Document.Version >= table.Document.Version {
		return false
	}
	if c.table == nil {
		close(c.loaded)
	}
	c.table = table
	c.spec = spec
	c.source = source
	c.compressed = nil
	return true
}

// waitUntilLoaded returns the current routing table. If there is none yet, it waits for
// one up to the given time and returns nil if none has arrived by then.
func (c *activeConfig) waitUntilLoaded(ctx context.Context, wait time.Duration) *routing.Table {
	if table := c.current(); table != nil {
		return table
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c.loaded:
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.current()
}

// applyStoredConfig applies an object of the store if it is the configuration.
func (g *Gateway) applyStoredConfig(object objects.Object) {
	if object.Name == platform.DocumentName {
		g.applyConfig(object.Spec, "store")
	}
}

// applyConfig decodes a configuration and makes it the current one if it is newer.
// If decoding fails, the current configuration stays in use.
func (g *Gateway) applyConfig(spec []byte, source string) {
	document, err := platform.DecodeDocument(spec)
	if err != nil {
		g.log.Warn("cannot decode configuration, keeping the current one", "source", source, "error", err)
		g.metrics.countBadEntry()
		return
	}
	if g.config.replaceIfNewer(routing.NewTable(document), spec, source) {
		g.coordinator.endRoomWaits(reasonServiceFull)
		g.log.Warn("configuration in force", "version", document.Version, "source", source,
			"routes", len(document.Routes), "workspaces", len(document.Workspaces))
		g.callers.SetIdleTimeout(g.idleTimeout())
		g.coordinator.do(func() { g.coordinator.setColdServices(g.config.current().Document.Services) })
		g.peers.startRoundSoon()
	}
}
