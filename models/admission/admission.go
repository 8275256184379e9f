// Package admission decides whether an entry instance admits a request. It limits
// the concurrent streams of a workspace, and throttles the kinds of request that
// the sidecars refuse for overload.
//
// A Gate does no I/O and reads no clock; the caller serialises all calls.
package admission

import (
	"math"
	"time"

	"github.com/crocusline/crocusline/models/refusal"
)

// Defaults of the options, and limits that cannot be set.
const (
	DefaultStreamLimit      = 256
	DefaultHalfLife         = 5 * time.Second
	DefaultAcceptMultiplier = 2.0
	// MinRequests is the number of recent requests from which a kind is throttled.
	MinRequests = 10.0
	// StreamLimitRetryAfter is the retry time of requests beyond the stream limit.
	StreamLimitRetryAfter = time.Second
	// MaxRetryAfter bounds the retry times given to refused callers.
	MaxRetryAfter = 15 * time.Minute
)

// Option configures a Gate.
type Option func(*Gate)

// WithStreamLimit sets the number of streams that a workspace may have open on this
// entry.
func WithStreamLimit(n int) Option { return func(g *Gate) { g.streamLimit = n } }

// WithWorkspaceStreamLimit sets the stream limit of one workspace.
func WithWorkspaceStreamLimit(workspace string, n int) Option {
	return func(g *Gate) { g.workspaceLimits[workspace] = n }
}

// WithHalfLife sets the half-life of the counts of requests and acceptances.
func WithHalfLife(d time.Duration) Option { return func(g *Gate) { g.halfLife = d } }

// WithAcceptMultiplier sets how many requests of a kind are admitted for each one
// that the sidecars accept. A lower value throttles earlier; it must exceed 1. 0
// disables throttling.
func WithAcceptMultiplier(multiplier float64) Option {
	return func(g *Gate) { g.acceptMultiplier = multiplier }
}

// Request identifies the workspace and the kind of a request. Each combination is
// throttled separately, so that the load of one workspace does not affect others.
type Request struct {
	Workspace string
	Kind      string
}

// Gate decides on the admission of requests on one entry.
type Gate struct {
	streamLimit      int
	workspaceLimits  map[string]int
	halfLife         time.Duration
	acceptMultiplier float64

	openStreams map[string]int
	flows       map[Request]*flow
	lastSweep   time.Time
}

// flow counts the recent requests of one workspace and kind.
type flow struct {
	updated  time.Time
	requests float64
	accepts  float64
	// refusalDebt accumulates the fraction of each request that is to be refused.
	// When it reaches 1, a request is refused.
	refusalDebt float64
	// overloadUntil is the latest retry time that a sidecar has given, and
	// lastRetry the latest that was given to a caller refused here.
	overloadUntil time.Time
	lastRetry     time.Time
}

// New returns a Gate without open streams.
func New(opts ...Option) *Gate {
	g := &Gate{
		streamLimit:      DefaultStreamLimit,
		workspaceLimits:  map[string]int{},
		halfLife:         DefaultHalfLife,
		acceptMultiplier: DefaultAcceptMultiplier,
		openStreams:      map[string]int{},
		flows:            map[Request]*flow{},
	}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Admit opens a stream, or returns a *refusal.Error. The caller ends each stream
// with Release.
func (g *Gate) Admit(now time.Time, r Request) error {
	limit, ok := g.workspaceLimits[r.Workspace]
	if !ok {
		limit = g.streamLimit
	}
	if g.openStreams[r.Workspace] >= limit {
		return refusal.New(refusal.TooManyStreams, StreamLimitRetryAfter, "end some of the workspace's open streams first")
	}
	if err := g.throttle(now, r); err != nil {
		return err
	}
	g.openStreams[r.Workspace]++
	return nil
}

// Release ends a stream of a workspace.
func (g *Gate) Release(workspace string) {
	if g.openStreams[workspace]--; g.openStreams[workspace] <= 0 {
		delete(g.openStreams, workspace)
	}
}

// OpenStreams returns the number of a workspace's open streams.
func (g *Gate) OpenStreams(workspace string) int { return g.openStreams[workspace] }

// RecordAccepted records that a sidecar accepted a request.
func (g *Gate) RecordAccepted(now time.Time, r Request) { g.flow(now, r).accepts++ }

// RecordRefused records that the sidecars refused a request for overload, and after
// which time it may be retried.
func (g *Gate) RecordRefused(now time.Time, r Request, retryAfter time.Duration) {
	f := g.flow(now, r)
	if retryAt := now.Add(retryAfter); retryAt.After(f.overloadUntil) {
		f.overloadUntil = retryAt
	}
}

// throttle refuses the fraction of a flow's requests that exceeds the accept
// multiplier times the requests that the sidecars accept.
func (g *Gate) throttle(now time.Time, r Request) error {
	f := g.flow(now, r)
	f.requests++
	if g.acceptMultiplier <= 0 || f.requests < MinRequests || !f.overloadUntil.After(now) {
		return nil
	}
	f.refusalDebt += max(0, 1-g.acceptMultiplier*f.accepts/f.requests)
	if f.refusalDebt < 1 {
		return nil
	}
	f.refusalDebt--
	return refusal.New(refusal.ShareExceeded, g.retryAfter(now, f), "too much work of this kind: come back after the given time")
}

// retryAfter returns successive retry times for callers that are refused in
// succession, spaced by the rate at which the sidecars accept requests.
func (g *Gate) retryAfter(now time.Time, f *flow) time.Duration {
	if f.lastRetry.Before(f.overloadUntil) {
		f.lastRetry = f.overloadUntil
	}
	after := min(f.lastRetry.Sub(now), MaxRetryAfter)
	period := float64(g.halfLife) / math.Ln2
	f.lastRetry = now.Add(after + time.Duration(period/max(f.accepts, 1)))
	return after
}

// flow returns the counts of a workspace and kind, decayed to now.
func (g *Gate) flow(now time.Time, r Request) *flow {
	g.sweep(now)
	f := g.flows[r]
	if f == nil {
		f = &flow{updated: now}
		g.flows[r] = f
	}
	decay := math.Exp2(-float64(now.Sub(f.updated)) / float64(g.halfLife))
	f.requests *= decay
	f.accepts *= decay
	f.updated = now
	return f
}

// idleHalfLives is the number of half-lives for which an idle flow is kept.
const idleHalfLives = 10

// sweep removes the flows that have been idle for long.
func (g *Gate) sweep(now time.Time) {
	idle := idleHalfLives * g.halfLife
	if now.Sub(g.lastSweep) < idle {
		return
	}
	g.lastSweep = now
	for r, f := range g.flows {
		if now.Sub(f.updated) >= idle && !f.overloadUntil.After(now) {
			delete(g.flows, r)
		}
	}
}
