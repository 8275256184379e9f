// Package table holds the tables that operators publish: routes say what kind
// of work goes to which pool, pools say which backend servers stand behind a
// name, workspaces say who may ask. A Tables value never changes once built.
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
	// Version grows with every publication and every change of a planned stop.
	Version int64 `json:"version"`
	// Published is the version of the last publication, which the next one
	// names as its base.
	Published  int64                `json:"published"`
	Routes     map[string]Route     `json:"routes,omitempty"`
	Pools      map[string]Pool      `json:"pools,omitempty"`
	Workspaces map[string]Workspace `json:"workspaces,omitempty"`
	// Stops are the planned stops by backend server.
	Stops map[string]Stop `json:"stops,omitempty"`
}

// New returns tables of version 0, which hold nothing.
func New() *Tables {
	return &Tables{
		Routes:     map[string]Route{},
		Pools:      map[string]Pool{},
		Workspaces: map[string]Workspace{},
		Stops:      map[string]Stop{},
	}
}

// Route says where one kind of work goes and within which limits.
type Route struct {
	Pool string    `json:"pool" yaml:"pool" validate:"name"`
	Rank rank.Rank `json:"rank" yaml:"rank"`
	// Idempotent work may run again after a failure.
	Idempotent bool `json:"idempotent,omitempty" yaml:"idempotent"`
	// MaxTokens bounds the output of model work.
	MaxTokens int `json:"maxTokens,omitempty" yaml:"maxTokens" validate:"gte=0"`
	// Price is what a plain call costs, in tokens.
	Price int64 `json:"price,omitempty" yaml:"price" validate:"gte=0"`
	// Timeout is how long a request may take unless its caller gives it less.
	Timeout time.Duration `json:"timeout" yaml:"timeout" validate:"gt=0"`
	// Share is the part of a server's queue that this kind may fill. 0 means 0.5.
	Share float64 `json:"share,omitempty" yaml:"share" validate:"gte=0,lte=1"`
}

// Pool names the backend servers that serve the same work.
type Pool struct {
	Kind    Kind     `json:"kind" yaml:"kind"`
	Servers []string `json:"servers" yaml:"servers" validate:"min=1,dive,name"`
	// Slots is how many requests each server runs at once. 0 leaves it to the
	// sidecar's settings.
	Slots int `json:"slots,omitempty" yaml:"slots" validate:"gte=0"`
	// Models are the models, adapters and versions that each engine has to
	// hold. None leaves the engine's own.
	Models []string `json:"models,omitempty" yaml:"models" validate:"dive,required"`
	// Role is the role of each engine. Empty leaves the engine's own.
	Role string `json:"role,omitempty" yaml:"role"`
}

// Workspace is one customer, who pays from a budget of the same name.
type Workspace struct {
	// Tokens are SHA-256 hashes, in hexadecimal, of the secrets that callers
	// show. Several allow a change without a gap.
	Tokens []string `json:"tokens,omitempty" yaml:"tokens" validate:"min=1,dive,sha256"`
	// Weight is the workspace's part in the fair share. 0 means 1.
	Weight int `json:"weight,omitempty" yaml:"weight" validate:"gte=0"`
}

// Stop is a planned stop of a backend server.
type Stop struct {
	ID string `json:"id"`
	// By is the operator who planned it.
	By string `json:"by,omitempty"`
	// Since is when the log took it, by the log's clock.
	Since   time.Time `json:"since"`
	Version int64     `json:"version"`
}

// HashToken returns the form in which a workspace's table entry keeps a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// HasToken says whether the token is one of the workspace's.
func (w Workspace) HasToken(token string) bool {
	hash := []byte(HashToken(token))
	allowed := 0
	for _, known := range w.Tokens {
		allowed |= subtle.ConstantTimeCompare(hash, []byte(known))
	}
	return allowed == 1
}

// EffectiveWeight returns the workspace's weight, at least 1.
func (w Workspace) EffectiveWeight() int {
	return max(w.Weight, 1)
}

// DefaultQueueShare is the part of a server's queue that a kind of work may fill.
const DefaultQueueShare = 0.5

// QueueShare returns the part of a server's queue that the kind may fill.
func (r Route) QueueShare() float64 {
	if r.Share == 0 {
		return DefaultQueueShare
	}
	return r.Share
}

// HasPlannedStop says whether a stop of the server is planned.
func (t *Tables) HasPlannedStop(server string) bool {
	_, planned := t.Stops[server]
	return planned
}

// HasServer says whether a pool names the server.
func (t *Tables) HasServer(server string) bool {
	for _, p := range t.Pools {
		if slices.Contains(p.Servers, server) {
			return true
		}
	}
	return false
}

// WithPlannedStop returns the tables with one more planned stop.
func (t *Tables) WithPlannedStop(server string, stop Stop) *Tables {
	next := *t
	next.Version++
	stop.Version = next.Version
	next.Stops = map[string]Stop{}
	maps.Copy(next.Stops, t.Stops)
	next.Stops[server] = stop
	return &next
}

// WithoutPlannedStop returns the tables without the planned stop of the server.
func (t *Tables) WithoutPlannedStop(server string) *Tables {
	next := *t
	next.Version++
	next.Stops = map[string]Stop{}
	maps.Copy(next.Stops, t.Stops)
	delete(next.Stops, server)
	return &next
}
