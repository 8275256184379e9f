package quarantine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	models "github.com/crocusline/crocusline/models/quarantine"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/platform"
	"github.com/crocusline/crocusline/services/quarantine"
	"github.com/crocusline/crocusline/standin/site"
)

// servers holds the errors of connections to servers. It has none for those that accept them.
type servers struct {
	mu     sync.Mutex
	errors map[netip.AddrPort]error
}

func (s *servers) Connect(_ context.Context, address netip.AddrPort) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.errors[address]
}

// setError sets the error of connections to the server, or nil.
func (s *servers) setError(address netip.AddrPort, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errors[address] = err
}

var (
	errRefused  = fmt.Errorf("connect: %w", syscall.ECONNREFUSED)
	errTimedOut = fmt.Errorf("connect: %w", os.ErrDeadlineExceeded)
)

// fixture is a store and the servers, which all gateways share.
type fixture struct {
	*testing.T
	store   *site.Store
	crashed *servers
}

func run(t *testing.T, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		test(&fixture{T: t, store: site.NewStore(), crashed: &servers{errors: map[netip.AddrPort]error{}}})
	})
}

func (f *fixture) start(instance string) *quarantine.Service {
	f.Helper()
	return f.startAt(instance, f.store)
}

// startAt starts a gateway that reaches the store through the handler.
func (f *fixture) startAt(instance string, store http.Handler) *quarantine.Service {
	f.Helper()
	client := platform.NewStore(netip.MustParseAddrPort("10.0.0.1:80"), metric.New(),
		platform.WithTransport(site.NewTransport(store, time.Millisecond)))
	s := quarantine.New(hclog.NewNullLogger(), client, platform.Codec{}.QuarantineTopic(), instance, f.crashed)
	if err := s.Start(f.Context(), nil); err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() {
		if err := s.Close(); err != nil {
			f.Error(err)
		}
		time.Sleep(time.Second)
	})
	time.Sleep(100 * time.Millisecond)
	return s
}

// crash crashes the n-th server under prompts with the segments, as the gateway observes it.
func (f *fixture) crash(s *quarantine.Service, n int, segments ...string) {
	f.breakOff(s, n, errRefused, segments...)
}

// breakOff makes the n-th server break off responses, and end connections with the error.
func (f *fixture) breakOff(s *quarantine.Service, n int, err error, segments ...string) {
	server := quarantine.Server{ID: fmt.Sprintf("s%d", n), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 80)}
	f.crashed.setError(server.Address, err)
	s.RecordBroken(server, segments)
	time.Sleep(200 * time.Millisecond)
}

func (f *fixture) expect(who string, s *quarantine.Service, blocked bool, segments ...string) {
	f.Helper()
	if wait, got := s.Blocked(segments); got != blocked || (blocked && wait <= 0) {
		f.Errorf("%s: prompts with %v blocked %t for %s, want %t", who, segments, got, wait, blocked)
	}
}

// TestQuarantineUnknownToOthers guards against a quarantine that only the gateways know that
// observed the crashes, or that a restart of all loses.
func TestQuarantineUnknownToOthers(t *testing.T) {
	run(t, func(f *fixture) {
		a, b, c := f.start("a"), f.start("b"), f.start("c")
		for n := range 4 {
			f.crash([]*quarantine.Service{a, b}[n%2], n, "common", fmt.Sprintf("own-%d", n), "bad")
			c.RecordAnswer([]string{"common"})
		}
		time.Sleep(2 * time.Second)
		for who, s := range map[string]*quarantine.Service{"observer": a, "other": c, "started later": f.start("d")} {
			f.expect(who, s, true, "common", "bad")
			f.expect(who, s, false, "common", "own-1")
		}
	})
}

