package sidecar_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/table"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/services/control"
	"github.com/crocusline/crocusline/services/dispatch"
)

// stopBound is when a leaving server has to refuse new work.
const stopBound = 3 * time.Second

// control starts a process's copy of the fleet's state.
func (w *world) control(m fleet.Member, log platform.Log, opts ...control.Option) *control.Service {
	w.t.Helper()
	c := control.New(hclog.NewNullLogger(), log, m, opts...)
	if err := c.Start(context.Background(), nil); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { w.close(c) })
	return c
}

// directSource gives the state of a peer in this test.
type directSource struct{ peer *control.Service }

func (d directSource) Current(_ context.Context, _ netip.AddrPort, next int64) (*fleet.State, error) {
	if state := d.peer.State(); state.Next > next {
		return state, nil
	}
	return nil, nil
}

// hangingLog is a way to the log on which calls begin to hang.
type hangingLog struct {
	platform.Log
	hang chan struct{}
}

func (h hangingLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	batch, err := h.Log.Read(ctx, stream, from, limit, wait)
	select {
	case <-h.hang:
		<-ctx.Done()
		return platform.Batch{}, &platform.UnavailableError{Stream: stream, Cause: ctx.Err()}
	default:
		return batch, err
	}
}

// TestPlanReachesTheSidecar measures the time from the publication of a planned
// stop until the sidecar refuses new work, from an entry that knows nothing.
func TestPlanReachesTheSidecar(t *testing.T) {
	tests := []struct {
		name string
		// cutBefore is how long before the plan the sidecar's reads hang. Below 0,
		// they never do.
		cutBefore time.Duration
		// phase shifts the plan against the reads.
		phase time.Duration
	}{
		{"log read", -1, 0},
		{"cut off from the log before", 30 * time.Second, 0},
		{"cut off from the log at that moment", 0, 0},
		{"a third of a second later", 0, 333 * time.Millisecond},
		{"two thirds of a second later", 0, 667 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, "clinic")
				_, driver := w.engine()
				s := w.sidecar("drafting-1", "sidecar-1/1", driver)
				peer := w.control(fleet.Member{Incarnation: "entry-2/1", Name: "entry-2", Role: fleet.Entry, Address: w.address()}, w.log)
				own := hangingLog{Log: w.log, hang: make(chan struct{})}
				c := w.control(fleet.Member{Incarnation: s.incarnation, Name: "sidecar-1", Role: fleet.Sidecar, Server: s.server, Address: w.address()},
					own, control.WithPeers(directSource{peer}))
				c.Subscribe(func(state *fleet.State) {
					if err := s.drain.SetPlannedStop(context.Background(), state.Tables.HasPlannedStop(s.server)); err != nil {
						t.Error(err)
					}
				})
				publish := func(e fleet.Event) {
					t.Helper()
					if r, err := peer.Publish(t.Context(), e); err != nil {
						t.Fatal(r, err)
					}
				}
				pools := map[string]table.Pool{"drafting": {Servers: []string{s.server}}}
				publish(fleet.Publish{ID: "p", Delta: table.Delta{Pools: pools}})
				time.Sleep(10*time.Second + tt.phase)
				if tt.cutBefore >= 0 {
					close(own.hang)
					time.Sleep(tt.cutBefore)
				}
				began := time.Now()
				publish(fleet.PlanStop{ID: "s", Server: s.server})
				e := w.entry("entry-1/1", s.server)
				for time.Since(began) <= stopBound {
					_, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: "ice"}, 2, &sink{})
					if r, refused := refusal.As(err); refused && s.drain.Draining() {
						t.Logf("%s after the plan: %v", time.Since(began), r)
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
				t.Errorf("new work was taken %s after the plan", stopBound)
			})
		})
	}
}
