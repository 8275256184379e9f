package lineage_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/crocusline/crocusline/models/gateway"
	models "github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/lineage"
	"github.com/crocusline/crocusline/standin/site"
)

const (
	lifetime     = 24 * time.Second
	storeLatency = time.Millisecond
)

// fixture is a store that all gateways share.
type fixture struct {
	*testing.T
	store *site.Store
	// gateways are those that live, by address.
	gateways map[netip.AddrPort]*lineage.Service
}

// Count implements lineage.Fleet.
func (f *fixture) Count() gateway.Count { return gateway.Count(len(f.gateways)) }

// Members implements lineage.Fleet.
func (f *fixture) Members() map[string]gateway.Member {
	members := map[string]gateway.Member{}
	for address := range f.gateways {
		members[address.String()] = gateway.Member{Address: address.String()}
	}
	return members
}

// Origin implements lineage.Peers.
func (f *fixture) Origin(_ context.Context, peer netip.AddrPort, id models.ID) (models.Answer, error) {
	s := f.gateways[peer]
	return models.Answer{Origin: s.Known(id), Participant: s.Recorded(id)}, nil
}

func run(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(&fixture{T: t, store: site.NewStore(), gateways: map[netip.AddrPort]*lineage.Service{}})
	})
}

// start starts the process of a gateway, which ends with the test or with stop.
func (f *fixture) start(instance string, opts ...lineage.Option) (s *lineage.Service, stop func()) {
	f.Helper()
	client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(),
		platform.WithTransport(site.NewTransport(f.store, storeLatency)))
	s = lineage.New(hclog.NewNullLogger(), client, platform.Codec{}.LineageTopic(), instance, opts...)
	if err := s.Start(f.Context(), nil); err != nil {
		f.Fatal(err)
	}
	stop = func() {
		if err := s.Close(); err != nil {
			f.Error(err)
		}
	}
	f.Cleanup(func() {
		stop()
		time.Sleep(3 * time.Second)
	})
	time.Sleep(50 * time.Millisecond)
	return s, stop
}

func id(name string) models.ID { return models.NewID("clinics", name) }

func version(v string) models.Origin { return models.Origin{Pool: "models", Version: v} }

// begin records a stream and returns how long that took.
func (f *fixture) begin(s *lineage.Service, name, v string) time.Duration {
	start := time.Now()
	s.Begin(f.Context(), id(name), version(v), lifetime)
	return time.Since(start)
}

// expect checks the version of a stream. An empty one means that it is unknown.
func (f *fixture) expect(s *lineage.Service, name, v string) {
	f.Helper()
	o, err := s.Find(f.Context(), id(name))
	var unknown *lineage.UnknownError
	if (v == "" && !errors.As(err, &unknown)) || (v != "" && (err != nil || o != version(v))) {
		f.Errorf("%s: got %+v and %v, want version %q", name, o, err, v)
	}
}

// TestOriginsLostWithAllGateways guards against streams whose version nobody knows once all gateways
// were killed at once, three times in a row, as soon as their first event was passed on.
func TestOriginsLostWithAllGateways(t *testing.T) {
	run(t, func(f *fixture) {
		const gateways, streams = 4, 20
		for round := range 3 {
			var all []*lineage.Service
			var stops []func()
			for i := range gateways {
				s, stop := f.start(fmt.Sprintf("front-%d", i))
				all, stops = append(all, s), append(stops, stop)
			}
			for earlier := range round + 1 {
				for n := range streams {
					if earlier < round {
						f.expect(all[(n+1)%gateways], fmt.Sprintf("stream-%d-%d", earlier, n), fmt.Sprintf("v%d", n%2))
					}
				}
			}
			for n := range streams {
				if took := f.begin(all[n%gateways], fmt.Sprintf("stream-%d-%d", round, n), fmt.Sprintf("v%d", n%2)); took > 10*storeLatency {
					t.Errorf("the first event was held for %s", took)
				}
			}
			for _, stop := range stops {
				stop()
			}
		}
		s, _ := f.start("front-new")
		f.expect(s, "stream-2-3", "v1")
		f.expect(s, "never-begun", "")
	})
}

