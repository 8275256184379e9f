// Package admission takes in callers' requests at an entry: it checks them
// against the tables in force and the entry's limits, and plans how they run.
package admission

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/admission"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/dispatch"
)

// notReadyRetry is when a caller may come back to an entry without tables.
const notReadyRetry = time.Second

// Control is what the service needs of the control stream.
type Control interface {
	State() *fleet.State
}

// Service admits requests.
type Service struct {
	control Control
	mu      sync.Mutex
	gate    *admission.Gate
	closing bool
}

// New returns a service that admits by the tables that control has in force.
func New(c Control, opts ...admission.Option) *Service {
	return &Service{control: c, gate: admission.New(opts...)}
}

// Admit returns the request's plan and a function that ends its admission, or a
// *refusal.Error.
func (s *Service) Admit(token string, req dispatch.Request) (dispatch.Plan, func(), error) {
	tables := s.control.State().Tables
	plan, end, err := s.admit(tables, token, req)
	if e, refused := refusal.As(err); refused && e.RetryAfter > 0 && !tables.Routes[req.Kind].Idempotent {
		// The same request may have been admitted before.
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
	if s.closing {
		return dispatch.Plan{}, nil, refusal.New(refusal.ShuttingDown, notReadyRetry, "this entry is shutting down; use another")
	}
	if err := s.gate.Admit(time.Now(), admission.Request{Workspace: req.Workspace, Kind: req.Kind}); err != nil {
		return dispatch.Plan{}, nil, err
	}
	return plan, func() { s.done(req.Workspace) }, nil
}

// Accepted tells the gate that a sidecar took in a workspace's request of the
// kind.
func (s *Service) RecordAccepted(workspace, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordAccepted(time.Now(), admission.Request{Workspace: workspace, Kind: kind})
}

// Ended tells the gate why a workspace's request of the kind got no answer.
func (s *Service) RecordFailure(workspace, kind string, err error) {
	e, refused := refusal.As(err)
	if !refused || !isOverload(e) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.RecordRefused(time.Now(), admission.Request{Workspace: workspace, Kind: kind}, e.RetryAfter)
}

// isOverload says whether the sidecars refused a request for their load. What
// did not run and ended for want of retries was refused, too.
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
	s.closing = true
}

// Err says why no new request is taken, or is nil.
func (s *Service) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return errors.New("shutting down")
	}
	return nil
}

func (s *Service) done(workspace string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Release(workspace)
}

// plan checks a request against the tables.
func plan(t *table.Tables, token string, req dispatch.Request) (dispatch.Plan, error) {
	if t.Version == 0 {
		return dispatch.Plan{}, refusal.New(refusal.NotReady, notReadyRetry, "no tables are in force here yet; retry later")
	}
	workspace, known := t.Workspaces[req.Workspace]
	if !known {
		return dispatch.Plan{}, refusal.New(refusal.UnknownWorkspace, 0, "the workspace is not in the tables in force; check its name")
	}
	if !workspace.HasToken(token) {
		return dispatch.Plan{}, refusal.New(refusal.Unauthenticated, 0, "the bearer token is not one of the workspace's")
	}
	route, known := t.Routes[req.Kind]
	if !known {
		return dispatch.Plan{}, refusal.New(refusal.UnknownKind, 0, "no route serves this kind of work; check its name")
	}
	pool, known := t.Pools[route.Pool]
	if !known {
		return dispatch.Plan{}, refusal.New(refusal.NoServer, notReadyRetry, "the route's pool is not in the tables in force")
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

// setCost bounds what the request may cost. A prompt has at most one token a
// byte.
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
