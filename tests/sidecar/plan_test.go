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

// maxStopDelay bounds the time from the publication of a planned stop until the server
// refuses new requests.
const maxStopDelay = 3 * time.Second

// startControl starts the control service of a process, which replicates the fleet's
// state.
func (env *testEnv) startControl(m fleet.Member, log platform.Log, opts ...control.Option) *control.Service {
	env.t.Helper()
	c := control.New(hclog.NewNullLogger(), log, m, opts...)
	if err := c.Start(context.Background(), nil); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { env.close(c) })
	return c
}

// directPeerClient returns the state of a peer without a network call.
type directPeerClient struct{ peer *control.Service }

func (d directPeerClient) Current(_ context.Context, _ netip.AddrPort, next int64) (*fleet.State, error) {
	if state := d.peer.State(); state.Next > next {
		return state, nil
	}
	return nil, nil
}

// hangingLog is a log whose reads hang once the channel is closed.
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

// TestPlannedStopReachesSidecar checks the time from the publication of a planned stop
// until the sidecar refuses new requests of an entry without knowledge of the stop, also
// if the sidecar has to get the stop from a peer.
func TestPlannedStopReachesSidecar(t *testing.T) {
	tests := []struct {
		name string
		// hangBefore is the time from when the sidecar's reads begin to hang until the
		// stop is published. They never hang if it is negative.
		hangBefore time.Duration
		// phase delays the publication relative to the sidecar's reads.
		phase time.Duration
	}{
		{"log readable", -1, 0},
		{"log unreadable before", 30 * time.Second, 0},
		{"log unreadable from the publication on", 0, 0},
		{"a third of a second later", 0, 333 * time.Millisecond},
		{"two thirds of a second later", 0, 667 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, "clinic")
				_, driver := env.startEngine()
				s := env.startSidecar("drafting-1", "sidecar-1/1", driver)
				peer := env.startControl(fleet.Member{Incarnation: "entry-2/1", Name: "entry-2", Role: fleet.Entry, Address: env.newAddress()}, env.log)
				log := hangingLog{Log: env.log, hang: make(chan struct{})}
				c := env.startControl(fleet.Member{Incarnation: s.incarnation, Name: "sidecar-1", Role: fleet.Sidecar, Server: s.server, Address: env.newAddress()},
					log, control.WithPeers(directPeerClient{peer}))
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
				if tt.hangBefore >= 0 {
					close(log.hang)
					time.Sleep(tt.hangBefore)
				}
				published := time.Now()
				publish(fleet.PlanStop{ID: "s", Server: s.server})
				e := env.startEntry("entry-1/1", s.server)
				for time.Since(published) <= maxStopDelay {
					_, err := e.draft(t.Context(), dispatch.Request{Workspace: "clinic", Prompt: "ice"}, 2, &tokenSink{})
					if r, refused := refusal.As(err); refused && s.drain.Draining() {
						t.Logf("refused %s after the publication: %v", time.Since(published), r)
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
				t.Errorf("a new request was accepted %s after the publication", maxStopDelay)
			})
		})
	}
}
