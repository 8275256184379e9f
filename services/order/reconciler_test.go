package order

import (
	"context"
	"errors"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/services/server"
	"github.com/crocusline/crocusline/standin/engine"
)

// stream is a control stream that all processes of a test share.
type stream struct {
	mu          sync.Mutex
	state       *fleet.State
	unreachable bool
}

var errLogUnreachable = errors.New("log unreachable")

func (s *stream) append(events ...fleet.Event) (fleet.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return nil, errLogUnreachable
	}
	var result fleet.Result
	for _, e := range events {
		s.state, result = s.state.Apply(s.state.Next, time.Time{}, e)
	}
	return result, nil
}

// member is the Control of one member of the fleet.
type member struct {
	stream *stream
	self   fleet.Member
}

func (p *member) Member() fleet.Member { return p.self }

func (p *member) State() *fleet.State {
	p.stream.mu.Lock()
	defer p.stream.mu.Unlock()
	return p.stream.state
}

func (p *member) Publish(_ context.Context, e fleet.Event) (fleet.Result, error) {
	return p.stream.append(e)
}

func newStream() *stream {
	s := &stream{state: fleet.New()}
	_, _ = s.append(publishRole("p1", 0, "prefill", "base"))
	return s
}

func publishRole(id string, base int64, role string, models ...string) fleet.Publish {
	pool := table.Pool{Servers: []string{"drafting-1"}, Role: role, Models: models}
	return fleet.Publish{ID: id, Delta: table.Delta{Base: base, Pools: map[string]table.Pool{"drafting": pool}}}
}

// register registers a sidecar incarnation, which replaces an earlier one.
func register(s *stream, incarnation string) *member {
	m := fleet.Member{Incarnation: incarnation, Role: fleet.Sidecar, Name: "sidecar", Server: "drafting-1"}
	_, _ = s.append(fleet.Register{Member: m})
	return &member{stream: s, self: m}
}

func newReconciler(e Engine, p *member) *Reconciler {
	r := New(e, WithControl(p))
	r.log = hclog.NewNullLogger()
	return r
}

// delayingEngine delays the first role order until release is closed.
type delayingEngine struct {
	Engine
	delayed chan struct{}
	release chan struct{}
	enabled bool
}

func (d *delayingEngine) SendOrder(ctx context.Context, o server.Order, sendDeadline time.Time) error {
	if d.enabled && o.Order == server.OrderRole {
		d.enabled = false
		close(d.delayed)
		<-d.release
		// The order was written before the delay, so that the deadline has no effect.
		sendDeadline = time.Now().Add(maxClaimAge)
	}
	return d.Engine.SendOrder(ctx, o, sendDeadline)
}

func startEngine(t *testing.T, faults engine.Faults) (*engine.Engine, *server.Engine) {
	t.Helper()
	e := engine.New(engine.WithFaults(faults))
	s := httptest.NewServer(e.Handler())
	t.Cleanup(func() {
		s.Close()
		if err := e.Close(); err != nil {
			t.Error(err)
		}
	})
	return e, server.NewEngine(netip.MustParseAddrPort(s.Listener.Addr().String()))
}

