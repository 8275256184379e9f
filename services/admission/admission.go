// Package admission admits callers' requests on an entry instance: it checks them
// against the current tables and the entry's limits, and plans their execution.
package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/dispatch"
)

// notReadyRetryAfter is the retry time given to callers while the entry has no
// tables or is shutting down.
const notReadyRetryAfter = time.Second

// Control is the part of the control stream that the service uses.
type Control interface {
	State() *fleet.State
}

// Service admits requests.
type Service struct {
	control Control
	// tokens is the index of the tables that were last in force.
	tokens   atomic.Pointer[tokenIndex]
	mu       sync.Mutex
	gate     *admission.Gate
	draining bool
}

// tokenIndex holds the hashes of all tokens in the tables.
type tokenIndex struct {
	tables *table.Tables
	hashes map[string]struct{}
}

// New returns a service that admits requests by the current tables of control.
func New(c Control, opts ...admission.Option) *Service {
	return &Service{control: c, gate: admission.New(opts...)}
}

// Authenticate returns a *refusal.Error if the token is not one of any workspace in the tables in force. It needs nothing of the
// request's body, which is then not read.
func (s *Service) Authenticate(token string) error {
	tables := s.control.State().Tables
	if tables.Version == 0 {
		return nil
	}
	if _, ok := s.indexTokens(tables).hashes[table.HashToken(token)]; !ok {
		return refusal.New(refusal.Unauthenticated, 0, "the bearer token is not one of any workspace's")
	}
	return nil
}

func (s *Service) indexTokens(t *table.Tables) *tokenIndex {
	if index := s.tokens.Load(); index != nil && index.tables == t {
		return index
	}
	index := &tokenIndex{tables: t, hashes: map[string]struct{}{}}
	for _, w := range t.Workspaces {
		for _, hash := range w.Tokens {
			index.hashes[hash] = struct{}{}
		}
	}
	s.tokens.Store(index)
	return index
}

// Admit returns the request's plan and a function that ends its admission, or a
// *refusal.Error.
func (s *Service) Admit(token string, req dispatch.Request) (dispatch.Plan, func(), error) {
	tables := s.control.State().Tables
	plan, end, err := s.admit(tables, token, req)
	if e, refused := refusal.As(err); refused && e.RetryAfter > 0 && !tables.Routes[req.Kind].Idempotent {
		// An earlier call of the same request may have been admitted.
		err = req.UnknownIfRetry(err)
	}
	return plan, end, err
}

func (s *Service) admit(t *table.Tables, token string, req dispatch.Request) (dispatch.Plan, func(), error) {
	plan, err := plan(t, token, req)
	if err != nil {
		return dispatch.Plan{}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return dispatch.Plan{}, nil, refusal.New(refusal.ShuttingDown, notReadyRetryAfter, "this entry is shutting down; use another")
	}
	if err := s.gate.Admit(time.Now(), admission.Request{Workspace: req.Workspace, Kind: req.Kind}); err != nil {
		return dispatch.Plan{}, nil, err
	}
	return plan, func() { s.release(req.Workspace) }, nil
}

// RecordAccepted records that a sidecar accepted a workspace's request of the kind.
func (s *Service) RecordAccepted(workspace, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordAccepted(time.Now(), admission.Request{Workspace: workspace, Kind: kind})
}

// RecordFailure records the error of a workspace's request of the kind that got no
// response. Only refusals for overload affect admission.
func (s *Service) RecordFailure(workspace, kind string, err error) {
	e, refused := refusal.As(err)
	if !refused || !isOverload(e) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordRefused(time.Now(), admission.Request{Workspace: workspace, Kind: kind}, e.RetryAfter)
}

// isOverload reports whether the sidecars refused a request for overload. This
// includes requests that did not run and whose retries ended at the retry budget.
func isOverload(e *refusal.Error) bool {
	switch e.Reason {
	case refusal.QueueFull, refusal.DeadlineUnreachable, refusal.ShareExceeded:
		return true
	case refusal.RetryBudget:
		return e.Outcome == refusal.NotRun
	default:
		return false
	}
}

// Drain refuses new requests from now on.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Err returns why no new requests are accepted, or nil.
func (s *Service) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return errors.New("shutting down")
	}
	return nil
}

func (s *Service) release(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Release(workspace)
}

// plan checks a request against the tables and returns how to run it.
func plan(t *table.Tables, token string, req dispatch.Request) (dispatch.Plan, error) {
	if t.Version == 0 {
		return dispatch.Plan{}, refusal.New(refusal.NotReady, notReadyRetryAfter, "no tables are in force here yet; retry later")
	}
	workspace, ok := t.Workspaces[req.Workspace]
	if !ok {
		return dispatch.Plan{}, refusal.New(refusal.UnknownWorkspace, 0, "the workspace is not in the tables in force; check its name")
	}
	if !workspace.HasToken(token) {
		return dispatch.Plan{}, refusal.New(refusal.Unauthenticated, 0, "the bearer token is not one of the workspace's")
	}
	route, ok := t.Routes[req.Kind]
	if !ok {
		return dispatch.Plan{}, refusal.New(refusal.UnknownKind, 0, "no route serves this kind of work; check its name")
	}
	pool, ok := t.Pools[route.Pool]
	if !ok {
		return dispatch.Plan{}, refusal.New(refusal.NoServer, notReadyRetryAfter, "the route's pool is not in the tables in force")
	}
	if !route.Idempotent && req.IdempotencyKey == "" {
		return dispatch.Plan{}, refusal.New(refusal.MissingIdempotencyKey, 0, "this kind of work is not idempotent: give an idempotencyKey that is unique to the request")
	}
	p := dispatch.Plan{
		Route:        route,
		Servers:      pool.Servers,
		TableVersion: t.Version,
		Timeout:      route.Timeout,
		Weight:       workspace.EffectiveWeight(),
	}
	if req.Timeout > 0 {
		p.Timeout = min(req.Timeout, route.Timeout)
	}
	return p, setCost(&p, pool.Kind, req)
}

// setCost sets the upper bound of the request's cost. A prompt has at most one
// token per byte.
func setCost(p *dispatch.Plan, kind table.Kind, req dispatch.Request) error {
	switch {
	case kind == table.Plain:
		p.MaxCost = p.Route.Price
		return nil
	case req.Prompt == "":
		return refusal.New(refusal.InvalidRequest, 0, "this kind of work needs a prompt")
	}
	p.MaxTokens = p.Route.MaxTokens
	if req.MaxTokens > 0 {
		p.MaxTokens = min(req.MaxTokens, p.MaxTokens)
	}
	p.MaxCost = int64(len(req.Prompt) + p.MaxTokens)
	return nil
}
