// Package table contains the tables that operators publish: routes map kinds of work
// to pools, pools list backend servers, and workspaces list the customers and their
// tokens. A Tables value is immutable.
package table

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/crocusline/crocusline/models/rank"
)

// Tables is one version of all tables.
type Tables struct {
	// Version increases with every publication and every change of a planned stop.
	Version int64 `json:"version"`
	// Published is the version of the last publication. The next publication has it
	// as its base.
	Published  int64                `json:"published"`
	Routes     map[string]Route     `json:"routes,omitempty"`
	Pools      map[string]Pool      `json:"pools,omitempty"`
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	// Stops are the planned stops by backend server.
	Stops map[string]Stop `json:"stops,omitempty"`
}

// New returns empty tables of version 0.
func New() *Tables {
	return &Tables{
		Routes:     map[string]Route{},
		Pools:      map[string]Pool{},
		Workspaces: map[string]Workspace{},
		Stops:      map[string]Stop{},
	}
}

// Route is the pool and the limits of one kind of work.
type Route struct {
	Pool string    `json:"pool" yaml:"pool" validate:"name"`
	Rank rank.Rank `json:"rank" yaml:"rank"`
	// Idempotent work may run more than once, such as after a failure.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent"`
	// MaxTokens bounds the output of model work.
	MaxTokens int `json:"maxTokens,omitempty" yaml:"maxTokens" validate:"gte=0"`
	// Price is the cost of a call to a plain service, in tokens.
	Price int64 `json:"price,omitempty" yaml:"price" validate:"gte=0"`
	// Timeout bounds the duration of a request. Its caller may set a shorter one.
	Timeout time.Duration `json:"timeout" yaml:"timeout" validate:"gt=0"`
	// Share is the maximum share of a server's queue that requests of this kind may
	// occupy. 0 means 0.5.
	Share float64 `json:"share,omitempty" yaml:"share" validate:"gte=0,lte=1"`
}

// Pool is a set of backend servers that serve the same work.
type Pool struct {
	Kind    Kind     `json:"kind" yaml:"kind"`
	Servers []string `json:"servers" yaml:"servers" validate:"min=1,dive,name"`
	// Slots is the number of requests that each server runs concurrently. 0 means
	// the number in the sidecar's settings.
	Slots int `json:"slots,omitempty" yaml:"slots" validate:"gte=0"`
	// Models are the models, adapters and versions that each engine must have
	// loaded. If empty, the engine's models are left as they are.
	Models []string `json:"models,omitempty" yaml:"models" validate:"dive,required"`
	// Role is the role that each engine must have. If empty, the engine's role is
	// left as it is.
	Role string `json:"role,omitempty" yaml:"role"`
}

// Workspace is a customer with a budget of the same name.
type Workspace struct {
	// Tokens are the SHA-256 hashes, in hexadecimal, of the callers' bearer tokens.
	// With several, a token can be replaced without an interruption.
	Tokens []string `json:"tokens,omitempty" yaml:"tokens" validate:"min=1,dive,sha256"`
	// Weight is the workspace's weight in fair scheduling. 0 means 1.
	Weight int `json:"weight,omitempty" yaml:"weight" validate:"gte=0"`
}

// Stop is a planned stop of a backend server.
type Stop struct {
	ID string `json:"id"`
	// By is the operator who planned it.
	By string `json:"by,omitempty"`
	// Since is when the log accepted the stop, by the log's clock.
	Since   time.Time `json:"since"`
	Version int64     `json:"version"`
}

// HashToken returns the hash of a token as in Workspace.Tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// HasToken reports whether the token is one of the workspace's tokens. It compares
// all hashes in constant time.
func (w Workspace) HasToken(token string) bool {
	hash := []byte(HashToken(token))
	matched := 0
	for _, allowed := range w.Tokens {
		matched |= subtle.ConstantTimeCompare(hash, []byte(allowed))
	}
	return matched == 1
}

// EffectiveWeight returns the workspace's weight in fair scheduling, at least 1.
func (w Workspace) EffectiveWeight() int {
	return max(w.Weight, 1)
}

// DefaultQueueShare is the queue share of routes that set none.
const DefaultQueueShare = 0.5

// QueueShare returns the maximum share of a server's queue that requests of this kind
// may occupy.
func (r Route) QueueShare() float64 {
	if r.Share == 0 {
		return DefaultQueueShare
	}
	return r.Share
}

// HasPlannedStop reports whether a stop of the server is planned.
func (t *Tables) HasPlannedStop(server string) bool {
	_, planned := t.Stops[server]
	return planned
}

// HasServer reports whether the server is in a pool.
func (t *Tables) HasServer(server string) bool {
	for _, p := range t.Pools {
		if slices.Contains(p.Servers, server) {
			return true
		}
	}
	return false
}

// WithPlannedStop returns the tables with a planned stop of the server.
func (t *Tables) WithPlannedStop(server string, stop Stop) *Tables {
	next := *t
	next.Version++
	stop.Version = next.Version
	next.Stops = map[string]Stop{}
	maps.Copy(next.Stops, t.Stops)
	next.Stops[server] = stop
	return &next
}

// WithoutPlannedStop returns the tables without a planned stop of the server.
func (t *Tables) WithoutPlannedStop(server string) *Tables {
	next := *t
	next.Version++
	next.Stops = map[string]Stop{}
	maps.Copy(next.Stops, t.Stops)
	delete(next.Stops, server)
	return &next
}
