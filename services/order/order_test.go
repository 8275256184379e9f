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
	mu    sync.Mutex
	state *fleet.State
	away  bool
}

var errAway = errors.New("log away")

func (s *stream) append(events ...fleet.Event) (fleet.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return nil, errAway
	}
	var result fleet.Result
	for _, e := range events {
		s.state, result = s.state.Apply(s.state.Next, time.Time{}, e)
	}
	return result, nil
}

// process is one process's view of the stream.
type process struct {
	stream *stream
	member fleet.Member
}

func (p *process) Member() fleet.Member { return p.member }

func (p *process) State() *fleet.State {
	p.stream.mu.Lock()
	defer p.stream.mu.Unlock()
	return p.stream.state
}

func (p *process) Publish(_ context.Context, e fleet.Event) (fleet.Result, error) {
	return p.stream.append(e)
}

func newStream() *stream {
	s := &stream{state: fleet.New()}
	_, _ = s.append(wantRole("p1", 0, "prefill", "base"))
	return s
}

func wantRole(id string, base int64, role string, models ...string) fleet.Publish {
	pool := table.Pool{Servers: []string{"drafting-1"}, Role: role, Models: models}
	return fleet.Publish{ID: id, Delta: table.Delta{Base: base, Pools: map[string]table.Pool{"drafting": pool}}}
}

// join registers a sidecar incarnation, which replaces an earlier one.
func join(s *stream, incarnation string) *process {
	m := fleet.Member{Incarnation: incarnation, Role: fleet.Sidecar, Name: "sidecar", Server: "drafting-1"}
	_, _ = s.append(fleet.Register{Member: m})
	return &process{stream: s, member: m}
}

func newWriter(e Engine, p *process) *Reconciler {
	w := New(e, WithControl(p))
	w.log = hclog.NewNullLogger()
	return w
}

// heldEngine holds up the next role order on its way until it is let go.
type heldEngine struct {
	Engine
	held   chan struct{}
	letGo  chan struct{}
	holdUp bool
}

