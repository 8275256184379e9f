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

// fakeFleet is the fleet's state, shared by all processes without delay.
type fakeFleet struct {
	mu    sync.Mutex
	state *fleet.State
}

func newFakeFleet() *fakeFleet { return &fakeFleet{state: fleet.New()} }

func (f *fakeFleet) State() *fleet.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeFleet) Publish(_ context.Context, event fleet.Event) (fleet.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, result := f.state.Apply(f.state.Next, time.Now(), event)
	f.state = next
	return result, nil
}

func (f *fakeFleet) LogReachable() bool { return true }

func (f *fakeFleet) ownerAddress(number int) (netip.AddrPort, bool) {
	return shard.OwnerAddress(f.State(), number)
}

func (f *fakeFleet) publish(t *testing.T, event fleet.Event) {
	t.Helper()
	if result, _ := f.Publish(t.Context(), event); result != (fleet.Applied{}) {
		t.Fatalf("%T: %+v", event, result)
	}
}

// pausableLog is a log whose calls can be blocked, as if the calling process were
// paused. A blocked call ignores its context.
type pausableLog struct {
	mu  sync.Mutex
	log platform.Log
	// unblockReads and unblockAppends are closed while calls may proceed.
	unblockReads, unblockAppends chan struct{}
	reads                        int
	appends                      int
	// bytes is the total size of the records read and appended.
	bytes int64
}

func newPausableLog(log platform.Log) *pausableLog {
	l := &pausableLog{log: log, unblockReads: make(chan struct{}), unblockAppends: make(chan struct{})}
	close(l.unblockReads)
	close(l.unblockAppends)
	return l
}

// pause blocks all calls.
func (l *pausableLog) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	block(&l.unblockReads)
	block(&l.unblockAppends)
}

func (l *pausableLog) pauseAppends() {
	l.mu.Lock()
	defer l.mu.Unlock()
	block(&l.unblockAppends)
}

// block replaces a closed channel by an open one.
func block(unblock *chan struct{}) {
	select {
	case <-*unblock:
		*unblock = make(chan struct{})
	default:
	}
}

func (l *pausableLog) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, unblock := range []chan struct{}{l.unblockReads, l.unblockAppends} {
		select {
		case <-unblock:
		default:
			close(unblock)
		}
	}
}

func (l *pausableLog) replace(log platform.Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log = log
}

// enter counts a call, waits until it may proceed and returns the log.
func (l *pausableLog) enter(counter *int, unblock *chan struct{}) platform.Log {
	l.mu.Lock()
	*counter++
	wait := *unblock
	l.mu.Unlock()
	<-wait
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log
}

func (l *pausableLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	log := l.enter(&l.appends, &l.unblockAppends)
	l.addBytes(len(data))
	return log.Append(context.Background(), stream, data)
}

func (l *pausableLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platform.Batch, error) {
	batch, err := l.enter(&l.reads, &l.unblockReads).Read(ctx, stream, from, limit, wait)
	for _, r := range batch.Records {
		l.addBytes(len(r.Data))
	}
	return batch, err
}

func (l *pausableLog) addBytes(size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += int64(size)
}

func (l *pausableLog) totalBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

func (l *pausableLog) counts() (reads, appends int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.appends
}

// testEnv has a log, a network, a fleet and the processes that use them.
type testEnv struct {
	t     *testing.T
	log   *platformtest.Log
	net   *peertest.Network
	fleet *fakeFleet
	port  uint16
}

func newTestEnv(t *testing.T) *testEnv {
	return &testEnv{t: t, log: platformtest.New(), net: peertest.New(), fleet: newFakeFleet()}
}

func (env *testEnv) address() netip.AddrPort {
	env.port++
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), env.port)
}

// entry is an entry instance with a shard host and a ledger client.
type entry struct {
	env    *testEnv
	member fleet.Member
	host   *shard.Host
	client *ledger.Client
	// hostLog and clientLog are the logs of host and client.
	hostLog, clientLog *pausableLog
	closed, killed     bool
}

// join starts an entry and registers it as a member.
func (env *testEnv) join(name string, opts ...shard.Option) *entry {
	e := env.start(name, env.fleet, opts...)
	env.fleet.publish(env.t, fleet.Register{Member: e.member})
	return e
}

// start starts an entry that uses the given fleet, without registering it.
func (env *testEnv) start(name string, f *fakeFleet, opts ...shard.Option) *entry {
	env.t.Helper()
	address := env.address()
	e := &entry{
		env:       env,
		member:    fleet.Member{Incarnation: name + "/1", Role: fleet.Entry, Name: name, Address: address},
		hostLog:   newPausableLog(env.log),
		clientLog: newPausableLog(env.log),
	}
	e.client = ledger.New(e.member.Incarnation, e.clientLog, ledger.WithShards(shards),
		ledger.WithOwners(f.ownerAddress, env.net.Client(address)))
	all := append([]shard.Option{shard.WithShards(shards), shard.WithRecaller(e.client)}, opts...)
	e.host = shard.New(e.member, e.hostLog, f, env.net.Client(address), all...)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewLedgerServiceHandler(e.host))
	env.net.Serve(address, mux)
	for _, err := range []error{e.host.Start(context.Background(), nil), e.client.Start(context.Background(), nil)} {
		if err != nil {
			env.t.Fatal(err)
		}
	}
	env.t.Cleanup(e.close)
	return e
}

// close shuts the entry down gracefully.
func (e *entry) close() {
	if e.closed {
		return
	}
	e.closed = true
	for _, err := range []error{e.client.Close(), e.host.Close()} {
		if err != nil {
			e.env.t.Error(err)
		}
	}
}

// kill disconnects the entry from the network and the log. Its calls in flight take
// no effect.
func (e *entry) kill() {
	e.killed = true
	e.env.net.Serve(e.member.Address, nil)
	e.env.net.SetPartitioned(e.member.Address, true)
	unreachable := platformtest.New()
	unreachable.SetUnavailable(true)
	for _, l := range []*pausableLog{e.hostLog, e.clientLog} {
		l.replace(unreachable)
	}
}

// owners returns the names of the entries that own each shard.
func owners(entries ...*entry) map[int][]string {
	owned := map[int][]string{}
	for _, e := range entries {
		for _, number := range e.host.OwnedShards() {
			owned[number] = append(owned[number], e.member.Name)
		}
	}
	return owned
}

// checkOwners fails the test unless each shard has exactly one owner and the
// fleet's state has the same owner.
func (env *testEnv) checkOwners(entries ...*entry) {
	env.t.Helper()
	owned := owners(entries...)
	for number := range shards {
		hint := env.fleet.State().Owners[number]
		if len(owned[number]) != 1 || hint.Incarnation != owned[number][0]+"/1" {
			env.t.Fatalf("shard %d is owned by %v, the fleet has %+v", number, owned[number], hint)
		}
	}
}
