// Package admission decides at an entry whether a request goes on: it limits
// the streams of a workspace, and refuses at once a share of the kinds of work
// that the sidecars have been refusing.
//
// A Gate is pure state; the caller serialises all calls.
package admission

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// Defaults of the options.
const (
	DefaultStreamLimit      = 256
	DefaultHalfLife         = 5 * time.Second
	DefaultAcceptMultiplier = 2.0
	MinRequests             = 10.0
	StreamLimitRetryAfter   = time.Second
	MaxRetryAfter           = 15 * time.Minute
)

// Option changes a Gate at construction.
type Option func(*Gate)

// WithStreamLimit sets how many streams a workspace may have open at this entry.
func WithStreamLimit(n int) Option { return func(g *Gate) { g.streams = n } }

// WithWorkspaceStreamLimit sets the limit of one workspace.
func WithWorkspaceStreamLimit(workspace string, n int) Option {
	return func(g *Gate) { g.limits[workspace] = n }
}

// WithHalfLife sets how fast what the sidecars answered is forgotten.
func WithHalfLife(d time.Duration) Option { return func(g *Gate) { g.halfLife = d } }

// WithAcceptMultiplier sets how many requests of a kind are let through for each that the
// sidecars accept. Lower refuses earlier; it must exceed 1. 0 turns the limit
// on floods off.
func WithAcceptMultiplier(slack float64) Option { return func(g *Gate) { g.slack = slack } }

// Request is what the gate goes by. Floods are told apart by workspace and
// kind, so that one workspace's flood does not keep out the others.
type Request struct {
	Workspace string
	Kind      string
}

// Gate decides about the requests of one entry.
type Gate struct {
	streams  int
	limits   map[string]int
	halfLife time.Duration
	slack    float64

	open  map[string]int
	flows map[Request]*flow
	swept time.Time
}

// flow is the recent experience with one workspace's requests of one kind.
type flow struct {
	at       time.Time
	asked    float64
	accepted float64
	// owed adds up the share to be refused; at 1 a request is.
	owed float64
	// back is when the sidecars last said to come back, returns when the last
	// caller refused here was told to.
	back    time.Time
	returns time.Time
}

// New returns a gate with no streams open.
func New(opts ...Option) *Gate {
	g := &Gate{
		streams:  DefaultStreamLimit,
		limits:   map[string]int{},
		halfLife: DefaultHalfLife,
		slack:    DefaultAcceptMultiplier,
		open:     map[string]int{},
		flows:    map[Request]*flow{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Admit opens a stream or returns a *refusal.Error. The caller ends each stream
// with Done.
func (g *Gate) Admit(now time.Time, r Request) error {
	limit, ok := g.limits[r.Workspace]
	if !ok {
		limit = g.streams
	}
	if g.open[r.Workspace] >= limit {
		return refusal.New(refusal.TooManyStreams, StreamLimitRetryAfter, "end some of the workspace's open streams first")
	}
	if err := g.flood(now, r); err != nil {
		return err
	}
	g.open[r.Workspace]++
	return nil
}

// Release ends a stream of a workspace.
func (g *Gate) Release(workspace string) {
	if g.open[workspace]--; g.open[workspace] <= 0 {
		delete(g.open, workspace)
	}
}

// OpenStreams returns the number of a workspace's open streams.
func (g *Gate) OpenStreams(workspace string) int { return g.open[workspace] }

// RecordAccepted says that a sidecar took in a request.
func (g *Gate) RecordAccepted(now time.Time, r Request) { g.flow(now, r).accepted++ }

// RecordRefused says that the sidecars refused a request for their load, and when to
// come back.
func (g *Gate) RecordRefused(now time.Time, r Request, retryAfter time.Duration) {
	f := g.flow(now, r)
	if back := now.Add(retryAfter); back.After(f.back) {
		f.back = back
	}
}

// flood refuses the share of a flow's requests that goes beyond the slack over
// what the sidecars accept.
func (g *Gate) flood(now time.Time, r Request) error {
	f := g.flow(now, r)
	f.asked++
	if g.slack <= 0 || f.asked < MinRequests || !f.back.After(now) {
		return nil
	}
	f.owed += max(0, 1-g.slack*f.accepted/f.asked)
	if f.owed < 1 {
		return nil
	}
	f.owed--
	return refusal.New(refusal.ShareExceeded, g.comeBack(now, f), "too much work of this kind: come back after the given time")
}

// comeBack tells callers refused in a row to come back one after the other, at
// the rate at which the sidecars accept.
func (g *Gate) comeBack(now time.Time, f *flow) time.Duration {
	if f.returns.Before(f.back) {
		f.returns = f.back
	}
	after := min(f.returns.Sub(now), MaxRetryAfter)
	period := float64(g.halfLife) / math.Ln2
	f.returns = now.Add(after + time.Duration(period/max(f.accepted, 1)))
	return after
}

// flow returns the experience with a workspace's kind of work, aged to now.
func (g *Gate) flow(now time.Time, r Request) *flow {
	g.sweep(now)
	f := g.flows[r]
	if f == nil {
		f = &flow{at: now}
		g.flows[r] = f
	}
	fade := math.Exp2(-float64(now.Sub(f.at)) / float64(g.halfLife))
	f.asked *= fade
	f.accepted *= fade
	f.at = now
	return f
}

// forgetAfter is how many half-lives a flow without requests is kept.
const forgetAfter = 10

// sweep drops the flows that have not been used for long.
func (g *Gate) sweep(now time.Time) {
	idle := forgetAfter * g.halfLife
	if now.Sub(g.swept) < idle {
		return
	}
	g.swept = now
	for r, f := range g.flows {
		if now.Sub(f.at) >= idle && !f.back.After(now) {
			delete(g.flows, r)
		}
	}
}
