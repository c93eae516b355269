package gateway

import (
	"context"
	"sync"
	"time"

	"hemlockknot/internal/state/routing"
	"hemlockknot/platform"
)

// inForce holds the configuration in force. Its version only rises.
type inForce struct {
	mu      sync.Mutex
	table   *routing.Table
	spec    []byte        // as the store gave it
	packed  []byte        // the same for peers; nil until one asks
	arrived chan struct{} // closed once there is a table
}

func newInForce() *inForce { return &inForce{arrived: make(chan struct{})} }

// current returns the table in force, nil if there is none yet.
func (f *inForce) current() *routing.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

// version returns the version in force, 0 if there is none.
func (f *inForce) version() int64 {
	if table := f.current(); table != nil {
		return table.Document.Version
	}
	return 0
}

// newer returns the configuration for a peer that has an older version, and its
// version; else none.
func (f *inForce) newer(than int64) (packed []byte, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil || f.table.Document.Version <= than {
		return nil, 0
	}
	if f.packed == nil {
		f.packed = pack(f.spec)
	}
	return f.packed, f.table.Document.Version
}

// offer puts a table in force unless one of the same or a higher version is.
func (f *inForce) offer(table *routing.Table, spec []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table != nil && f.table.Document.Version >= table.Document.Version {
		return false
	}
	if f.table == nil {
		close(f.arrived)
	}
	f.table = table
	f.spec = spec
	f.packed = nil
	return true
}

// await returns the table in force; if there is none it waits a moment.
func (f *inForce) await(ctx context.Context, wait time.Duration) *routing.Table {
	if table := f.current(); table != nil {
		return table
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.arrived:
	case <-timer.C:
	case <-ctx.Done():
	}
	return f.current()
}

// takeDocument puts a configuration from the store in force, if it is newer and
// can be read. Otherwise the last good one stays.
func (g *Gateway) takeDocument(object platform.Object) {
	if object.Name == platform.DocumentName {
		g.takeSpec(object.Spec, "store")
	}
}

func (g *Gateway) takeSpec(spec []byte, source string) {
	document, err := platform.DecodeDocument(spec)
	if err != nil {
		g.log.Warn("configuration cannot be read, the last one stays", "source", source, "error", err)
		g.metrics.badEntry()
		return
	}
	if g.document.offer(routing.NewTable(document), spec) {
		g.log.Warn("configuration in force", "version", document.Version, "source", source,
			"routes", len(document.Routes), "workspaces", len(document.Workspaces))
	}
}