// TestServersThatCrashForOtherReasons guards against prompts that are blocked though a server
// answered them elsewhere, or though the servers still accept connections.
func TestServersThatCrashForOtherReasons(t *testing.T) {
	for name, observe := range map[string]func(f *fixture, a, b *quarantine.Service){
		"answered elsewhere": func(f *fixture, a, b *quarantine.Service) {
			for n := range 3 {
				f.crash(a, n, "sound")
			}
			b.RecordAnswer([]string{"sound"})
			f.crash(a, 3, "sound")
		},
		"responses are cut": func(_ *fixture, a, _ *quarantine.Service) {
			for n := range 6 {
				a.RecordBroken(quarantine.Server{ID: fmt.Sprintf("s%d", n)}, []string{"sound"})
				time.Sleep(200 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fixture) {
				a, b := f.start("a"), f.start("b")
				observe(f, a, b)
				time.Sleep(3 * time.Second)
				f.expect("a", a, false, "sound")
				f.expect("b", b, false, "sound")
			})
		})
	}
}

// TestAnswersPublishedByAll guards against answers to a common segment that each gateway
// publishes and each other one reads.
func TestAnswersPublishedByAll(t *testing.T) {
	run(t, func(f *fixture) {
		const gateways = 60
		a := f.start("a")
		var others []string
		for i := range gateways {
			others = append(others, fmt.Sprintf("g%d", i))
			f.start(others[i]).RecordAnswer([]string{"common"})
		}
		for n := range 3 {
			f.crash(a, n, "common")
		}
		time.Sleep(time.Second)
		published := 0
		for _, instance := range others {
			if f.store.LatestValue(platform.Codec{}.QuarantineTopic(), 0, instance+"/0") != nil {
				published++
			}
		}
		if published == 0 || published > gateways/2 {
			t.Errorf("%d of %d gateways published that a segment was answered, want one or a few", published, gateways)
		}
	})
}

// TestServersCutOffAreNoCrashes guards against requests in quarantine because a gateway was cut off
// from servers while they were under way there.
func TestServersCutOffAreNoCrashes(t *testing.T) {
	run(t, func(f *fixture) {
		a, b := f.start("a"), f.start("b")
		for n := range 6 {
			f.breakOff(a, n, errTimedOut, "segment")
		}
		time.Sleep(2 * time.Second)
		for who, s := range map[string]*quarantine.Service{"observer": a, "other": b} {
			f.expect(who, s, false, "segment")
		}
	})
}

// TestConcludedWhileCutOff guards against prompts that a gateway puts in quarantine for the whole fleet by its own
// evidence only, as it couldn't read that others got answers. While it is cut off, it sends them no more.
func TestConcludedWhileCutOff(t *testing.T) {
	run(t, func(f *fixture) {
		a, b := f.start("a"), f.start("b")
		f.store.SetFault(site.Unavailable)
		time.Sleep(2 * time.Second)
		for n := range 4 {
			f.crash(a, n, "common", "own")
			b.RecordAnswer([]string{"common"})
		}
		time.Sleep(2 * time.Second)
		f.expect("cut off", a, true, "common", "own")
		b.RecordAnswer([]string{"common", "own"})
		f.store.SetFault(site.NoFault)
		time.Sleep(4 * time.Second)
		for who, s := range map[string]*quarantine.Service{"observer": a, "answered": b, "started later": f.start("c")} {
			f.expect(who, s, false, "common", "own")
		}
	})
}

// TestQuarantineRefuted guards against a quarantine that lasts though a gateway which didn't know of it has got an
// answer to such a prompt, and against one that ends by answers to a part of its segments.
func TestQuarantineRefuted(t *testing.T) {
	run(t, func(f *fixture) {
		a, b := f.start("a"), f.start("b")
		for n := range 4 {
			f.crash(a, n, "common", "own")
		}
		time.Sleep(2 * time.Second)
		f.expect("before", b, true, "common", "own")
		b.RecordAnswer([]string{"common"})
		time.Sleep(time.Second)
		f.expect("another prompt answered", a, true, "common", "own")
		b.RecordAnswer([]string{"common", "own"})
		time.Sleep(time.Second)
		for who, s := range map[string]*quarantine.Service{"observer": a, "answered": b, "started later": f.start("c")} {
			f.expect(who, s, false, "common", "own")
		}
	})
}

