// Package sidecar_test proves whole answers, bills, planned stops and work that
// runs at most once, with the real sidecar and dispatch code before the
// stand-ins of engine and plain service, in virtual time.
package sidecar_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/crocusline/crocusline/kernel"
	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/routers/peer"
	"github.com/crocusline/crocusline/services/billing"
	"github.com/crocusline/crocusline/services/dispatch"
	"github.com/crocusline/crocusline/services/drain"
	"github.com/crocusline/crocusline/services/ledger"
	"github.com/crocusline/crocusline/services/runner"
	"github.com/crocusline/crocusline/services/server"
	"github.com/crocusline/crocusline/standin/engine"
	"github.com/crocusline/crocusline/standin/service"
)

const (
	// tokenTime is the time between two tokens of the engines.
	tokenTime = 50 * time.Millisecond
	// settleTime is enough for receipts, bills and idle allowances to settle.
	settleTime = 2 * time.Minute
	topUp      = 1_000_000
	price      = 7
)

// world is the processes of one test.
type world struct {
	t   *testing.T
	net *network
	log *platformtest.Log

	mu        sync.Mutex
	sidecars  map[string]*sidecar
	addresses map[string]string
	last      byte
}

func newWorld(t *testing.T, workspaces ...string) *world {
	w := &world{t: t, net: newNetwork(), log: platformtest.New(), sidecars: map[string]*sidecar{}, addresses: map[string]string{}}
	admin := w.ledger("admin/1")
	for _, ws := range workspaces {
		entry := model.TopUp{ID: "top-up", Workspace: ws, Tokens: topUp}
		if err := admin.Post(t.Context(), admin.ShardOf(ws), entry); err != nil {
			t.Fatal(err)
		}
	}
	return w
}

// address returns an unused address.
func (w *world) address() netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, w.last}), 80)
}

// addressOf returns the address of a server's sidecar, which a later incarnation
// keeps.
func (w *world) addressOf(name string) string {
	w.mu.Lock()
	address, known := w.addresses[name]
	w.mu.Unlock()
	if !known {
		address = w.address().String()
		w.mu.Lock()
		w.addresses[name] = address
		w.mu.Unlock()
	}
	return address
}

// ledger starts a process's part in the ledger.
func (w *world) ledger(incarnation string) *ledger.Client {
	w.t.Helper()
	return w.ledgerOver(incarnation, w.log)
}

func (w *world) ledgerOver(incarnation string, log platform.Log) *ledger.Client {
	w.t.Helper()
	c := ledger.New(incarnation, log, ledger.WithShards(2))
	if err := c.Start(context.Background(), nil); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { w.close(c) })
	return c
}

func (w *world) close(c interface{ Close() error }) {
	if err := c.Close(); err != nil {
		w.t.Error(err)
	}
}

// budget returns a workspace's budget as the stream has it now.
func (w *world) budget(workspace string) model.Budget {
	w.t.Helper()
	c := ledger.New("reader/1", w.log, ledger.WithShards(2))
	if err := c.Start(context.Background(), nil); err != nil {
		w.t.Fatal(err)
	}
	defer w.close(c)
	b, err := c.Budget(w.t.Context(), workspace)
	if err != nil {
		w.t.Fatal(err)
	}
	return b
}

// wantBills checks the bills of a workspace, and that all the rest of its
// budget is free again.
func (w *world) wantBills(workspace string, bills, tokens int64) {
	w.t.Helper()
	time.Sleep(settleTime)
	b := w.budget(workspace)
	if b.Bills != bills || b.Settled != tokens || b.Outstanding != 0 {
		w.t.Errorf("%s: %d bills, %d tokens settled, %d outstanding, want %d, %d, 0",
			workspace, b.Bills, b.Settled, b.Outstanding, bills, tokens)
	}
}

// engine starts a model engine and returns its driver.
func (w *world) engine(opts ...engine.Option) (*engine.Engine, server.Server) {
	w.t.Helper()
	e := engine.New(append([]engine.Option{engine.WithTokenInterval(tokenTime)}, opts...)...)
	address := w.address()
	w.net.serve(w.t, address.String(), e.Handler())
	w.t.Cleanup(func() { w.close(e) })
	return e, server.NewEngine(address, server.WithClient(w.net.client(w.t, true)))
}

