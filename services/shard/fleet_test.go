package shard_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/modules/peer/peertest"
	"github.com/crocusline/crocusline/modules/platform"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
	"github.com/crocusline/crocusline/services/ledger"
	"github.com/crocusline/crocusline/services/shard"
)

const shards = 4

// board is the control stream as all processes see it at once.
type board struct {
	mu    sync.Mutex
	state *fleet.State
}

func newBoard() *board { return &board{state: fleet.New()} }

func (b *board) State() *fleet.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}

func (b *board) Publish(_ context.Context, event fleet.Event) (fleet.Result, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, result := b.state.Apply(b.state.Next, time.Now(), event)
	b.state = next
	return result, nil
}

func (b *board) LogReachable() bool { return true }

func (b *board) locate(number int) (netip.AddrPort, bool) {
	return shard.OwnerAddress(b.State(), number)
}

func (b *board) publish(t *testing.T, event fleet.Event) {
	t.Helper()
	if result, _ := b.Publish(t.Context(), event); result != (fleet.Applied{}) {
		t.Fatalf("%T: %+v", event, result)
	}
}

// gate is one process's way to the log. A closed gate holds calls up, however
// long their callers wait, as if the process were paused.
type gate struct {
	mu  sync.Mutex
	log platform.Log
	// A call waits until its channel is closed.
	readable, writable chan struct{}
	reads              int
	writes             int
	// bytes counts the data of the records read and written.
	bytes int64
}

func newGate(log platform.Log) *gate {
	g := &gate{log: log, readable: make(chan struct{}), writable: make(chan struct{})}
	close(g.readable)
	close(g.writable)
	return g
}

// pause holds up all calls.
func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	shut(&g.readable)
	shut(&g.writable)
}

func (g *gate) pauseAppends() {
	g.mu.Lock()
	defer g.mu.Unlock()
	shut(&g.writable)
}

// shut replaces a closed channel by an open one.
func shut(open *chan struct{}) {
	select {
	case <-*open:
		*open = make(chan struct{})
	default:
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, open := range []chan struct{}{g.readable, g.writable} {
		select {
		case <-open:
		default:
			close(open)
		}
	}
}

func (g *gate) replace(log platform.Log) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.log = log
}

// pass counts a call, waits until it may go on and returns the log.
func (g *gate) pass(counter *int, open *chan struct{}) platform.Log {
	g.mu.Lock()
	*counter++
	wait := *open
	g.mu.Unlock()
	<-wait
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log
}

func (g *gate) Append(_ context.Context, stream string, data []byte) (int64, error) {
	log := g.pass(&g.writes, &g.writable)
	g.count(len(data))
	return log.Append(context.Background(), stream, data)
}

func (g *gate) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	batch, err := g.pass(&g.reads, &g.readable).Read(ctx, stream, from, limit, wait)
	for _, r := range batch.Records {
		g.count(len(r.Data))
	}
	return batch, err
}

func (g *gate) count(size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes += int64(size)
}

func (g *gate) size() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.bytes
}

func (g *gate) counts() (reads, writes int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads, g.writes
}

// world is a log, a network and the processes on them.
type world struct {
	t     *testing.T
	log   *platformtest.Log
	net   *peertest.Network
	board *board
	port  uint16
}

func newWorld(t *testing.T) *world {
	return &world{t: t, log: platformtest.New(), net: peertest.New(), board: newBoard()}
}

func (w *world) address() netip.AddrPort {
	w.port++
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), w.port)
}

// entry is one entry instance: a host and a client.
type entry struct {
	w      *world
	member fleet.Member
	host   *shard.Host
	client *ledger.Client
	// hostGate and clientGate are the ways to the log.
	hostGate, clientGate *gate
	closed, killed       bool
}

// join starts an entry and makes it a member.
func (w *world) join(name string, opts ...shard.Option) *entry {
	e := w.start(name, w.board, opts...)
	w.board.publish(w.t, fleet.Register{Member: e.member})
	return e
}

// start starts an entry that knows the fleet from the board.
func (w *world) start(name string, b *board, opts ...shard.Option) *entry {
	w.t.Helper()
	address := w.address()
	e := &entry{
		w:          w,
		member:     fleet.Member{Incarnation: name + "/1", Role: fleet.Entry, Name: name, Address: address},
		hostGate:   newGate(w.log),
		clientGate: newGate(w.log),
	}
	e.client = ledger.New(e.member.Incarnation, e.clientGate, ledger.WithShards(shards),
		ledger.WithOwners(b.locate, w.net.Client(address)))
	all := append([]shard.Option{shard.WithShards(shards), shard.WithRecaller(e.client)}, opts...)
	e.host = shard.New(e.member, e.hostGate, b, w.net.Client(address), all...)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewLedgerServiceHandler(e.host))
	w.net.Serve(address, mux)
	for _, err := range []error{e.host.Start(context.Background(), nil), e.client.Start(context.Background(), nil)} {
		if err != nil {
			w.t.Fatal(err)
		}
	}
	w.t.Cleanup(e.close)
	return e
}

// close ends the entry in an orderly way.
func (e *entry) close() {
	if e.closed {
		return
	}
	e.closed = true
	for _, err := range []error{e.client.Close(), e.host.Close()} {
		if err != nil {
			e.w.t.Error(err)
		}
	}
}

// kill takes the entry off the network and the log. What it has under way never
// takes effect.
func (e *entry) kill() {
	e.killed = true
	e.w.net.Serve(e.member.Address, nil)
	e.w.net.SetPartitioned(e.member.Address, true)
	dead := platformtest.New()
	dead.SetUnavailable(true)
	for _, g := range []*gate{e.hostGate, e.clientGate} {
		g.replace(dead)
	}
}

// owners returns the entries that own each shard.
func owners(entries ...*entry) map[int][]string {
	owned := map[int][]string{}
	for _, e := range entries {
		for _, number := range e.host.OwnedShards() {
			owned[number] = append(owned[number], e.member.Name)
		}
	}
	return owned
}

// checkOwners fails unless each shard has one owner, which the fleet knows.
func (w *world) checkOwners(entries ...*entry) {
	w.t.Helper()
	owned := owners(entries...)
	for number := range shards {
		hint := w.board.State().Owners[number]
		if len(owned[number]) != 1 || hint.Incarnation != owned[number][0]+"/1" {
			w.t.Fatalf("shard %d is owned by %v, the fleet knows %+v", number, owned[number], hint)
		}
	}
}
