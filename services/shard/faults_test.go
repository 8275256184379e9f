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
	// healTime is enough for owners to be found again and tokens to come back.
	healTime = time.Minute
	prepaid  = 20_000
)

// trial is a seeded run of requests and faults.
type trial struct {
	t       *testing.T
	w       *world
	random  *rand.Rand
	entries []*entry
	// ended are the entries that were fenced. Some still run.
	ended   []*entry
	sidecar *sidecar
	// biller posts the sidecar's bills.
	biller *ledger.Client

	mu sync.Mutex
	// billed is what was charged, by request.
	billed map[string]int64
	// ran counts how often a key's request was run.
	ran map[string]int
}

// TestRandomFaults pauses and cuts owners and clients, loses answers of owners and
// of the log, and takes the log away, while requests are held, billed and
// registered.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(faultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newTrial(t, seed).run() })
		})
	}
}

func newTrial(t *testing.T, seed uint64) *trial {
	w := newWorld(t)
	return &trial{
		t:       t,
		w:       w,
		random:  rand.New(rand.NewPCG(seed, 1)),
		entries: []*entry{w.join("a"), w.join("b"), w.join("c")},
		billed:  map[string]int64{},
		ran:     map[string]int{},
		sidecar: w.sidecar("s1", "1"),
		biller:  w.biller(),
	}
}

// biller starts the ledger client of a sidecar.
func (w *world) biller() *ledger.Client {
	c := ledger.New("s1/1", w.log, ledger.WithShards(shards), ledger.WithOwners(w.board.locate, w.net.Client(w.address())))
	if err := c.Start(context.Background(), nil); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		if err := c.Close(); err != nil {
			w.t.Error(err)
		}
	})
	return c
}

func (r *trial) run() {
	time.Sleep(10 * time.Second)
	topUp(r.t, r.entries[0], "clinic", prepaid)
	var requests sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < faultTime; i++ {
		e := r.pick()
		spent := 1 + r.random.Int64N(40)
		requests.Go(func() { r.request(e, i, spent) })
		if r.random.IntN(5) == 0 {
			r.fault()
		}
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
	}
	r.w.log.SetUnavailable(false)
	for _, e := range slices.Concat(r.entries, r.ended) {
		r.heal(e)
	}
	requests.Wait()
	time.Sleep(healTime)
	r.check()
}

// pick returns an entry, now and then one that has ended.
func (r *trial) pick() *entry {
	if n := len(r.ended); n > 0 && r.random.IntN(4) == 0 {
		return r.ended[r.random.IntN(n)]
	}
	return r.entries[r.random.IntN(len(r.entries))]
}

// request holds tokens, registers a key that others use too, has the sidecar run
// it, and bills until the bill is in the stream.
func (r *trial) request(e *entry, number int, spent int64) {
	ctx := context.Background()
	hold, err := e.client.Reserve(ctx, "clinic", 50)
	if err != nil {
		return
	}
	key := fmt.Sprint(number / 3)
	got, err := e.client.Register(ctx, ledger.Registration{Workspace: "clinic", Key: key, Digest: []byte(key), Sidecar: "s1/1"})
	if err != nil || !got.Granted || !r.sidecar.use(hold.Holder) {
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
		err := r.biller.Post(postCtx, hold.Shard, entry)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// end takes an entry off the list of members and starts another. The old one is
// killed, or goes on without knowing.
func (r *trial) end(e *entry) {
	if r.random.IntN(2) == 0 {
		e.kill()
	}
	r.w.board.publish(r.t, fleet.Fence{Incarnation: e.member.Incarnation, By: "test"})
	r.ended = append(r.ended, e)
	r.entries = slices.DeleteFunc(r.entries, func(other *entry) bool { return other == e })
	r.entries = append(r.entries, r.w.join(fmt.Sprint("n", len(r.ended))))
}

// fault breaks or heals something of one entry, or of the log.
func (r *trial) fault() {
	e := r.entries[r.random.IntN(len(r.entries))]
	switch r.random.IntN(12) {
	case 0:
		e.hostGate.pause()
	case 1:
		e.hostGate.pauseAppends()
	case 2:
		e.clientGate.pauseAppends()
	case 3:
		r.w.net.SetPartitioned(e.member.Address, true)
	case 4:
		r.w.net.DropResponses(e.member.Address, 2)
	case 5:
		r.w.log.DropResponses(2)
	case 6:
		r.w.log.DuplicateAppends(2)
	case 7:
		r.w.log.SetUnavailable(true)
	case 8:
		if len(r.ended) < 4 {
			r.end(e)
		}
	default:
		r.w.log.SetUnavailable(false)
		r.heal(e)
	}
}

// heal mends all faults of an entry but its death.
func (r *trial) heal(e *entry) {
	e.hostGate.resume()
	e.clientGate.resume()
	r.w.net.SetPartitioned(e.member.Address, e.killed)
	r.w.net.DropResponses(e.member.Address, 0)
}

func (r *trial) check() {
	r.t.Helper()
	var spent int64
	for key, tokens := range r.billed {
		spent += tokens
		if r.ran[key] != 1 {
			r.t.Errorf("key %s ran %d times", key, r.ran[key])
		}
	}
	fresh := ledger.New("fresh/1", r.w.log, ledger.WithShards(shards))
	if err := fresh.Start(context.Background(), nil); err != nil {
		r.t.Fatal(err)
	}
	defer func() {
		if err := fresh.Close(); err != nil {
			r.t.Error(err)
		}
	}()
	b, err := fresh.Budget(r.t.Context(), "clinic")
	if err != nil {
		r.t.Fatal(err)
	}
	if b.Settled != spent || b.Bills != int64(len(r.billed)) || b.ToppedUp != prepaid {
		r.t.Errorf("budget %+v, want %d bills of %d tokens", b, len(r.billed), spent)
	}
	if b.WriteOff.Bills != 0 {
		r.t.Errorf("holders were closed before %d of their bills", b.WriteOff.Bills)
	}
	if b.Outstanding != 0 {
		r.t.Errorf("%d tokens outstanding with nothing running", b.Outstanding)
	}
	for _, e := range r.entries {
		if r.sidecar.asked(e.member.Incarnation) > 0 {
			r.t.Errorf("%s was fenced as a live member", e.member.Incarnation)
		}
	}
	if len(r.billed) < 20 {
		r.t.Errorf("only %d requests served", len(r.billed))
	}
	r.w.checkOwners(r.entries...)
}