func (h *heldEngine) SendOrder(ctx context.Context, o server.Order, by time.Time) error {
	if h.holdUp && o.Order == server.OrderRole {
		h.holdUp = false
		close(h.held)
		<-h.letGo
		// The order left the process before the pause, so no deadline stops it.
		by = time.Now().Add(claimAge)
	}
	return h.Engine.SendOrder(ctx, o, by)
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

func step(t *testing.T, w *Reconciler) int {
	t.Helper()
	n, err := w.step(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// lateOrder pauses an old incarnation with an order on its way, lets a new one
// take over and change the role, and then lets the old order arrive.
func lateOrder(t *testing.T, faults engine.Faults) (*engine.Engine, *Reconciler, error) {
	t.Helper()
	e, driver := startEngine(t, faults)
	log := newStream()
	held := &heldEngine{Engine: driver, held: make(chan struct{}), letGo: make(chan struct{}), holdUp: true}
	old := newWriter(held, join(log, "sidecar/old"))
	ended := make(chan error, 1)
	go func() {
		_, err := old.step(context.Background())
		ended <- err
	}()
	<-held.held
	current := newWriter(driver, join(log, "sidecar/new"))
	if _, err := log.append(wantRole("p2", 1, "decode", "base")); err != nil {
		t.Fatal(err)
	}
	step(t, current)
	if e.Load().Role != "decode" {
		t.Fatalf("role = %s after the takeover", e.Load().Role)
	}
	close(held.letGo)
	lateErr := <-ended
	var superseded *SupersededError
	_, _ = log.append(wantRole("p3", 2, "mixed", "base"))
	if _, err := old.step(t.Context()); !errors.As(err, &superseded) {
		t.Errorf("step of the old incarnation = %v, want superseded", err)
	}
	return e, current, lateErr
}

// matches reports whether the engine needs no order.
func (w *Reconciler) matches(t *testing.T) bool {
	t.Helper()
	has, err := w.engine.State(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return len(PlanOrders(DesiredState(w.control.State().Tables, w.control.Member().Server), has)) == 0
}

// roleOrders counts the role orders of an incarnation.
func roleOrders(e *engine.Engine, sender string) (applied, refused int) {
	for _, o := range e.Orders() {
		switch {
		case o.Sender != sender || o.Order.Order != server.OrderRole:
		case o.Applied:
			applied++
		default:
			refused++
		}
	}
	return applied, refused
}

func TestEngineThatFencesRefusesALateOrder(t *testing.T) {
	e, current, lateErr := lateOrder(t, engine.Faults{})
	var fenced *server.FencedError
	if !errors.As(lateErr, &fenced) {
		t.Errorf("late order = %v, want fenced", lateErr)
	}
	if applied, refused := roleOrders(e, "sidecar/old"); applied != 0 || refused != 1 {
		t.Errorf("old incarnation: %d orders carried out, %d refused, want 0 and 1", applied, refused)
	}
	step(t, current)
	if e.Load().Role != "mixed" {
		t.Errorf("role = %s", e.Load().Role)
	}
}

// TestEngineThatIgnoresFencingIsPutRight shows the one order that can be late:
// it had left before the takeover. The new incarnation sees the report and
// corrects it, and the old one gives no other.
func TestEngineThatIgnoresFencingIsPutRight(t *testing.T) {
	e, current, _ := lateOrder(t, engine.Faults{IgnoreFencing: true})
	if applied, _ := roleOrders(e, "sidecar/old"); applied != 1 || e.Load().Role != "prefill" {
		t.Errorf("old incarnation: %d orders carried out, role %s, want the late one", applied, e.Load().Role)
	}
	step(t, current)
	if !current.matches(t) {
		t.Errorf("engine = %+v, want as published", e.Load())
	}
}

func TestLateOrderOfAnUnwantedModelIsPutRight(t *testing.T) {
	e, driver := startEngine(t, engine.Faults{IgnoreFencing: true})
	w := newWriter(driver, join(newStream(), "sidecar/1"))
	step(t, w)
	if err := e.Do(engine.Order{Order: "load", Model: "stale", Sender: "sidecar/old"}); err != nil {
		t.Fatal(err)
	}
	step(t, w)
	if got := e.Load().Models; !slices.Equal(got, []string{"base"}) {
		t.Errorf("models = %v, want [base]", got)
	}
}

func TestFencingNumbersGrowWithTheStream(t *testing.T) {
	e, driver := startEngine(t, engine.Faults{})
	log := newStream()
	for _, incarnation := range []string{"sidecar/1", "sidecar/2"} {
		w := newWriter(driver, join(log, incarnation))
		_, _ = log.append(wantRole(incarnation, log.state.Version(), incarnation, "base"))
		step(t, w)
	}
	orders := e.Orders()
	first, last := orders[0], orders[len(orders)-1]
	if first.Sender != "sidecar/1" || last.Sender != "sidecar/2" || first.FencingNumber >= last.FencingNumber {
		t.Errorf("orders = %+v", orders)
	}
}

func TestNoOrderWithTheLogAway(t *testing.T) {
	e, driver := startEngine(t, engine.Faults{})
	log := newStream()
	w := newWriter(driver, join(log, "sidecar/1"))
	log.away = true
	if _, err := w.step(t.Context()); !errors.Is(err, errAway) {
		t.Errorf("step = %v, want the log away", err)
	}
	if n := len(e.Orders()); n != 0 {
		t.Errorf("engine got %d orders", n)
	}
}

// slowControl is held up between the claim and its return.
type slowControl struct {
	*process
	pause time.Duration
}

func (s *slowControl) Publish(ctx context.Context, e fleet.Event) (fleet.Result, error) {
	defer time.Sleep(s.pause)
	return s.process.Publish(ctx, e)
}

// reportLag is how late memoryEngine reports an order.
const reportLag = 5 * time.Second

// memoryEngine is an engine that carries out each order.
type memoryEngine struct {
	setup server.EngineState
	last  time.Time
	given int
}

func (m *memoryEngine) State(context.Context) (server.EngineState, error) {
	if time.Since(m.last) < reportLag {
		return server.EngineState{}, nil
	}
	return m.setup, nil
}

func (m *memoryEngine) SendOrder(_ context.Context, o server.Order, _ time.Time) error {
	m.given++
	m.last = time.Now()
	switch o.Order {
	case server.OrderRole:
		m.setup.Role = o.Role
	case server.OrderLoad:
		m.setup.Models = append(m.setup.Models, o.Model)
	}
	return nil
}

func TestNoOrderAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &memoryEngine{}
		w := New(e, WithControl(&slowControl{process: join(newStream(), "sidecar/1"), pause: claimAge}))
		w.log = hclog.NewNullLogger()
		var outdated *StaleClaimError
		if _, err := w.step(t.Context()); !errors.As(err, &outdated) || e.given != 0 {
			t.Errorf("step = %v with %d orders, want an outdated claim", err, e.given)
		}
	})
}

func TestServiceGivesOrdersOnceAndEndsWhenSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &memoryEngine{}
		log := newStream()
		w := New(e, WithControl(join(log, "sidecar/1")))
		if err := w.Start(t.Context(), kernel.New(hclog.NewNullLogger())); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if e.given != 2 || e.setup.Role != "prefill" {
			t.Errorf("gave %d orders, role %s, want 2 and prefill", e.given, e.setup.Role)
		}
		join(log, "sidecar/2")
		_, _ = log.append(wantRole("p2", 1, "decode", "base"))
		time.Sleep(time.Minute)
		synctest.Wait()
		if e.given != 2 {
			t.Errorf("gave %d orders, the last after it was superseded", e.given)
		}
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	})
}
