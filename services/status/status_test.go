package status_test

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/kernel"
	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/models/table"
	commonv1 "github.com/crocusline/crocusline/modules/wire/common/v1"
	operatorv1 "github.com/crocusline/crocusline/modules/wire/operator/v1"
	"github.com/crocusline/crocusline/services/status"
)

var _ kernel.Service = (*status.Service)(nil)

// fixedControl is a Control with a constant state.
type fixedControl struct {
	state  *fleet.State
	member fleet.Member
}

func (c *fixedControl) State() *fleet.State  { return c.state }
func (c *fixedControl) Member() fleet.Member { return c.member }
func (c *fixedControl) LogReachable() bool   { return true }

func (c *fixedControl) Ready() bool {
	return c.state.Version() > 0 && !c.state.HasEnded(c.member.Incarnation)
}

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

// newFleet returns a fleet of one entry and of a sidecar for each port.
func newFleet(t *testing.T, ports ...uint16) *fixedControl {
	t.Helper()
	entry := fleet.Member{Incarnation: "entry-1/1", Name: "entry-1", Role: fleet.Entry, Address: address(1)}
	state := fleet.New()
	apply := func(e fleet.Event) {
		var result fleet.Result
		state, result = state.Apply(state.Next, time.Unix(0, 0), e)
		if _, ok := result.(fleet.Applied); !ok {
			t.Fatalf("%T: %+v", e, result)
		}
	}
	apply(fleet.Register{Member: entry})
	pool := table.Pool{Servers: []string{"server-10"}}
	apply(fleet.Publish{ID: "p", Delta: table.Delta{Pools: map[string]table.Pool{"drafting": pool}}})
	apply(fleet.PlanStop{ID: "s", Server: "server-10"})
	apply(fleet.OwnerHint{Shard: 3, Owner: fleet.Owner{Incarnation: "entry-1/1", Epoch: 2}})
	for _, port := range ports {
		apply(fleet.Register{Member: sidecar(port)})
	}
	return &fixedControl{state: state, member: entry}
}

func sidecar(port uint16) fleet.Member {
	name := "sidecar-" + address(port).String()
	return fleet.Member{
		Incarnation: name + "/1", Name: name, Role: fleet.Sidecar,
		Server: "server-" + string(rune('0'+port/10)) + string(rune('0'+port%10)), Address: address(port),
	}
}

// slowPeers is a PeerClient that responds after a delay. Members with a port above
// 50 do not respond.
type slowPeers struct {
	running, maxRunning atomic.Int64
}

func (p *slowPeers) Status(ctx context.Context, a netip.AddrPort) (*operatorv1.StatusResponse, error) {
	running := p.running.Add(1)
	defer p.running.Add(-1)
	if running > p.maxRunning.Load() {
		p.maxRunning.Store(running)
	}
	select {
	case <-time.After(100 * time.Millisecond):
	case <-ctx.Done():
	}
	if a.Port() > 50 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	m := sidecar(a.Port())
	load := &commonv1.Load{Running: 2}
	return &operatorv1.StatusResponse{Name: m.Name, Role: "sidecar", Incarnation: m.Incarnation, Server: m.Server, Load: load}, nil
}

type fixedLedger struct{ err error }

func (l fixedLedger) Budgets(context.Context) ([]ledger.Budget, error) {
	return []ledger.Budget{{Workspace: "clinics", ToppedUp: 10, Settled: 3}}, l.err
}

func TestFleetPollsMembersConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &slowPeers{}
		control := newFleet(t, 10, 11, 12, 13, 14, 15, 60, 61)
		s := status.New(control, status.WithPeerClient(peers), status.WithMaxConcurrentPolls(4),
			status.WithTimeout(time.Second), status.WithLedger(fixedLedger{}))
		start := time.Now()
		got := s.Fleet(t.Context())
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("took %s", took)
		}
		if peers.maxRunning.Load() != 4 {
			t.Errorf("polled %d members concurrently, want 4", peers.maxRunning.Load())
		}
		if len(got.GetInstances()) != 7 || len(got.GetUnreachable()) != 2 {
			t.Errorf("%d instances, unreachable %v", len(got.GetInstances()), got.GetUnreachable())
		}
		server := got.GetPools()[0].GetServers()[0]
		if !server.GetDraining() || !server.GetReachable() || server.GetLoad().GetRunning() != 2 {
			t.Errorf("server %+v", server)
		}
		if got.GetShards()[0].GetShard() != 3 || got.GetBudgets()[0].GetSettled() != 3 {
			t.Errorf("shards %v, budgets %v", got.GetShards(), got.GetBudgets())
		}
	})
}

func TestFleetReportsProblems(t *testing.T) {
	s := status.New(newFleet(t), status.WithLedger(fixedLedger{err: errors.New("log unreachable")}))
	got := s.Fleet(t.Context())
	if len(got.GetInstances()) != 1 || len(got.GetProblems()) != 1 {
		t.Fatalf("instances %v, problems %v", got.GetInstances(), got.GetProblems())
	}
}

func TestReadiness(t *testing.T) {
	control := newFleet(t)
	var drainErr error
	s := status.New(control, status.WithCheck("drain", func() error { return drainErr }))
	if reasons := s.NotReady(); len(reasons) != 0 || !s.Status().GetReady() {
		t.Fatalf("not ready: %v", reasons)
	}
	drainErr = errors.New("the process is ending")
	if reasons := s.NotReady(); len(reasons) != 1 || reasons[0] != "drain: the process is ending" {
		t.Fatalf("not ready: %q", reasons)
	}
	drainErr = nil
	control.state, _ = control.state.Apply(control.state.Next, time.Unix(0, 0), fleet.Fence{Incarnation: "entry-1/1"})
	if len(s.NotReady()) != 1 {
		t.Fatal("ready though fenced")
	}
	control.state = fleet.New()
	if len(s.NotReady()) != 1 || s.Status().GetReady() {
		t.Fatal("ready without tables")
	}
}
