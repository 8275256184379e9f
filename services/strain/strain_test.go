package strain_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	models "github.com/crocusline/crocusline/models/strain"
	"github.com/crocusline/crocusline/modules/netmeter"
	"github.com/crocusline/crocusline/services/strain"
)

// TestTrafficOfConnections guards against a gateway that accepts bodies while other traffic fills its link, and against
// a strain that isn't logged, or doesn't end after the load.
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
		if after, ok := s.Accept(9_000, 0); ok || after <= 0 {
			t.Error("a body is accepted while 200,000 bytes wait for the link")
		}
		if _, ok := s.Accept(600, 2); !ok {
			t.Error("a short call is refused")
		}
		time.Sleep(60 * time.Millisecond)
		if s.Strained() != models.Transmit || s.DialTimeout() <= 150*time.Millisecond {
			t.Errorf("short of %s, attempts get %s", s.Strained(), s.DialTimeout())
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
