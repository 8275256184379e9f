package takeover_test

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/models/refusal"
	models "github.com/crocusline/crocusline/models/takeover"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/services/takeover"
)

// fleet calls gateways after a delay. Those without a service don't respond.
type fleet struct {
	gateways map[netip.AddrPort]*takeover.Service
	delay    time.Duration
	// recorded are the gateways that recorded the stream. ended is one whose process has ended.
	recorded []netip.AddrPort
	ended    netip.AddrPort
}

// recorders is what a gateway knows of the records, as of the last read.
type recorders struct {
	fleet *fleet
	self  netip.AddrPort
	read  []netip.AddrPort
}

// Recorded implements takeover.Recorders.
func (r *recorders) Recorded(lineage.ID) bool {
	return slices.Contains(r.fleet.recorded, r.self) && r.self != r.fleet.ended
}

// Recorders implements takeover.Recorders.
func (r *recorders) Recorders(lineage.ID) []netip.AddrPort { return r.read }

// Refresh implements takeover.Recorders.
func (r *recorders) Refresh(context.Context, time.Time) error {
	r.read = slices.Clone(r.fleet.recorded)
	return nil
}

// Supersede implements takeover.Peers.
func (f *fleet) Supersede(ctx context.Context, peer netip.AddrPort, id lineage.ID, successor netip.AddrPort) (models.Answer, error) {
	s, exists := f.gateways[peer]
	if !exists {
		<-ctx.Done()
		return models.Answer{}, context.Cause(ctx)
	}
	time.Sleep(f.delay)
	return s.Supersede(ctx, id, successor)
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

func newFleet(n byte) *fleet {
	f := &fleet{gateways: map[netip.AddrPort]*takeover.Service{}, delay: time.Millisecond, recorded: []netip.AddrPort{address(0)}}
	for i := range n {
		f.start(i)
	}
	return f
}

// start starts the process of a gateway, which has read the records.
func (f *fleet) start(n byte) {
	r := &recorders{fleet: f, self: address(n), read: slices.Clone(f.recorded)}
	f.gateways[address(n)] = takeover.New(hclog.NewNullLogger(), address(n), f, r, metric.New())
}

// attempt is one whose server notices its end after a delay.
type attempt struct {
	*takeover.Attempt
	ctx     context.Context
	stopped bool
}

// begin begins an attempt at the gateway. If its work on the stream is ended, the connection is closed after the delay.
func (f *fleet) begin(t *testing.T, gateway byte, closing time.Duration) *attempt {
	t.Helper()
	ctx, cancel := context.WithCancelCause(t.Context())
	a := &attempt{Attempt: f.gateways[address(gateway)].Begin(lineage.NewID("clinics", "r1"), cancel), ctx: ctx}
	released, err := a.Send()
	if err != nil {
		t.Fatal(err)
	}
	context.AfterFunc(ctx, func() {
		time.Sleep(closing)
		a.stopped = true
		released()
	})
	t.Cleanup(func() {
		cancel(nil)
		_ = a.Close()
		time.Sleep(2 * closing)
	})
	return a
}

// TestAttemptOpenElsewhere guards against an attempt that begins while the server of an earlier one still works, at the
// gateway that began the stream, at one that resumed it in between, or at the same gateway.
func TestAttemptOpenElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		var before *attempt
		for i, gateway := range []byte{0, 1, 2, 1, 1, 0, 2} {
			a := f.begin(t, gateway, 300*time.Millisecond)
			if before != nil {
				a.EndOthers(t.Context(), time.Now())
				if !before.stopped {
					t.Errorf("attempt %d began while the server of the one before worked", i)
				}
				if e, refused := refusal.As(context.Cause(before.ctx)); !refused || e.Reason != refusal.Superseded {
					t.Errorf("attempt %d ended with %v", i-1, context.Cause(before.ctx))
				}
				if _, err := before.Send(); err == nil {
					t.Errorf("attempt %d was sent again after its end", i-1)
				}
			}
			if a.ctx.Err() != nil {
				t.Errorf("attempt %d was ended: %v", i, context.Cause(a.ctx))
			}
			before = a
		}
	})
}

// TestAttemptOpenAfterFirstGatewayEnded guards against an attempt that begins while the server of an earlier one works
// at a gateway which resumed the stream after the process that began it had ended, started again or not.
func TestAttemptOpenAfterFirstGatewayEnded(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(4)
			f.ended = address(0)
			delete(f.gateways, f.ended)
			if restarted {
				f.start(0)
			}
			var before *attempt
			for i, gateway := range []byte{1, 2, 3, 1} {
				a := f.begin(t, gateway, 10*time.Millisecond)
				if !a.EndOthers(t.Context(), time.Now()) {
					f.recorded = append(f.recorded, address(gateway))
				}
				if before != nil && !before.stopped {
					t.Errorf("restarted %t: attempt %d began while the server of the one before worked", restarted, i)
				}
				before = a
			}
			if len(f.recorded) != 2 {
				t.Errorf("restarted %t: %d gateways recorded the stream", restarted, len(f.recorded))
			}
		})
	}
}

// TestGatewayDoesNotRespond checks that a stream waits for a gateway that doesn't respond, but not for long.
func TestGatewayDoesNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.recorded = []netip.AddrPort{address(9)}
		f.start(1)
		a := f.begin(t, 1, 0)
		start := time.Now()
		a.EndOthers(t.Context(), time.Now())
		if waited := time.Since(start); waited < 500*time.Millisecond || waited > 1500*time.Millisecond {
			t.Errorf("waited %v", waited)
		}
	})
}

// TestServerNotReleased checks that a gateway doesn't report the end of an attempt whose connection is still open.
func TestServerNotReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2)
		f.begin(t, 0, time.Hour)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := f.gateways[address(0)].Supersede(ctx, lineage.NewID("clinics", "r1"), address(1)); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	})
}

// TestFirstGatewayMissedAResumption guards against an attempt at a gateway in touch that isn't found, as the gateway that
// began the stream did not get the call of that one for a while, and counts as knowing all that resumed it.
func TestFirstGatewayMissedAResumption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3)
		first := f.gateways[address(0)]
		delete(f.gateways, address(0))
		second := f.begin(t, 1, 10*time.Millisecond)
		if !second.EndOthers(t.Context(), time.Now()) {
			f.recorded = append(f.recorded, address(1))
		}
		f.gateways[address(0)] = first
		third := f.begin(t, 2, 0)
		third.EndOthers(t.Context(), time.Now())
		if !second.stopped {
			t.Error("the attempt at the second gateway, which recorded the stream, was not ended")
		}
	})
}

// TestGatewaysDoNotRespond guards against an attempt at a gateway in touch that isn't ended, as others, or an attempt
// here whose server's connection stays open, take the time of the search.
func TestGatewaysDoNotRespond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		open := f.begin(t, 3, 10*time.Millisecond)
		f.begin(t, 1, 10*time.Second)
		f.recorded = []netip.AddrPort{address(7), address(8), address(9), address(3)}
		f.begin(t, 1, 0).EndOthers(t.Context(), time.Now())
		if !open.stopped {
			t.Error("the attempt at the gateway that responds was not ended")
		}
	})
}
