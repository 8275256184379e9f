// Package route holds the published tables by which an entry serves plain HTTP:
// routes by host and path prefix, pools of backend servers, workspaces with
// their keys and prepaid tokens. A table never changes once it is made.
package route

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

//go:generate go tool -modfile=../../tools/go.mod stringer -type=Kind -linecomment -output=kind_string.go

// Kind says what may be repeated of a request.
type Kind int

// The kinds.
const (
	// Once runs at most once.
	Once Kind = iota // once
	// Idempotent may run more than once.
	Idempotent // idempotent
	// Stream is a series of events that must not be repeated.
	Stream // stream
	// ResumableStream is a series of events that another server can continue.
	ResumableStream // resumableStream
)

// Repeatable says whether a second run is allowed after an unknown outcome.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streams says whether the answer is a series of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Route says which pool answers requests of a host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Goal is the time to the first event, or to the answer, within which the
	// answer has its full worth.
	Goal time.Duration
	// GapGoal is the longest pause between events of an answer of full worth.
	GapGoal time.Duration
	// Priority is the route's rank; 0 is the most urgent.
	Priority int
	// Attempts is the most servers that may run one request.
	Attempts int
	// Public routes need no key.
	Public bool
	// Pools are the pools that share the route's requests.
	Pools []WeightedPool
}

// WeightedPool is the part of a route's requests that a pool gets.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a set of backend servers that serve the same work.
type Pool struct {
	Name string
	// MaxConns is the most that one server accepts from all callers together.
	MaxConns int
	// Engine describes the model engines of the pool; nil for plain services.
	Engine *Engine
}

// Engine is what is published of the model engines of a pool.
type Engine struct {
	Slots int
	// Memory is the number of tokens that fit into one server.
	Memory int64
	// TokensPerEvent is the number of output tokens in one event.
	TokensPerEvent int64
}

// Workspace is a customer with its keys and budget.
type Workspace struct {
	Name string
	// Priority goes before that of the route; negative if the workspace has none.
	Priority int
	// Prepaid is the total of tokens paid for.
	Prepaid int64
	// Limited says whether the workspace has a prepaid total at all.
	Limited bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Contents are the parts of a table.
type Contents struct {
	Version    int64
	Routes     []Route
	Pools      map[string]Pool
	Workspaces map[string]Workspace
	// Keys leads from a key to the name of its workspace.
	Keys   map[string]string
	Limits Limits
}

// Table is one published version.
type Table struct {
	Contents
	byHost map[string][]Route
}

// New returns the table with these contents, ready to be searched.
func New(c Contents) *Table {
	t := &Table{Contents: c, byHost: map[string][]Route{}}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

// NotFoundError says that no route serves a host and path.
type NotFoundError struct {
	Host string
	Path string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// Find returns the route with the longest prefix of the path at the host.
func (t *Table) Find(host, path string) (Route, error) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return Route{}, &NotFoundError{Host: host, Path: path}
}

// KeyError says that a request bears no key that the table knows.
type KeyError struct {
	// Missing says that there was no key at all.
	Missing bool
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.Missing {
		return "the request bears no key"
	}
	return "the key is not known"
}

// Authorize returns the workspace that a request on the route belongs to. It
// returns the zero workspace for a public route without a known key, and for a
// table without workspaces.
func (t *Table) Authorize(r Route, key string) (Workspace, error) {
	if name, known := t.Keys[key]; known {
		return t.Workspaces[name], nil
	}
	if r.Public || len(t.Workspaces) == 0 {
		return Workspace{Priority: -1}, nil
	}
	return Workspace{}, &KeyError{Missing: key == ""}
}

// PoolFor returns the pool for a request on the route. The request's id spreads
// requests over the pools by their weights.
func (t *Table) PoolFor(r Route, requestID string) Pool {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	if total <= 0 {
		return Pool{}
	}
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Pools {
		if at < s.Weight {
			return t.Pools[s.Pool]
		}
		at -= s.Weight
	}
	return Pool{}
}
