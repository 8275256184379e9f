package netmeter_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/crocusline/crocusline/modules/netmeter"
)

// pair returns both ends of a TCP connection, of which the first is counted.
func pair(t *testing.T, m *netmeter.Meter) (counted, other net.Conn) {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	dial := new(net.Dialer).DialContext
	if other, err = dial(t.Context(), "tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if counted, err = m.Listener(l).Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = counted.Close(), other.Close() })
	return counted, other
}

// TestCounts guards against traffic that isn't counted, whichever method carries it, and against
// events of streams that count by their payload only.
func TestCounts(t *testing.T) {
	const event, events, body = 45, 40, 100_000
	m := netmeter.New()
	counted, other := pair(t, m)
	go func() { _, _ = io.Copy(io.Discard, other) }()
	for range events {
		if _, err := counted.Write(make([]byte, event)); err != nil {
			t.Fatal(err)
		}
	}
	got := m.Counts()
	if want := int64(events * (event + 66)); got.Written != want || got.Read != events*66 || got.Open != 1 {
		t.Errorf("got %+v for %d events, want %d bytes written", got, events, want)
	}
	if n, err := io.Copy(counted, struct{ io.Reader }{strings.NewReader(strings.Repeat("x", body))}); n != body || err != nil {
		t.Fatalf("%d bytes copied: %v", n, err)
	}
	if more := m.Counts().Written - got.Written; more < body || more > body*11/10 {
		t.Errorf("%d bytes counted for a body of %d", more, body)
	}
	_, _ = counted.Close(), counted.Close()
	if open := m.Counts().Open; open != 0 {
		t.Errorf("%d connections open after the end of all", open)
	}
	var none *netmeter.Meter
	if c := none.Conn(counted); c != counted || none.Counts() != (netmeter.Counts{}) {
		t.Error("no meter changes the connection")
	}
}

// TestKeepsMethodsOfTCP guards against wrapped connections that lose what the HTTP server and
// the client of servers call.
func TestKeepsMethodsOfTCP(t *testing.T) {
	counted, _ := pair(t, netmeter.New())
	if _, ok := counted.(interface{ SetLinger(sec int) error }); !ok {
		t.Error("SetLinger is lost")
	}
	if _, ok := counted.(interface{ CloseWrite() error }); !ok {
		t.Error("CloseWrite is lost")
	}
	if raw, ok := counted.(syscall.Conn); !ok {
		t.Error("SyscallConn is lost")
	} else if _, err := raw.SyscallConn(); err != nil {
		t.Error(err)
	}
}
