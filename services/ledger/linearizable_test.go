package ledger_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/crocusline/crocusline/coordination/once"
	"github.com/crocusline/crocusline/modules/platform/platformtest"
	"github.com/crocusline/crocusline/services/ledger"
)

// keyCall is a call of Register or Void on a key.
type keyCall struct {
	key string
	// void is the attempt to void, or 0 for a call of Register.
	void int64
	// sidecar is unique for each call of Register.
	sidecar string
}

// keyState is the latest attempt of a key.
type keyState struct {
	number  int64
	sidecar string
	status  once.Status
}

// keyResult is the result of a call.
type keyResult struct {
	keyState
	granted bool
	// unknown is set if the call may or may not have taken effect, or may do so
	// after it has returned.
	unknown bool
}

// keyModel is the sequential specification of one key: an attempt can be
// registered if and only if there is none yet or the last one is void.
var keyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{status: once.Voided}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(keyState), input.(keyCall), output.(keyResult)
		next := s
		switch {
		case in.void > 0 && s.status == once.Registered && s.number == in.void:
			next.status = once.Voided
		case in.void == 0 && s.status == once.Voided:
			next = keyState{number: s.number + 1, sidecar: in.sidecar, status: once.Registered}
		}
		switch {
		case out.unknown:
			return []any{s, next}
		case in.void > 0:
			return []any{next}
		case out.granted && next != s && next == out.keyState:
			return []any{next}
		case !out.granted && s == out.keyState:
			return []any{s}
		}
		return nil
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(keyCall).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
}

// recorder records the history of calls.
type recorder struct {
	mu      sync.Mutex
	begin   time.Time
	history []porcupine.Operation
	grants  int
}

func (r *recorder) add(worker int, called time.Duration, in keyCall, out keyResult) {
	op := porcupine.Operation{
		ClientId: worker,
		Input:    in,
		Call:     int64(called),
		Output:   out,
		Return:   int64(time.Since(r.begin)),
	}
	switch {
	case out.unknown:
		op.Return = math.MaxInt64
	case in.void == 0 && !out.granted:
		// A client's replica may lag behind the log, so the result may be from
		// any time before the return.
		op.Call = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, op)
	if out.granted {
		r.grants++
	}
}

// register calls Register and returns the number of the attempt in the result.
func (r *recorder) register(worker int, c *ledger.Client, in keyCall) int64 {
	called := time.Since(r.begin)
	got, err := c.Register(context.Background(), ledger.Registration{
		Workspace: "clinic", Key: in.key, Digest: []byte("d"), Sidecar: in.sidecar,
	})
	out := keyResult{
		keyState: keyState{number: got.Attempt, sidecar: got.Sidecar, status: got.Status},
		granted:  got.Granted,
	}
	// The call's own attempt may already be void when it is read back.
	out.unknown = err != nil || got.Sidecar == in.sidecar && !got.Granted
	r.add(worker, called, in, out)
	return got.Attempt
}

func (r *recorder) void(worker int, c *ledger.Client, in keyCall) {
	called := time.Since(r.begin)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := c.Void(ctx, "clinic", in.key, in.void)
	r.add(worker, called, in, keyResult{unknown: err != nil})
}

// work makes random calls to a client.
func (r *recorder) work(worker int, c *ledger.Client, random *rand.Rand) {
	last := map[string]int64{}
	for i := range 10 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		in := keyCall{key: fmt.Sprint("k", random.IntN(2)), sidecar: fmt.Sprintf("s%d-%d", worker, i)}
		if last[in.key] > 0 && random.IntN(2) == 0 {
			in.void = last[in.key]
			r.void(worker, c, in)
			continue
		}
		last[in.key] = r.register(worker, c, in)
	}
}

// injectFaults makes the log fail at random: it loses responses, doubles appends,
// or becomes unreachable for reads or for all calls.
func injectFaults(log *platformtest.Log, random *rand.Rand) {
	for range 6 {
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		switch random.IntN(4) {
		case 0:
			log.DropResponses(2)
		case 1:
			log.DuplicateAppends(2)
		case 2:
			log.SetReadsFailing(true)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			log.SetReadsFailing(false)
		default:
			log.SetUnavailable(true)
			time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			log.SetUnavailable(false)
		}
	}
}

func TestClientsAreLinearizable(t *testing.T) {
	grants, calls := 0, 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			log := platformtest.New()
			r := &recorder{begin: time.Now()}
			var work sync.WaitGroup
			for i := range 3 {
				c := start(t, fmt.Sprint("entry", i), log)
				for j := range 2 {
					worker := 2*i + j
					work.Go(func() { r.work(worker, c, rand.New(rand.NewPCG(seed, uint64(worker)))) })
				}
			}
			work.Go(func() { injectFaults(log, rand.New(rand.NewPCG(seed, 99))) })
			work.Wait()
			model := keyModel.ToModel()
			if result := porcupine.CheckOperationsTimeout(model, r.history, 0); result != porcupine.Ok {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
			grants += r.grants
			calls += len(r.history)
		})
	}
	if grants < 100 {
		t.Errorf("only %d attempts registered in %d calls", grants, calls)
	}
	t.Logf("%d attempts registered in %d calls", grants, calls)
}
