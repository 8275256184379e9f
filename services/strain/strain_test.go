package strain_test

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	models "github.com/crocusline/crocusline/models/strain"
	"github.com/crocusline/crocusline/modules/netmeter"
	"github.com/crocusline/crocusline/services/strain"
)

// TestTrafficOfConnections guards against a gateway that doesn't notice that traffic other than bodies fills its link,
// against one that refuses bodies for that, and against a strain that isn't logged, or doesn't end after the load. What
// is refused goes by the accepted bodies, as refusing by all traffic lost more than it saved.
func TestTrafficOfConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond = 1.25e6
		meter := netmeter.New()
		var lines bytes.Buffer
		s := strain.New(hclog.New(&hclog.LoggerOptions{Output: &lines, Level: hclog.Info}), strain.WithBandwidth(bytesPerSecond), strain.WithMeter(meter))
		if err := s.Start(t.Context(), nil); err != nil {
			t.Fatal(err)
		}
		caller, gateway := net.Pipe()
		counted := meter.Conn(gateway)
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		for range 20 {
			if _, err := counted.Write(make([]byte, 10_000)); err != nil {
				t.Fatal(err)
			}
		}
		accepted := 0
		for accepted < 100 {
			after, ok := s.Accept(9_000, 0)
			if !ok {
				if after <= 0 {
					t.Error("a body is refused without a time")
				}
				break
			}
			accepted++
		}
		// 60 ms of the usable bandwidth, and the body that fills them.
		if accepted != 8 {
			t.Errorf("%d bodies of 9,000 bytes accepted at once, want 8", accepted)
		}
		if _, ok := s.Accept(600, 2); !ok {
			t.Error("a short call is refused")
		}
		time.Sleep(60 * time.Millisecond)
		if s.Strained() != models.Transmit || s.DialTimeout() <= 150*time.Millisecond {
			t.Errorf("short of %s, attempts get %s", s.Strained(), s.DialTimeout())
		}
		if s.InTime(20*time.Millisecond) || !s.InTime(500*time.Millisecond) {
			t.Error("requests are sent that reach a server too late, or others are not")
		}
		time.Sleep(time.Second)
		if _, ok := s.Accept(9_000, 2); !ok || s.Strained() != models.None || !s.Ready() {
			t.Errorf("a second after the load: accepted %t, short of %s", ok, s.Strained())
		}
		_, _ = counted.Close(), caller.Close()
		if err := s.Close(); err != nil {
			t.Error(err)
		}
		if text := lines.String(); strings.Count(text, "gateway strained") != 1 || strings.Count(text, "gateway no longer strained") != 1 {
			t.Errorf("logged %s", text)
		}
	})
}

// TestMissedPolls guards against connections that are closed before callers would come to other gateways, which is after
// two missed polls, or when new ones come to this gateway again.
func TestMissedPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond = 1.25e6
		meter := netmeter.New()
		s := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(bytesPerSecond), strain.WithMeter(meter))
		caller, gateway := net.Pipe()
		counted := meter.Conn(gateway)
		defer func() { _, _ = counted.Close(), caller.Close() }()
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		// load writes this part of the bandwidth for a second, the time between two polls, and reports whether any
		// connection is closed.
		load := func(ratio float64) (closed bool) {
			for range 20 {
				time.Sleep(50 * time.Millisecond)
				if _, err := counted.Write(make([]byte, int(ratio*bytesPerSecond/20))); err != nil {
					t.Fatal(err)
				}
				closed = s.RecordReceived(600) || closed
			}
			return closed
		}
		for i, step := range []struct {
			ratio         float64
			closed, ready bool
		}{
			{0.2, false, true},
			{0.7, false, false},
			{0.2, false, true}, // one missed poll
			{0.7, false, false},
			{0.7, false, false},
			{0.7, true, false}, // two missed polls
			{0.45, true, false},
		} {
			if closed := load(step.ratio); closed != step.closed {
				t.Errorf("step %d: closed %t", i, closed)
			}
			if ready := s.Ready(); ready != step.ready {
				t.Errorf("step %d: ready %t", i, ready)
			}
		}
		// Ready again, but not polled yet.
		load(0.1)
		if s.RecordReceived(600) {
			t.Error("closed although ready again")
		}
		if !s.Ready() {
			t.Error("not ready after the load")
		}
		// What was missed before doesn't count.
		if load(0.7) || s.Ready() || load(0.7) {
			t.Error("closed after one missed poll, or ready under the load")
		}
		if s.Ready() || !load(0.7) {
			t.Error("not closed after two missed polls")
		}
	})
}

// pipeListener accepts one connection.
type pipeListener struct {
	net.Listener
	conn net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) { return l.conn, nil }

// TestEventsWhileServersFail guards against a gateway that refuses all requests because three servers fail in a row,
// although it receives streams from others, and against one that takes what callers send for responses.
func TestEventsWhileServersFail(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			meter := netmeter.New()
			s := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6), strain.WithMeter(meter))
			if err := s.Start(t.Context(), nil); err != nil {
				t.Fatal(err)
			}
			other, own := net.Pipe()
			counted := meter.Conn(own)
			if accepted {
				_ = counted.Close()
				other, own = net.Pipe()
				var err error
				if counted, err = meter.Listener(pipeListener{conn: own}).Accept(); err != nil {
					t.Fatal(err)
				}
			}
			go func() { _, _ = io.Copy(io.Discard, counted) }()
			for n := range byte(4) {
				began := time.Now()
				for range 6 {
					time.Sleep(25 * time.Millisecond)
					if _, err := other.Write(make([]byte, 45)); err != nil {
						t.Fatal(err)
					}
				}
				s.RecordTimeout(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), began)
			}
			if s.Ready() == accepted {
				t.Errorf("accepted %t: short of %s", accepted, s.Strained())
			}
			_, _ = counted.Close(), other.Close()
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestStatedLengthOfBodies guards against a gateway that is not ready, or closes connections, because callers state the
// lengths of large bodies that they don't send, and against one that is ready while bodies of the usual size fill its link.
func TestStatedLengthOfBodies(t *testing.T) {
	for _, tt := range []struct {
		size  int64
		every time.Duration
		ready bool
	}{{4_000_000, time.Second, true}, {100_000, 100 * time.Millisecond, false}, {100_000, time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			s := strain.New(hclog.NewNullLogger(), strain.WithBandwidth(1.25e6))
			ready, closed := true, false
			for range int(4 * time.Second / tt.every) {
				closed = s.RecordReceived(tt.size) || closed
				ready = s.Ready()
				time.Sleep(tt.every)
			}
			if ready != tt.ready || closed == tt.ready {
				t.Errorf("lengths of %d bytes every %s: ready %t, closed %t", tt.size, tt.every, ready, closed)
			}
		})
	}
}