func reconcile(t *testing.T, r *Reconciler) int {
	t.Helper()
	n, err := r.reconcile(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// runDelayedOrder delays an order of the old incarnation, registers a new
// incarnation, which changes the role, and then delivers the old order.
func runDelayedOrder(t *testing.T, faults engine.Faults) (*engine.Engine, *Reconciler, error) {
	t.Helper()
	e, driver := startEngine(t, faults)
	log := newStream()
	delaying := &delayingEngine{Engine: driver, delayed: make(chan struct{}), release: make(chan struct{}), enabled: true}
	old := newReconciler(delaying, register(log, "sidecar/old"))
	oldResult := make(chan error, 1)
	go func() {
		_, err := old.reconcile(context.Background())
		oldResult <- err
	}()
	<-delaying.delayed
	current := newReconciler(driver, register(log, "sidecar/new"))
	if _, err := log.append(publishRole("p2", 1, "decode", "base")); err != nil {
		t.Fatal(err)
	}
	reconcile(t, current)
	if e.Load().Role != "decode" {
		t.Fatalf("role = %s after the new incarnation registered", e.Load().Role)
	}
	close(delaying.release)
	delayedErr := <-oldResult
	var superseded *SupersededError
	_, _ = log.append(publishRole("p3", 2, "mixed", "base"))
	if _, err := old.reconcile(t.Context()); !errors.As(err, &superseded) {
		t.Errorf("reconcile of the old incarnation = %v, want superseded", err)
	}
	return e, current, delayedErr
}

// matches reports whether the engine's state matches the tables.
func (r *Reconciler) matches(t *testing.T) bool {
	t.Helper()
	reported, err := r.engine.State(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return len(PlanOrders(DesiredState(r.control.State().Tables, r.control.Member().Server), reported)) == 0
}

// countRoleOrders counts the role orders that an incarnation has sent.
func countRoleOrders(e *engine.Engine, sender string) (applied, rejected int) {
	for _, o := range e.Orders() {
		switch {
		case o.Sender != sender || o.Order.Order != server.OrderRole:
		case o.Applied:
			applied++
		default:
			rejected++
		}
	}
	return applied, rejected
}

func TestFencingEngineRejectsDelayedOrder(t *testing.T) {
	e, current, delayedErr := runDelayedOrder(t, engine.Faults{})
	var fenced *server.FencedError
	if !errors.As(delayedErr, &fenced) {
		t.Errorf("delayed order = %v, want fenced", delayedErr)
	}
	if applied, rejected := countRoleOrders(e, "sidecar/old"); applied != 0 || rejected != 1 {
		t.Errorf("old incarnation: %d orders applied, %d rejected, want 0 and 1", applied, rejected)
	}
	reconcile(t, current)
	if e.Load().Role != "mixed" {
		t.Errorf("role = %s", e.Load().Role)
	}
}

// TestDelayedOrderIsCorrected checks the only order that can be applied after a new
// incarnation has registered: one that was written before, to an engine that
// ignores fencing numbers. The new incarnation reads the engine's state and
// corrects it, and the old incarnation sends no further orders.
func TestDelayedOrderIsCorrected(t *testing.T) {
	e, current, _ := runDelayedOrder(t, engine.Faults{IgnoreFencing: true})
	if applied, _ := countRoleOrders(e, "sidecar/old"); applied != 1 || e.Load().Role != "prefill" {
		t.Errorf("old incarnation: %d orders applied, role %s, want 1 and prefill", applied, e.Load().Role)
	}
	reconcile(t, current)
	if !current.matches(t) {
		t.Errorf("engine = %+v, want the published state", e.Load())
	}
}

func TestUnwantedModelIsUnloaded(t *testing.T) {
	e, driver := startEngine(t, engine.Faults{IgnoreFencing: true})
	r := newReconciler(driver, register(newStream(), "sidecar/1"))
	reconcile(t, r)
	if err := e.ExecuteOrder(engine.Order{Order: "load", Model: "stale", Sender: "sidecar/old"}); err != nil {
		t.Fatal(err)
	}
	reconcile(t, r)
	if got := e.Load().Models; !slices.Equal(got, []string{"base"}) {
		t.Errorf("models = %v, want [base]", got)
	}
}

func TestFencingNumbersIncrease(t *testing.T) {
	e, driver := startEngine(t, engine.Faults{})
	log := newStream()
	for _, incarnation := range []string{"sidecar/1", "sidecar/2"} {
		r := newReconciler(driver, register(log, incarnation))
		_, _ = log.append(publishRole(incarnation, log.state.Version(), incarnation, "base"))
		reconcile(t, r)
	}
	orders := e.Orders()
	first, last := orders[0], orders[len(orders)-1]
	if first.Sender != "sidecar/1" || last.Sender != "sidecar/2" || first.FencingNumber >= last.FencingNumber {
		t.Errorf("orders = %+v", orders)
	}
}

func TestNoOrderWhileLogUnreachable(t *testing.T) {
	e, driver := startEngine(t, engine.Faults{})
	log := newStream()
	r := newReconciler(driver, register(log, "sidecar/1"))
	log.unreachable = true
	if _, err := r.reconcile(t.Context()); !errors.Is(err, errLogUnreachable) {
		t.Errorf("reconcile = %v, want log unreachable", err)
	}
	if n := len(e.Orders()); n != 0 {
		t.Errorf("engine received %d orders", n)
	}
}

// slowControl delays the return of Publish.
type slowControl struct {
	*member
	delay time.Duration
}

func (s *slowControl) Publish(ctx context.Context, e fleet.Event) (fleet.Result, error) {
	defer time.Sleep(s.delay)
	return s.member.Publish(ctx, e)
}

// reportDelay is the time until memoryEngine reports the effect of an order.
const reportDelay = 5 * time.Second

// memoryEngine is an Engine that applies each order to a state in memory.
type memoryEngine struct {
	state       server.EngineState
	lastOrderAt time.Time
	received    int
}

func (m *memoryEngine) State(context.Context) (server.EngineState, error) {
	if time.Since(m.lastOrderAt) < reportDelay {
		return server.EngineState{}, nil
	}
	return m.state, nil
}

func (m *memoryEngine) SendOrder(_ context.Context, o server.Order, _ time.Time) error {
	m.received++
	m.lastOrderAt = time.Now()
	switch o.Order {
	case server.OrderRole:
		m.state.Role = o.Role
	case server.OrderLoad:
		m.state.Models = append(m.state.Models, o.Model)
	}
	return nil
}

func TestNoOrderWithStaleClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &memoryEngine{}
		r := New(e, WithControl(&slowControl{member: register(newStream(), "sidecar/1"), delay: maxClaimAge}))
		r.log = hclog.NewNullLogger()
		var stale *StaleClaimError
		if _, err := r.reconcile(t.Context()); !errors.As(err, &stale) || e.received != 0 {
			t.Errorf("reconcile = %v with %d orders, want a stale claim", err, e.received)
		}
	})
}

func TestServiceSendsOrdersOnceUntilSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &memoryEngine{}
		log := newStream()
		r := New(e, WithControl(register(log, "sidecar/1")))
		if err := r.Start(t.Context(), kernel.New(hclog.NewNullLogger())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if e.received != 2 || e.state.Role != "prefill" {
			t.Errorf("engine received %d orders, role %s, want 2 and prefill", e.received, e.state.Role)
		}
		register(log, "sidecar/2")
		_, _ = log.append(publishRole("p2", 1, "decode", "base"))
		time.Sleep(time.Minute)
		synctest.Wait()
		if e.received != 2 {
			t.Errorf("engine received %d orders, want none after the reconciler was superseded", e.received)
		}
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
}
