package table

import (
	"fmt"
	"maps"
	"slices"
)

// ValidationError is an invalid entry of a table.
type ValidationError struct {
	// Table is routes, pools or workspaces.
	Table string
	// Name is the entry's key.
	Name string
	// Field is the path of the invalid value within the entry, or empty.
	Field   string
	Problem string
}

// Error implements error.
func (e *ValidationError) Error() string {
	return e.Key() + ": " + e.Problem
}

// Key returns the path of the invalid value, as in the YAML files.
func (e *ValidationError) Key() string {
	if e.Field == "" {
		return fmt.Sprintf("%s[%s]", e.Table, e.Name)
	}
	return fmt.Sprintf("%s[%s].%s", e.Table, e.Name, e.Field)
}

// Validate checks the rules between entries and between tables. It returns a
// *ValidationError for the first invalid entry, in the order of names.
func (t *Tables) Validate() error {
	if err := t.checkPools(); err != nil {
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(t.Routes)) {
		if err := t.checkRoute(name, t.Routes[name]); err != nil {
			return err
		}
	}
	return t.checkWorkspaces()
}

func (t *Tables) checkRoute(name string, r Route) error {
	pool, found := t.Pools[r.Pool]
	if !found {
		return routeError(name, "pool", fmt.Sprintf("no pool is named %q", r.Pool))
	}
	if r.Timeout <= 0 {
		return routeError(name, "timeout", "must be above 0")
	}
	switch pool.Kind {
	case Model:
		if r.MaxTokens <= 0 {
			return routeError(name, "maxTokens", "model work needs a bound on its output above 0")
		}
		if r.Price != 0 {
			return routeError(name, "price", "model work is charged by its tokens; remove the price")
		}
	case Plain:
		if r.Price <= 0 {
			return routeError(name, "price", "a plain call needs a price in tokens above 0")
		}
		if r.MaxTokens != 0 {
			return routeError(name, "maxTokens", "a plain call generates no tokens; remove it")
		}
	}
	return nil
}

func (t *Tables) checkPools() error {
	kindOf := map[string]Kind{}
	roleOf := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(t.Pools)) {
		pool := t.Pools[name]
		if len(pool.Servers) == 0 {
			return &ValidationError{Table: "pools", Name: name, Field: "servers", Problem: "a pool needs a backend server"}
		}
		seen := map[string]bool{}
		for i, server := range pool.Servers {
			field := fmt.Sprintf("servers[%d]", i)
			if seen[server] {
				return &ValidationError{Table: "pools", Name: name, Field: field, Problem: fmt.Sprintf("%q is listed twice", server)}
			}
			seen[server] = true
			if kind, found := kindOf[server]; found && kind != pool.Kind {
				problem := fmt.Sprintf("%q is also in a pool of kind %s", server, kind)
				return &ValidationError{Table: "pools", Name: name, Field: field, Problem: problem}
			}
			kindOf[server] = pool.Kind
		}
		if err := checkEngines(name, pool, roleOf); err != nil {
			return err
		}
	}
	return nil
}

// checkEngines checks the models and the role that a pool requires of its engines.
// roleOf contains the roles that earlier pools require, by server.
func checkEngines(name string, pool Pool, roleOf map[string]string) error {
	if pool.Kind != Model && (pool.Role != "" || len(pool.Models) > 0) {
		return &ValidationError{Table: "pools", Name: name, Problem: "only a pool of kind model has models or a role"}
	}
	if pool.Role == "" {
		return nil
	}
	for i, server := range pool.Servers {
		if role, found := roleOf[server]; found && role != pool.Role {
			field := fmt.Sprintf("servers[%d]", i)
			problem := fmt.Sprintf("%q has role %s in another pool", server, role)
			return &ValidationError{Table: "pools", Name: name, Field: field, Problem: problem}
		}
		roleOf[server] = pool.Role
	}
	return nil
}

// checkWorkspaces rejects a token that two workspaces share, since a caller of one
// could then spend the budget of the other.
func (t *Tables) checkWorkspaces() error {
	ownerOf := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(t.Workspaces)) {
		for i, token := range t.Workspaces[name].Tokens {
			if owner, found := ownerOf[token]; found {
				return &ValidationError{
					Table:   "workspaces",
					Name:    name,
					Field:   fmt.Sprintf("tokens[%d]", i),
					Problem: fmt.Sprintf("also a token of workspace %q", owner),
				}
			}
			ownerOf[token] = name
		}
	}
	return nil
}

func routeError(name, field, problem string) error {
	return &ValidationError{Table: "routes", Name: name, Field: field, Problem: problem}
}
