package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table is an index of a document's routes and keys.
type Table struct {
	Document       *Document
	routesByHost   map[string][]*Route // longest path prefix first
	workspaceByKey map[string]*Workspace
}

// NewTable builds the index of a document.
func NewTable(document *Document) *Table {
	table := &Table{
		Document:       document,
		routesByHost:   make(map[string][]*Route),
		workspaceByKey: make(map[string]*Workspace),
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		table.routesByHost[route.Host] = append(table.routesByHost[route.Host], route)
	}
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		for _, key := range workspace.Keys {
			table.workspaceByKey[key] = workspace
		}
	}
	return table
}

// Match returns the route of the host whose path prefix is the longest that matches
// the path, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routesByHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that owns a key, or nil if the key is empty or
// unknown.
func (t *Table) WorkspaceByKey(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.workspaceByKey[key]
}

// RequiresKey reports whether requests of the route must have the key of a workspace.
func (t *Table) RequiresKey(route *Route) bool {
	return len(t.Document.Workspaces) > 0 && !route.Anonymous
}

// PickService returns the service at a fraction of the route's total weight. The
// fraction is in [0, 1).
func (r *Route) PickService(fraction float64) string {
	totalWeight := 0.0
	for _, weighted := range r.ServiceWeights {
		totalWeight += weighted.Weight
	}
	remaining := fraction * totalWeight
	for _, weighted := range r.ServiceWeights {
		if remaining < weighted.Weight {
			return weighted.Service
		}
		remaining -= weighted.Weight
	}
	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}
