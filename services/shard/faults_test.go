package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusline/crocusline/models/fleet"
	model "github.com/crocusline/crocusline/models/ledger"
	"github.com/crocusline/crocusline/services/ledger"
)

const (
	faultSeeds = 12
	faultTime  = 2 * time.Minute
	// recoveryTime is enough for new owners to be known and for tokens to be
	// returned.
	recoveryTime = time.Minute
	prepaid      = 20_000
)

// faultRun is a run of requests with random faults.
type faultRun struct {
	t       *testing.T
	env     *testEnv
	random  *rand.Rand
	entries []*entry
	// fenced has the entries that were fenced. Some of them still run.
	fenced  []*entry
	sidecar *sidecar
	// billing posts the sidecar's bills.
	billing *ledger.Client

	mu sync.Mutex
	// billed is the number of tokens billed by idempotency key.
	billed map[string]int64
	// ran is the number of runs by idempotency key.
	ran map[string]int
}

// TestRandomFaults pauses and disconnects owners and clients, drops responses of
// owners and of the log, duplicates records, makes the log unreachable and fences
// entries, while requests take holds, register keys and post bills. Each key must
// run once, and the budget must match the bills.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newFaultRun(t, seed).run() })
		})
	}
}

func newFaultRun(t *testing.T, seed uint64) *faultRun {
	env := newTestEnv(t)
	return &faultRun{
		t:       t,
		env:     env,
		random:  rand.New(rand.NewPCG(seed, 1)),
		entries: []*entry{env.join("a"), env.join("b"), env.join("c")},
		billed:  map[string]int64{},
		ran:     map[string]int{},
		sidecar: env.sidecar("s1", "1"),
		billing: env.billingClient(),
	}
}

// billingClient starts the ledger client of a sidecar.
func (env *testEnv) billingClient() *ledger.Client {
	c := ledger.New("s1/1", env.log, ledger.WithShards(shards), ledger.WithOwners(env.fleet.ownerAddress, env.net.Client(env.address())))
	if err := c.Start(context.Background(), nil); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() {
		if err := c.Close(); err != nil {
			env.t.Error(err)
		}
	})
	return c
}

func (r *faultRun) run() {
	time.Sleep(10 * time.Second)
	topUp(r.t, r.entries[0], "clinic", prepaid)
	var requests sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < faultTime; i++ {
		e := r.randomEntry()
		spent := 1 + r.random.Int64N(40)
		requests.Go(func() { r.request(e, i, spent) })
		if r.random.IntN(5) == 0 {
			r.injectFault()
		}
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
	}
	r.env.log.SetUnavailable(false)
	for _, e := range slices.Concat(r.entries, r.fenced) {
		r.clearFaults(e)
	}
	requests.Wait()
	time.Sleep(recoveryTime)
	r.check()
}

// randomEntry returns a random entry, sometimes one that was fenced.
func (r *faultRun) randomEntry() *entry {
	if n := len(r.fenced); n > 0 && r.random.IntN(4) == 0 {
		return r.fenced[r.random.IntN(n)]
	}
	return r.entries[r.random.IntN(len(r.entries))]
}

// request takes a hold, registers an idempotency key that other requests use too,
// runs at the sidecar, and posts the bill until it succeeds.
func (r *faultRun) request(e *entry, number int, spent int64) {
	ctx := context.Background()
	hold, err := e.client.Reserve(ctx, "clinic", 50)
	if err != nil {
		return
	}
	key := fmt.Sprint(number / 3)
	got, err := e.client.Register(ctx, ledger.Registration{Workspace: "clinic", Key: key, Digest: []byte(key), Sidecar: "s1/1"})
	if err != nil || !got.Granted || !r.sidecar.startUse(hold.Holder) {
		e.client.Release("clinic", hold)
		return
	}
	defer r.sidecar.settle(hold.Holder)
	r.mu.Lock()
	r.ran[key]++
	r.billed[key] = spent
	r.mu.Unlock()
	time.Sleep(time.Duration(spent) * 100 * time.Millisecond)
	entry := model.Bill{RequestID: key, Workspace: "clinic", Hold: hold, Tokens: spent}
	for {
		postCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		err := r.billing.Post(postCtx, hold.Shard, entry)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// replace fences an entry and starts another one. The fenced entry is killed or
// continues to run.
func (r *faultRun) replace(e *entry) {
	if r.random.IntN(2) == 0 {
		e.kill()
	}
	r.env.fleet.publish(r.t, fleet.Fence{Incarnation: e.member.Incarnation, By: "test"})
	r.fenced = append(r.fenced, e)
	r.entries = slices.DeleteFunc(r.entries, func(other *entry) bool { return other == e })
	r.entries = append(r.entries, r.env.join(fmt.Sprint("n", len(r.fenced))))
}

// injectFault injects a fault into one entry or the log, or clears its faults.
func (r *faultRun) injectFault() {
	e := r.entries[r.random.IntN(len(r.entries))]
	switch r.random.IntN(12) {
	case 0:
		e.hostLog.pause()
	case 1:
		e.hostLog.pauseAppends()
	case 2:
		e.clientLog.pauseAppends()
	case 3:
		r.env.net.SetPartitioned(e.member.Address, true)
	case 4:
		r.env.net.DropResponses(e.member.Address, 2)
	case 5:
		r.env.log.DropResponses(2)
	case 6:
		r.env.log.DuplicateAppends(2)
	case 7:
		r.env.log.SetUnavailable(true)
	case 8:
		if len(r.fenced) < 4 {
			r.replace(e)
		}
	default:
		r.env.log.SetUnavailable(false)
		r.clearFaults(e)
	}
}

// clearFaults clears all faults of an entry, except that a killed entry stays
// disconnected.
func (r *faultRun) clearFaults(e *entry) {
	e.hostLog.resume()
	e.clientLog.resume()
	r.env.net.SetPartitioned(e.member.Address, e.killed)
	r.env.net.DropResponses(e.member.Address, 0)
}

func (r *faultRun) check() {
	r.t.Helper()
	var spent int64
	for key, tokens := range r.billed {
		spent += tokens
		if r.ran[key] != 1 {
			r.t.Errorf("key %s ran %d times", key, r.ran[key])
		}
	}
	reader := ledger.New("fresh/1", r.env.log, ledger.WithShards(shards))
	if err := reader.Start(context.Background(), nil); err != nil {
		r.t.Fatal(err)
	}
	defer func() {
		if err := reader.Close(); err != nil {
			r.t.Error(err)
		}
	}()
	b, err := reader.Budget(r.t.Context(), "clinic")
	if err != nil {
		r.t.Fatal(err)
	}
	if b.Settled != spent || b.Bills != int64(len(r.billed)) || b.ToppedUp != prepaid {
		r.t.Errorf("budget %+v, want %d bills of %d tokens", b, len(r.billed), spent)
	}
	if b.WriteOff.Bills != 0 {
		r.t.Errorf("%d bills were written off because their holders were closed too early", b.WriteOff.Bills)
	}
	if b.Outstanding != 0 {
		r.t.Errorf("%d tokens outstanding although no request is running", b.Outstanding)
	}
	for _, e := range r.entries {
		if r.sidecar.fenceCalls(e.member.Incarnation) > 0 {
			r.t.Errorf("%s was fenced as a live member", e.member.Incarnation)
		}
	}
	if len(r.billed) < 20 {
		r.t.Errorf("only %d requests served", len(r.billed))
	}
	r.env.checkOwners(r.entries...)
}
