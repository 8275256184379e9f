// Package route defines the published routing tables of a gateway: routes by host and
// path prefix, pools of backend servers, and workspaces with their API keys and prepaid
// tokens. A table is immutable.
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

// Kind is the kind of a route's requests, which determines whether they may be repeated.
type Kind int

// The kinds.
const (
	// Once requests must run at most once.
	Once Kind = iota // once
	// Idempotent requests may run more than once.
	Idempotent // idempotent
	// Stream requests must run at most once. Their response is a stream of events.
	Stream // stream
	// ResumableStream requests have a stream of events as response, which another server
	// can continue.
	ResumableStream // resumableStream
)

// Repeatable reports whether a request may run again after an unknown outcome.
func (k Kind) Repeatable() bool { return k == Idempotent || k == ResumableStream }

// Streams reports whether the response is a stream of events.
func (k Kind) Streams() bool { return k == Stream || k == ResumableStream }

// Route assigns the requests for a host and path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Goal is the latency goal, up to which a response has its full value: the time to the
	// first event of a stream, or to any other response.
	Goal time.Duration
	// GapGoal is the maximum time between two events of a stream that has its full value.
	GapGoal time.Duration
	// Priority is the rank of the route's requests. 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of servers that may run one request.
	MaxAttempts int
	// Public routes require no API key.
	Public bool
	// Pools are the pools over which the route's requests are distributed.
	Pools []WeightedPool
}

// WeightedPool is a pool of a route. The route's requests are distributed over its pools
// in proportion to their weights.
type WeightedPool struct {
	Pool   string
	Weight int
}

// Pool is a set of backend servers that serve the same requests.
type Pool struct {
	Name string
	// MaxConns is the maximum number of connections that one server accepts in total.
	MaxConns int
	// ColdLimit is the number of requests per second that a cold server of the pool takes from all
	// gateways together, or 0 if it takes as many as others.
	ColdLimit float64
	// Engine describes the model engines of the pool. It is nil for plain services.
	Engine *Engine
}

// Engine holds the published parameters of a pool's model engines.
type Engine struct {
	Slots int
	// Memory is the KV cache capacity of one server in tokens.
	Memory int64
	// TokensPerEvent is the number of output tokens in one event.
	TokensPerEvent int64
}

// Workspace is a customer with API keys and a prepaid budget.
type Workspace struct {
	Name string
	// Priority overrides that of the route. It is negative if the workspace has none.
	Priority int
	// Prepaid is the total number of prepaid tokens.
	Prepaid int64
	// Limited is whether the workspace has a prepaid total, which limits its use.
	Limited bool
}

// Limits are the maximum sizes of a request.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Contents are the contents of a table.
type Contents struct {
	Version    int64
	Routes     []Route
	Pools      map[string]Pool
	Workspaces map[string]Workspace
	// Keys maps API keys to the names of their workspaces.
	Keys   map[string]string
	Limits Limits
}

// Table is one published version of the routing configuration.
type Table struct {
	Contents
	byHost map[string][]Route
}

// New returns a table with these contents and an index of its routes.
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

// NotFoundError is returned if no route matches a host and path.
type NotFoundError struct {
	Host string
	Path string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no route for host %q and path %q", e.Host, e.Path)
}

// Find returns the route of the host that has the longest matching path prefix.
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

// KeyError is returned if a request has no API key or an unknown one.
type KeyError struct {
	// Missing is whether the request has no API key.
	Missing bool
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.Missing {
		return "the request bears no key"
	}
	return "the key is not known"
}

// Authorize returns the workspace of a request on the route by its API key. If the key
// is unknown, it returns a Workspace without a name for a public route and for a table
// without workspaces.
func (t *Table) Authorize(r Route, key string) (Workspace, error) {
	if name, exists := t.Keys[key]; exists {
		return t.Workspaces[name], nil
	}
	if r.Public || len(t.Workspaces) == 0 {
		return Workspace{Priority: -1}, nil
	}
	return Workspace{}, &KeyError{Missing: key == ""}
}

// PoolFor returns the pool for a request on the route, chosen by a hash of the request's
// id in proportion to the weights of the pools.
func (t *Table) PoolFor(r Route, requestID string) Pool {
	total := 0
	for _, s := range r.Pools {
		total += s.Weight
	}
	if total <= 0 {
		return Pool{}
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Pools {
		if point < s.Weight {
			return t.Pools[s.Pool]
		}
		point -= s.Weight
	}
	return Pool{}
}
