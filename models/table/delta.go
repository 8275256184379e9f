package table

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Delta is the change that a publication makes. It can only be applied to the version
// that it is based on.
type Delta struct {
	// Base is the published version that the delta is based on.
	Base           int64                `json:"base"`
	Routes         map[string]Route     `json:"routes,omitempty"`
	DropRoutes     []string             `json:"dropRoutes,omitempty"`
	Pools          map[string]Pool      `json:"pools,omitempty"`
	DropPools      []string             `json:"dropPools,omitempty"`
	Workspaces     map[string]Workspace `json:"workspaces,omitempty"`
	DropWorkspaces []string             `json:"dropWorkspaces,omitempty"`
}

// BaseError is returned if a delta is based on another version than the published one.
type BaseError struct {
	Base      int64
	Published int64
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("based on version %d, but version %d is published", e.Base, e.Published)
}

// Diff returns the delta from the published tables to the wanted ones. It contains no
// planned stops.
func Diff(published, wanted *Tables) Delta {
	d := Delta{
		Base:       published.Published,
		Routes:     map[string]Route{},
		Pools:      map[string]Pool{},
		Workspaces: map[string]Workspace{},
	}
	for name, route := range wanted.Routes {
		if old, ok := published.Routes[name]; !ok || old != route {
			d.Routes[name] = route
		}
	}
	for name, pool := range wanted.Pools {
		if old, ok := published.Pools[name]; !ok || !reflect.DeepEqual(old, pool) {
			d.Pools[name] = pool
		}
	}
	for name, workspace := range wanted.Workspaces {
		if old, ok := published.Workspaces[name]; !ok || !reflect.DeepEqual(old, workspace) {
			d.Workspaces[name] = workspace
		}
	}
	for _, name := range slices.Sorted(maps.Keys(published.Routes)) {
		if _, kept := wanted.Routes[name]; !kept {
			d.DropRoutes = append(d.DropRoutes, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(published.Pools)) {
		if _, kept := wanted.Pools[name]; !kept {
			d.DropPools = append(d.DropPools, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(published.Workspaces)) {
		if _, kept := wanted.Workspaces[name]; !kept {
			d.DropWorkspaces = append(d.DropWorkspaces, name)
		}
	}
	return d
}

// IsEmpty reports whether the delta contains no change.
func (d Delta) IsEmpty() bool {
	return len(d.Routes)+len(d.Pools)+len(d.Workspaces)+
		len(d.DropRoutes)+len(d.DropPools)+len(d.DropWorkspaces) == 0
}

// Apply returns the tables after a publication, or a *BaseError if the delta is based
// on another version. It does not validate the tables: the publisher has done so, and
// processes of different releases must arrive at the same tables. Planned stops of
// servers that are no longer in a pool are removed.
func (t *Tables) Apply(d Delta) (*Tables, error) {
	if d.Base != t.Published {
		return nil, &BaseError{Base: d.Base, Published: t.Published}
	}
	next := New()
	next.Version = t.Version + 1
	next.Published = next.Version
	maps.Copy(next.Routes, t.Routes)
	maps.Copy(next.Pools, t.Pools)
	maps.Copy(next.Workspaces, t.Workspaces)
	for _, name := range d.DropRoutes {
		delete(next.Routes, name)
	}
	for _, name := range d.DropPools {
		delete(next.Pools, name)
	}
	for _, name := range d.DropWorkspaces {
		delete(next.Workspaces, name)
	}
	maps.Copy(next.Routes, d.Routes)
	maps.Copy(next.Pools, d.Pools)
	maps.Copy(next.Workspaces, d.Workspaces)
	for server, stop := range t.Stops {
		if next.HasServer(server) {
			next.Stops[server] = stop
		}
	}
	return next, nil
}