// service starts a plain service and returns its driver.
func (w *world) service() (*service.Service, server.Server) {
	w.t.Helper()
	s := service.New()
	address := w.address()
	w.net.serve(w.t, address.String(), s.Handler())
	return s, server.NewPlainService(address, server.WithClient(w.net.client(w.t, false)))
}

// wire is one process's way to the log, which can be cut.
type wire struct {
	platform.Log
	mu    sync.Mutex
	isCut bool
}

var errCut = errors.New("no way to the log")

func (c *wire) cut(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = cut
}

func (c *wire) err(stream string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isCut {
		return &platform.UnavailableError{Stream: stream, Cause: errCut}
	}
	return nil
}

func (c *wire) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := c.err(stream); err != nil {
		return 0, err
	}
	return c.Log.Append(ctx, stream, data)
}

func (c *wire) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	if err := c.err(stream); err != nil {
		return platform.Batch{}, err
	}
	return c.Log.Read(ctx, stream, from, limit, wait)
}

// sidecar is one sidecar process.
type sidecar struct {
	server      string
	incarnation string
	backend     server.Server
	kernel      *kernel.Kernel
	runner      *runner.Runner
	drain       *drain.Drainer
	bills       *billing.Outbox
	wire        *wire
	late        *lateRuns
	host        *host
	client      peerv1connect.SidecarServiceClient
}

// sidecar starts the sidecar of a backend server, in place of an earlier one.
func (w *world) sidecar(name, incarnation string, backend server.Server, opts ...runner.Option) *sidecar {
	w.t.Helper()
	s := &sidecar{server: name, incarnation: incarnation, backend: backend, wire: &wire{Log: w.log}}
	s.kernel = kernel.New(hclog.NewNullLogger())
	s.bills = billing.New(billing.WithPoster(w.ledgerOver(incarnation, s.wire)))
	s.runner = runner.New(name, incarnation, server.Driver{Server: backend}, opts...)
	s.drain = drain.New()
	if err := s.kernel.Add(s.bills, s.runner, s.drain); err != nil {
		w.t.Fatal(err)
	}
	if err := s.kernel.Start(context.Background()); err != nil {
		w.t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(peer.NewSidecarHandler(s.runner, nil).HTTPHandler())
	address := w.addressOf(name)
	s.late = &lateRuns{next: mux}
	s.host = w.net.serve(w.t, address, s.late)
	s.client = peerv1connect.NewSidecarServiceClient(w.net.client(w.t, true), "http://"+address)
	w.t.Cleanup(func() { w.close(s.kernel) })
	w.mu.Lock()
	w.sidecars[name] = s
	w.mu.Unlock()
	return s
}

// lateRuns delivers Run calls late on command, also those whose caller is gone.
type lateRuns struct {
	next http.Handler

	mu    sync.Mutex
	delay time.Duration
}

// hold delays the next Run call.
func (l *lateRuns) hold(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// take returns the delay of the call that came now.
func (l *lateRuns) take() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.delay
	l.delay = 0
	return d
}

func (l *lateRuns) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == peerv1connect.SidecarServiceRunProcedure {
		if d := l.take(); d > 0 {
			body, _ := io.ReadAll(r.Body)
			time.Sleep(d)
			r = r.WithContext(context.WithoutCancel(r.Context()))
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
	}
	l.next.ServeHTTP(w, r)
}

// kill ends a sidecar as a crash would: nothing more leaves it.
func (s *sidecar) kill() {
	s.wire.cut(true)
	s.host.kill()
}

// Sidecar implements dispatch.Directory.
func (w *world) Sidecar(name string) (dispatch.Sidecar, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.sidecars[name]
	if !ok {
		return dispatch.Sidecar{}, false
	}
	return dispatch.Sidecar{Server: name, Incarnation: s.incarnation, Client: s.client}, true
}
