package relay_test

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/balance"
	"github.com/crocusline/crocusline/models/refusal"
	"github.com/crocusline/crocusline/models/roster"
	"github.com/crocusline/crocusline/modules/netmeter"
	"github.com/crocusline/crocusline/services/relay"
	"github.com/crocusline/crocusline/services/strain"
	"github.com/crocusline/crocusline/standin/site"
)

// silentAddress returns an address at which connection attempts get no answer: nothing accepts connections, and the
// queue of those that wait is full.
func silentAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := name.(*syscall.SockaddrInet4)
	for range 4 {
		waiting, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = syscall.Close(waiting) })
		_ = syscall.Connect(waiting, address)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port))
}

// newStrainedEnv returns a relay whose servers don't answer attempts to connect, the delay of its processor, and what
// knows its resources.
func newStrainedEnv(t *testing.T, servers int) (env *testEnv, delay *atomic.Int64, st *strain.Service) {
	t.Helper()
	delay = new(atomic.Int64)
	st = strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6),
		strain.WithProcessorDelay(func() time.Duration { return time.Duration(delay.Load()) }))
	env = newTestEnv(t, []relay.Option{relay.WithStrain(st)}, site.NewServer("unused", 0))
	var list []roster.Server
	for i := range servers {
		list = append(list, roster.Server{ID: "s" + string(rune('a'+i)), Address: silentAddress(t), Slots: 8})
	}
	env.catalog.balancers["plain"].SetServers(list, 0)
	return env, delay, st
}

func (env *testEnv) available() int {
	n := 0
	env.catalog.WithBalancer("plain", func(b *balance.Balancer) { n = b.Available(time.Now()) })
	return n
}

// TestTimeoutsOfStrainedGateway guards against servers that are suspended because the gateway itself was late, and
// against refusals that don't say that nothing ran. A request whose deadline ends its last attempt is no exception.
func TestTimeoutsOfStrainedGateway(t *testing.T) {
	env, delay, _ := newStrainedEnv(t, 6)
	delay.Store(int64(100 * time.Millisecond))
	_, err := env.send(t.Context(), "/report/a", "Deadline-Ms", "10000")
	if e, ok := refusal.As(err); !ok || e.Reason != refusal.Overloaded || e.Outcome != refusal.NotRun || e.RetryAfter <= 0 {
		t.Errorf("got %v", err)
	}
	_, err = env.send(t.Context(), "/once/a", "Deadline-Ms", "300")
	if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun {
		t.Errorf("got %v for a request without time for all attempts", err)
	}
	if got := env.available(); got != 6 {
		t.Errorf("%d of 6 servers are available after timeouts of a strained gateway", got)
	}
}

// TestCutOffGateway guards against a gateway without network that suspends all its servers, and whose callers wait
// until their deadline.
func TestCutOffGateway(t *testing.T) {
	env, _, _ := newStrainedEnv(t, 6)
	for range 3 {
		_, err := env.send(t.Context(), "/once/a")
		if e, ok := refusal.As(err); !ok || e.Outcome != refusal.NotRun {
			t.Errorf("got %v", err)
		}
	}
	if got := env.available(); got < 5 {
		t.Errorf("%d of 6 servers are available after timeouts of all", got)
	}
}

// TestCrashedServerOfSoundGateway guards against a crashed machine that isn't suspended, as the gateway takes the fault for
// its own.
func TestCrashedServerOfSoundGateway(t *testing.T) {
	env, _, _ := newStrainedEnv(t, 1)
	sound := env.servers[0]
	list := []roster.Server{
		{ID: "crashed", Address: silentAddress(t), Slots: 8, FailureDomain: "near"},
		{ID: sound.ID, Address: sound.Address(), Slots: 8, FailureDomain: "far"},
	}
	env.catalog.balancers["plain"].SetServers(list, 0)
	if resp, err := env.send(t.Context(), "/once/a"); err != nil || resp.Code != http.StatusOK {
		t.Errorf("got status %d and %v", resp.Code, err)
	}
	if got := env.available(); got != 1 {
		t.Errorf("%d servers are available, want 1", got)
	}
}

// TestTooLateToSend guards against requests that a strained gateway sends although their time is over before they reach
// a server, and against the refusal of others, whose answer may still be in time.
func TestTooLateToSend(t *testing.T) {
	meter := netmeter.New()
	st := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6), strain.WithMeter(meter))
	env := newTestEnv(t, []relay.Option{relay.WithStrain(st)}, site.NewServer("unused", 0))
	sound := env.servers[0]
	env.catalog.balancers["plain"].SetServers([]roster.Server{{ID: sound.ID, Address: sound.Address(), Slots: 8}}, 0)
	caller, gateway := net.Pipe()
	counted := meter.Conn(gateway)
	defer func() { _, _ = counted.Close(), caller.Close() }()
	go func() { _, _ = io.Copy(io.Discard, caller) }()
	// The link carries this in 3.3 s.
	if _, err := counted.Write(make([]byte, 4_000_000)); err != nil {
		t.Fatal(err)
	}
	st.Ready()
	_, err := env.send(t.Context(), "/once/a", "Deadline-Ms", "900")
	if e, ok := refusal.As(err); !ok || e.Reason != refusal.Overloaded || e.Outcome != refusal.NotRun || env.arrived() != 0 {
		t.Errorf("got %v, and %d requests arrived", err, env.arrived())
	}
	if resp, err := env.send(t.Context(), "/report/a", "Deadline-Ms", "10000"); err != nil || resp.Code != http.StatusOK {
		t.Errorf("got status %d and %v with time left", resp.Code, err)
	}
}