// TestQuarantineRefutedBeforeOthers guards against a wrong quarantine that lasts, as a prompt that shares one of its segments
// was answered after the prompt that refutes it.
func TestQuarantineRefutedBeforeOthers(t *testing.T) {
	run(t, func(f *fixture) {
		b := f.start("b")
		f.store.SetFault(site.Unavailable)
		time.Sleep(time.Second)
		concludedAt := time.Now()
		b.RecordAnswer([]string{"request-1", "common", "own"})
		time.Sleep(100 * time.Millisecond)
		b.RecordAnswer([]string{"request-2", "common", "other"})
		time.Sleep(time.Second)
		e := models.Entry{Segments: []string{"common", "own"}, Until: concludedAt.Add(models.Duration)}
		value, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		f.store.SetFault(site.NoFault)
		f.store.Put(platform.Codec{}.QuarantineTopic(), e.Key(), value)
		time.Sleep(4 * time.Second)
		f.expect("answered", b, false, "common", "own")
		f.expect("started later", f.start("c"), false, "common", "own")
	})
}

// cutStore is the store as a gateway reaches it that may be cut off from it.
type cutStore struct {
	http.Handler
	cut atomic.Bool
}

func (s *cutStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.cut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Handler.ServeHTTP(w, r)
}

// TestLiftedQuarantineConcludedAgain guards against a quarantine that was lifted and returns for an hour, as a gateway that
// was cut off meanwhile concludes the same from the same crashes, or has others conclude it again.
func TestLiftedQuarantineConcludedAgain(t *testing.T) {
	run(t, func(f *fixture) {
		link := &cutStore{Handler: f.store}
		a, b, c := f.start("a"), f.start("b"), f.startAt("c", link)
		link.cut.Store(true)
		time.Sleep(2 * time.Second)
		for n := range 4 {
			f.crash(a, n, "common", "own")
			f.crash(c, n, "common", "own")
		}
		time.Sleep(2 * time.Second)
		f.expect("before", b, true, "common", "own")
		b.RecordAnswer([]string{"common", "own"})
		time.Sleep(2 * time.Second)
		f.expect("lifted", a, false, "common", "own")
		link.cut.Store(false)
		time.Sleep(5 * time.Second)
		for who, s := range map[string]*quarantine.Service{"observer": a, "answered": b, "cut off": c, "started later": f.start("d")} {
			f.expect(who, s, false, "common", "own")
		}
	})
}

// TestQuarantineConcludedAfterLift guards against a gateway that starts after a quarantine was lifted and concludes the same,
// as the store has the crashes, but not the answer.
func TestQuarantineConcludedAfterLift(t *testing.T) {
	run(t, func(f *fixture) {
		a, b := f.start("a"), f.start("b")
		for n := range 4 {
			f.crash(a, n, "common", "own")
		}
		time.Sleep(2 * time.Second)
		b.RecordAnswer([]string{"common", "own"})
		time.Sleep(time.Second)
		c := f.start("c")
		time.Sleep(3 * time.Second)
		f.expect("started later", c, false, "common", "own")
	})
}

// TestQuarantineLiftedByAll guards against a lift that each gateway with an answer writes and each other one reads.
func TestQuarantineLiftedByAll(t *testing.T) {
	run(t, func(f *fixture) {
		const gateways = 60
		var others []*quarantine.Service
		writes := &countedWrites{Handler: f.store}
		for i := range gateways {
			others = append(others, f.startAt(fmt.Sprintf("g%d", i), writes))
		}
		for _, s := range others {
			s.RecordAnswer([]string{"common", "own"})
		}
		e := models.Entry{Segments: []string{"common", "own"}, Until: time.Now().Add(models.Duration)}
		value, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		f.store.Put(platform.Codec{}.QuarantineTopic(), e.Key(), value)
		time.Sleep(4 * time.Second)
		if n := writes.n.Load(); n == 0 || n > gateways/2 {
			t.Errorf("%d gateways wrote that the quarantine is lifted, want one or a few of %d", n, gateways)
		}
		for i, s := range others {
			f.expect(fmt.Sprint("gateway ", i), s, false, "common", "own")
		}
	})
}

// countedWrites is the store with a count of the appends.
type countedWrites struct {
	http.Handler
	n atomic.Int64
}

func (s *countedWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.URL.Path, "append") {
		s.n.Add(1)
	}
	s.Handler.ServeHTTP(w, r)
}
