package front_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/models/lineage"
	"github.com/crocusline/crocusline/modules/metric"
	"github.com/crocusline/crocusline/routers/front"
	"github.com/crocusline/crocusline/services/takeover"
)

const (
	// pausedPeer has the test binary resume a stream with the gateway at the address, and pausedDial stop itself once
	// it is connected.
	pausedPeer = "CROCUSLINE_TEST_PEER"
	pausedDial = "CROCUSLINE_TEST_STOP_IN_DIAL"
	// found and notFound are what it says.
	found    = "the gateway answered"
	notFound = "the gateway did not answer"
)

// onePeer is the record of a stream that names one gateway.
type onePeer struct{ peer netip.AddrPort }

func (onePeer) Recorded(lineage.ID) bool                 { return false }
func (p onePeer) Recorders(lineage.ID) []netip.AddrPort  { return []netip.AddrPort{p.peer} }
func (onePeer) Refresh(context.Context, time.Time) error { return nil }

// TestPauseTakenForSilence guards against a gateway that counts as one that doesn't respond, as the process that asks it
// did not run: its connection or its response was there before the timer fired.
func TestPauseTakenForSilence(t *testing.T) {
	if peer := os.Getenv(pausedPeer); peer != "" {
		resumeAt(t, netip.MustParseAddrPort(peer))
		return
	}
	for _, tt := range []struct {
		name   string
		inDial bool
		pause  time.Duration
	}{
		{"while it connects", true, 700 * time.Millisecond},
		{"while it waits for the response", false, 1500 * time.Millisecond},
		{"for longer than all gateways are waited for", false, 3 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			process := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestPauseTakenForSilence$", "-test.v")
			var output bytes.Buffer
			process.Stdout, process.Stderr = &output, &output
			started := make(chan struct{})
			resume := func() {
				<-started
				_ = process.Process.Signal(syscall.SIGCONT)
			}
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				<-started
				if !tt.inDial {
					_ = process.Process.Signal(syscall.SIGSTOP)
					time.AfterFunc(tt.pause, resume)
				}
				_, _ = w.Write([]byte(`{"recorded":true}`))
			}))
			server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if tt.inDial && state == http.StateNew {
					time.AfterFunc(tt.pause, resume)
				}
			}
			server.Start()
			defer server.Close()
			process.Env = append(os.Environ(), pausedPeer+"="+strings.TrimPrefix(server.URL, "http://"))
			if tt.inDial {
				process.Env = append(process.Env, pausedDial+"=1")
			}
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			close(started)
			if err := process.Wait(); err != nil || !strings.Contains(output.String(), found) {
				t.Errorf("%v: %s", err, output.String())
			}
		})
	}
}

// resumeAt resumes a stream that the peer began, and says whether it answered.
func resumeAt(t *testing.T, peer netip.AddrPort) {
	t.Helper()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if os.Getenv(pausedDial) != "" {
			_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
			// The process runs on, and not all its goroutines at once.
			time.Sleep(20 * time.Millisecond)
		}
		return conn, err
	}}
	client := front.NewPeerClient(nil, front.WithTransport(transport))
	defer func() { _ = client.Close() }()
	s := takeover.New(hclog.NewNullLogger(), netip.MustParseAddrPort("10.0.0.2:80"), client, onePeer{peer}, metric.New())
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	a := s.Begin(lineage.NewID("clinics", "r1"), cancel)
	defer func() { _ = a.Close() }()
	if a.EndOthers(ctx, time.Now()) {
		t.Log(found)
		return
	}
	t.Log(notFound)
}