// TestOriginsOfPeers guards against streams that can't be taken up at other gateways while the store is
// away, though the gateway that began them lives.
func TestOriginsOfPeers(t *testing.T) {
	run(t, func(f *fixture) {
		a, stopA := f.start("a")
		b, _ := f.start("b", lineage.WithFleet(f, f))
		f.gateways[netip.MustParseAddrPort("10.0.1.1:80")] = a
		f.store.SetFault(site.Unavailable)
		f.begin(a, "away", "v1")
		f.expect(b, "away", "v1")
		f.expect(b, "never-begun", "")
		stopA()
		clear(f.gateways)
		f.expect(b, "away", "")
	})
}

// TestOriginsWhileStoreIsAway checks that a store that is away holds no first event for long, that the
// process itself knows its streams, that others know nothing meanwhile and all once the store is back.
func TestOriginsWhileStoreIsAway(t *testing.T) {
	for _, fault := range []site.Fault{site.Unavailable, site.DropResponses} {
		run(t, func(f *fixture) {
			a, _ := f.start("a")
			b, _ := f.start("b")
			f.begin(a, "before", "v1")
			f.store.SetFault(fault)
			for n := range 40 {
				if took := f.begin(a, fmt.Sprint("away-", n), "v2"); took > 100*time.Millisecond {
					t.Errorf("fault %d: the first event was held for %s", fault, took)
				}
				time.Sleep(100 * time.Millisecond)
			}
			f.expect(a, "before", "v1")
			f.expect(a, "away-7", "v2")
			start := time.Now()
			f.expect(b, "away-7", "")
			if took := time.Since(start); took > 400*time.Millisecond {
				t.Errorf("fault %d: refused after %s", fault, took)
			}
			f.store.SetFault(site.NoFault)
			time.Sleep(2 * time.Second)
			for n := range 40 {
				f.expect(b, fmt.Sprint("away-", n), "v2")
			}
			f.expect(b, "before", "v1")
		})
	}
}

// TestOriginsAfterCopy guards against streams whose version is unknown, or another one, after the store
// has returned from a copy.
func TestOriginsAfterCopy(t *testing.T) {
	run(t, func(f *fixture) {
		a, _ := f.start("a")
		b, stopB := f.start("b")
		f.begin(a, "before", "v1")
		f.begin(b, "of an ended process", "v1")
		f.store.Copy()
		f.begin(a, "lost", "v2")
		stopB()
		f.store.Restore()
		f.begin(a, "after", "v3")
		time.Sleep(time.Second)
		c, _ := f.start("c")
		f.expect(c, "before", "v1")
		f.expect(c, "of an ended process", "v1")
		f.expect(c, "lost", "v2")
		f.expect(c, "after", "v3")
	})
}

// TestContradictingOrigins guards against a stream that goes on though two records of it differ, also if
// another gateway knows only one of them, or the process itself began both.
func TestContradictingOrigins(t *testing.T) {
	run(t, func(f *fixture) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		c, _ := f.start("c")
		d, _ := f.start("d", lineage.WithFleet(f, f))
		f.gateways[netip.MustParseAddrPort("10.0.1.1:80")] = a
		f.begin(a, "twice", "v1")
		f.begin(b, "twice", "v2")
		f.expect(c, "twice", "")
		f.expect(d, "twice", "")
		f.begin(a, "here", "v1")
		f.begin(a, "here", "v2")
		f.begin(a, "here", "v1")
		f.expect(a, "here", "")
		f.expect(d, "here", "")
		if o := a.Known(id("here")); o.Known() {
			t.Errorf("other gateways are told %+v", o)
		}
	})
}

// TestCallsOfManyTakeUps checks that streams taken up at once share reads.
func TestCallsOfManyTakeUps(t *testing.T) {
	run(t, func(f *fixture) {
		a, _ := f.start("a")
		b, _ := f.start("b")
		for n := range 50 {
			f.begin(a, fmt.Sprint(n), "v1")
		}
		before := f.store.Calls()
		done := make(chan struct{})
		for n := range 50 {
			go func() {
				f.expect(b, fmt.Sprint(n), "v1")
				done <- struct{}{}
			}()
		}
		for range 50 {
			<-done
		}
		if calls := f.store.Calls() - before; calls > 8 {
			t.Errorf("%d calls for 50 streams taken up at once", calls)
		}
	})
}
