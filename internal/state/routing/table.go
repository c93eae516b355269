package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table answers look-ups of one document.
type Table struct {
	Document *Document
	byHost   map[string][]*Route // longest prefix first
	byKey    map[string]*Workspace
}

// NewTable indexes a document.
func NewTable(document *Document) *Table {
	table := &Table{
		Document: document,
		byHost:   make(map[string][]*Route),
		byKey:    make(map[string]*Workspace),
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for i := range document.Workspaces {
		workspace := &document.Workspaces[i]
		for _, key := range workspace.Keys {
			table.byKey[key] = workspace
		}
	}
	return table
}

// Match returns the host's route with the longest prefix of the path, nil if
// there is none.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Workspace returns the holder of a key, nil if nobody holds it.
func (t *Table) Workspace(key string) *Workspace {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// KeyNeeded reports whether requests of the route must carry a known key.
func (t *Table) KeyNeeded(route *Route) bool {
	return len(t.Document.Workspaces) > 0 && !route.Anonymous
}

// PickShare returns the service for a point in [0, 1) of the route's weights.
func (r *Route) PickShare(point float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	rest := point * total
	for _, share := range r.Shares {
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
