package shard_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"github.com/crocusline/crocusline/models/fleet"
	"github.com/crocusline/crocusline/models/ledger"
	peerv1 "github.com/crocusline/crocusline/modules/wire/peer/v1"
	"github.com/crocusline/crocusline/modules/wire/peer/v1/peerv1connect"
)

// sidecar answers Fence.
type sidecar struct {
	peerv1connect.UnimplementedSidecarServiceHandler
	member fleet.Member

	mu sync.Mutex
	// busy says that a hold of the fenced entry is not settled.
	busy   bool
	fenced map[string]int
	// unsettled counts the holds of an entry that are in use.
	unsettled map[string]int
}

// use takes a hold into use, unless its entry is fenced.
func (s *sidecar) use(entry string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced[entry] > 0 {
		return false
	}
	s.unsettled[entry]++
	return true
}

func (s *sidecar) settle(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unsettled[entry]--
}

func (s *sidecar) Fence(_ context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fenced[req.Msg.GetEntry()]++
	settled := !s.busy && s.unsettled[req.Msg.GetEntry()] == 0
	return connect.NewResponse(&peerv1.FenceResponse{Settled: settled, Incarnation: s.member.Incarnation}), nil
}

func (s *sidecar) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
}

func (s *sidecar) asked(entry string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fenced[entry]
}

// sidecar starts a sidecar and makes it a member.
func (w *world) sidecar(name, life string) *sidecar {
	address := w.address()
	s := &sidecar{
		member: fleet.Member{
			Incarnation: name + "/" + life,
			Role:        fleet.Sidecar,
			Name:        name,
			Server:      name,
			Address:     address,
		},
		fenced:    map[string]int{},
		unsettled: map[string]int{},
	}
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewSidecarServiceHandler(s))
	w.net.Serve(address, mux)
	w.board.publish(w.t, fleet.Register{Member: s.member})
	return s
}

// killHolder has an entry draw tokens and kills it. It returns another entry.
func (w *world) killHolder(tokens int64) (dead, live *entry) {
	dead, live = w.join("dead"), w.join("live")
	time.Sleep(10 * time.Second)
	topUp(w.t, live, "clinic", 1000)
	reserve(w.t, dead, "clinic", tokens)
	dead.kill()
	return dead, live
}

// until returns how long it takes until nothing of the budget is outstanding.
func until(t *testing.T, e *entry, limit time.Duration) (time.Duration, bool) {
	t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if budget(t, e, "clinic").Outstanding == 0 {
			return time.Since(began), true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return limit, false
}

func TestTokensOfDeadEntryComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		sidecars := []*sidecar{w.sidecar("s1", "1"), w.sidecar("s2", "1")}
		dead, live := w.killHolder(400)
		if _, back := until(t, live, 20*time.Second); back {
			t.Fatal("tokens came back while the entry was a member")
		}
		w.board.publish(t, fleet.Fence{Incarnation: dead.member.Incarnation, By: "test"})
		took, back := until(t, live, time.Minute)
		if !back {
			t.Fatalf("tokens not back after %s", took)
		}
		t.Logf("tokens back %s of virtual time after the entry was known to be gone", took)
		for _, s := range sidecars {
			if s.asked(dead.member.Incarnation) == 0 {
				t.Errorf("%s did not fence the entry", s.member.Name)
			}
		}
	})
}

// TestTokensOfDeadOwnerComeBack kills an entry that also owned the shard.
func TestTokensOfDeadOwnerComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.sidecar("s1", "1")
		entries := []*entry{w.join("a"), w.join("b")}
		time.Sleep(10 * time.Second)
		topUp(t, entries[0], "clinic", 1000)
		dead, live := entries[0], entries[1]
		if owners(entries...)[dead.client.ShardOf("clinic")][0] != dead.member.Name {
			dead, live = live, dead
		}
		reserve(t, dead, "clinic", 400)
		dead.kill()
		w.board.publish(t, fleet.Fence{Incarnation: dead.member.Incarnation, By: "test"})
		took, back := until(t, live, time.Minute)
		if !back {
			t.Fatalf("tokens not back after %s", took)
		}
		t.Logf("tokens back %s of virtual time after the entry was known to be gone", took)
	})
}

func TestUnsettledHoldDelaysReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.sidecar("s1", "1")
		busy := w.sidecar("s2", "1")
		busy.setBusy(true)
		dead, live := w.killHolder(400)
		w.board.publish(t, fleet.Fence{Incarnation: dead.member.Incarnation, By: "test"})
		if took, back := until(t, live, 30*time.Second); back {
			t.Fatalf("tokens back after %s while a hold was in use", took)
		}
		busy.setBusy(false)
		took, back := until(t, live, time.Minute)
		if !back {
			t.Fatalf("tokens not back after %s", took)
		}
		t.Logf("tokens back %s of virtual time after the last hold was settled", took)
	})
}

func TestUnreachableSidecarDelaysReturnUntilReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.sidecar("s1", "1")
		cut := w.sidecar("s2", "1")
		dead, live := w.killHolder(400)
		w.net.SetPartitioned(cut.member.Address, true)
		w.board.publish(t, fleet.Fence{Incarnation: dead.member.Incarnation, By: "test"})
		if took, back := until(t, live, 30*time.Second); back {
			t.Fatalf("tokens back after %s without the proof of a sidecar", took)
		}
		// Another life of the sidecar proves nothing for the one that is a member.
		w.net.SetPartitioned(cut.member.Address, false)
		stranger := &sidecar{member: fleet.Member{Incarnation: "s2/0"}, fenced: map[string]int{}}
		mux := http.NewServeMux()
		mux.Handle(peerv1connect.NewSidecarServiceHandler(stranger))
		w.net.Serve(cut.member.Address, mux)
		if took, back := until(t, live, 10*time.Second); back || stranger.asked(dead.member.Incarnation) == 0 {
			t.Fatalf("after %s: tokens back by another incarnation's proof: %v", took, back)
		}
		next := w.sidecar("s2", "2")
		took, back := until(t, live, time.Minute)
		if !back {
			t.Fatalf("tokens not back after %s", took)
		}
		t.Logf("tokens back %s of virtual time after the sidecar was replaced", took)
		if next.asked(dead.member.Incarnation) == 0 {
			t.Error("the new sidecar was not asked")
		}
	})
}

func TestOnlyOwnerClosesHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		e := w.join("a")
		time.Sleep(10 * time.Second)
		err := e.post(0, ledger.CloseHolder{Holder: "a/1"})
		if connect.CodeOf(err) != connect.CodeInvalidArgument {
			t.Fatalf("error %v", err)
		}
	})
}

// TestReturnIsSentAgain cuts the owner off while a client gives back what it does
// not use.
func TestReturnIsSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.join("a"), w.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 1000)
		owner, e := a, b
		if owners(a, b)[a.client.ShardOf("clinic")][0] == "b" {
			owner, e = b, a
		}
		e.client.Release("clinic", reserve(t, e, "clinic", 400))
		time.Sleep(4500 * time.Millisecond)
		w.net.SetPartitioned(owner.member.Address, true)
		time.Sleep(2500 * time.Millisecond)
		w.net.SetPartitioned(owner.member.Address, false)
		if took, back := until(t, owner, 20*time.Second); !back {
			t.Fatalf("tokens not returned after %s", took)
		}
	})
}

func TestOrderlyEndReturnsTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a, b := w.join("a"), w.join("b")
		time.Sleep(10 * time.Second)
		topUp(t, a, "clinic", 1000)
		a.client.Release("clinic", reserve(t, a, "clinic", 400))
		if got := budget(t, b, "clinic"); got.Outstanding == 0 {
			t.Fatalf("budget %+v", got)
		}
		a.close()
		if got := budget(t, b, "clinic"); got.Outstanding != 0 {
			t.Fatalf("budget %+v after an orderly end", got)
		}
	})
}
