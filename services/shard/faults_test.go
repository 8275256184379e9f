package shard_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

	mu sync.Mutex
	// billed is what was charged, by request.
	billed map[string]int64
	// granted counts the calls that may dispatch a key's first attempt.
	granted map[string]int
}

// TestRandomFaults pauses, cuts and partitions owners and clients, and loses
// answers of owners and of the log, while requests are held, billed and
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
		granted: map[string]int{},
	}
}

func (r *trial) run() {
	time.Sleep(10 * time.Second)
	topUp(r.t, r.entries[0], "clinic", prepaid)
	var requests sync.WaitGroup
	began := time.Now()
	for i := 0; time.Since(began) < faultTime; i++ {
		e := r.entries[r.random.IntN(len(r.entries))]
		spent := 1 + r.random.Int64N(40)
		requests.Go(func() { r.request(e, i, spent) })
		if r.random.IntN(5) == 0 {
			r.fault()
		}
		time.Sleep(time.Duration(r.random.IntN(400)) * time.Millisecond)
	}
	for _, e := range r.entries {
		r.heal(e)
	}
	requests.Wait()
	time.Sleep(healTime)
	r.check()
}

// request holds tokens, registers a key that others use too, and bills until the
// bill is in the stream.
func (r *trial) request(e *entry, number int, spent int64) {
	ctx := context.Background()
	hold, err := e.client.Reserve(ctx, "clinic", 50)
	if err != nil {
		return
	}
	key := fmt.Sprint(number / 3)
	got, err := e.client.Register(ctx, ledger.Registration{Workspace: "clinic", Key: key, Digest: []byte(key), Sidecar: "s/1"})
	if err != nil || !got.Granted {
		e.client.Release("clinic", hold)
		return
	}
	r.mu.Lock()
	r.granted[key]++
	r.billed[key] = spent
	r.mu.Unlock()
	entry := model.Bill{RequestID: key, Workspace: "clinic", Hold: hold, Tokens: spent}
	for {
		postCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		err := e.client.Post(postCtx, hold.Shard, entry)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// fault breaks or heals something of one entry, or of the log.
func (r *trial) fault() {
	e := r.entries[r.random.IntN(len(r.entries))]
	switch r.random.IntN(8) {
	case 0:
		e.hostGate.pause()
	case 1:
		e.hostGate.pauseAppends()
	case 2:
		e.clientGate.pauseAppends()
	case 3:
		r.w.net.SetCut(e.member.Address, true)
	case 4:
		r.w.net.LoseAnswers(e.member.Address, 2)
	case 5:
		r.w.log.LoseAnswers(2)
	case 6:
		r.w.log.Double(2)
	default:
		r.heal(e)
	}
}

func (r *trial) heal(e *entry) {
	e.hostGate.resume()
	e.clientGate.resume()
	r.w.net.SetCut(e.member.Address, false)
	r.w.net.LoseAnswers(e.member.Address, 0)
}

func (r *trial) check() {
	r.t.Helper()
	var spent int64
	for key, tokens := range r.billed {
		spent += tokens
		if r.granted[key] != 1 {
			r.t.Errorf("key %s was granted %d times", key, r.granted[key])
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
	if b.Outstanding != 0 {
		r.t.Errorf("%d tokens outstanding with nothing running", b.Outstanding)
	}
	if len(r.billed) < 20 {
		r.t.Errorf("only %d requests served", len(r.billed))
	}
	r.w.checkOwners(r.entries...)
}
